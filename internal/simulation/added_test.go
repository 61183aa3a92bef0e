package simulation

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

func array(id protocol.JobID, lane string, rank protocol.Priority, pieces int, cores, reckon float64) *protocol.Job {
	return &protocol.Job{ID: id, Class: lane, Team: "core", Kind: protocol.KindArray, Priority: rank, TaskCount: pieces, Cores: cores, MemoryGB: 1, Image: "b", EstimatedRunSeconds: reckon}
}

func gang(id protocol.JobID, lane string, rank protocol.Priority, pieces int, cores, reckon float64) *protocol.Job {
	d := array(id, lane, rank, pieces, cores, reckon)
	d.Kind = protocol.KindGang
	return d
}

// A machine whose reports arrive while answers and commands do not reach it
// takes no more work, its tasks move on proof, and it is replaced if it stays
// so; one that hears again is used again.
func TestDeafMachine(t *testing.T) {
	for _, c := range []struct {
		name  string
		heals bool
	}{{"stays deaf", false}, {"hears again", true}} {
		w := NewWorld(21, 3, testFlavors[:1], testTeams())
		w.NoHire = true
		w.Config.IdleTimeoutFactor = 100
		for _, n := range w.Nodes {
			n.Start()
		}
		var ids []protocol.MachineID
		for i := 0; i < 3; i++ {
			ids = append(ids, w.Machine("small", "a", false, 0))
		}
		m := w.Workers[ids[0]]
		// Small tasks all the time: whoever has room gets some.
		for i := 0; i < 60; i++ {
			w.At(time.Duration(3+i)*time.Second, func() { w.Submit(array(protocol.JobID(fmt.Sprintf("j-%d", i)), "l", "standard", 2, 2, 3)) })
		}
		drained, back, told := 0, 0, 0
		w.Trace = func(l string) {
			if strings.Contains(l, "machine drains") && strings.Contains(l, string(ids[0])+" on true") {
				drained++
			}
			if strings.Contains(l, "machine goes back") && strings.Contains(l, string(ids[0])) {
				back++
			}
			if strings.Contains(l, "tasks placed") && strings.Contains(l, string(ids[0])) && m.Deaf && drained > 0 {
				told++
			}
		}
		w.Run(15 * time.Second)
		m.Deaf = true
		w.Run(12 * time.Second)
		if drained != 1 || told > 0 {
			t.Errorf("%s: drained %d times within 12 s, %d placements behind that", c.name, drained, told)
		}
		if c.heals {
			m.Deaf = false
			w.Run(13 * time.Second)
			if len(m.tasks) == 0 {
				t.Errorf("%s: the machine is not used again", c.name)
			}
		}
		w.Run(100 * time.Second)
		w.Rules.End(w.Now)
		if (back == 1) != !c.heals || len(w.Rules.Broken) > 0 || len(w.Done) != 60 {
			t.Errorf("%s: went back %d times, %d of 60 done, broken %v", c.name, back, len(w.Done), w.Rules.Broken)
		}
	}
}

// A worker that reaches no controller, while direct commands reach it, gets no work, also
// right behind a command that it has answered: starts go out in answers to its reports only.
func TestMuteMachine(t *testing.T) {
	w := NewWorld(23, 3, testFlavors[:1], testTeams())
	w.NoHire = true
	w.Config.IdleTimeoutFactor = 100
	for _, n := range w.Nodes {
		n.Start()
	}
	for i := 0; i < 4; i++ {
		w.Machine("small", "a", false, 0)
	}
	for i := 0; i < 4; i++ {
		w.At(5*time.Second, func() { w.Submit(array(protocol.JobID(fmt.Sprintf("j-9%d", i)), "l", "low", 4, 1, 300)) })
	}
	w.Run(15 * time.Second)
	var m *Worker
	for _, id := range slices.Sorted(maps.Keys(w.Workers)) {
		if len(w.Workers[id].tasks) == 4 {
			m = w.Workers[id]
		}
	}
	m.Mute = true
	w.Run(7 * time.Second)
	placed := 0
	w.Trace = func(l string) {
		if strings.Contains(l, "tasks placed") && strings.Contains(l, string(m.ID)) && m.Mute {
			placed++
		}
	}
	for i := 0; i < 4; i++ { // its stops reach it
		w.Abort(protocol.JobID(fmt.Sprintf("j-9%d", i)))
	}
	for i := 0; i < 30; i++ {
		w.At(time.Duration(i)*2*time.Second, func() { w.Submit(array(protocol.JobID(fmt.Sprintf("j-%d", i)), "l", "standard", 10, 2, 3)) })
	}
	w.Run(7 * time.Second)
	if placed > 0 {
		t.Errorf("%d placements on a machine that does not report", placed)
	}
	m.Mute = false
	w.Rules.Calm = w.Now
	w.Run(10 * time.Second)
	running := 0
	for _, k := range m.tasks {
		if k.stage == protocol.TaskRunning {
			running++
		}
	}
	if running == 0 {
		t.Error("the machine is not used again")
	}
	w.Run(140 * time.Second)
	w.Rules.End(w.Now)
	if len(w.Rules.Broken) > 0 || len(w.Done) != 34 {
		t.Errorf("%d of 34 done, broken %v", len(w.Done), w.Rules.Broken)
	}
}

