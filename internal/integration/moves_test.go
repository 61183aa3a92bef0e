package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"tillerarch/internal/admin"
	"tillerarch/internal/coordination"
	"tillerarch/internal/protocol"
	"tillerarch/internal/simulation"
	"tillerarch/internal/storage"
)

// buildProgram builds the program under test.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "tillerarch")
	if out, err := exec.Command("go", "build", "-o", program, "tillerarch/cmd/tillerarch").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// startFleet brings up three controllers and some machines.
func startFleet(t *testing.T, program string, seed uint64) *Fleet {
	t.Helper()
	f, err := Start(Options{Seed: seed, Controllers: 3, Program: program, Dir: t.TempDir(), Flavors: simulation.SmallAndLarge,
		Teams: map[string]coordination.Quota{"core": {}, "tight": {MaxCores: 10}}, Properties: "moves.recorded = true\nage.after = 60s\nidle.factor = 100"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	f.Do(func(w *simulation.World) {
		for i := range 24 {
			w.Machine("small", []protocol.Zone{"a", "b"}[i%2], false, 0)
		}
	})
	return f
}

// wanted is how many pages are to change hands: MOVES, or a scaled-down run for CI.
func wanted() int {
	if n, err := strconv.Atoi(os.Getenv("MOVES")); err == nil {
		return n
	}
	return 60
}

// arrivals submits jobs of every kind until it is told to stop.
type arrivals struct {
	ids     []protocol.JobID
	daemons []protocol.JobID
	stopped bool
}

// next submits a job, and plans the one behind it. The world's lock is held.
func (a *arrivals) next(w *simulation.World) {
	if a.stopped {
		return
	}
	n := len(a.ids)
	d := &protocol.Job{ID: protocol.JobID(fmt.Sprintf("j-%06d", n)), Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "standard",
		TaskCount: 1 + w.Rng.IntN(8), Cores: 1, MemoryGB: 1, Image: fmt.Sprintf("img-%d", n%3), ImageGB: 1, EstimatedRunSeconds: 5}
	switch n % 8 {
	case 1:
		d.Kind, d.Priority, d.TaskCount, d.Cores = protocol.KindGang, "high", 2+w.Rng.IntN(3), 3
	case 3:
		d.Team = "tight"
	case 5:
		d.Priority, d.CheckpointIntervalSeconds, d.CheckpointSaveSeconds = "low", 3, 1
	case 7:
		if n%24 == 7 && len(a.daemons) < 3 {
			d.Kind, d.Priority, d.TaskCount, d.EstimatedRunSeconds, d.Class = protocol.KindService, "high", 2, 0, "d"
			a.daemons = append(a.daemons, d.ID)
		}
	}
	a.ids = append(a.ids, d.ID)
	w.Submit(d)
	if n%9 == 4 {
		w.At(time.Duration(500+w.Rng.IntN(8000))*time.Millisecond, func() { w.Abort(d.ID) })
	}
	w.At(time.Duration(500+w.Rng.IntN(1000))*time.Millisecond, func() { a.next(w) })
}

// mover asks one controller after the other for moves, as an operator does.
func mover(t *testing.T, f *Fleet, number int, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(uint64(number), 3))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+rng.IntN(500)) * time.Millisecond):
		}
		from := rng.IntN(len(f.Controllers))
		to := (from + 1 + rng.IntN(len(f.Controllers)-1)) % len(f.Controllers)
		request := &admin.TransferRequest{Name: fmt.Sprintf("drill-%d-%d", number, n), Source: string(f.Controllers[from].Member), Target: string(f.Controllers[to].Member)}
		tool, err := f.Controllers[rng.IntN(len(f.Controllers))].Tool()
		if err != nil {
			t.Error(err)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		tool.StartTransfer(ctx, request) // a refusal is as good as a move here
		cancel()
		tool.Close()
	}
}

// chaos lets things fail one after the other: at random, or as a move comes to a phase.
type chaos struct {
	t      *testing.T
	f      *Fleet
	rng    *rand.Rand
	events chan protocol.ControllerID // a controller to end at once
	counts map[string]int
}

// everyNth change of a move's record ends a controller.
const everyNth = 31

// watch ends giver or taker of some of the moves just as they come to a phase.
func (c *chaos) watch() {
	n := 0
	c.f.Do(func(w *simulation.World) {
		before := w.State.Observe
		w.State.Observe = func(rev protocol.Revision, news []protocol.Event) {
			before(rev, news)
			for _, change := range news {
				var record storage.TransferRecord
				if !strings.HasPrefix(change.PutKey, storage.TransferKey("")) || json.Unmarshal(change.Value, &record) != nil {
					continue
				}
				if n++; n%everyNth != 0 {
					continue
				}
				select {
				case c.events <- []storage.Incarnation{record.Source, record.Target}[n/everyNth%2].Controller():
				default:
				}
			}
		}
	})
}

func (c *chaos) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case member := <-c.events:
			for _, ctl := range c.f.Controllers {
				if ctl.Member == member {
					c.count("ended at a phase")
					c.check(ctl.Restart(time.Duration(150+c.rng.IntN(2500)) * time.Millisecond))
				}
			}
		case <-time.After(time.Duration(2500+c.rng.IntN(3500)) * time.Millisecond):
			c.fail()
		}
	}
}

func (c *chaos) count(what string) { c.counts[what]++ }

func (c *chaos) check(err error) {
	if err != nil {
		c.t.Error(err)
	}
}

