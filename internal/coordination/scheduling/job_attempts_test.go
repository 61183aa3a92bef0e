package scheduling

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// A job whose tasks have to be placed again and again is placed ever less often.
func TestPlacementBackoff(t *testing.T) {
	for _, test := range []struct {
		name       string
		kind       protocol.Kind
		placements int // for each of the job's tasks
		want       time.Duration
	}{
		{"a few rounds are free", protocol.KindArray, 3, 0},
		{"the fourth round is delayed", protocol.KindArray, 4, 5 * time.Second},
		{"the next one more", protocol.KindArray, 5, 10 * time.Second},
		{"up to a bound", protocol.KindArray, 100, 30 * time.Second},
		{"replicas have a backoff of their own", protocol.KindService, 100, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixtureWithTwoMachineTypes(t)
			spec := newArrayJob(4, 20)
			spec.Kind = test.kind
			attempts := attemptsOf(fixture.agents.Jobs, spec.ID)
			attempts.recordPlacement(spec, test.placements*spec.TaskCount, 1, fixture.Now.Monotonic)
			end := fixture.Now.Monotonic.Add(test.want)
			if attempts.isBackingOff(end) {
				t.Errorf("delayed for more than %v", test.want)
			}
			if test.want > 0 && !attempts.isBackingOff(end-1) {
				t.Errorf("delayed for less than %v", test.want)
			}
		})
	}
}

// Attempt numbers come from the block that the job's record reserves for this incarnation, and no
// number is used twice.
func TestAttemptBlock(t *testing.T) {
	fixture := newFixtureWithTwoMachineTypes(t)
	attempts := attemptsOf(fixture.agents.Jobs, "j-1")
	record := &storage.JobRecord{NextAttempt: 2 * step.AttemptBlockSize}
	if attempts.hasUnusedAttempt("own") {
		t.Error("an attempt can be used before a block is loaded")
	}
	attempts.loadAttemptBlock("own", record)
	if first := attempts.nextAttempt(); first != step.AttemptBlockSize+1 {
		t.Errorf("the block begins with %d", first)
	}
	if !attempts.hasUnusedAttempt("own") || attempts.hasUnusedAttempt("another") {
		t.Error("the block is not its owner's alone")
	}
	attempts.recordPlacement(newArrayJob(4, 20), 1, attempts.nextAttempt(), fixture.Now.Monotonic)
	attempts.loadAttemptBlock("own", record)
	if next := attempts.nextAttempt(); next != step.AttemptBlockSize+2 {
		t.Errorf("the next attempt is %d", next)
	}
	attempts.recordPlacement(newArrayJob(4, 20), 1, 2*step.AttemptBlockSize-1, fixture.Now.Monotonic)
	if attempts.hasSpareAttempts() || attempts.hasUnusedAttempt("own") {
		t.Error("the used-up block has attempts left")
	}
}
