package simulation

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/coordination"
	"tillerarch/internal/protocol"
)

var testFlavors = SmallAndLarge

func testTeams() map[string]coordination.Quota {
	return map[string]coordination.Quota{"core": {}, "tight": {MaxCores: 10}}
}

// submitMix sends jobs of every kind over the first minute.
func submitMix(w *World, n int) []protocol.JobID {
	var ids []protocol.JobID
	for i := 0; i < n; i++ {
		d := &protocol.Job{ID: protocol.JobID(fmt.Sprintf("j-%06d", i)), Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "standard",
			TaskCount: 1 + w.Rng.IntN(12), Cores: 2, MemoryGB: 1, Image: fmt.Sprintf("img-%d", i%3), ImageGB: 1, AllowSpot: i%2 == 0, EstimatedRunSeconds: 6}
		switch i % 6 {
		case 1:
			d.Kind, d.Priority, d.TaskCount, d.Cores = protocol.KindGang, "high", 1, 30
		case 2:
			d.Kind, d.Priority, d.TaskCount, d.SingleZone = protocol.KindGang, "high", 2+w.Rng.IntN(4), true
			d.CheckpointIntervalSeconds, d.CheckpointSaveSeconds = 5, 1
		case 3:
			d.Team = "tight"
		case 4:
			d.SpreadZones = true
			d.Zone = ""
		case 5:
			d.Priority, d.Zone, d.CheckpointIntervalSeconds, d.CheckpointSaveSeconds = "low", "b", 3, 1
		}
		ids = append(ids, d.ID)
		w.At(time.Duration(w.Rng.IntN(60000))*time.Millisecond, func() { w.Submit(d) })
		if i%9 == 4 {
			w.At(time.Duration(20000+w.Rng.IntN(50000))*time.Millisecond, func() {
				if w.Jobs[d.ID] != nil {
					w.Abort(d.ID)
				}
			})
		}
	}
	return ids
}

// seeds is how many days of each kind are played; SEEDS asks for more.
func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEEDS"), 10, 16); err == nil {
		return n
	}
	return 3
}

// mixedWorld is a deployment with eight small machines in two zones and a team that has
// a limit.
func mixedWorld(t *testing.T, seed uint64) *World {
	w := NewWorld(seed, 3, testFlavors, testTeams())
	w.Rules.Limits["tight"] = 10
	if os.Getenv("TRACE") != "" {
		w.Trace = func(l string) { t.Log(l) }
	}
	for i := 0; i < 8; i++ {
		w.Machine("small", protocol.Zone([]string{"a", "b"}[i%2]), false, 0)
	}
	return w
}