// A report that outlived its machine, or comes to where it does not belong,
// brings nothing back and makes no new owner.
func TestLateCopies(t *testing.T) {
	w := NewWorld(22, 3, testFlavors[:1], testTeams())
	w.NoHire = true
	for i := 0; i < 6; i++ {
		w.Machine("small", "a", false, 0)
	}
	w.At(3*time.Second, func() { w.Submit(array("j-1", "l", "standard", 12, 2, 60)) })
	w.Run(15 * time.Second)
	id := slices.Sorted(maps.Keys(w.Workers))[0]
	m := w.Workers[id]
	before, late := m.body(), m.body() // one more than any controller has seen
	m.tally--
	started := w.Rules.Started
	changes := 0
	w.Trace = func(l string) {
		for _, what := range []string{"adopted", "handed over", "taken over", "requeued", "task ended"} {
			if strings.Contains(l, what) {
				changes++
			}
		}
	}
	// To all controllers while the machine lives: its tasks stay where they are.
	for i := 0; i < 40; i++ {
		w.At(time.Duration(i)*300*time.Millisecond, func() { w.Nodes[i%3].Report(before, func(int, []byte) {}) })
	}
	w.Run(14 * time.Second)
	if changes != 0 || w.Rules.Started != started {
		t.Errorf("%d changes by copies, %d starts after %d", changes, w.Rules.Started, started)
	}
	// And once it is gone and off the records.
	w.Lose(id)
	w.Run(40 * time.Second)
	changes = 0
	for i := 0; i < 20; i++ {
		w.At(time.Duration(i)*time.Second, func() { w.Nodes[i%3].Report(late, func(int, []byte) {}) })
	}
	w.Run(25 * time.Second)
	if changes != 0 {
		t.Errorf("%d changes by copies of a machine that is gone", changes)
	}
	w.Run(150 * time.Second)
	w.Rules.End(w.Now)
	if !w.Done["j-1"] || len(w.Rules.Broken) > 0 {
		t.Errorf("done %v, broken %v", w.Done["j-1"], w.Rules.Broken)
	}
}

// A controller that hears neither the state service nor other controllers goes
// on answering its workers until its successors have them: no task is lost.
// Users get 503 from it at once.
func TestAloneWithWorkers(t *testing.T) {
	for seed := uint64(31); seed < 34; seed++ {
		w := NewWorld(seed, 3, testFlavors[:1], testTeams())
		w.NoHire = true
		for i := 0; i < 9; i++ {
			w.Machine("small", "a", false, 0)
		}
		w.At(3*time.Second, func() { w.Submit(array("j-1", "l", "standard", 18, 2, 60)) })
		w.At(6*time.Second, func() { w.Submit(array("j-2", "l", "standard", 4, 2, 10)) })
		w.Run(14 * time.Second)
		n := w.Nodes[0]
		n.NoState, n.NoPeers = true, true
		w.Run(9 * time.Second)
		if n.Core.Healthy() {
			t.Errorf("seed %d: it is healthy", seed)
		}
		asked := w.Now
		status, after := 0, time.Duration(0)
		w.Ask(n, protocol.RequestQuery, "j-1", nil, func(s int, _ protocol.JobState) { status, after = s, w.Now-asked })
		w.Run(3 * time.Second)
		if status != 503 || after > 200*time.Millisecond {
			t.Errorf("seed %d: answered %d after %v", seed, status, after)
		}
		// What is submitted now is served without it, by all machines.
		w.Submit(array("j-3", "l", "high", 4, 2, 5))
		w.Run(60 * time.Second)
		for id, m := range w.Workers {
			if !m.Gone && m.node%3 == 0 {
				t.Errorf("seed %d: %s still reports to it", seed, id)
			}
		}
		n.NoState, n.NoPeers = false, false
		w.Rules.Calm = w.Now
		w.Run(120 * time.Second)
		w.Rules.End(w.Now)
		if w.Rules.Started != 26 || len(w.Done) != 3 || len(w.Rules.Broken) > 0 {
			t.Errorf("seed %d: %d starts for 26 tasks, done %v, broken %v", seed, w.Rules.Started, w.Done, w.Rules.Broken)
		}
	}
}

