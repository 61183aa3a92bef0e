package coordination

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/scheduling"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// A service replica that exits soon after its placement, on a machine of any owner, restarts after a
// backoff that grows with each exit up to MaxRestartBackoff. A service replica that has run longer than
// EarlyExitWindow, or whose machine has begun a new agent epoch, restarts at once.
func TestReplicaRestartBackoff(t *testing.T) {
	core, advance := newReadyCore(t)
	job := storage.JobRecord{Spec: &protocol.Job{ID: "j-1", Kind: protocol.KindService, TaskCount: 1}}
	putRecord(t, core, storage.JobKey("j-1"), storage.MustMarshal(job), 40)
	machine := storage.MachineRecord{AgentEpoch: 1, MachineType: "small", Zone: "a"}
	modRevision := protocol.ModRevision(50)
	putAttempt := func(attempt protocol.Attempt) {
		record := machine
		if record.Assignments = nil; attempt > 0 {
			record.Assign(protocol.Task{Job: "j-1"}, attempt)
		}
		modRevision++
		lines := []string{record.EncodeLine("m-1")}
		putRecord(t, core, storage.ShardKey("p"), storage.EncodePlainShard("stall-1#1", 3, lines, nil), modRevision)
	}
	backoff := func() time.Duration {
		return core.agents.Jobs.JobState("j-1").PlacementNotBefore.Sub(core.ctx.Now.Monotonic)
	}
	previous := time.Duration(0)
	for attempt := range protocol.Attempt(12) {
		putAttempt(attempt + 1)
		advance(time.Second, step.Tick{})
		putAttempt(0)
		got := backoff()
		isBounded := got > 0 && got <= scheduling.MaxRestartBackoff
		if got < previous || !isBounded || attempt == 11 && got != scheduling.MaxRestartBackoff {
			t.Errorf("backoff after early exit %d is %v, previously %v, want no less, above 0 and at most MaxRestartBackoff, which it reaches at the last exit",
				attempt, got, previous)
		}
		previous = backoff()
	}
	for _, ending := range []struct {
		name string
		exit func()
	}{
		{name: "exit after EarlyExitWindow", exit: func() {
			advance(scheduling.EarlyExitWindow+time.Second, step.Tick{})
			putAttempt(0)
		}},
		{name: "exit by a new agent epoch", exit: func() {
			machine.AgentEpoch++
			putAttempt(0)
		}},
	} {
		t.Run(ending.name, func(t *testing.T) {
			putAttempt(99)
			ending.exit()
			if got := backoff(); got > 0 {
				t.Errorf("restart backoff is %v, want none", got)
			}
		})
	}
}
