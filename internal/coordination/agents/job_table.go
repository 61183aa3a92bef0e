package agents

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// JobTable holds the in-memory state of jobs that is not part of their records: reserved attempts, run
// times, incomplete gangs and failures.
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

// JobState returns the state of a job and creates it if the table has none.
func (jt *JobTable) JobState(id protocol.JobID) *JobState {
	state := jt.jobStates[id]
	if state == nil {
		state = &JobState{jobFailures: jobFailures{FailedMachines: map[protocol.MachineID]bool{}}}
		jt.jobStates[id] = state
	}
	return state
}

// ForgetFinishedJobs deletes the states of finished jobs.
func (jt *JobTable) ForgetFinishedJobs() {
	for id := range jt.jobStates {
		if jt.canForget(id) {
			delete(jt.jobStates, id)
		}
	}
}

// canForget reports whether a job has no record, is done, or is cancelled with no task left on a
// machine.
func (jt *JobTable) canForget(id protocol.JobID) bool {
	entry := jt.Replica.Jobs[id]
	if entry == nil || entry.Record.State == protocol.JobDone {
		return true
	}
	return entry.Record.State.IsTerminal() && len(jt.Replica.MachinesWithJob(id)) == 0
}

// EstimatedRuntime returns the mean run time of the job's tasks if enough of them were measured, and
// the estimate in the job's description otherwise.
func (jt *JobTable) EstimatedRuntime(id protocol.JobID, spec *protocol.Job) time.Duration {
	if state := jt.jobStates[id]; state != nil && state.hasEnoughSamples() {
		return state.meanRuntime()
	}
	return protocol.Seconds(spec.EstimatedRunSeconds)
}

// recordTaskRuntime records the run time of a task that has completed on a machine, if this controller
// saw the task start there.
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
	// Run times on slow machines are left out of the job's mean.
	if !state.Slowdown.IsSlow() {
		jobState.recordRuntime(runtime)
	}
}

// HighestAttempt returns the highest attempt with which tasks of the job are assigned, or 0 if no task
// is assigned. It reads the records as the batch changes them, or as they are if the batch is nil.
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

// trackIncompleteGangs records since when gangs have been only partly assigned.
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

// isGangFullyAssigned reports whether every task of the gang is completed, or assigned with the attempt
// to a machine that is not terminating. No task of the gang may start before this is the case.
func (jt *JobTable) isGangFullyAssigned(id protocol.JobID, record *storage.JobRecord, attempt protocol.Attempt) bool {
	coveredTasks := jt.Replica.CompletedTasks(id)
	for machineID := range jt.Replica.MachinesWithJob(id) {
		machine := jt.Replica.Machines[machineID]
		if machine.Record.Terminating {
			continue
		}
		for assignment := range machine.Record.AssignmentsOf(id) {
			if assignment.Attempt == attempt {
				coveredTasks = coveredTasks.Union(assignment.Tasks)
			}
		}
	}
	return coveredTasks.Len() == record.Spec.TaskCount
}

// isGangBroken reports whether an attempt of a gang has been incomplete for longer than its assignment
// takes to be written.
func (jt *JobTable) isGangBroken(id protocol.JobID, attempt protocol.Attempt) bool {
	return jt.JobState(id).isIncompleteTooLong(attempt, jt.Now.Monotonic)
}

// spansSeveralTasks reports whether a job is a gang of more than one task, whose tasks depend on each
// other.
func spansSeveralTasks(spec *protocol.Job) bool { return spec.IsGang() && spec.TaskCount > 1 }