// Nothing starves: the largest jobs of a class begin within four minutes, and
// half of each class is served, whatever stream they stand against. Without
// aging each of these days breaks that rule, which shows that it is the guard.
func TestNothingStarves(t *testing.T) {
	due := func(d *protocol.Job, s float64) *protocol.Job {
		d.DeadlineSeconds = &s
		return d
	}
	for _, c := range []struct {
		name  string
		first *protocol.Job
		// The stream: a job every so often.
		every  time.Duration
		stream func(id protocol.JobID, i int) *protocol.Job
	}{
		{"a large array without a deadline among small ones", array("j-1", "l", "standard", 300, 2, 4), 780 * time.Millisecond,
			func(id protocol.JobID, i int) *protocol.Job { return due(array(id, "l", "standard", 8, 2, 6), 30) }},
		{"a gang of whole machines among smaller ones", gang("j-1", "g", "high", 4, 30, 10), 3300 * time.Millisecond,
			func(id protocol.JobID, i int) *protocol.Job { return due(gang(id, "g", "high", 1, 30, 12), 20) }},
		{"low rank in a long burst", array("j-1", "night", "low", 12, 4, 10), 800 * time.Millisecond,
			func(id protocol.JobID, i int) *protocol.Job { return array(id, "l", "standard", 8, 2, 6) }},
	} {
		for _, try := range []struct {
			aging bool
			nodes int
		}{{true, 3}, {true, 1}, {false, 1}} { // several share the room between their jobs
			aging := try.aging
			w := NewWorld(41, try.nodes, testFlavors[1:], testTeams())
			w.NoHire = true
			w.Config.IdleTimeoutFactor = 100
			if !aging {
				w.Config.AgingThreshold = time.Hour
			}
			for _, n := range w.Nodes {
				n.Start()
			}
			for i := 0; i < 4; i++ {
				w.Machine("large", "a", false, 0)
			}
			n := 0
			w.Every(c.every, func() {
				if n++; w.Now < 390*time.Second {
					w.Submit(c.stream(protocol.JobID(fmt.Sprintf("j-%d", 100+n)), n))
				}
			})
			w.At(20*time.Second, func() { w.Submit(c.first) })
			w.Run(400 * time.Second)
			w.Rules.End(w.Now)
			starved := 0
			for _, b := range w.Rules.Broken {
				if strings.HasPrefix(b, "unserved") && (strings.Contains(b, "j-1 ") || strings.Contains(b, "largest") || strings.Contains(b, "night")) {
					starved++
				} else if !strings.HasPrefix(b, "unserved") {
					t.Errorf("%s: %s", c.name, b)
				}
			}
			began := w.Rules.job("j-1").began
			if (starved > 0) == aging {
				t.Errorf("%s, aging %v: begins at %v, broken %v", c.name, aging, began, w.Rules.Broken)
			}
		}
	}
}

