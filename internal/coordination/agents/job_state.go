package agents

import (
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// JobState is the in-memory state of a job that is not part of its record.
type JobState struct {
	attemptBlock
	runtimeStatistics
	gangCompleteness
	jobFailures

	TaskPlacements int // number of task placements so far; a task that was placed twice counts twice
}

// attemptBlock is the range of attempt numbers that the job's owner has reserved in the job's record,
// so that it can assign them to tasks without another write.
type attemptBlock struct {
	NextAttempt   protocol.Attempt    // next attempt to use
	AttemptsEnd   protocol.Attempt    // first attempt after the reserved range
	AttemptsOwner storage.Incarnation // incarnation that reserved the range
}

// runtimeStatistics holds the run times of the job's tasks that were observed from start to end.
type runtimeStatistics struct {
	measuredTasks   int
	measuredRuntime time.Duration // sum over the measured tasks
}

// hasEnoughSamples reports whether enough tasks were measured for the mean to be used.
func (s *runtimeStatistics) hasEnoughSamples() bool { return s.measuredTasks >= minRuntimeSamples }

// meanRuntime returns the mean run time. At least one task must have been measured.
func (s *runtimeStatistics) meanRuntime() time.Duration {
	return s.measuredRuntime / time.Duration(s.measuredTasks)
}

// ratioToMean returns a run time as a multiple of the mean. A mean below one second counts as one
// second. At least one task must have been measured.
func (s *runtimeStatistics) ratioToMean(runtime time.Duration) float64 {
	return runtime.Seconds() / max(s.measuredRuntime.Seconds()/float64(s.measuredTasks), 1)
}

// recordRuntime adds the run time of one task.
func (s *runtimeStatistics) recordRuntime(runtime time.Duration) {
	s.measuredTasks++
	s.measuredRuntime += runtime
}

// gangCompleteness records whether all tasks of a gang are assigned with one attempt.
type gangCompleteness struct {
	GangIncompleteAt      protocol.Instant // since when the highest attempt is incomplete, zero if it is complete
	checkedAttempt        protocol.Attempt // the highest attempt at the last check
	GangAttemptInProgress protocol.Attempt // the attempt whose assignment takes several transactions
}

// gangIncompleteTimeout is how long an attempt of a gang may be incomplete. An attempt that is still
// being written is complete sooner.
const gangIncompleteTimeout = 3 * time.Second

// recordCompleteness records whether attempt, the highest one, is complete now.
func (g *gangCompleteness) recordCompleteness(attempt protocol.Attempt, isComplete bool, now protocol.Instant) {
	if isComplete {
		g.GangIncompleteAt = 0
	} else if g.GangIncompleteAt == 0 || g.checkedAttempt != attempt {
		g.GangIncompleteAt = now
	}
	g.checkedAttempt = attempt
}

// isIncompleteTooLong reports whether an attempt has been incomplete for longer than
// gangIncompleteTimeout.
func (g *gangCompleteness) isIncompleteTooLong(attempt protocol.Attempt, now protocol.Instant) bool {
	return g.GangIncompleteAt != 0 && g.checkedAttempt == attempt && now.Sub(g.GangIncompleteAt) > gangIncompleteTimeout
}

// jobFailures holds the failures that delay further placements of a job's tasks.
type jobFailures struct {
	FailedMachines        map[protocol.MachineID]bool // machines where a task of the job ended with an error
	ConsecutiveEarlyExits int                         // service replicas in a row that ended soon after their start
	PlacementNotBefore    protocol.Instant            // earliest time of the next placement
}

// isGracefullyStopped reports whether the job's record says that an attempt of a gang must stop
// gracefully.
func isGracefullyStopped(record *storage.JobRecord, attempt protocol.Attempt) bool {
	return record.GracefulStopAttempt > 0 && record.GracefulStopAttempt >= attempt
}