// Days of trouble, each with several seeds. Every rule must hold on each, and
// once the trouble is over every job must come to its end.
func TestDays(t *testing.T) {
	s := func(n int) time.Duration { return time.Duration(n) * time.Second }
	for _, day := range []struct {
		name    string
		drop    float64
		trouble func(w *World)
	}{
		{"quiet", 0, func(w *World) {}},
		{"lossy network", 0.04, func(w *World) {}},
		{"a controller crashes and is back at once", 0, func(w *World) {
			for i := 1; i < 8; i++ {
				n := w.Nodes[i%3]
				w.At(s(10*i), func() { n.Kill() })
				w.At(s(10*i)+200*time.Millisecond, n.Start)
			}
		}},
		{"all controllers crash", 0, func(w *World) {
			for _, n := range w.Nodes {
				w.At(s(35), n.Kill)
				w.At(s(40), n.Start)
			}
		}},
		{"controllers are restarted in turn in a lossy network", 0.03, func(w *World) {
			for i, n := range w.Nodes {
				w.At(s(25+12*i), n.Kill)
				w.At(s(30+12*i), n.Start)
			}
		}},
		{"a controller is cut from the state service alone", 0, func(w *World) {
			w.At(s(25), func() { w.Nodes[0].NoState = true })
			w.At(s(65), func() { w.Nodes[0].NoState = false })
		}},
		{"a controller is cut from the workers alone", 0, func(w *World) {
			w.At(s(25), func() { w.Nodes[1].NoWorker = true })
			w.At(s(65), func() { w.Nodes[1].NoWorker = false })
		}},
		{"the state service is down while controllers crash", 0.01, func(w *World) {
			w.At(s(30), func() { w.State.Down = true })
			w.At(s(33), w.Nodes[2].Kill)
			w.At(s(38), w.Nodes[2].Start)
			w.At(s(50), func() { w.State.Down = false })
		}},
		{"machines die, others are cut off", 0.01, func(w *World) {
			for i := 0; i < 6; i++ {
				id := protocol.MachineID(fmt.Sprintf("m-%06d", 1+2*i))
				w.At(s(20+4*i), func() { w.Lose(id) })
				cut := protocol.MachineID(fmt.Sprintf("m-%06d", 2+2*i))
				w.At(s(20+5*i), func() {
					if m := w.Workers[cut]; m != nil {
						m.Cut = true
					}
				})
				w.At(s(20+5*i+6+6*i), func() {
					if m := w.Workers[cut]; m != nil {
						m.Cut = false
					}
				})
			}
		}},
		{"a wave of reclaims, some without notice", 0.01, func(w *World) {
			w.At(s(40), func() {
				for i, id := range slices.Sorted(maps.Keys(w.Workers)) {
					if i%3 == 0 {
						w.Recall(id, s(9))
					} else if i%3 == 1 {
						w.Lose(id)
					}
				}
			})
		}},
		{"copies of reports come late, while machines go and controllers are restarted", 0.01, func(w *World) {
			w.Copies = 0.3
			for i := 0; i < 8; i++ {
				id := protocol.MachineID(fmt.Sprintf("m-%06d", 1+i))
				w.At(s(20+7*i), func() { w.Lose(id) })
			}
			for i := 0; i < 6; i++ {
				n := w.Nodes[i%3]
				w.At(s(24+13*i), n.Kill)
				w.At(s(24+13*i)+time.Duration(100+w.Rng.IntN(4000))*time.Millisecond, n.Start)
			}
		}},
		{"machines are heard and do not hear", 0.01, func(w *World) {
			for i := 0; i < 8; i++ {
				m := w.Workers[protocol.MachineID(fmt.Sprintf("m-%06d", 1+i))]
				w.At(s(15+5*i), func() { m.Deaf = true })
				w.At(s(15+5*i+3+6*i), func() { m.Deaf = false })
			}
			w.At(s(45), w.Nodes[1].Kill)
			w.At(s(46), w.Nodes[1].Start)
		}},
		{"controllers are alone with their workers, in turn", 0, func(w *World) {
			w.Copies = 0.1
			for i, n := range w.Nodes {
				w.At(s(20+30*i), func() { n.NoState, n.NoPeers = true, true })
				w.At(s(42+30*i), func() { n.NoState, n.NoPeers = false, false })
			}
		}},
		{"all are back within a fraction of a second, also while others take over", 0.02, func(w *World) {
			w.Copies = 0.1
			w.At(s(18), w.Nodes[0].Kill) // the others are taking over when they end
			w.At(s(25), w.Nodes[0].Start)
			for i := 0; i < 12; i++ {
				n := w.Nodes[(i*2+1)%3]
				at := s(20) + time.Duration(i)*5300*time.Millisecond
				w.At(at, func() {
					if n.Alive {
						n.Kill()
						w.At(time.Duration(50+w.Rng.IntN(500))*time.Millisecond, n.Start)
					}
				})
			}
			for _, n := range w.Nodes {
				w.At(s(95), n.Kill)
				w.At(s(95)+time.Duration(100+w.Rng.IntN(300))*time.Millisecond, n.Start)
			}
			for i := 0; i < 5; i++ {
				id := protocol.MachineID(fmt.Sprintf("m-%06d", 2+i))
				w.At(s(30+6*i), func() { w.Workers[id].Reboot() })
			}
		}},
		{"controllers stand still in turn, within their lease and past it", 0.01, func(w *World) {
			w.Copies = 0.1
			for i, n := range w.Nodes {
				w.At(s(20+30*i), func() { n.Freeze(s([]int{4, 9, 22}[i])) })
			}
		}},
		{"machines hang, and go on within their lease or behind it", 0.01, func(w *World) {
			for i := 0; i < 8; i++ {
				m := w.Workers[protocol.MachineID(fmt.Sprintf("m-%06d", 1+i))]
				w.At(s(15+7*i), func() { m.Hang(s(4 + 5*i)) })
			}
			w.At(s(50), w.Nodes[1].Kill)
			w.At(s(51), w.Nodes[1].Start)
		}},
		{"a zone is cut off with the controller in it, and goes on inside", 0, func(w *World) {
			n := w.Nodes[2]
			w.At(s(25), func() {
				n.NoState, n.NoPeers, n.NoUsers = true, true, true
				w.Zone["b"] = n
			})
			w.At(s(30), w.Nodes[0].Kill)
			w.At(s(30)+300*time.Millisecond, w.Nodes[0].Start)
			w.At(s(65), func() {
				n.NoState, n.NoPeers, n.NoUsers = false, false, false
				delete(w.Zone, "b")
			})
		}},
		{"everything at once", 0.03, func(w *World) {
			for i := 0; i < 5; i++ {
				n := w.Nodes[i%3]
				w.At(s(15+13*i), n.Kill)
				w.At(s(15+13*i)+time.Duration(w.Rng.IntN(6000))*time.Millisecond, n.Start)
				w.At(s(20+11*i), func() { w.Nodes[(i+1)%3].NoState = true })
				w.At(s(30+11*i), func() { w.Nodes[(i+1)%3].NoState = false })
				id := protocol.MachineID(fmt.Sprintf("m-%06d", 1+3*i))
				w.At(s(22+6*i), func() { w.Lose(id) })
			}
			w.At(s(55), func() { w.State.Down = true })
			w.At(s(63), func() { w.State.Down = false })
			w.At(s(40), func() { w.NoCloud = true })
			w.At(s(50), func() { w.NoCloud = false })
		}},
	} {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seeds(); seed++ {
				w := mixedWorld(t, seed)
				w.Drop = day.drop
				ids := submitMix(w, 30)
				day.trouble(w)
				w.Run(s(110))
				w.Drop, w.Copies = 0, 0
				w.Rules.Calm = w.Now
				w.Run(s(150))
				w.Rules.End(w.Now)
				known := 0
				for _, id := range ids { // every controller knows every job
					for _, n := range w.Nodes {
						w.Ask(n, protocol.RequestQuery, id, nil, func(status int, _ protocol.JobState) {
							if status == 200 {
								known++
							}
						})
					}
				}
				w.Run(s(5))
				if known != 3*len(ids) {
					t.Errorf("seed %d: %d of %d questions are answered", seed, known, 3*len(ids))
				}
				if w.State.Over > 0 {
					t.Errorf("seed %d: %d transactions too large", seed, w.State.Over)
				}
				if len(w.Rules.Broken) > 0 {
					t.Errorf("seed %d: %d rules broken:\n%s", seed, len(w.Rules.Broken), strings.Join(w.Rules.Broken[:min(5, len(w.Rules.Broken))], "\n"))
				}
				left := 0
				for _, id := range ids {
					if !w.Done[id] {
						left++
						if left < 4 {
							t.Errorf("seed %d: %s has not come to its end", seed, id)
						}
					}
				}
			}
		})
	}
}

