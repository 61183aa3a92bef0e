package scheduling

import (
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// minAttemptsLeft is how many attempt numbers of a block may be left before the next block
	// is reserved, so that placing does not wait for it.
	minAttemptsLeft = 8
	// undelayedPlacementsPerTask is how often each task of a job may be placed, on average, before
	// further placements are delayed: such a job may fail everywhere until its user cancels it.
	undelayedPlacementsPerTask = 4
	// placementBackoffStep is by how much each further round of placements is delayed.
	placementBackoffStep = 5 * time.Second
	// maxPlacementBackoff is the longest such delay.
	maxPlacementBackoff = 30 * time.Second
	// gangWriteTimeout is how long an attempt of a gang may be incomplete and still count as
	// being written.
	gangWriteTimeout = 2 * time.Second
	// EarlyExitWindow is the time from its placement within which the end of a replica counts as
	// a failure.
	EarlyExitWindow = 20 * time.Second
	// minRestartBackoff is the delay before the next replica after a first early exit; it
	// doubles with each further one.
	minRestartBackoff = time.Second
	// MaxRestartBackoff is the longest delay before the next replica of a job that fails again
	// and again.
	MaxRestartBackoff = 30 * time.Second
	// maxBackoffDoublings keeps the shift within a time.Duration.
	maxBackoffDoublings = 8
)

// jobAttempts are the fields of a job's state, kept by package agents in JobTable, that
// scheduling reads and writes:
//
//   - NextAttempt, AttemptsEnd, AttemptsOwner: the block of attempt numbers that this
//     incarnation has reserved in the job's record and not yet used;
//   - TaskPlacements, PlacementNotBefore: how many tasks were placed, and the delay of further placements;
//   - ConsecutiveEarlyExits, FailedMachines: failures of replicas in a row;
//   - GangAttemptInProgress: the attempt of a gang whose placement takes several transactions.
//
// GangIncompleteAt is read only.
type jobAttempts struct {
	jobs *agents.JobTable
	id   protocol.JobID
}

func attemptsOf(jobs *agents.JobTable, id protocol.JobID) jobAttempts {
	return jobAttempts{jobs: jobs, id: id}
}

// loadAttemptBlock loads the last block that the job's record reserves for owner, unless its numbers are in
// use already.
func (a jobAttempts) loadAttemptBlock(owner storage.Incarnation, record *storage.JobRecord) {
	state := a.jobs.JobState(a.id)
	if state.AttemptsOwner == owner && record.NextAttempt <= state.AttemptsEnd {
		return
	}
	state.AttemptsOwner = owner
	state.NextAttempt = record.NextAttempt - step.AttemptBlockSize + 1
	state.AttemptsEnd = record.NextAttempt
}

// hasSpareAttempts tells whether enough attempt numbers are left to do without a new block.
func (a jobAttempts) hasSpareAttempts() bool {
	state := a.jobs.JobState(a.id)
	return state.AttemptsEnd-state.NextAttempt > minAttemptsLeft
}

// hasUnusedAttempt tells whether owner has an attempt number left.
func (a jobAttempts) hasUnusedAttempt(owner storage.Incarnation) bool {
	state := a.jobs.JobState(a.id)
	return state.AttemptsOwner == owner && state.NextAttempt < state.AttemptsEnd
}

// nextAttempt is the attempt number of the nextAttempt placement.
func (a jobAttempts) nextAttempt() protocol.Attempt { return a.jobs.JobState(a.id).NextAttempt }

// isBackingOff tells whether placements of the job are delayed.
func (a jobAttempts) isBackingOff(now protocol.Instant) bool {
	return now < a.jobs.JobState(a.id).PlacementNotBefore
}

// recordPlacement counts placed tasks. A job whose tasks have to be placed again and again is delayed
// ever more; replicas have a backoff of their own.
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

// recordEarlyExit records that a replica failed soon after its start, and returns the delay before
// the next one.
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

// isWritingGang tells whether an attempt of a gang is still being written. One that has lost a
// task is incomplete for longer.
func (a jobAttempts) isWritingGang(attempt protocol.Attempt, now protocol.Instant) bool {
	state := a.jobs.JobState(a.id)
	if attempt == 0 || attempt != state.GangAttemptInProgress {
		return false
	}
	return state.GangIncompleteAt == 0 || now.Sub(state.GangIncompleteAt) <= gangWriteTimeout
}
