package coordination

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/scheduling"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// A replica that exits soon after its placement, on a machine of any owner, is held back ever
// longer, up to a bound; one that has run for a while restarts at once, and so does one whose
// machine has begun a new agent epoch.
func TestReplicaRestartBackoff(t *testing.T) {
	c, advance := newReadyCore(t)
	job := storage.JobRecord{Spec: &protocol.Job{ID: "j-1", Kind: protocol.KindService, TaskCount: 1}}
	putRecord(t, c, storage.JobKey("j-1"), storage.MustMarshal(job), 40)
	machine := storage.MachineRecord{AgentEpoch: 1, MachineType: "small", Zone: "a"}
	modRevision := protocol.ModRevision(50)
	put := func(attempt protocol.Attempt) {
		record := machine
		if record.Assignments = nil; attempt > 0 {
			record.Assign(protocol.Task{Job: "j-1"}, attempt)
		}
		modRevision++
		lines := []string{record.EncodeLine("m-1")}
		putRecord(t, c, storage.ShardKey("p"), storage.EncodePlainShard("stall-1#1", 3, lines, nil), modRevision)
	}
	backoff := func() time.Duration { return c.agents.Jobs.JobState("j-1").PlacementNotBefore.Sub(c.ctx.Now.Monotonic) }
	before := time.Duration(0)
	for attempt := range protocol.Attempt(12) {
		put(attempt + 1)
		advance(time.Second, step.Tick{})
		put(0)
		got := backoff()
		isBounded := got > 0 && got <= scheduling.MaxRestartBackoff
		if got < before || !isBounded || attempt == 11 && got != scheduling.MaxRestartBackoff {
			t.Errorf("exit %d: %v after %v", attempt, got, before)
		}
		before = backoff()
	}
	for _, ending := range []struct {
		name string
		exit func()
	}{
		{name: "it has run for a while", exit: func() {
			advance(scheduling.EarlyExitWindow+time.Second, step.Tick{})
			put(0)
		}},
		{name: "a new agent epoch", exit: func() {
			machine.AgentEpoch++
			put(0)
		}},
	} {
		t.Run(ending.name, func(t *testing.T) {
			put(99)
			ending.exit()
			if got := backoff(); got > 0 {
				t.Errorf("held back for %v", got)
			}
		})
	}
}
