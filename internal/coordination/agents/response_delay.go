package agents

import (
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// ownershipCatchUpTimeout is how long a heartbeat waits for the replica to show what was
	// written before this incarnation became the owner.
	ownershipCatchUpTimeout = 3 * time.Second
	// longestResponseDelay bounds how long a heartbeat with news waits, unless the configuration
	// says more.
	longestResponseDelay = 3 * time.Second
	// idleCoresDivisor is the part of a machine's cores that must be free, one in so many, for
	// the response to wait for a start while tasks run there.
	idleCoresDivisor = 3
)

// shouldDeferResponse tells whether the response should wait a moment for a write, so that
// it can carry the starts that take the place of what has ended.
func (h *HeartbeatHandler) shouldDeferResponse(entry *storage.Machine, state *MachineState) bool {
	if h.isReplicaBehindOwnership(state) {
		return h.Since(state.deferredAt) < ownershipCatchUpTimeout
	}
	if h.replication.StoreUnavailable() || !h.lease.IsRegistered() {
		return false
	}
	if state.CommandsLost() || state.ConfirmedToken < entry.Record.FencingToken {
		return false
	}
	if h.Since(state.deferredAt) >= h.maxResponseDelay() {
		return h.shouldDeferIdleResponse(entry, state)
	}
	heartbeat, record := state.LatestHeartbeat, &entry.Record
	showsShardEpoch := storage.ShardEpochOf(heartbeat.FencingToken) == record.ShardEpoch
	if heartbeat.AgentEpoch != record.AgentEpoch {
		return showsShardEpoch || record.AgentEpoch == 0 // the new agent epoch is about to be written
	}
	if !showsShardEpoch {
		return false
	}
	return showsUnrecordedExit(heartbeat, record) ||
		h.expectsAssignments(entry, state) ||
		h.shouldDeferIdleResponse(entry, state)
}

// isReplicaBehindOwnership tells whether the replica may lack what was written before this
// incarnation became the owner: a job may have been cancelled without its
// knowledge.
func (h *HeartbeatHandler) isReplicaBehindOwnership(state *MachineState) bool {
	return h.Replica.Revision < state.ownershipRevision
}

// showsUnrecordedExit tells whether an assigned task has exited, so that its end is to be written.
func showsUnrecordedExit(heartbeat *protocol.Heartbeat, record *storage.MachineRecord) bool {
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		if status.State != protocol.TaskExited {
			continue
		}
		if attempt, ok := record.AttemptOf(status.Task); ok && attempt == status.Attempt {
			return true
		}
	}
	return false
}

// expectsAssignments tells whether the plan has tasks for the machine that its owner waits to
// see on record, most often those of a job that another controller owns. The response waits
// for them within maxResponseDelay: without that a core that has become free stays so for half
// a heartbeat interval on average, where tasks are short a tenth of all cores.
func (h *HeartbeatHandler) expectsAssignments(entry *storage.Machine, state *MachineState) bool {
	record := &entry.Record
	if !h.forecast.ExpectsPlacement(state.ID) || !h.replication.IsUpToDate() ||
		!acceptsTasks(record, state.LatestHeartbeat) {
		return false
	}
	for i := range record.Assignments {
		if h.nonGangSpec(&record.Assignments[i]) == nil || !state.showsAllTasks(&record.Assignments[i]) {
			return false // there is something to start
		}
	}
	return true
}

// acceptsTasks tells whether new tasks may be assigned to a machine.
func acceptsTasks(record *storage.MachineRecord, heartbeat *protocol.Heartbeat) bool {
	return !record.Terminating && !record.Cordoned && heartbeat.PreemptionNoticeSeconds == nil
}

// nonGangSpec is the job of an assignment, nil if it is unknown or a gang, whose tasks may wait
// to start for those on other machines.
func (h *HeartbeatHandler) nonGangSpec(assignment *storage.Assignment) *protocol.Job {
	job := h.Replica.Jobs[assignment.Job]
	if job == nil || job.Record.Spec == nil || job.Record.Spec.IsGang() {
		return nil
	}
	return job.Record.Spec
}

// maxResponseDelay is how long a heartbeat with news waits for the write. Where heartbeats are
// far apart it waits longer: the next one, which would take what this response lacks, is that
// much later.
func (h *HeartbeatHandler) maxResponseDelay() time.Duration {
	return max(h.Config.MaxResponseDelay, min(h.Config.HeartbeatInterval*3/8, longestResponseDelay))
}

// shouldDeferIdleResponse tells whether the response to a machine with free capacity waits for
// something to do: a start that is written meanwhile goes out at once instead of with the next
// heartbeat. The agent waits longer than that for a response. While tasks run there it waits
// only where heartbeats are so far apart that it pays.
func (h *HeartbeatHandler) shouldDeferIdleResponse(entry *storage.Machine, state *MachineState) bool {
	heartbeat, record := state.LatestHeartbeat, &entry.Record
	if h.Since(state.deferredAt) >= h.Config.MaxIdleResponseDelay || !h.replication.IsUpToDate() ||
		!isUnderRecordedEpochs(heartbeat, record) || !acceptsTasks(record, heartbeat) {
		return false
	}
	if len(heartbeat.Tasks) == 0 && len(record.Assignments) == 0 {
		return true
	}
	if h.Config.HeartbeatInterval < 2*h.Config.MaxIdleResponseDelay {
		return false
	}
	return h.hasFreeCoresAndNoCommands(record, state)
}

// hasFreeCoresAndNoCommands tells whether a good part of the machine is free while there is no
// command for its agent: all assigned tasks run, and none has exited.
func (h *HeartbeatHandler) hasFreeCoresAndNoCommands(record *storage.MachineRecord, state *MachineState) bool {
	machineType := h.catalog.MachineType(record.MachineType)
	if machineType == nil {
		return false
	}
	freeCores := machineType.Cores
	for i := range record.Assignments {
		assignment := &record.Assignments[i]
		spec := h.nonGangSpec(assignment)
		if spec == nil || !state.showsAllTasks(assignment) {
			return false // there is something to start
		}
		freeCores -= float64(assignment.Tasks.Len()) * spec.Cores
	}
	for i := range state.LatestHeartbeat.Tasks {
		if state.LatestHeartbeat.Tasks[i].State == protocol.TaskExited {
			return false // to be forgotten
		}
	}
	return freeCores >= machineType.Cores/idleCoresDivisor
}