// A gang on a machine that is recalled stops in order: all its tasks hear of it
// in time and save, and it goes on elsewhere as a whole.
func TestGangSavesOnRecall(t *testing.T) {
	w := NewWorld(5, 3, testFlavors, testTeams())
	for i := 0; i < 12; i++ {
		w.Machine("small", "a", false, 0)
	}
	d := &protocol.Job{ID: "j-1", Class: "l", Team: "core", Kind: protocol.KindGang, Priority: "high", TaskCount: 5, Cores: 4, MemoryGB: 1,
		Image: "b", EstimatedRunSeconds: 40, CheckpointIntervalSeconds: 20, CheckpointSaveSeconds: 2}
	w.At(3*time.Second, func() { w.Submit(d) })
	w.Run(20 * time.Second)
	var on protocol.MachineID
	for _, id := range slices.Sorted(maps.Keys(w.Workers)) {
		for _, k := range w.Workers[id].tasks {
			if k.stage == protocol.TaskRunning {
				on = id
			}
		}
	}
	if on == "" {
		t.Fatal("the gang does not run")
	}
	w.Recall(on, 14*time.Second)
	w.Run(14 * time.Second)
	if w.Saved["j-1"] != 5 {
		t.Errorf("%d of 5 tasks have saved", w.Saved["j-1"])
	}
	w.Run(100 * time.Second)
	w.Rules.End(w.Now)
	if !w.Done["j-1"] || len(w.Rules.Broken) > 0 {
		t.Errorf("done %v, broken %v", w.Done["j-1"], w.Rules.Broken)
	}
}