// A machine that reports to two controllers at the same moment, both of which
// may put it on record, stands on one page only.
func TestOnePageOnly(t *testing.T) {
	for seed := uint64(51); seed < 56; seed++ {
		w := NewWorld(seed, 3, testFlavors[:1], testTeams())
		w.NoHire = true
		w.Run(2 * time.Second)
		for i := 0; i < 8; i++ {
			m := w.Workers[w.Machine("small", "a", false, time.Hour)] // reports when it is told to
			w.At(time.Duration(i)*400*time.Millisecond, func() {
				for _, n := range w.Nodes {
					n.Report(m.body(), func(int, []byte) {})
				}
			})
		}
		refused := 0
		w.Trace = func(l string) {
			if strings.Contains(l, "transaction refused") {
				refused++
			}
		}
		w.Run(6 * time.Second)
		on := map[string]int{}
		for _, i := range w.State.Items(storage.ShardKey("")) {
			var page struct {
				M []string `json:"m"`
			}
			if err := json.Unmarshal(i.Value, &page); err != nil {
				t.Fatal(err)
			}
			for _, line := range page.M {
				id, _, _ := strings.Cut(line, " ")
				on[id]++
			}
		}
		for id, n := range on {
			if n != 1 {
				t.Errorf("seed %d: %s stands on %d pages", seed, id, n)
			}
		}
		if len(on) != 8 || refused == 0 {
			t.Errorf("seed %d: %d of 8 machines on record, %d transactions refused", seed, len(on), refused)
		}
	}
}

// When all controllers come back at once, the pages of their earlier runs are
// spread over them, and one that has far fewer later is given some.
func TestPagesAreSpread(t *testing.T) {
	for _, c := range []struct {
		name   string
		gap    time.Duration // between pages that are given away
		events func(w *World)
	}{
		{"all crash and are back one after the other", time.Hour, func(w *World) {
			for i, n := range w.Nodes {
				n.Kill()
				w.At(5*time.Second+time.Duration(i)*500*time.Millisecond, n.Start)
			}
			w.Run(25 * time.Second)
		}},
		{"one is back after the others have taken over", 3 * time.Second, func(w *World) {
			w.Nodes[0].Kill()
			w.Run(25 * time.Second)
			w.Nodes[0].Start()
			w.Run(60 * time.Second)
		}},
	} {
		w := NewWorld(61, 3, testFlavors[:1], testTeams())
		w.NoHire = true
		w.Config.IdleTimeoutFactor = 1000
		w.Config.ValueBytes = 1024 // few machines on a page
		w.Config.MinRebalanceInterval = c.gap
		for _, n := range w.Nodes {
			n.Start()
		}
		for i := 0; i < 60; i++ {
			w.Machine("small", "a", false, 0)
		}
		w.Run(20 * time.Second)
		c.events(w)
		on := map[string]int{}
		for _, i := range w.State.Items(storage.ShardKey("")) {
			var page struct{ O string }
			if err := json.Unmarshal(i.Value, &page); err != nil {
				t.Fatal(err)
			}
			member, _, _ := strings.Cut(page.O, "#")
			on[member]++
		}
		least, most := 1000, 0
		for _, n := range w.Nodes {
			least = min(least, on[string(n.Member)])
			most = max(most, on[string(n.Member)])
		}
		if most < 4 || 3*least < most || len(w.Rules.Broken) > 0 {
			t.Errorf("%s: %v, broken %v", c.name, on, w.Rules.Broken)
		}
	}
}

// A gang of more machines than a value could list neither blocks what else is to
// be written nor is it forgotten.
func TestGangTooLargeToList(t *testing.T) {
	w := NewWorld(71, 1, testFlavors[:1], testTeams())
	w.NoHire = true
	w.State.Value, w.Config.ValueBytes = 2048, 2048
	w.Config.IdleTimeoutFactor = 100
	w.Nodes[0].Start()
	for i := 0; i < 200; i++ {
		w.Machine("small", "a", false, 0)
	}
	w.At(6*time.Second, func() { w.Submit(array("j-1", "l", "low", 200, 4, 15)) })
	w.At(16*time.Second, func() { w.Submit(gang("j-2", "g", "high", 190, 4, 5)) })
	w.At(18*time.Second, func() { w.Submit(array("j-3", "l", "low", 4, 4, 5)) })
	w.Run(150 * time.Second)
	w.Rules.End(w.Now)
	if w.State.Over > 0 || len(w.Done) != 3 || len(w.Rules.Broken) > 0 {
		t.Errorf("%d transactions too large, done %v, broken %v", w.State.Over, w.Done, w.Rules.Broken)
	}
}
