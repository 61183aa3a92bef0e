package agents

import (
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// JobState is what this process remembers of a job beyond its record.
type JobState struct {
	attemptBlock
	runtimeStatistics
	gangCompleteness
	jobFailures

	TaskPlacements int // tasks placed so far, each time counted
}

// attemptBlock is the attempts that the job's owner has set aside on record, to give them to
// tasks without another write.
type attemptBlock struct {
	NextAttempt   protocol.Attempt
	AttemptsEnd   protocol.Attempt    // first that is no longer set aside
	AttemptsOwner storage.Incarnation // for which they were set aside
}

// runtimeStatistics is how long the job's tasks ran that were seen from start to end.
type runtimeStatistics struct {
	measuredTasks   int
	measuredRuntime time.Duration // of all of them
}

// hasEnoughSamples tells whether the statistics say anything.
func (s *runtimeStatistics) hasEnoughSamples() bool { return s.measuredTasks >= minRuntimeSamples }

// meanRuntime is the mean run time. At least one task must have been measured.
func (s *runtimeStatistics) meanRuntime() time.Duration {
	return s.measuredRuntime / time.Duration(s.measuredTasks)
}

// ratioToMean is a run time as a multiple of the mean, which counts as a second at least.
func (s *runtimeStatistics) ratioToMean(runtime time.Duration) float64 {
	return runtime.Seconds() / max(s.measuredRuntime.Seconds()/float64(s.measuredTasks), 1)
}

func (s *runtimeStatistics) recordRuntime(runtime time.Duration) {
	s.measuredTasks++
	s.measuredRuntime += runtime
}

// gangCompleteness is whether all tasks of a gang are assigned with one attempt.
type gangCompleteness struct {
	GangIncompleteAt      protocol.Instant // since when the highest attempt is incomplete; 0: it is complete
	checkedAttempt        protocol.Attempt // the highest attempt when that was looked at
	GangAttemptInProgress protocol.Attempt // whose assignment takes several transactions
}

// gangIncompleteTimeout is how long an attempt of a gang may be incomplete before it cannot be
// one that is still being written.
const gangIncompleteTimeout = 3 * time.Second

// recordCompleteness takes in whether the highest attempt is complete now.
func (g *gangCompleteness) recordCompleteness(attempt protocol.Attempt, isComplete bool, now protocol.Instant) {
	if isComplete {
		g.GangIncompleteAt = 0
	} else if g.GangIncompleteAt == 0 || g.checkedAttempt != attempt {
		g.GangIncompleteAt = now
	}
	g.checkedAttempt = attempt
}

// isIncompleteTooLong tells whether an attempt has been incomplete for too long.
func (g *gangCompleteness) isIncompleteTooLong(attempt protocol.Attempt, now protocol.Instant) bool {
	return g.GangIncompleteAt != 0 && g.checkedAttempt == attempt && now.Sub(g.GangIncompleteAt) > gangIncompleteTimeout
}

// jobFailures is what keeps a job's tasks from being placed again at once.
type jobFailures struct {
	FailedMachines        map[protocol.MachineID]bool // where its tasks ended with an error
	ConsecutiveEarlyExits int                         // replicas that ended soon after their start, in a row
	PlacementNotBefore    protocol.Instant            // of the next placement
}

// isGracefullyStopped tells whether an attempt of a gang is to stop gracefully, as is on record.
func isGracefullyStopped(record *storage.JobRecord, attempt protocol.Attempt) bool {
	return record.GracefulStopAttempt > 0 && record.GracefulStopAttempt >= attempt
}
