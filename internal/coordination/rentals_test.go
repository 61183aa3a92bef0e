package coordination

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// Small machines are cheap by the core and slow to boot, large ones the other way round.
var (
	smallType = protocol.Flavor{Sku: "small", Cores: 4, MemGB: 8, Rate: 0.16, LowPrice: 0.06, ReadyS: 40, FetchGBPerS: 0.25, Zones: []protocol.Zone{"a", "b"}}
	largeType = protocol.Flavor{Sku: "large", Cores: 16, MemGB: 32, Rate: 0.64, LowPrice: 0.27, ReadyS: 15, FetchGBPerS: 0.8, Zones: []protocol.Zone{"a", "b"}}
)

func twoTypes(t *testing.T) *Core {
	t.Helper()
	c, step := begin(t)
	step(0, FlavorsResult{Flavors: []protocol.Flavor{smallType, largeType}})
	return c
}

func task(cores, reckon float64) *protocol.Job {
	return &protocol.Job{UID: "j-1", Class: "lane", Team: "core", Shape: protocol.Batch, Tasks: 10, Cores: cores, MemGB: cores, Spot: true,
		Image: "b", EstimateS: reckon}
}

// testJob is a queued job whose tasks had this long to begin when it came, just now.
func (c *Core) testJob(d *protocol.Job, slack time.Duration) *queued {
	by := c.now.Wall + protocol.Millis(slack.Milliseconds())
	q := &queued{id: d.UID, rec: &bk.JobRecord{Desc: d, Claim: c.run, Sent: c.now.Wall}, startBy: by, beginBy: by}
	q.urgent = c.urgent(q)
	return q
}

func machineOf(f *protocol.Flavor, id protocol.MachineID, spot bool) *room {
	return &room{id: id, rec: &bk.MachineRecord{Type: f.Sku, Zone: "a", Spot: spot}, fl: f, cores: f.Cores, mem: f.MemGB}
}

// Work that can wait is rented the cheapest machines only: else steady machines at
// several times the price would be asked for while spot ones are on their way. Work
// that is urgent asks for all at once.
func TestRentalPools(t *testing.T) {
	small := poolKey{"small", "a", true}
	other := func(p poolKey) poolKey { p.zone = "b"; return p }
	for _, c := range []struct {
		name    string
		cores   float64
		urgent  bool
		refused []poolKey
		want    []string // type and kind of the requests
	}{
		{"what can wait takes the cheapest", 4, false, nil, []string{"small spot", "small spot"}},
		{"and the next only once that has no more", 4, false, []poolKey{small, other(small)}, []string{"large spot", "large spot"}},
		{"one zone is left", 4, false, []poolKey{small}, []string{"small spot"}},
		{"what is urgent takes all", 4, true, nil, []string{"small spot", "small spot", "large spot", "large spot", "small steady", "small steady", "large steady", "large steady"}},
		{"large tasks fit one type", 16, false, nil, []string{"large spot", "large spot"}},
	} {
		core := twoTypes(t)
		core.out = nil
		for _, p := range c.refused {
			core.rentals.refused[p] = core.now.Steady
		}
		core.rentFor(unmetDemand{job: "j-1", desc: task(c.cores, 20), tasks: 5000, urgent: c.urgent}, map[poolKey]bool{}, 0)
		var got []string
		for _, e := range core.out {
			if v, ok := e.(SendRental); ok {
				kind := " steady"
				if v.Hire.Spot {
					kind = " spot"
				}
				got = append(got, string(v.Hire.Type)+kind)
			}
		}
		slices.Sort(got)
		slices.Sort(c.want)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %s; wanted %s", c.name, strings.Join(got, ", "), strings.Join(c.want, ", "))
		}
	}
}

