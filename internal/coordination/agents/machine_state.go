package agents

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// MachineState is what this process remembers of a machine beyond its record. Each concern is
// a struct of its own, embedded so that other packages read its exported fields here.
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

// newMachineState makes the state of a machine of which nothing is known but that it exists.
func newMachineState(id protocol.MachineID, now protocol.Instant) *MachineState {
	state := &MachineState{ID: id}
	state.LastContactAt = now
	state.reset()
	return state
}

// reset drops what was sent and observed under an earlier ownership. The latest heartbeat stays.
func (m *MachineState) reset() {
	m.commandsInFlight.reset()
	m.observedTasks.reset()
	m.jobsWithErrors = map[protocol.JobID]bool{}
}

// beginOwnership starts a new ownership of the machine: what passed between the agent
// and an earlier owner proves nothing under a new fencing token.
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

// RecordHeartbeat takes in a heartbeat that is newer than all that were processed before.
func (m *MachineState) RecordHeartbeat(heartbeat *protocol.Heartbeat, now protocol.Instant) {
	m.LastContactAt = now
	m.confirmToken(heartbeat.FencingToken, now)
	m.recordStatuses(heartbeat, now)
	m.dropOutdatedStopRequests(m.taskStatuses)
	m.recordPreemptionNotice(heartbeat.PreemptionNoticeSeconds, now)
}

// AllTasksSatisfy tells whether no start of the assigned tasks is in flight, and the latest
// heartbeat either lacks each of them or shows it as it should be.
func (m *MachineState) AllTasksSatisfy(
	assignment *storage.Assignment, isSatisfied func(*protocol.TaskStatus) bool,
) bool {
	satisfied := true
	assignment.Tasks.Each(func(index int) bool {
		task := protocol.Task{Job: assignment.Job, Index: index}
		_, inFlight := m.InflightStarts[task]
		status := m.taskStatuses[task]
		satisfied = !inFlight && (status == nil || isSatisfied(status))
		return satisfied
	})
	return satisfied
}

// HasImage tells whether the machine is known to have an image. Nothing is known of a nil machine.
func (m *MachineState) HasImage(name string) bool {
	return m != nil && m.imageCache.contains(name)
}

// IsFetchingImage tells whether the latest heartbeat shows an image that is being fetched.
func (m *MachineState) IsFetchingImage() bool {
	return m != nil && m.observedTasks.isPullingImage()
}
