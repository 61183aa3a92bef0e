package coordination

import (
	"maps"
	"slices"
	"testing"
	"time"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/provisioning"
	"tillerarch/internal/coordination/scheduling"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Small machines are cheap by the core and slow to boot, large ones the other way round.
var (
	smallMachineType = protocol.MachineType{Name: "small", Cores: 4, MemoryGB: 8, OnDemandPrice: 0.16, SpotPrice: 0.06, BootSeconds: 40, ImagePullGBPerSecond: 0.25, Zones: []protocol.Zone{"a", "b"}}
	largeMachineType = protocol.MachineType{Name: "large", Cores: 16, MemoryGB: 32, OnDemandPrice: 0.64, SpotPrice: 0.27, BootSeconds: 15, ImagePullGBPerSecond: 0.8, Zones: []protocol.Zone{"a", "b"}}
)

func newCoreWithTwoMachineTypes(t *testing.T) *Core {
	t.Helper()
	c, advance := newReadyCore(t)
	advance(0, step.ListMachineTypesResult{MachineTypes: []protocol.MachineType{smallMachineType, largeMachineType}})
	return c
}

func newArrayJob(cores, estimate float64) *protocol.Job {
	return &protocol.Job{ID: "j-1", Class: "lane", Team: "core", Kind: protocol.KindArray, TaskCount: 10, Cores: cores, MemoryGB: cores, AllowSpot: true,
		Image: "b", EstimatedRunSeconds: estimate}
}

// newPendingJob is a queued job whose tasks had this long to begin when it came, just now.
func (c *Core) newPendingJob(d *protocol.Job, slack time.Duration) *scheduling.PendingJob {
	latestStart := c.ctx.Now.Wall + protocol.Millis(slack.Milliseconds())
	q := &scheduling.PendingJob{ID: d.ID, Record: &storage.JobRecord{Spec: d, Owner: c.commit.Lease.Incarnation(), SubmittedAt: c.ctx.Now.Wall}, LatestStart: latestStart, InitialLatestStart: latestStart}
	q.IsUrgent = c.scheduling.Queue.NeedsWarmCapacity(q)
	return q
}

func newCandidate(f *protocol.MachineType, id protocol.MachineID, spot bool) *scheduling.Candidate {
	return &scheduling.Candidate{ID: id, Record: &storage.MachineRecord{MachineType: f.Name, Zone: "a", Spot: spot}, MachineType: f, Resources: catalog.Resources{Cores: f.Cores, MemoryGB: f.MemoryGB}}
}

// Nothing is rented for tasks that can follow those which run, as far as the job's
// slack and the run times tell; a machine is counted once.
func TestBackfillReservations(t *testing.T) {
	for _, c := range []struct {
		name   string
		runs   float64       // what runs there is reckoned to run so long
		ran    time.Duration // and has for this long
		slack  time.Duration
		aged   bool
		closed bool
		want   int
	}{
		{"it ends in time", 20, 15 * time.Second, 60 * time.Second, false, false, 2},
		{"it ends when the slack is used up", 60, 0, 60 * time.Second, false, false, 0},
		{"half of the slack is kept in reserve", 40, 0, 60 * time.Second, false, false, 0},
		{"a job that has waited long waits for a boot's time at most", 20, 5 * time.Second, 60 * time.Second, true, false, 0},
		{"what runs longer than reckoned is given more time", 200, 300 * time.Second, 60 * time.Second, false, false, 0},
		{"a machine that takes no new task is no hope", 20, 15 * time.Second, 60 * time.Second, false, true, 0},
	} {
		core := newCoreWithTwoMachineTypes(t)
		q := core.newPendingJob(newArrayJob(4, 20), c.slack)
		q.IsStarved = c.aged
		var candidates []*scheduling.Candidate
		for _, id := range []protocol.MachineID{"m-1", "m-2"} {
			r := newCandidate(&smallMachineType, id, false)
			r.IsUnschedulable = c.closed
			running := newArrayJob(4, c.runs)
			r.Allocate(running, 1)
			r.Allocations = []scheduling.Allocation{{Job: "j-2", Attempt: 1, Count: 1, Desc: running}}
			now := core.ctx.Now.Monotonic
			core.ctx.Now.Monotonic = now.Add(-c.ran)
			core.agents.Table.RecordAssignments(id, nil, &storage.MachineRecord{Assignments: []storage.Assignment{{Job: "j-2", Attempt: 1}}})
			core.ctx.Now.Monotonic = now
			candidates = append(candidates, r)
		}
		if got := core.scheduling.Backfill.ReserveBackfill(q, candidates, 10); got != c.want {
			t.Errorf("%s: %d follow; wanted %d", c.name, got, c.want)
		}
		if got := core.scheduling.Backfill.ReserveBackfill(q, candidates, 10); got != 0 {
			t.Errorf("%s: %d more follow on the same machines", c.name, got)
		}
	}
}

// Idle machines are kept for work that can't wait for a boot, those that cost least
// first, as many as it had at its peak; the others go back early. Where urgent work is
// most of all, as at deployments with few machines, none does.
func TestWarmPool(t *testing.T) {
	for _, c := range []struct {
		name   string
		urgent int // tasks at the peak
		now    int // and later
		slack  int // seconds that its tasks may wait
		other  int // tasks that can wait
		want   []protocol.MachineID
	}{
		{"as many as at the peak", 2, 0, 8, 100, []protocol.MachineID{"m-3", "m-4"}},
		{"less what is there now", 2, 1, 8, 100, []protocol.MachineID{"m-3"}},
		{"none for work that can wait", 2, 0, 600, 100, nil},
		{"all where most is urgent", 2, 0, 8, 1, []protocol.MachineID{"m-1", "m-2", "m-3", "m-4"}},
	} {
		core := newCoreWithTwoMachineTypes(t)
		newWork := func(n int, class string, slack time.Duration) *scheduling.PendingJob {
			d := newArrayJob(4, 20)
			d.TaskCount, d.Class = n, class
			return core.newPendingJob(d, slack)
		}
		candidates := []*scheduling.Candidate{newCandidate(&smallMachineType, "m-1", false), newCandidate(&smallMachineType, "m-2", false),
			newCandidate(&smallMachineType, "m-3", true), newCandidate(&smallMachineType, "m-4", true)}
		slack := time.Duration(c.slack) * time.Second
		other := newWork(c.other, "other", 10*time.Minute)
		core.scheduling.Scheduler.WarmPool.Observe(core.ctx.Now.Monotonic, []*scheduling.PendingJob{newWork(c.urgent, "urgent", slack), other})
		core.scheduling.Scheduler.WarmPool.Observe(core.ctx.Now.Monotonic, []*scheduling.PendingJob{newWork(c.now, "urgent", slack), other})
		core.scheduling.Scheduler.WarmPool.SelectRetained(candidates, core.scheduling.Capacity.IsMachineAllowed)
		var got []protocol.MachineID
		for _, r := range candidates {
			if core.scheduling.Scheduler.WarmPool.ShouldRetain(r.ID) {
				got = append(got, r.ID)
			}
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v are kept; wanted %v", c.name, got, c.want)
		}
	}
}

// While tasks wait that fit one type only, jobs that can have a cheaper type in time
// leave it to them. Small tasks of high rank used to fill the machines that had been
// rented for large ones, which then were rented the dearest.
func TestContendedMachineTypes(t *testing.T) {
	for _, c := range []struct {
		name    string
		waiting float64 // cores of the tasks that found no machine; 0: there are none
		ago     time.Duration
		slack   time.Duration
		refused bool // the cloud has no small ones
		want    []protocol.MachineTypeName
	}{
		{"nobody waits", 0, 0, 90 * time.Second, false, nil},
		{"large tasks wait", 16, 0, 90 * time.Second, false, []protocol.MachineTypeName{"large"}},
		{"they did some time ago", 16, 5 * time.Second, 90 * time.Second, false, nil},
		{"a small machine would come too late", 16, 0, 30 * time.Second, false, nil},
		{"there are no small machines", 16, 0, 90 * time.Second, true, nil},
		{"small tasks wait", 4, 0, 90 * time.Second, false, nil},
	} {
		core := newCoreWithTwoMachineTypes(t)
		if c.waiting > 0 {
			core.scheduling.Contention.RecordContention(core.newPendingJob(newArrayJob(c.waiting, 20), time.Minute))
		}
		core.ctx.Now.Monotonic = core.ctx.Now.Monotonic.Add(c.ago)
		if c.refused {
			for _, z := range smallMachineType.Zones {
				core.provisioning.Provisioner.MarkPoolExhausted(provisioning.PoolKey{MachineType: "small", Zone: z, Spot: true})
				core.provisioning.Provisioner.MarkPoolExhausted(provisioning.PoolKey{MachineType: "small", Zone: z, Spot: false})
			}
		}
		core.scheduling.Plan.ContendedTypes = core.scheduling.Contention.ContendedTypes()
		got := slices.Sorted(maps.Keys(core.scheduling.Contention.TypesToAvoid(core.newPendingJob(newArrayJob(4, 20), c.slack))))
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: leaves %v; wanted %v", c.name, got, c.want)
		}
	}
}

// A placement for a task that has to begin before its machine reports by itself makes
// the machine's worker report at once; nothing else does.
func TestExpediteUrgentTasks(t *testing.T) {
	core := newCoreWithTwoMachineTypes(t)
	core.ctx.Config.HeartbeatInterval = 6 * time.Second
	for _, c := range []struct {
		slack time.Duration
		late  bool
		want  bool
	}{{8 * time.Second, false, true}, {60 * time.Second, false, false}, {time.Second, true, false}} {
		q := core.newPendingJob(newArrayJob(4, 20), c.slack)
		q.IsLate = c.late
		if got := core.scheduling.Queue.ShouldExpedite(q); got != c.want {
			t.Errorf("slack %v, late %v: %v", c.slack, c.late, got)
		}
	}
	r := newCandidate(&smallMachineType, "m-1", false)
	r.Record.Owner = core.commit.Lease.Incarnation()
	m := core.agents.Table.MachineState("m-1")
	for deferred, want := range map[step.RequestID]bool{0: true, 5: false} {
		m.DeferredRequest = deferred
		if got := core.scheduling.Capacity.AwaitsHeartbeat(r); got != want {
			t.Errorf("report held as %d: %v", deferred, got)
		}
	}
}