// Nothing is rented for tasks that can follow those which run, as far as the job's
// slack and the run times tell; a machine is counted once.
func TestTasksToFollow(t *testing.T) {
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
		core := twoTypes(t)
		q := core.testJob(task(4, 20), c.slack)
		q.aged = c.aged
		var rooms []*room
		for _, id := range []protocol.MachineID{"m-1", "m-2"} {
			r := machineOf(&smallType, id, false)
			r.closed = c.closed
			running := task(4, c.runs)
			r.take(running, 1)
			r.used = []held{{job: "j-2", try: 1, n: 1, desc: running}}
			core.assignedAt[assignment{id, "j-2", 1}] = core.now.Steady.Add(-c.ran)
			rooms = append(rooms, r)
		}
		if got := core.tasksToFollow(q, rooms, 10); got != c.want {
			t.Errorf("%s: %d follow; wanted %d", c.name, got, c.want)
		}
		if got := core.tasksToFollow(q, rooms, 10); got != 0 {
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
		core := twoTypes(t)
		work := func(n int, lane string, slack time.Duration) *queued {
			d := task(4, 20)
			d.Tasks, d.Class = n, lane
			return core.testJob(d, slack)
		}
		rooms := []*room{machineOf(&smallType, "m-1", false), machineOf(&smallType, "m-2", false),
			machineOf(&smallType, "m-3", true), machineOf(&smallType, "m-4", true)}
		slack := time.Duration(c.slack) * time.Second
		other := work(c.other, "other", 10*time.Minute)
		core.warm.observe(core.now.Steady, []*queued{work(c.urgent, "urgent", slack), other})
		core.warm.observe(core.now.Steady, []*queued{work(c.now, "urgent", slack), other})
		core.warm.choose(rooms, core.mayUse)
		var got []protocol.MachineID
		for _, r := range rooms {
			if core.warm.needs(r.id) {
				got = append(got, r.id)
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
func TestContendedTypes(t *testing.T) {
	for _, c := range []struct {
		name    string
		waiting float64 // cores of the tasks that found no machine; 0: there are none
		ago     time.Duration
		slack   time.Duration
		refused bool // the cloud has no small ones
		want    []protocol.Sku
	}{
		{"nobody waits", 0, 0, 90 * time.Second, false, nil},
		{"large tasks wait", 16, 0, 90 * time.Second, false, []protocol.Sku{"large"}},
		{"they did some time ago", 16, 5 * time.Second, 90 * time.Second, false, nil},
		{"a small machine would come too late", 16, 0, 30 * time.Second, false, nil},
		{"there are no small machines", 16, 0, 90 * time.Second, true, nil},
		{"small tasks wait", 4, 0, 90 * time.Second, false, nil},
	} {
		core := twoTypes(t)
		if c.waiting > 0 {
			core.noteContention(core.testJob(task(c.waiting, 20), time.Minute))
		}
		core.now.Steady = core.now.Steady.Add(c.ago)
		if c.refused {
			for _, z := range smallType.Zones {
				core.rentals.refused[poolKey{"small", z, true}] = core.now.Steady
				core.rentals.refused[poolKey{"small", z, false}] = core.now.Steady
			}
		}
		core.planned.contended = core.contended()
		got := slices.Sorted(maps.Keys(core.leaves(core.testJob(task(4, 20), c.slack))))
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: leaves %v; wanted %v", c.name, got, c.want)
		}
	}
}

// A placement for a task that has to begin before its machine reports by itself makes
// the machine's worker report at once; nothing else does.
func TestPressing(t *testing.T) {
	core := twoTypes(t)
	core.cfg.Report = 6 * time.Second
	for _, c := range []struct {
		slack time.Duration
		late  bool
		want  bool
	}{{8 * time.Second, false, true}, {60 * time.Second, false, false}, {time.Second, true, false}} {
		q := core.testJob(task(4, 20), c.slack)
		q.late = c.late
		if got := core.pressing(q); got != c.want {
			t.Errorf("slack %v, late %v: %v", c.slack, c.late, got)
		}
	}
	r := machineOf(&smallType, "m-1", false)
	r.rec.Owner = core.run
	m := core.mstate("m-1")
	for held, want := range map[ReqID]bool{0: true, 5: false} {
		m.held = held
		if got := core.waitsForReport(r); got != want {
			t.Errorf("report held as %d: %v", held, got)
		}
	}
}
