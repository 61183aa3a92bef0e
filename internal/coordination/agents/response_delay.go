package agents

import (
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// ownershipCatchUpTimeout is how long a heartbeat waits for the replica to show the writes from
	// before this incarnation became the owner.
	ownershipCatchUpTimeout = 3 * time.Second
	// longestResponseDelay limits the delay that maxResponseDelay derives from the heartbeat interval.
	// Config.MaxResponseDelay may be longer.
	longestResponseDelay = 3 * time.Second
	// idleCoresDivisor sets how many of a machine's cores must be free for the response to wait for a
	// start while tasks run on the machine: one core in idleCoresDivisor.
	idleCoresDivisor = 3
)

// shouldDeferResponse reports whether the response should wait for a write, so that it can contain the
// starts of the tasks that replace exited ones.
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
		return showsShardEpoch || record.AgentEpoch == 0 // the new agent epoch will be written next
	}
	if !showsShardEpoch {
		return false
	}
	return showsUnrecordedExit(heartbeat, record) ||
		h.expectsAssignments(entry, state) ||
		h.shouldDeferIdleResponse(entry, state)
}

// isReplicaBehindOwnership reports whether the replica may lack writes from before this incarnation
// became the owner. For example, it may lack the cancellation of a job.
func (h *HeartbeatHandler) isReplicaBehindOwnership(state *MachineState) bool {
	return h.Replica.Revision < state.ownershipRevision
}

// showsUnrecordedExit reports whether a heartbeat shows that an assigned task has exited. The exit is
// then not recorded yet.
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

// expectsAssignments reports whether the plan has tasks for the machine whose assignment is not recorded
// yet, most often tasks of a job that another controller owns. The response waits for them up to
// maxResponseDelay. Otherwise a core that has become free would stay free for half a heartbeat interval
// on average, which amounts to a tenth of all cores where tasks are short.
func (h *HeartbeatHandler) expectsAssignments(entry *storage.Machine, state *MachineState) bool {
	record := &entry.Record
	if !h.forecast.ExpectsPlacement(state.ID) || !h.replication.IsUpToDate() ||
		!acceptsTasks(record, state.LatestHeartbeat) {
		return false
	}
	for i := range record.Assignments {
		if h.nonGangSpec(&record.Assignments[i]) == nil || !state.showsAllTasks(&record.Assignments[i]) {
			return false // the response may have a start command
		}
	}
	return true
}

// acceptsTasks reports whether new tasks may be assigned to a machine.
func acceptsTasks(record *storage.MachineRecord, heartbeat *protocol.Heartbeat) bool {
	return !record.Terminating && !record.Cordoned && heartbeat.PreemptionNoticeSeconds == nil
}

// nonGangSpec returns the description of an assignment's job. It returns nil if the job is unknown or is
// a gang, because the start of a gang's tasks may wait for its tasks on other machines.
func (h *HeartbeatHandler) nonGangSpec(assignment *storage.Assignment) *protocol.Job {
	job := h.Replica.Jobs[assignment.Job]
	if job == nil || job.Record.Spec == nil || job.Record.Spec.IsGang() {
		return nil
	}
	return job.Record.Spec
}

// maxResponseDelay returns how long a heartbeat with news waits for the resulting write. The delay grows
// with the heartbeat interval, because commands that miss this response wait for the next heartbeat.
func (h *HeartbeatHandler) maxResponseDelay() time.Duration {
	return max(h.Config.MaxResponseDelay, min(h.Config.HeartbeatInterval*3/8, longestResponseDelay))
}

// shouldDeferIdleResponse reports whether the response to a machine with free capacity should wait for a
// start. A start that is written during the wait is sent at once instead of with the next heartbeat.
// The agent's own timeout for a response is longer than the wait. While tasks run on the machine, the
// response waits only if the heartbeat interval is at least twice the maximum wait, because with shorter
// intervals the wait gains too little.
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

// hasFreeCoresAndNoCommands reports whether enough of the machine's cores are free, as given by
// idleCoresDivisor, and there is no command for its agent because the agent shows all assigned tasks
// and no exited one.
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
			return false // the response may have a start command
		}
		freeCores -= float64(assignment.Tasks.Len()) * spec.Cores
	}
	for i := range state.LatestHeartbeat.Tasks {
		if state.LatestHeartbeat.Tasks[i].State == protocol.TaskExited {
			return false // the response may have a forget command
		}
	}
	return freeCores >= machineType.Cores/idleCoresDivisor
}