// An owner that its workers no longer reach hands their machines to the node
// they report to, before their leases run out: the tasks go on.
func TestHandOver(t *testing.T) {
	w := NewWorld(7, 3, testFlavors, testTeams())
	for i := 0; i < 6; i++ {
		w.Machine("small", "a", false, 0)
	}
	d := &protocol.Job{ID: "j-1", Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "standard", TaskCount: 12, Cores: 2, MemoryGB: 1, Image: "b", EstimatedRunSeconds: 90}
	w.At(3*time.Second, func() { w.Submit(d) })
	w.Run(12 * time.Second)
	owners := map[int]int{}
	for _, m := range w.Workers {
		owners[m.node%3]++
	}
	if w.Rules.Started != 12 || owners[0] == 0 {
		t.Fatalf("%d started, owners %v", w.Rules.Started, owners)
	}
	w.Nodes[0].NoWorker = true
	w.Run(200 * time.Second)
	w.Rules.End(w.Now)
	if w.Rules.Started != 12 || !w.Done["j-1"] || len(w.Rules.Broken) > 0 {
		t.Errorf("%d starts for 12 tasks, done %v, broken %v", w.Rules.Started, w.Done["j-1"], w.Rules.Broken)
	}
}

// Above the threshold nothing new goes to spot machines, in rentals and
// placements, until the threshold is recomputed.
func TestSpotHalts(t *testing.T) {
	w := NewWorld(8, 3, append([]protocol.MachineType(nil), testFlavors...), testTeams())
	job := func(id protocol.JobID) *protocol.Job {
		return &protocol.Job{ID: id, Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "standard", TaskCount: 8, Cores: 4, MemoryGB: 1,
			Image: "b", EstimatedRunSeconds: 10, CheckpointIntervalSeconds: 5, CheckpointSaveSeconds: 1, AllowSpot: true}
	}
	spots := func() (n int) {
		for _, m := range w.Workers {
			if m.Spot {
				n++
			}
		}
		return n
	}
	w.At(2*time.Second, func() { w.Submit(job("j-1")) })
	w.Run(30 * time.Second)
	before := spots()
	if !w.Done["j-1"] || before == 0 {
		t.Fatalf("done %v with %d spot machines", w.Done["j-1"], before)
	}
	for i := range w.Flavors {
		w.Flavors[i].SpotPrice = 0.9 * w.Flavors[i].OnDemandPrice
	}
	w.Run(13 * time.Second) // the next check sees it
	on := func() (n int) {
		for _, m := range w.Workers {
			if m.Spot && !m.Gone {
				n += len(m.tasks)
			}
		}
		return n
	}
	w.Submit(job("j-2"))
	w.Run(5 * time.Second)
	if on() != 0 || spots() != before {
		t.Errorf("%d tasks on spot machines, %d machines after %d", on(), spots(), before)
	}
	w.Run(40 * time.Second)
	if !w.Done["j-2"] {
		t.Error("steady machines did not take over")
	}
}

