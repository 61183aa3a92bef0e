package agents

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// MachineState is the in-memory state of a machine that is not part of its record. Each concern has
// its own struct, which is embedded so that other packages can read its exported fields.
type MachineState struct {
	ID protocol.MachineID

	reachability
	heartbeatOrder
	agentLease
	delivery
	deferredResponse
	commandsInFlight
	observedTasks
	machineHealth
	imageCache
	trackedOwnership
}

// newMachineState returns the state of a machine that has sent no heartbeat yet.
func newMachineState(id protocol.MachineID, now protocol.Instant) *MachineState {
	state := &MachineState{ID: id}
	state.LastContactAt = now
	state.reset()
	return state
}

// reset deletes the commands, observed tasks and task errors of an earlier ownership. It keeps the
// latest heartbeat.
func (m *MachineState) reset() {
	m.commandsInFlight.reset()
	m.observedTasks.reset()
	m.jobsWithErrors = map[protocol.JobID]bool{}
}

// beginOwnership starts a new ownership of the machine. It resets the state because messages between
// the agent and an earlier owner are no evidence under a new fencing token.
func (m *MachineState) beginOwnership(record *storage.MachineRecord, revision protocol.Revision, now protocol.Instant) {
	m.trackedOwnership = trackedOwnership{
		ownerIncarnation:  record.Owner,
		ownershipEpoch:    record.ShardEpoch,
		ownershipRevision: revision,
	}
	m.reset()
	m.forgetAnswer()
	m.LastContactAt, m.lastHeartbeatAt = now, now
	m.awaitsDelivery = false
	m.confirmDelivery()
}

// RecordHeartbeat updates the state from a heartbeat that is newer than all heartbeats that were
// processed before.
func (m *MachineState) RecordHeartbeat(heartbeat *protocol.Heartbeat, now protocol.Instant) {
	m.LastContactAt = now
	m.confirmToken(heartbeat.FencingToken, now)
	m.recordStatuses(heartbeat, now)
	m.dropOutdatedStopRequests(m.taskStatuses)
	m.recordPreemptionNotice(heartbeat.PreemptionNoticeSeconds, now)
}

// AllTasksSatisfy reports whether no start of an assigned task is in flight and isSatisfied holds for
// the status of each assigned task in the latest heartbeat. A task that the heartbeat lacks counts as
// satisfied.
func (m *MachineState) AllTasksSatisfy(
	assignment *storage.Assignment, isSatisfied func(*protocol.TaskStatus) bool,
) bool {
	satisfied := true
	assignment.Tasks.Each(func(index int) bool {
		task := protocol.Task{Job: assignment.Job, Index: index}
		_, isInFlight := m.InflightStarts[task]
		status := m.taskStatuses[task]
		satisfied = !isInFlight && (status == nil || isSatisfied(status))
		return satisfied
	})
	return satisfied
}

// HasImage reports whether the machine is known to have an image. It returns false for a nil state.
func (m *MachineState) HasImage(name string) bool {
	return m != nil && m.imageCache.contains(name)
}

// IsFetchingImage reports whether the latest heartbeat shows a task whose image is being pulled. It
// returns false for a nil state.
func (m *MachineState) IsFetchingImage() bool {
	return m != nil && m.observedTasks.isPullingImage()
}
