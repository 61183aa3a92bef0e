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
// incomplete gangs.
type JobTable struct {
	*step.Context

	jobStates map[protocol.JobID]*jobState
}

func NewJobTable(ctx *step.Context) *JobTable {
	return &JobTable{
		Context:   ctx,
		jobStates: map[protocol.JobID]*jobState{},
	}
}

// EstimatedRuntime is how long a task of the job runs: as seen here, else as its owner reckons.
func (jt *JobTable) EstimatedRuntime(id protocol.JobID, d *protocol.Job) time.Duration {
	if state := jt.jobStates[id]; state != nil && state.MeasuredTasks >= minRuntimeSamples {
		return state.MeasuredRuntime / time.Duration(state.MeasuredTasks)
	}
	return protocol.Seconds(d.EstimatedRunSeconds)
}

// isGangFullyAssigned tells whether every task of the gang is assigned with the attempt
// or done: only then may any of them start.
func (jt *JobTable) isGangFullyAssigned(id protocol.JobID, record *storage.JobRecord, attempt protocol.Attempt) bool {
	covered := jt.Replica.CompletedTasks(id)
	for machineID := range jt.Replica.MachinesWithJob(id) {
		m := jt.Replica.Machines[machineID]
		if m.Record.Terminating {
			continue
		}
		for a := range m.Record.AssignmentsOf(id) {
			if a.Attempt == attempt {
				covered = covered.Union(a.Tasks)
			}
		}
	}
	return covered.Len() == record.Spec.TaskCount
}

// RecordTaskRuntime takes in a task that was done.
func (jt *JobTable) RecordTaskRuntime(m *MachineState, task protocol.Task) {
	startedAt := m.runningSince[task]
	if startedAt <= 0 {
		return
	}
	state, runtime := jt.JobState(task.Job), jt.Since(startedAt)
	if state.MeasuredTasks >= minRuntimeSamples {
		ratio := runtime.Seconds() / max(state.MeasuredRuntime.Seconds()/float64(state.MeasuredTasks), 1)
		wasSlow := m.Slowdown.IsSlow()
		if m.Slowdown.samples++; m.Slowdown.samples == 1 {
			m.Slowdown.Ratio = ratio
		} else {
			m.Slowdown.Ratio += (ratio - m.Slowdown.Ratio) / minRuntimeSamples
		}
		if isSlow := m.Slowdown.IsSlow(); isSlow != wasSlow {
			jt.Log(slog.LevelInfo, "machine slow state changed", "machine", string(m.ID), "enabled", isSlow, "runtime_ratio", m.Slowdown.Ratio)
		}
	}
	// Slow machines do not set the measure.
	if !m.Slowdown.IsSlow() {
		state.MeasuredTasks++
		state.MeasuredRuntime += runtime
	}
}

func (jt *JobTable) JobState(id protocol.JobID) *jobState {
	j := jt.jobStates[id]
	if j == nil {
		j = &jobState{FailedMachines: map[protocol.MachineID]bool{}}
		jt.jobStates[id] = j
	}
	return j
}

// ForgetJobs drops what is remembered of jobs that are over.
func (jt *JobTable) ForgetJobs() {
	for id := range jt.jobStates {
		if e := jt.Replica.Jobs[id]; e == nil || e.Record.State == protocol.JobDone || e.Record.State.IsTerminal() && len(jt.Replica.MachinesWithJob(id)) == 0 {
			delete(jt.jobStates, id)
		}
	}
}

// HighestAttempt is the highest attempt with which tasks of the job are assigned.
func (jt *JobTable) HighestAttempt(id protocol.JobID, b *commit.Batch) (attempt protocol.Attempt) {
	for machineID := range jt.Replica.MachinesWithJob(id) {
		record := &jt.Replica.Machines[machineID].Record
		if b != nil {
			record = b.MachineRecord(machineID)
		}
		for a := range record.AssignmentsOf(id) {
			attempt = max(attempt, a.Attempt)
		}
	}
	return attempt
}

func (jt *JobTable) trackIncompleteGangs() {
	for id, e := range jt.Replica.UnfinishedJobs {
		if !e.Record.Spec.IsGang() || e.Record.Spec.TaskCount < 2 {
			continue
		}
		attempt := jt.HighestAttempt(id, nil)
		state := jt.JobState(id)
		if attempt == 0 || jt.isGangFullyAssigned(id, &e.Record, attempt) {
			state.GangIncompleteAt = 0
		} else if state.GangIncompleteAt == 0 || state.seenAttempt != attempt {
			state.GangIncompleteAt = jt.Now.Monotonic
		}
		state.seenAttempt = attempt
	}
}

// isGangBroken tells whether an attempt of a gang has been incomplete too long
// to be one that is still being written.
func (jt *JobTable) isGangBroken(id protocol.JobID, attempt protocol.Attempt) bool {
	state := jt.JobState(id)
	return state.GangIncompleteAt != 0 && state.seenAttempt == attempt && jt.Since(state.GangIncompleteAt) > 3*time.Second
}