// A machine on which the tasks of two jobs fail goes back; a job that fails
// everywhere takes no machines with it and is tried ever less often.
func TestFaults(t *testing.T) {
	job := func(id protocol.JobID, lane string) *protocol.Job {
		return &protocol.Job{ID: id, Class: lane, Team: "core", Kind: protocol.KindArray, Priority: "standard", TaskCount: 4, Cores: 2, MemoryGB: 1, Image: "b", EstimatedRunSeconds: 2}
	}
	for _, c := range []struct {
		name   string
		faulty bool
		lanes  []string
		gone   int // machines that go back as faulty
		starts int // no more than these
	}{
		{"faulty machine", true, []string{"l", "l", "l", "l"}, 1, 60},
		{"job that fails everywhere", false, []string{"l", "bad"}, 0, 60},
	} {
		w := NewWorld(9, 1, testFlavors[:1], testTeams())
		w.NoHire = true
		w.Config.IdleTimeoutFactor = 100 // no machine goes back for being idle
		w.Nodes[0].Start()
		ids := []protocol.MachineID{w.Machine("small", "a", false, 0), w.Machine("small", "a", false, 0), w.Machine("small", "a", false, 0)}
		w.Workers[ids[0]].Faulty = c.faulty
		faulty := 0
		w.Trace = func(l string) {
			if strings.Contains(l, "machine goes back") && strings.Contains(l, "faulty") {
				faulty++
			}
		}
		for i, l := range c.lanes {
			w.At(time.Duration(3+25*i)*time.Second, func() { w.Submit(job(protocol.JobID(fmt.Sprintf("j-%d", i)), l)) })
		}
		w.Run(145 * time.Second)
		if len(c.lanes) == 2 {
			w.Abort("j-1") // its user sees that it never gets on
		}
		w.Run(5 * time.Second)
		w.Rules.End(w.Now)
		if faulty != c.gone || w.Rules.Started > c.starts || len(w.Rules.Broken) > 0 {
			t.Errorf("%s: %d went back, %d starts, broken %v", c.name, faulty, w.Rules.Started, w.Rules.Broken)
		}
		for i, l := range c.lanes {
			if l == "l" && !w.Done[protocol.JobID(fmt.Sprintf("j-%d", i))] {
				t.Errorf("%s: j-%d is not done", c.name, i)
			}
		}
	}
}

// The largest array there may be: its records stay within the limits of the
// state service, also when tasks end in any order, and a team with a guarantee
// gets its place from one that borrows it.
func TestLargeArrayAndGuarantee(t *testing.T) {
	teams := map[string]coordination.Quota{"big": {}, "sure": {GuaranteedCores: 8}}
	w := NewWorld(12, 1, testFlavors[1:], teams)
	w.NoHire = true
	w.Machine("large", "a", false, 0)
	w.Machine("large", "b", false, 0)
	d := &protocol.Job{ID: "j-1", Class: "l", Team: "big", Kind: protocol.KindArray, Priority: "high", TaskCount: protocol.MaxTasks, Cores: 0.1, MemoryGB: 0.1, Image: "b", EstimatedRunSeconds: 3}
	g := &protocol.Job{ID: "j-2", Class: "l", Team: "sure", Kind: protocol.KindGang, Priority: "low", TaskCount: 1, Cores: 8, MemoryGB: 1, Image: "b", EstimatedRunSeconds: 3}
	w.At(2*time.Second, func() { w.Submit(d) })
	w.Run(40 * time.Second)
	w.Submit(g)
	w.Run(25 * time.Second)
	if w.State.Over > 0 || w.State.Max > 8192 || w.Rules.Started < 1000 || len(w.Rules.Broken) > 0 {
		t.Errorf("%d transactions too large, largest value %d, %d starts, broken %v", w.State.Over, w.State.Max, w.Rules.Started, w.Rules.Broken)
	}
	if !w.Done["j-2"] {
		t.Error("the team did not get its guarantee")
	}
}

