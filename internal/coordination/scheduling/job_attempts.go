package scheduling

import (
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// minAttemptsLeft is the number of unused attempt numbers at which the next block is reserved, so that
	// placements do not wait for the block.
	minAttemptsLeft = 8
	// undelayedPlacementsPerTask is how often each task of a job may be placed, on average, before further
	// placements are delayed. The tasks of a job may fail on every machine until its user cancels the job.
	undelayedPlacementsPerTask = 4
	// placementBackoffStep is the additional delay of each further round of placements.
	placementBackoffStep = 5 * time.Second
	// maxPlacementBackoff is the maximum delay of a round of placements.
	maxPlacementBackoff = 30 * time.Second
	// gangWriteTimeout is how long an attempt of a gang may be incomplete and still count as being written.
	gangWriteTimeout = 2 * time.Second
	// maxRestartHold is how long machines are kept free for the restart of a gang whose attempt has lost a task.
	maxRestartHold = 45 * time.Second
	// EarlyExitWindow is the time after its placement in which the end of a replica counts as a failure.
	EarlyExitWindow = 20 * time.Second
	// minRestartBackoff is the delay before the next replica after the first early exit. Each further early
	// exit doubles the delay.
	minRestartBackoff = time.Second
	// MaxRestartBackoff is the maximum delay before the next replica of a job that fails repeatedly.
	MaxRestartBackoff = 30 * time.Second
	// maxBackoffDoublings keeps the shift within the range of time.Duration.
	maxBackoffDoublings = 8
)

// jobAttempts accesses the fields of a job's state in agents.JobTable that scheduling reads and writes:
//
//   - NextAttempt, AttemptsEnd, AttemptsOwner: the block of attempt numbers that this incarnation has
//     reserved in the job's record, and the next unused number;
//   - TaskPlacements, PlacementNotBefore: the number of placements of tasks, and the earliest time of
//     the next placement;
//   - ConsecutiveEarlyExits, FailedMachines: the consecutive failures of service replicas, and the
//     machines where tasks failed;
//   - GangAttemptInProgress: the attempt of a gang whose placement takes several transactions.
//
// It only reads GangIncompleteAt.
type jobAttempts struct {
	jobs *agents.JobTable
	id   protocol.JobID
}

func attemptsOf(jobs *agents.JobTable, id protocol.JobID) jobAttempts {
	return jobAttempts{jobs: jobs, id: id}
}

// loadAttemptBlock loads the last block of attempt numbers that the job's record reserves for owner,
// unless that block is loaded already.
func (a jobAttempts) loadAttemptBlock(owner storage.Incarnation, record *storage.JobRecord) {
	state := a.jobs.JobState(a.id)
	if state.AttemptsOwner == owner && record.NextAttempt <= state.AttemptsEnd {
		return
	}
	state.AttemptsOwner = owner
	state.NextAttempt = record.NextAttempt - step.AttemptBlockSize + 1
	state.AttemptsEnd = record.NextAttempt
}

// hasSpareAttempts reports whether enough attempt numbers are left to go on without a new block.
func (a jobAttempts) hasSpareAttempts() bool {
	state := a.jobs.JobState(a.id)
	return state.AttemptsEnd-state.NextAttempt > minAttemptsLeft
}

// hasUnusedAttempt reports whether owner has an unused attempt number.
func (a jobAttempts) hasUnusedAttempt(owner storage.Incarnation) bool {
	state := a.jobs.JobState(a.id)
	return state.AttemptsOwner == owner && state.NextAttempt < state.AttemptsEnd
}

// nextAttempt returns the attempt number of the next placement.
func (a jobAttempts) nextAttempt() protocol.Attempt { return a.jobs.JobState(a.id).NextAttempt }

// isBackingOff reports whether placements of the job are delayed.
func (a jobAttempts) isBackingOff(now protocol.Instant) bool {
	return now < a.jobs.JobState(a.id).PlacementNotBefore
}

// recordPlacement counts placed tasks. It delays a job whose tasks have to be placed repeatedly, longer
// with each round. Service replicas have a separate backoff.
func (a jobAttempts) recordPlacement(spec *protocol.Job, tasks int, attempt protocol.Attempt, now protocol.Instant) {
	state := a.jobs.JobState(a.id)
	state.NextAttempt = max(state.NextAttempt, attempt+1)
	state.TaskPlacements += tasks
	if spec.IsService() || state.TaskPlacements < undelayedPlacementsPerTask*spec.TaskCount {
		return
	}
	excessRounds := state.TaskPlacements/spec.TaskCount - undelayedPlacementsPerTask + 1
	backoff := time.Duration(excessRounds) * placementBackoffStep
	state.PlacementNotBefore = now.Add(min(backoff, maxPlacementBackoff))
}

// recordEarlyExit records that a replica failed soon after its start, and returns the delay before the
// next replica.
func (a jobAttempts) recordEarlyExit(now protocol.Instant) (backoff time.Duration) {
	state := a.jobs.JobState(a.id)
	backoff = min(minRestartBackoff<<min(state.ConsecutiveEarlyExits, maxBackoffDoublings), MaxRestartBackoff)
	state.ConsecutiveEarlyExits++
	state.PlacementNotBefore = now.Add(backoff)
	return backoff
}

// resetFailures ends the backoff once a replica has run long enough to count as healthy.
func (a jobAttempts) resetFailures() {
	state := a.jobs.JobState(a.id)
	state.ConsecutiveEarlyExits, state.PlacementNotBefore = 0, 0
	clear(state.FailedMachines)
}

// beginGangWrite records that an attempt of a gang is being written.
func (a jobAttempts) beginGangWrite(attempt protocol.Attempt) {
	a.jobs.JobState(a.id).GangAttemptInProgress = attempt
}

// finishGangWrite records that all tasks of the gang are placed.
func (a jobAttempts) finishGangWrite() { a.jobs.JobState(a.id).GangAttemptInProgress = 0 }

// incompleteFor returns the time for which the highest attempt of a gang has been incomplete.
func (a jobAttempts) incompleteFor(now protocol.Instant) time.Duration {
	incompleteAt := a.jobs.JobState(a.id).GangIncompleteAt
	if incompleteAt == 0 {
		return 0
	}
	return now.Sub(incompleteAt)
}

// isWritingGang reports whether an attempt of a gang is still being written. An attempt that is
// incomplete for longer than gangWriteTimeout has lost a task.
func (a jobAttempts) isWritingGang(attempt protocol.Attempt, now protocol.Instant) bool {
	state := a.jobs.JobState(a.id)
	if attempt == 0 || attempt != state.GangAttemptInProgress {
		return false
	}
	return state.GangIncompleteAt == 0 || now.Sub(state.GangIncompleteAt) <= gangWriteTimeout
}
