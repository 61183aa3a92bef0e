package scheduling

import (
	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// minPreemptorAge is the minimum age of a job that preempts tasks of other jobs.
	minPreemptorAge protocol.Millis = 500
	// checkpointMarginSeconds is the time that a task gets to stop in addition to the time that it needs to
	// save its checkpoint.
	checkpointMarginSeconds = 0.5
)

// preemptTasks stops tasks of an allocation on an owned machine for a job of higher priority, until
// maxTasks are being stopped, including those that were being stopped before. It stops a gang with a
// common checkpoint as a whole, on all its machines.
func (p *preemptor) preemptTasks(machine *Candidate, victim *allocation, preemptedFor *PendingJob, maxTasks int) {
	if !p.lease.OwnsMachine(machine.record) || p.Now.Wall-preemptedFor.record.SubmittedAt < minPreemptorAge {
		return
	}
	state := p.agents.Lookup(machine.id)
	if state == nil {
		return
	}
	if stopsAsGang(victim.spec) {
		p.stopper.RequestGracefulStop(victim.job, victim.attempt)
		return
	}
	reason := "preempted for " + string(preemptedFor.id)
	for i := range machine.record.Assignments {
		assigned := &machine.record.Assignments[i]
		if assigned.Job == victim.job && assigned.Attempt == victim.attempt {
			maxTasks -= p.stopTasks(state, assigned, maxTasks, checkpointGrace(victim.spec), reason)
		}
	}
}

// stopsAsGang reports whether the tasks of a job save a common checkpoint before they stop.
func stopsAsGang(spec *protocol.Job) bool {
	return spec.IsGang() && spec.TaskCount > 1 && spec.CanCheckpoint()
}

// checkpointGrace returns the time in seconds that a task has to stop.
func checkpointGrace(spec *protocol.Job) float64 {
	if !spec.CanCheckpoint() {
		return 0
	}
	return spec.CheckpointSaveSeconds + checkpointMarginSeconds
}

// stopTasks stops tasks of an assignment until maxTasks are being stopped, and returns how many are.
func (p *preemptor) stopTasks(
	state *agents.MachineState, assigned *storage.Assignment, maxTasks int, grace float64, reason string,
) (stopping int) {
	taskAt := func(index int) protocol.Task { return protocol.Task{Job: assigned.Job, Index: index} }
	isStopping := func(index int) bool {
		return state.HasStopRequest(taskAt(index), assigned.Attempt)
	}
	assigned.Tasks.Each(func(index int) bool {
		if isStopping(index) {
			stopping++
		}
		return true
	})
	assigned.Tasks.Each(func(index int) bool {
		if stopping < maxTasks && !isStopping(index) {
			p.stopper.RequestStop(state, taskAt(index), assigned.Attempt, grace, reason)
			stopping++
		}
		return stopping < maxTasks
	})
	return stopping
}