// Tasks that need accelerators go where there are some, and no more at once
// than there are.
func TestAccelerators(t *testing.T) {
	flavors := append([]protocol.MachineType(nil), testFlavors[0], testFlavors[0])
	flavors[1].Name, flavors[1].Accelerators = "gpu", 2
	w := NewWorld(13, 1, flavors, testTeams())
	w.NoHire = true
	w.Machine("small", "a", false, 0)
	with := w.Machine("gpu", "a", false, 0)
	d := &protocol.Job{ID: "j-1", Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "high", TaskCount: 6, Cores: 0.5, Accelerators: 1, MemoryGB: 1, Image: "b", EstimatedRunSeconds: 4}
	most := 0
	w.Every(100*time.Millisecond, func() {
		live := 0
		for id, m := range w.Workers {
			for _, k := range m.tasks {
				if k.stage != protocol.TaskExited {
					live++
					if id != with {
						t.Errorf("a task is on %s, which has no accelerators", id)
					}
				}
			}
		}
		most = max(most, live)
	})
	w.At(2*time.Second, func() { w.Submit(d) })
	w.Run(40 * time.Second)
	if most != 2 || !w.Done["j-1"] {
		t.Errorf("%d at once on 2 accelerators, done %v", most, w.Done["j-1"])
	}
}

// A job of higher rank takes the place of lower ones, one of the same does not.
func TestPreemption(t *testing.T) {
	w := NewWorld(6, 1, testFlavors[1:], testTeams())
	w.NoHire = true
	if os.Getenv("TRACE") != "" {
		w.Trace = func(l string) { t.Log(l) }
	}
	w.Machine("large", "a", false, 0)
	low := &protocol.Job{ID: "j-1", Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "low", TaskCount: 16, Cores: 2, MemoryGB: 1, Image: "b", EstimatedRunSeconds: 60}
	high := &protocol.Job{ID: "j-2", Class: "l", Team: "core", Kind: protocol.KindGang, Priority: "high", TaskCount: 1, Cores: 30, MemoryGB: 1, Image: "b", EstimatedRunSeconds: 5}
	same := &protocol.Job{ID: "j-3", Class: "l", Team: "core", Kind: protocol.KindGang, Priority: "low", TaskCount: 1, Cores: 30, MemoryGB: 1, Image: "b", EstimatedRunSeconds: 5}
	w.At(2*time.Second, func() { w.Submit(low) })
	w.At(8*time.Second, func() { w.Submit(same) })
	w.Run(18 * time.Second)
	if w.Done["j-3"] || w.Rules.Started != 16 {
		t.Fatalf("a job of the same rank took the place: %d started", w.Rules.Started)
	}
	w.Submit(high)
	w.Run(15 * time.Second)
	if !w.Done["j-2"] {
		t.Error("the job of higher rank did not get its place")
	}
	w.Run(300 * time.Second)
	w.Rules.End(w.Now)
	if !w.Done["j-1"] || !w.Done["j-3"] || len(w.Rules.Broken) > 0 {
		t.Errorf("done %v, broken %v", w.Done, w.Rules.Broken)
	}
}

