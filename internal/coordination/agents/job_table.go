package agents

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// JobTable holds what this process remembers of jobs beyond their records: attempts, run times,
// incomplete gangs, failures.
type JobTable struct {
	*step.Context

	jobStates map[protocol.JobID]*JobState
}

func newJobTable(ctx *step.Context) *JobTable {
	return &JobTable{
		Context:   ctx,
		jobStates: map[protocol.JobID]*JobState{},
	}
}

// JobState gives what is remembered of a job, and begins to remember it if need be.
func (jt *JobTable) JobState(id protocol.JobID) *JobState {
	state := jt.jobStates[id]
	if state == nil {
		state = &JobState{jobFailures: jobFailures{FailedMachines: map[protocol.MachineID]bool{}}}
		jt.jobStates[id] = state
	}
	return state
}

// ForgetFinishedJobs drops what is remembered of jobs that are over.
func (jt *JobTable) ForgetFinishedJobs() {
	for id := range jt.jobStates {
		if jt.canForget(id) {
			delete(jt.jobStates, id)
		}
	}
}

// canForget tells whether a job is off the records, done, or cancelled with no task left on a machine.
func (jt *JobTable) canForget(id protocol.JobID) bool {
	entry := jt.Replica.Jobs[id]
	if entry == nil || entry.Record.State == protocol.JobDone {
		return true
	}
	return entry.Record.State.IsTerminal() && len(jt.Replica.MachinesWithJob(id)) == 0
}

// EstimatedRuntime is how long a task of the job runs: as measured here, else as its user estimates.
func (jt *JobTable) EstimatedRuntime(id protocol.JobID, spec *protocol.Job) time.Duration {
	if state := jt.jobStates[id]; state != nil && state.hasEnoughSamples() {
		return state.meanRuntime()
	}
	return protocol.Seconds(spec.EstimatedRunSeconds)
}

// recordTaskRuntime takes in how long a task ran that has completed on a machine, if it was seen
// to start there.
func (jt *JobTable) recordTaskRuntime(state *MachineState, task protocol.Task) {
	startedAt := state.runningSince[task]
	if startedAt == 0 || startedAt == startTimeUnknown {
		return
	}
	jobState, runtime := jt.JobState(task.Job), jt.Since(startedAt)
	if jobState.hasEnoughSamples() && state.Slowdown.recordRatio(jobState.ratioToMean(runtime)) {
		jt.Log(slog.LevelInfo, "machine slow state changed", "machine", string(state.ID),
			"enabled", state.Slowdown.IsSlow(), "runtime_ratio", state.Slowdown.ratio)
	}
	// Slow machines do not set the measure.
	if !state.Slowdown.IsSlow() {
		jobState.recordRuntime(runtime)
	}
}

// HighestAttempt is the highest attempt with which tasks of the job are assigned, as the batch
// would leave the records (nil: as they are).
func (jt *JobTable) HighestAttempt(id protocol.JobID, batch *commit.Batch) (attempt protocol.Attempt) {
	for machineID := range jt.Replica.MachinesWithJob(id) {
		record := &jt.Replica.Machines[machineID].Record
		if batch != nil {
			record = batch.MachineRecord(machineID)
		}
		for assignment := range record.AssignmentsOf(id) {
			attempt = max(attempt, assignment.Attempt)
		}
	}
	return attempt
}

// trackIncompleteGangs looks since when gangs have been assigned in part only.
func (jt *JobTable) trackIncompleteGangs() {
	for id, entry := range jt.Replica.UnfinishedJobs {
		if !spansSeveralTasks(entry.Record.Spec) {
			continue
		}
		attempt := jt.HighestAttempt(id, nil)
		isComplete := attempt == 0 || jt.isGangFullyAssigned(id, &entry.Record, attempt)
		jt.JobState(id).recordCompleteness(attempt, isComplete, jt.Now.Monotonic)
	}
}

// isGangFullyAssigned tells whether every task of the gang is assigned with the attempt
// or done: only then may any of them start.
func (jt *JobTable) isGangFullyAssigned(id protocol.JobID, record *storage.JobRecord, attempt protocol.Attempt) bool {
	covered := jt.Replica.CompletedTasks(id)
	for machineID := range jt.Replica.MachinesWithJob(id) {
		machine := jt.Replica.Machines[machineID]
		if machine.Record.Terminating {
			continue
		}
		for assignment := range machine.Record.AssignmentsOf(id) {
			if assignment.Attempt == attempt {
				covered = covered.Union(assignment.Tasks)
			}
		}
	}
	return covered.Len() == record.Spec.TaskCount
}

// isGangBroken tells whether an attempt of a gang has been incomplete for too long to be one
// that is still being written.
func (jt *JobTable) isGangBroken(id protocol.JobID, attempt protocol.Attempt) bool {
	return jt.JobState(id).isIncompleteTooLong(attempt, jt.Now.Monotonic)
}

// spansSeveralTasks tells whether a job is a gang whose tasks depend on each other.
func spansSeveralTasks(spec *protocol.Job) bool { return spec.IsGang() && spec.TaskCount > 1 }