// fail lets one thing fail for a while.
func (c *chaos) fail() {
	number := c.rng.IntN(len(c.f.Controllers))
	ctl := c.f.Controllers[number]
	set := func(on bool, what func(w *simulation.World, on bool)) {
		c.f.Do(func(w *simulation.World) { what(w, on) })
	}
	during := func(d time.Duration, what func(w *simulation.World, on bool)) {
		set(true, what)
		time.Sleep(d)
		set(false, what)
	}
	switch c.rng.IntN(7) {
	case 0:
		c.count("ended")
		c.check(ctl.Restart(time.Duration(100+c.rng.IntN(3000)) * time.Millisecond))
	case 1:
		c.count("frozen for a moment")
		c.check(ctl.Freeze(time.Second))
	case 2:
		c.count("frozen past its lease")
		c.check(ctl.Freeze(8 * time.Second))
	case 3:
		c.count("cut from the state service")
		during(8*time.Second, func(w *simulation.World, on bool) { w.Nodes[number].NoState = on })
	case 4:
		c.count("state service away")
		during(4*time.Second, func(w *simulation.World, on bool) { w.State.Down = on })
	case 5:
		c.count("answers of writes lost")
		during(4*time.Second, func(w *simulation.World, on bool) {
			if w.Unheard = 0; on {
				w.Unheard = 0.2
			}
		})
	case 6:
		c.count("reports lost")
		during(4*time.Second, func(w *simulation.World, on bool) { w.Nodes[number].NoWorker = on })
	}
}

// Pages move between three controller processes all the time, jobs of every kind arrive,
// and controllers are killed, frozen, restarted and cut off at random and as moves come to
// a phase. At every revision each machine has one owner; nothing runs twice, no gang runs
// in part, no job is lost. MOVES=1000 plays the long run.
func TestMovesOnLoopback(t *testing.T) {
	f := startFleet(t, buildProgram(t), 5)
	jobs := &arrivals{}
	time.Sleep(4 * time.Second)
	f.Do(jobs.next)
	stop := make(chan struct{})
	const movers = 5
	var asking, failures sync.WaitGroup
	for i := range movers {
		asking.Go(func() { mover(t, f, i, stop) })
	}
	c := &chaos{t: t, f: f, rng: rand.New(rand.NewPCG(5, 9)), events: make(chan protocol.ControllerID, 1), counts: map[string]int{}}
	c.watch()
	failures.Go(func() { c.run(stop) })
	began := time.Now()
	deadline := began.Add(30*time.Second + time.Duration(wanted())*1300*time.Millisecond)
	for passed(f) < wanted() && time.Now().Before(deadline) {
		time.Sleep(200 * time.Millisecond)
	}
	close(stop)
	asking.Wait()
	failures.Wait()
	took := time.Since(began)
	settle(f, jobs)
	f.Do(func(w *simulation.World) { judge(t, w, jobs, wanted(), c.counts, took) })
}

// settle ends all troubles and lets the jobs come to their end.
func settle(f *Fleet, jobs *arrivals) {
	f.Do(func(w *simulation.World) {
		jobs.stopped = true
		w.Rules.Calm = w.Now
		w.State.Observe = w.History.Apply
		for _, id := range jobs.daemons {
			w.Abort(id)
		}
	})
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		left := 0
		f.Do(func(w *simulation.World) { left = len(unfinished(w, jobs)) + len(w.History.Open()) })
		if left == 0 {
			return
		}
	}
}

func passed(f *Fleet) (n int) {
	f.Do(func(w *simulation.World) { n = w.History.Passed })
	return n
}

func unfinished(w *simulation.World, jobs *arrivals) (ids []protocol.JobID) {
	for _, id := range jobs.ids {
		if !w.Done[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// judge checks the whole run, and says what was measured.
func judge(t *testing.T, w *simulation.World, jobs *arrivals, wanted int, failures map[string]int, took time.Duration) {
	w.Rules.End(w.Now)
	h := w.History
	if len(w.Rules.Broken) > 0 {
		t.Errorf("broken:\n%s", strings.Join(w.Rules.Broken, "\n"))
	}
	if left := unfinished(w, jobs); len(left) > 0 {
		t.Errorf("not at their end: %v", left)
	}
	if open := h.Open(); len(open) > 0 {
		t.Errorf("moves that hang: %v", open)
	}
	if h.Passed < wanted {
		t.Errorf("%d pages have changed hands in %v, %d are asked for; aborted %v", h.Passed, took, wanted, h.Aborted)
	}
	t.Logf("%d jobs, %d tasks begun, %d revisions; %d pages with %d machines passed in %v, aborted %v", len(jobs.ids), w.Rules.Started, h.Revisions,
		h.Passed, h.Machines, took.Round(time.Second), h.Aborted)
	t.Logf("failures: %v", failures)
	if h.Machines > 0 {
		t.Logf("held: %s; from begin to end: %s; %.1f machine-seconds without new tasks, %.2f for each machine moved; %.2f puts of moves for each machine moved",
			quantiles(h.Held), quantiles(h.Took), h.Idle.Seconds(), h.Idle.Seconds()/float64(h.Machines), float64(h.Puts)/float64(h.Machines))
	}
	t.Logf("gangs waited %s; other jobs %s", quantiles(w.Rules.Waits(func(j *protocol.Job) bool { return j.IsGang() })),
		quantiles(w.Rules.Waits(func(j *protocol.Job) bool { return !j.IsGang() })))
}

// quantiles describes times by their median and 99th percentile.
func quantiles(of []time.Duration) string {
	if len(of) == 0 {
		return "none"
	}
	sorted := slices.Sorted(slices.Values(of))
	at := func(q float64) time.Duration {
		return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Round(time.Millisecond)
	}
	return fmt.Sprintf("median %v, 99th percentile %v of %d", at(0.5), at(0.99), len(sorted))
}
