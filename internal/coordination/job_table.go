package coordination

import (
	"log/slog"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
	"time"
)

// jobTable holds what this process remembers of jobs beyond their records: attempts, run times,
// incomplete gangs.
type jobTable struct {
	*stepContext

	jobStates map[protocol.JobID]*jobState
}

func newJobTable(ctx *stepContext) *jobTable {
	return &jobTable{
		stepContext: ctx,
		jobStates:   map[protocol.JobID]*jobState{},
	}
}

// estimatedRuntime is how long a task of the job runs: as seen here, else as its owner reckons.
func (jt *jobTable) estimatedRuntime(id protocol.JobID, d *protocol.Job) time.Duration {
	if state := jt.jobStates[id]; state != nil && state.measuredTasks >= minRuntimeSamples {
		return state.measuredRuntime / time.Duration(state.measuredTasks)
	}
	return protocol.Seconds(d.EstimatedRunSeconds)
}

// isGangFullyAssigned tells whether every task of the gang is assigned with the attempt
// or done: only then may any of them start.
func (jt *jobTable) isGangFullyAssigned(id protocol.JobID, record *storage.JobRecord, attempt protocol.Attempt) bool {
	covered := jt.replica.CompletedTasks(id)
	for machineID := range jt.replica.MachinesWithJob(id) {
		m := jt.replica.Machines[machineID]
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

// recordTaskRuntime takes in a task that was done.
func (jt *jobTable) recordTaskRuntime(m *machineState, task protocol.Task) {
	startedAt := m.runningSince[task]
	if startedAt <= 0 {
		return
	}
	state, runtime := jt.jobState(task.Job), jt.since(startedAt)
	if state.measuredTasks >= minRuntimeSamples {
		ratio := runtime.Seconds() / max(state.measuredRuntime.Seconds()/float64(state.measuredTasks), 1)
		wasSlow := m.slowdown.isSlow()
		if m.slowdown.samples++; m.slowdown.samples == 1 {
			m.slowdown.ratio = ratio
		} else {
			m.slowdown.ratio += (ratio - m.slowdown.ratio) / minRuntimeSamples
		}
		if isSlow := m.slowdown.isSlow(); isSlow != wasSlow {
			jt.log(slog.LevelInfo, "machine slow state changed", "machine", string(m.id), "enabled", isSlow, "runtime_ratio", m.slowdown.ratio)
		}
	}
	// Slow machines do not set the measure.
	if !m.slowdown.isSlow() {
		state.measuredTasks++
		state.measuredRuntime += runtime
	}
}

func (jt *jobTable) jobState(id protocol.JobID) *jobState {
	j := jt.jobStates[id]
	if j == nil {
		j = &jobState{failedMachines: map[protocol.MachineID]bool{}}
		jt.jobStates[id] = j
	}
	return j
}

// forgetJobs drops what is remembered of jobs that are over.
func (jt *jobTable) forgetJobs() {
	for id := range jt.jobStates {
		if e := jt.replica.Jobs[id]; e == nil || e.Record.State == protocol.JobDone || e.Record.State.IsTerminal() && len(jt.replica.MachinesWithJob(id)) == 0 {
			delete(jt.jobStates, id)
		}
	}
}

// highestAttempt is the highest attempt with which tasks of the job are assigned.
func (jt *jobTable) highestAttempt(id protocol.JobID, b *batch) (attempt protocol.Attempt) {
	for machineID := range jt.replica.MachinesWithJob(id) {
		record := &jt.replica.Machines[machineID].Record
		if b != nil {
			record = b.machineRecord(machineID)
		}
		for a := range record.AssignmentsOf(id) {
			attempt = max(attempt, a.Attempt)
		}
	}
	return attempt
}

func (jt *jobTable) trackIncompleteGangs() {
	for id, e := range jt.replica.UnfinishedJobs {
		if !e.Record.Spec.IsGang() || e.Record.Spec.TaskCount < 2 {
			continue
		}
		attempt := jt.highestAttempt(id, nil)
		state := jt.jobState(id)
		if attempt == 0 || jt.isGangFullyAssigned(id, &e.Record, attempt) {
			state.gangIncompleteAt = 0
		} else if state.gangIncompleteAt == 0 || state.seenAttempt != attempt {
			state.gangIncompleteAt = jt.now.Monotonic
		}
		state.seenAttempt = attempt
	}
}

// isGangBroken tells whether an attempt of a gang has been incomplete too long
// to be one that is still being written.
func (jt *jobTable) isGangBroken(id protocol.JobID, attempt protocol.Attempt) bool {
	state := jt.jobState(id)
	return state.gangIncompleteAt != 0 && state.seenAttempt == attempt && jt.since(state.gangIncompleteAt) > 3*time.Second
}