// Each check of Rules must be able to fail.
func TestRulesCanBreak(t *testing.T) {
	d := &protocol.Job{ID: "j-1", Team: "x", TaskCount: 2, Cores: 2, Kind: protocol.KindArray, MachineTypes: []protocol.MachineTypeName{"small"}}
	p0, p1 := protocol.Task{Job: "j-1"}, protocol.Task{Job: "j-1", Index: 1}
	begin := func(r *Rules, now time.Duration, p protocol.Task, m protocol.MachineID, z protocol.Zone) {
		r.Began(now, p, m, "small", z, false)
	}
	for _, c := range []struct {
		rule string
		do   func(r *Rules)
	}{
		{"ran_twice", func(r *Rules) { begin(r, 0, p0, "m-1", "a"); begin(r, 1, p0, "m-2", "a") }},
		{"quota", func(r *Rules) { r.Limits["x"] = 3; begin(r, 0, p0, "m-1", "a"); begin(r, 0, p1, "m-2", "a") }},
		{"wrong_place", func(r *Rules) { r.Began(0, p0, "m-1", "large", "a", false) }},
		{"wrong_place", func(r *Rules) { r.Began(0, p0, "m-1", "small", "a", true) }},
		{"wrong_place", func(r *Rules) { d.SingleZone = true; begin(r, 0, p0, "m-1", "a"); begin(r, 0, p1, "m-2", "b") }},
		{"wrong_place", func(r *Rules) { d.SpreadZones = true; begin(r, 0, p0, "m-1", "a"); begin(r, 0, p1, "m-2", "a") }},
		{"ran_cancelled", func(r *Rules) {
			begin(r, 0, p0, "m-1", "a")
			r.CancelWanted("j-1")
			r.Told(0, 0, protocol.RequestCancel, "j-1", 200, protocol.JobCancelled)
			r.Watch(31 * time.Second)
		}},
		{"ran_cancelled", func(r *Rules) {
			r.CancelWanted("j-1")
			r.Told(0, 0, protocol.RequestCancel, "j-1", 200, protocol.JobCancelled)
			begin(r, 31*time.Second, p0, "m-1", "a")
		}},
		{"forgotten", func(r *Rules) {
			r.Told(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			r.Told(0, 0, protocol.RequestQuery, "j-1", 404, "")
		}},
		{"forgotten", func(r *Rules) {
			r.Told(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			r.Told(0, 0, protocol.RequestSubmit, "j-1", 422, "")
		}},
		{"invented", func(r *Rules) { r.Told(0, 0, protocol.RequestQuery, "j-2", 200, protocol.JobQueued) }},
		{"not_done", func(r *Rules) { r.Told(0, 0, protocol.RequestQuery, "j-1", 200, protocol.JobDone) }},
		{"went_back", func(r *Rules) {
			r.CancelWanted("j-1")
			r.Told(0, 0, protocol.RequestCancel, "j-1", 200, protocol.JobCancelled)
			r.Told(0, 0, protocol.RequestQuery, "j-1", 200, protocol.JobRunning)
		}},
		{"went_back", func(r *Rules) { r.Told(0, 0, protocol.RequestQuery, "j-1", 200, protocol.JobCancelled) }},
		{"nothing_ran", func(r *Rules) { r.End(0) }},
		{"forgotten", func(r *Rules) {
			r.Told(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			r.Asked(time.Second, "j-1")
			r.Told(2*time.Second, 2*time.Second, protocol.RequestQuery, "j-1", 503, "")
			r.Calm = 10 * time.Second
			r.Watch(86 * time.Second)
		}},
		{"unserved", func(r *Rules) { // its class
			begin(r, 0, p0, "m-1", "a")
			r.Told(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			r.End(time.Minute)
		}},
		{"unserved", func(r *Rules) { // the largest of its class, though most others are
			r.Told(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			for i := 0; i < 3; i++ {
				o := &protocol.Job{ID: protocol.JobID(fmt.Sprintf("j-%d", 7+i)), Team: "x", TaskCount: 1, Cores: 1, MachineTypes: d.MachineTypes}
				r.Submitted(0, o)
				r.Told(0, 0, protocol.RequestSubmit, o.ID, 201, protocol.JobQueued)
				begin(r, 0, protocol.Task{Job: o.ID}, "m-1", "a")
				r.Left(protocol.Task{Job: o.ID}, true)
			}
			r.End(time.Minute)
		}},
		{"unserved", func(r *Rules) { // begins too late
			r.Told(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			begin(r, 241*time.Second, p0, "m-1", "a")
			begin(r, 241*time.Second, p1, "m-1", "a")
			r.Left(p0, true)
			r.Left(p1, true)
			r.End(5 * time.Minute)
		}},
	} {
		d.SingleZone, d.SpreadZones = false, false
		r := NewRules(30 * time.Second)
		r.Submitted(0, d)
		c.do(r)
		if len(r.Broken) == 0 || !strings.HasPrefix(r.Broken[0], c.rule+":") {
			t.Errorf("%s was not seen: %v", c.rule, r.Broken)
		}
	}
}
