package scheduling

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TestPlacementBackoff checks that a job whose tasks have to be placed repeatedly is delayed longer each time.
func TestPlacementBackoff(t *testing.T) {
	for _, test := range []struct {
		name              string
		kind              protocol.Kind
		placementsPerTask int // placements of each task
		want              time.Duration
	}{
		{"the first rounds are not delayed", protocol.KindArray, 3, 0},
		{"the fourth round is delayed", protocol.KindArray, 4, 5 * time.Second},
		{"the next round is delayed longer", protocol.KindArray, 5, 10 * time.Second},
		{"the delay is bounded", protocol.KindArray, 100, 30 * time.Second},
		{"replicas have a separate backoff", protocol.KindService, 100, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixtureWithTwoMachineTypes(t)
			spec := newArrayJob(4, 20)
			spec.Kind = test.kind
			attempts := attemptsOf(fixture.agents.Jobs, spec.ID)
			attempts.recordPlacement(spec, test.placementsPerTask*spec.TaskCount, 1, fixture.Now.Monotonic)
			end := fixture.Now.Monotonic.Add(test.want)
			if attempts.isBackingOff(end) {
				t.Errorf("job is still backing off after %v, want the backoff to end then", test.want)
			}
			if test.want > 0 && !attempts.isBackingOff(end-1) {
				t.Errorf("job is no longer backing off just before %v, want the backoff to last until then", test.want)
			}
		})
	}
}

// TestAttemptBlock checks that attempt numbers come from the block that the job's record reserves for this
// incarnation, and that no number is used twice.
func TestAttemptBlock(t *testing.T) {
	fixture := newFixtureWithTwoMachineTypes(t)
	attempts := attemptsOf(fixture.agents.Jobs, "j-1")
	record := &storage.JobRecord{NextAttempt: 2 * step.AttemptBlockSize}
	if attempts.hasUnusedAttempt("own") {
		t.Error("an attempt number is available before a block is loaded, want none")
	}
	attempts.loadAttemptBlock("own", record)
	if first := attempts.nextAttempt(); first != step.AttemptBlockSize+1 {
		t.Errorf("first attempt of the block is %d, want the first number after the previous block", first)
	}
	if !attempts.hasUnusedAttempt("own") || attempts.hasUnusedAttempt("another") {
		t.Error("the loaded block is not available to its owner, or is available to another incarnation")
	}
	attempts.recordPlacement(newArrayJob(4, 20), 1, attempts.nextAttempt(), fixture.Now.Monotonic)
	attempts.loadAttemptBlock("own", record)
	if next := attempts.nextAttempt(); next != step.AttemptBlockSize+2 {
		t.Errorf("next attempt after a placement and a reload is %d, want the second number of the block", next)
	}
	attempts.recordPlacement(newArrayJob(4, 20), 1, 2*step.AttemptBlockSize-1, fixture.Now.Monotonic)
	if attempts.hasSpareAttempts() || attempts.hasUnusedAttempt("own") {
		t.Error("the used-up block has attempt numbers left, want none")
	}
}
