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

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

var testMachineTypes = SmallAndLargeTypes

func testTeams() map[string]step.Quota {
	return map[string]step.Quota{"core": {}, "tight": {MaxCores: 10}}
}

// submitMixedJobs sends jobs of every kind over the first minute.
func submitMixedJobs(w *World, n int) []protocol.JobID {
	var ids []protocol.JobID
	for i := 0; i < n; i++ {
		job := &protocol.Job{ID: protocol.JobID(fmt.Sprintf("j-%06d", i)), Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "standard",
			TaskCount: 1 + w.Rand.IntN(12), Cores: 2, MemoryGB: 1, Image: fmt.Sprintf("img-%d", i%3), ImageGB: 1, AllowSpot: i%2 == 0, EstimatedRunSeconds: 6}
		switch i % 6 {
		case 1:
			job.Kind, job.Priority, job.TaskCount, job.Cores = protocol.KindGang, "high", 1, 30
		case 2:
			job.Kind, job.Priority, job.TaskCount, job.SingleZone = protocol.KindGang, "high", 2+w.Rand.IntN(4), true
			job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds = 5, 1
		case 3:
			job.Team = "tight"
		case 4:
			job.SpreadZones = true
			job.Zone = ""
		case 5:
			job.Priority, job.Zone, job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds = "low", "b", 3, 1
		}
		ids = append(ids, job.ID)
		w.After(time.Duration(w.Rand.IntN(60000))*time.Millisecond, func() { w.Submit(job) })
		if i%9 == 4 {
			w.After(time.Duration(20000+w.Rand.IntN(50000))*time.Millisecond, func() {
				if w.Jobs[job.ID] != nil {
					w.Cancel(job.ID)
				}
			})
		}
	}
	return ids
}

// seedCount is how many days of each kind are played; SEEDS asks for more.
func seedCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEEDS"), 10, 16); err == nil {
		return n
	}
	return 3
}

// newMixedWorld is a deployment with eight small machines in two zones and a team that has
// a limit.
func newMixedWorld(t *testing.T, seed uint64) *World {
	w := NewWorld(seed, 3, testMachineTypes, testTeams())
	w.Rules.QuotaLimits["tight"] = 10
	if os.Getenv("TRACE") != "" {
		w.Trace = func(l string) { t.Log(l) }
	}
	for i := 0; i < 8; i++ {
		w.AddMachine("small", protocol.Zone([]string{"a", "b"}[i%2]), false, 0)
	}
	return w
}

// Days of trouble, each with several seeds. Every rule must hold on each, and
// once the trouble is over every job must come to its end.
func TestClusterUnderFaults(t *testing.T) {
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
				n := w.Controllers[i%3]
				w.After(s(10*i), func() { n.Kill() })
				w.After(s(10*i)+200*time.Millisecond, n.Start)
			}
		}},
		{"all controllers crash", 0, func(w *World) {
			for _, n := range w.Controllers {
				w.After(s(35), n.Kill)
				w.After(s(40), n.Start)
			}
		}},
		{"controllers are restarted in turn in a lossy network", 0.03, func(w *World) {
			for i, n := range w.Controllers {
				w.After(s(25+12*i), n.Kill)
				w.After(s(30+12*i), n.Start)
			}
		}},
		{"a controller is cut from the state service alone", 0, func(w *World) {
			w.After(s(25), func() { w.Controllers[0].StoreUnreachable = true })
			w.After(s(65), func() { w.Controllers[0].StoreUnreachable = false })
		}},
		{"a controller is cut from the workers alone", 0, func(w *World) {
			w.After(s(25), func() { w.Controllers[1].AgentsUnreachable = true })
			w.After(s(65), func() { w.Controllers[1].AgentsUnreachable = false })
		}},
		{"the state service is down while controllers crash", 0.01, func(w *World) {
			w.After(s(30), func() { w.Store.Unavailable = true })
			w.After(s(33), w.Controllers[2].Kill)
			w.After(s(38), w.Controllers[2].Start)
			w.After(s(50), func() { w.Store.Unavailable = false })
		}},
		{"machines die, others are cut off", 0.01, func(w *World) {
			for i := 0; i < 6; i++ {
				id := protocol.MachineID(fmt.Sprintf("m-%06d", 1+2*i))
				w.After(s(20+4*i), func() { w.TerminateMachine(id) })
				cut := protocol.MachineID(fmt.Sprintf("m-%06d", 2+2*i))
				w.After(s(20+5*i), func() {
					if m := w.Machines[cut]; m != nil {
						m.Partitioned = true
					}
				})
				w.After(s(20+5*i+6+6*i), func() {
					if m := w.Machines[cut]; m != nil {
						m.Partitioned = false
					}
				})
			}
		}},
		{"a wave of reclaims, some without notice", 0.01, func(w *World) {
			w.After(s(40), func() {
				for i, id := range slices.Sorted(maps.Keys(w.Machines)) {
					if i%3 == 0 {
						w.PreemptMachine(id, s(9))
					} else if i%3 == 1 {
						w.TerminateMachine(id)
					}
				}
			})
		}},
		{"copies of reports come late, while machines go and controllers are restarted", 0.01, func(w *World) {
			w.DuplicateHeartbeatRate = 0.3
			for i := 0; i < 8; i++ {
				id := protocol.MachineID(fmt.Sprintf("m-%06d", 1+i))
				w.After(s(20+7*i), func() { w.TerminateMachine(id) })
			}
			for i := 0; i < 6; i++ {
				n := w.Controllers[i%3]
				w.After(s(24+13*i), n.Kill)
				w.After(s(24+13*i)+time.Duration(100+w.Rand.IntN(4000))*time.Millisecond, n.Start)
			}
		}},
		{"machines are heard and do not hear", 0.01, func(w *World) {
			for i := 0; i < 8; i++ {
				m := w.Machines[protocol.MachineID(fmt.Sprintf("m-%06d", 1+i))]
				w.After(s(15+5*i), func() { m.CommandsLost = true })
				w.After(s(15+5*i+3+6*i), func() { m.CommandsLost = false })
			}
			w.After(s(45), w.Controllers[1].Kill)
			w.After(s(46), w.Controllers[1].Start)
		}},
		{"controllers are alone with their workers, in turn", 0, func(w *World) {
			w.DuplicateHeartbeatRate = 0.1
			for i, n := range w.Controllers {
				w.After(s(20+30*i), func() { n.StoreUnreachable, n.PeersUnreachable = true, true })
				w.After(s(42+30*i), func() { n.StoreUnreachable, n.PeersUnreachable = false, false })
			}
		}},
		{"all are back within a fraction of a second, also while others take over", 0.02, func(w *World) {
			w.DuplicateHeartbeatRate = 0.1
			w.After(s(18), w.Controllers[0].Kill) // the others are taking over when they end
			w.After(s(25), w.Controllers[0].Start)
			for i := 0; i < 12; i++ {
				n := w.Controllers[(i*2+1)%3]
				at := s(20) + time.Duration(i)*5300*time.Millisecond
				w.After(at, func() {
					if n.Alive {
						n.Kill()
						w.After(time.Duration(50+w.Rand.IntN(500))*time.Millisecond, n.Start)
					}
				})
			}
			for _, n := range w.Controllers {
				w.After(s(95), n.Kill)
				w.After(s(95)+time.Duration(100+w.Rand.IntN(300))*time.Millisecond, n.Start)
			}
			for i := 0; i < 5; i++ {
				id := protocol.MachineID(fmt.Sprintf("m-%06d", 2+i))
				w.After(s(30+6*i), func() { w.Machines[id].Reboot() })
			}
		}},
		{"controllers stand still in turn, within their lease and past it", 0.01, func(w *World) {
			w.DuplicateHeartbeatRate = 0.1
			for i, n := range w.Controllers {
				w.After(s(20+30*i), func() { n.Pause(s([]int{4, 9, 22}[i])) })
			}
		}},
		{"machines hang, and go on within their lease or behind it", 0.01, func(w *World) {
			for i := 0; i < 8; i++ {
				m := w.Machines[protocol.MachineID(fmt.Sprintf("m-%06d", 1+i))]
				w.After(s(15+7*i), func() { m.Hang(s(4 + 5*i)) })
			}
			w.After(s(50), w.Controllers[1].Kill)
			w.After(s(51), w.Controllers[1].Start)
		}},
		{"a zone is cut off with the controller in it, and goes on inside", 0, func(w *World) {
			n := w.Controllers[2]
			w.After(s(25), func() {
				n.StoreUnreachable, n.PeersUnreachable, n.UsersUnreachable = true, true, true
				w.PartitionedZones["b"] = n
			})
			w.After(s(30), w.Controllers[0].Kill)
			w.After(s(30)+300*time.Millisecond, w.Controllers[0].Start)
			w.After(s(65), func() {
				n.StoreUnreachable, n.PeersUnreachable, n.UsersUnreachable = false, false, false
				delete(w.PartitionedZones, "b")
			})
		}},
		{"everything at once", 0.03, func(w *World) {
			for i := 0; i < 5; i++ {
				n := w.Controllers[i%3]
				w.After(s(15+13*i), n.Kill)
				w.After(s(15+13*i)+time.Duration(w.Rand.IntN(6000))*time.Millisecond, n.Start)
				w.After(s(20+11*i), func() { w.Controllers[(i+1)%3].StoreUnreachable = true })
				w.After(s(30+11*i), func() { w.Controllers[(i+1)%3].StoreUnreachable = false })
				id := protocol.MachineID(fmt.Sprintf("m-%06d", 1+3*i))
				w.After(s(22+6*i), func() { w.TerminateMachine(id) })
			}
			w.After(s(55), func() { w.Store.Unavailable = true })
			w.After(s(63), func() { w.Store.Unavailable = false })
			w.After(s(40), func() { w.CloudUnreachable = true })
			w.After(s(50), func() { w.CloudUnreachable = false })
		}},
	} {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seedCount(); seed++ {
				w := newMixedWorld(t, seed)
				w.MessageLossRate = day.drop
				ids := submitMixedJobs(w, 30)
				day.trouble(w)
				w.Advance(s(110))
				w.MessageLossRate, w.DuplicateHeartbeatRate = 0, 0
				w.Rules.FaultsEndedAt = w.Now
				w.Advance(s(150))
				w.Rules.CheckFinal(w.Now)
				known := 0
				for _, id := range ids { // every controller knows every job
					for _, n := range w.Controllers {
						w.SendUserRequestTo(n, protocol.RequestQuery, id, nil, func(status int, _ protocol.JobState) {
							if status == 200 {
								known++
							}
						})
					}
				}
				w.Advance(s(5))
				if known != 3*len(ids) {
					t.Errorf("seed %d: %d of %d questions are answered", seed, known, 3*len(ids))
				}
				if w.Store.RejectedTooLarge > 0 {
					t.Errorf("seed %d: %d transactions too large", seed, w.Store.RejectedTooLarge)
				}
				if len(w.Rules.Violations) > 0 {
					t.Errorf("seed %d: %d rules broken:\n%s", seed, len(w.Rules.Violations), strings.Join(w.Rules.Violations[:min(5, len(w.Rules.Violations))], "\n"))
				}
				unfinished := 0
				for _, id := range ids {
					if !w.FinishedJobs[id] {
						unfinished++
						if unfinished < 4 {
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
func TestGangSavesOnPreemptionNotice(t *testing.T) {
	w := NewWorld(5, 3, testMachineTypes, testTeams())
	for i := 0; i < 12; i++ {
		w.AddMachine("small", "a", false, 0)
	}
	job := &protocol.Job{ID: "j-1", Class: "l", Team: "core", Kind: protocol.KindGang, Priority: "high", TaskCount: 5, Cores: 4, MemoryGB: 1,
		Image: "b", EstimatedRunSeconds: 40, CheckpointIntervalSeconds: 20, CheckpointSaveSeconds: 2}
	w.After(3*time.Second, func() { w.Submit(job) })
	w.Advance(20 * time.Second)
	var machine protocol.MachineID
	for _, id := range slices.Sorted(maps.Keys(w.Machines)) {
		for _, execution := range w.Machines[id].tasks {
			if execution.state == protocol.TaskRunning {
				machine = id
			}
		}
	}
	if machine == "" {
		t.Fatal("the gang does not run")
	}
	w.PreemptMachine(machine, 14*time.Second)
	w.Advance(14 * time.Second)
	if w.SavedTasks["j-1"] != 5 {
		t.Errorf("%d of 5 tasks have saved", w.SavedTasks["j-1"])
	}
	w.Advance(100 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if !w.FinishedJobs["j-1"] || len(w.Rules.Violations) > 0 {
		t.Errorf("done %v, broken %v", w.FinishedJobs["j-1"], w.Rules.Violations)
	}
}

// An owner that its workers no longer reach hands their machines to the node
// they report to, before their leases run out: the tasks go on.
func TestHandOff(t *testing.T) {
	w := NewWorld(7, 3, testMachineTypes, testTeams())
	for i := 0; i < 6; i++ {
		w.AddMachine("small", "a", false, 0)
	}
	job := &protocol.Job{ID: "j-1", Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "standard", TaskCount: 12, Cores: 2, MemoryGB: 1, Image: "b", EstimatedRunSeconds: 90}
	w.After(3*time.Second, func() { w.Submit(job) })
	w.Advance(12 * time.Second)
	owners := map[int]int{}
	for _, m := range w.Machines {
		owners[m.controllerIndex%3]++
	}
	if w.Rules.TasksStarted != 12 || owners[0] == 0 {
		t.Fatalf("%d started, owners %v", w.Rules.TasksStarted, owners)
	}
	w.Controllers[0].AgentsUnreachable = true
	w.Advance(200 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if w.Rules.TasksStarted != 12 || !w.FinishedJobs["j-1"] || len(w.Rules.Violations) > 0 {
		t.Errorf("%d starts for 12 tasks, done %v, broken %v", w.Rules.TasksStarted, w.FinishedJobs["j-1"], w.Rules.Violations)
	}
}

// Above the threshold nothing new goes to spot machines, in rentals and
// placements, until the threshold is recomputed.
func TestSpotSuspension(t *testing.T) {
	w := NewWorld(8, 3, append([]protocol.MachineType(nil), testMachineTypes...), testTeams())
	job := func(id protocol.JobID) *protocol.Job {
		return &protocol.Job{ID: id, Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "standard", TaskCount: 8, Cores: 4, MemoryGB: 1,
			Image: "b", EstimatedRunSeconds: 10, CheckpointIntervalSeconds: 5, CheckpointSaveSeconds: 1, AllowSpot: true}
	}
	spotMachines := func() (n int) {
		for _, m := range w.Machines {
			if m.Spot {
				n++
			}
		}
		return n
	}
	w.After(2*time.Second, func() { w.Submit(job("j-1")) })
	w.Advance(30 * time.Second)
	before := spotMachines()
	if !w.FinishedJobs["j-1"] || before == 0 {
		t.Fatalf("done %v with %d spot machines", w.FinishedJobs["j-1"], before)
	}
	for i := range w.MachineTypes {
		w.MachineTypes[i].SpotPrice = 0.9 * w.MachineTypes[i].OnDemandPrice
	}
	w.Advance(13 * time.Second) // the next check sees it
	tasksOnSpot := func() (n int) {
		for _, m := range w.Machines {
			if m.Spot && !m.Terminated {
				n += len(m.tasks)
			}
		}
		return n
	}
	w.Submit(job("j-2"))
	w.Advance(5 * time.Second)
	if tasksOnSpot() != 0 || spotMachines() != before {
		t.Errorf("%d tasks on spot machines, %d machines after %d", tasksOnSpot(), spotMachines(), before)
	}
	w.Advance(40 * time.Second)
	if !w.FinishedJobs["j-2"] {
		t.Error("steady machines did not take over")
	}
}

// A machine on which the tasks of two jobs fail goes back; a job that fails
// everywhere takes no machines with it and is tried ever less often.
func TestFaultyMachinesAndJobs(t *testing.T) {
	job := func(id protocol.JobID, class string) *protocol.Job {
		return &protocol.Job{ID: id, Class: class, Team: "core", Kind: protocol.KindArray, Priority: "standard", TaskCount: 4, Cores: 2, MemoryGB: 1, Image: "b", EstimatedRunSeconds: 2}
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
		w := NewWorld(9, 1, testMachineTypes[:1], testTeams())
		w.CloudOutOfCapacity = true
		w.Config.IdleTimeoutFactor = 100 // no machine goes back for being idle
		w.Controllers[0].Start()
		ids := []protocol.MachineID{w.AddMachine("small", "a", false, 0), w.AddMachine("small", "a", false, 0), w.AddMachine("small", "a", false, 0)}
		w.Machines[ids[0]].Faulty = c.faulty
		faulty := 0
		w.Trace = func(l string) {
			if logsScaleIn(l) && strings.Contains(l, "faulty") {
				faulty++
			}
		}
		for i, l := range c.lanes {
			w.After(time.Duration(3+25*i)*time.Second, func() { w.Submit(job(protocol.JobID(fmt.Sprintf("j-%d", i)), l)) })
		}
		w.Advance(145 * time.Second)
		if len(c.lanes) == 2 {
			w.Cancel("j-1") // its user sees that it never gets on
		}
		w.Advance(5 * time.Second)
		w.Rules.CheckFinal(w.Now)
		if faulty != c.gone || w.Rules.TasksStarted > c.starts || len(w.Rules.Violations) > 0 {
			t.Errorf("%s: %d went back, %d starts, broken %v", c.name, faulty, w.Rules.TasksStarted, w.Rules.Violations)
		}
		for i, l := range c.lanes {
			if l == "l" && !w.FinishedJobs[protocol.JobID(fmt.Sprintf("j-%d", i))] {
				t.Errorf("%s: j-%d is not done", c.name, i)
			}
		}
	}
}

// The largest array there may be: its records stay within the limits of the
// state service, also when tasks end in any order, and a team with a guarantee
// gets its place from one that borrows it.
func TestLargeArrayAndGuarantee(t *testing.T) {
	teams := map[string]step.Quota{"big": {}, "sure": {GuaranteedCores: 8}}
	w := NewWorld(12, 1, testMachineTypes[1:], teams)
	w.CloudOutOfCapacity = true
	w.AddMachine("large", "a", false, 0)
	w.AddMachine("large", "b", false, 0)
	job := &protocol.Job{ID: "j-1", Class: "l", Team: "big", Kind: protocol.KindArray, Priority: "high", TaskCount: protocol.MaxTasks, Cores: 0.1, MemoryGB: 0.1, Image: "b", EstimatedRunSeconds: 3}
	g := &protocol.Job{ID: "j-2", Class: "l", Team: "sure", Kind: protocol.KindGang, Priority: "low", TaskCount: 1, Cores: 8, MemoryGB: 1, Image: "b", EstimatedRunSeconds: 3}
	w.After(2*time.Second, func() { w.Submit(job) })
	w.Advance(40 * time.Second)
	w.Submit(g)
	w.Advance(25 * time.Second)
	if w.Store.RejectedTooLarge > 0 || w.Store.LargestValue > 8192 || w.Rules.TasksStarted < 1000 || len(w.Rules.Violations) > 0 {
		t.Errorf("%d transactions too large, largest value %d, %d starts, broken %v", w.Store.RejectedTooLarge, w.Store.LargestValue, w.Rules.TasksStarted, w.Rules.Violations)
	}
	if !w.FinishedJobs["j-2"] {
		t.Error("the team did not get its guarantee")
	}
}

// Tasks that need accelerators go where there are some, and no more at once
// than there are.
func TestAccelerators(t *testing.T) {
	machineTypes := append([]protocol.MachineType(nil), testMachineTypes[0], testMachineTypes[0])
	machineTypes[1].Name, machineTypes[1].Accelerators = "gpu", 2
	w := NewWorld(13, 1, machineTypes, testTeams())
	w.CloudOutOfCapacity = true
	w.AddMachine("small", "a", false, 0)
	with := w.AddMachine("gpu", "a", false, 0)
	job := &protocol.Job{ID: "j-1", Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "high", TaskCount: 6, Cores: 0.5, Accelerators: 1, MemoryGB: 1, Image: "b", EstimatedRunSeconds: 4}
	most := 0
	w.Every(100*time.Millisecond, func() {
		live := 0
		for id, m := range w.Machines {
			for _, execution := range m.tasks {
				if execution.state != protocol.TaskExited {
					live++
					if id != with {
						t.Errorf("a task is on %s, which has no accelerators", id)
					}
				}
			}
		}
		most = max(most, live)
	})
	w.After(2*time.Second, func() { w.Submit(job) })
	w.Advance(40 * time.Second)
	if most != 2 || !w.FinishedJobs["j-1"] {
		t.Errorf("%d at once on 2 accelerators, done %v", most, w.FinishedJobs["j-1"])
	}
}

// A job of higher rank takes the place of lower ones, one of the same does not.
func TestPreemption(t *testing.T) {
	w := NewWorld(6, 1, testMachineTypes[1:], testTeams())
	w.CloudOutOfCapacity = true
	if os.Getenv("TRACE") != "" {
		w.Trace = func(l string) { t.Log(l) }
	}
	w.AddMachine("large", "a", false, 0)
	low := &protocol.Job{ID: "j-1", Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "low", TaskCount: 16, Cores: 2, MemoryGB: 1, Image: "b", EstimatedRunSeconds: 60}
	high := &protocol.Job{ID: "j-2", Class: "l", Team: "core", Kind: protocol.KindGang, Priority: "high", TaskCount: 1, Cores: 30, MemoryGB: 1, Image: "b", EstimatedRunSeconds: 5}
	same := &protocol.Job{ID: "j-3", Class: "l", Team: "core", Kind: protocol.KindGang, Priority: "low", TaskCount: 1, Cores: 30, MemoryGB: 1, Image: "b", EstimatedRunSeconds: 5}
	w.After(2*time.Second, func() { w.Submit(low) })
	w.After(8*time.Second, func() { w.Submit(same) })
	w.Advance(18 * time.Second)
	if w.FinishedJobs["j-3"] || w.Rules.TasksStarted != 16 {
		t.Fatalf("a job of the same rank took the place: %d started", w.Rules.TasksStarted)
	}
	w.Submit(high)
	w.Advance(15 * time.Second)
	if !w.FinishedJobs["j-2"] {
		t.Error("the job of higher rank did not get its place")
	}
	w.Advance(300 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if !w.FinishedJobs["j-1"] || !w.FinishedJobs["j-3"] || len(w.Rules.Violations) > 0 {
		t.Errorf("done %v, broken %v", w.FinishedJobs, w.Rules.Violations)
	}
}

// Each check of Rules must be able to fail.
func TestRuleCheckerDetectsViolations(t *testing.T) {
	job := &protocol.Job{ID: "j-1", Team: "x", TaskCount: 2, Cores: 2, Kind: protocol.KindArray, MachineTypes: []protocol.MachineTypeName{"small"}}
	p0, p1 := protocol.Task{Job: "j-1"}, protocol.Task{Job: "j-1", Index: 1}
	begin := func(r *RuleChecker, now time.Duration, p protocol.Task, m protocol.MachineID, z protocol.Zone) {
		r.RecordTaskStart(now, p, m, "small", z, false)
	}
	for _, c := range []struct {
		rule string
		do   func(r *RuleChecker)
	}{
		{"ran_twice", func(r *RuleChecker) { begin(r, 0, p0, "m-1", "a"); begin(r, 1, p0, "m-2", "a") }},
		{"quota", func(r *RuleChecker) { r.QuotaLimits["x"] = 3; begin(r, 0, p0, "m-1", "a"); begin(r, 0, p1, "m-2", "a") }},
		{"wrong_place", func(r *RuleChecker) { r.RecordTaskStart(0, p0, "m-1", "large", "a", false) }},
		{"wrong_place", func(r *RuleChecker) { r.RecordTaskStart(0, p0, "m-1", "small", "a", true) }},
		{"wrong_place", func(r *RuleChecker) { job.SingleZone = true; begin(r, 0, p0, "m-1", "a"); begin(r, 0, p1, "m-2", "b") }},
		{"wrong_place", func(r *RuleChecker) { job.SpreadZones = true; begin(r, 0, p0, "m-1", "a"); begin(r, 0, p1, "m-2", "a") }},
		{"ran_cancelled", func(r *RuleChecker) {
			begin(r, 0, p0, "m-1", "a")
			r.RecordCancelRequest("j-1")
			r.RecordReply(0, 0, protocol.RequestCancel, "j-1", 200, protocol.JobCancelled)
			r.CheckTimeouts(31 * time.Second)
		}},
		{"ran_cancelled", func(r *RuleChecker) {
			r.RecordCancelRequest("j-1")
			r.RecordReply(0, 0, protocol.RequestCancel, "j-1", 200, protocol.JobCancelled)
			begin(r, 31*time.Second, p0, "m-1", "a")
		}},
		{"forgotten", func(r *RuleChecker) {
			r.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			r.RecordReply(0, 0, protocol.RequestQuery, "j-1", 404, "")
		}},
		{"forgotten", func(r *RuleChecker) {
			r.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			r.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 422, "")
		}},
		{"invented", func(r *RuleChecker) { r.RecordReply(0, 0, protocol.RequestQuery, "j-2", 200, protocol.JobQueued) }},
		{"not_done", func(r *RuleChecker) { r.RecordReply(0, 0, protocol.RequestQuery, "j-1", 200, protocol.JobDone) }},
		{"went_back", func(r *RuleChecker) {
			r.RecordCancelRequest("j-1")
			r.RecordReply(0, 0, protocol.RequestCancel, "j-1", 200, protocol.JobCancelled)
			r.RecordReply(0, 0, protocol.RequestQuery, "j-1", 200, protocol.JobRunning)
		}},
		{"went_back", func(r *RuleChecker) { r.RecordReply(0, 0, protocol.RequestQuery, "j-1", 200, protocol.JobCancelled) }},
		{"nothing_ran", func(r *RuleChecker) { r.CheckFinal(0) }},
		{"forgotten", func(r *RuleChecker) {
			r.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			r.RecordRequest(time.Second, "j-1")
			r.RecordReply(2*time.Second, 2*time.Second, protocol.RequestQuery, "j-1", 503, "")
			r.FaultsEndedAt = 10 * time.Second
			r.CheckTimeouts(86 * time.Second)
		}},
		{"unserved", func(r *RuleChecker) { // its class
			begin(r, 0, p0, "m-1", "a")
			r.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			r.CheckFinal(time.Minute)
		}},
		{"unserved", func(r *RuleChecker) { // the largest of its class, though most others are
			r.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			for i := 0; i < 3; i++ {
				o := &protocol.Job{ID: protocol.JobID(fmt.Sprintf("j-%d", 7+i)), Team: "x", TaskCount: 1, Cores: 1, MachineTypes: job.MachineTypes}
				r.RecordSubmission(0, o)
				r.RecordReply(0, 0, protocol.RequestSubmit, o.ID, 201, protocol.JobQueued)
				begin(r, 0, protocol.Task{Job: o.ID}, "m-1", "a")
				r.RecordTaskEnd(protocol.Task{Job: o.ID}, true)
			}
			r.CheckFinal(time.Minute)
		}},
		{"unserved", func(r *RuleChecker) { // begins too late
			r.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			begin(r, 241*time.Second, p0, "m-1", "a")
			begin(r, 241*time.Second, p1, "m-1", "a")
			r.RecordTaskEnd(p0, true)
			r.RecordTaskEnd(p1, true)
			r.CheckFinal(5 * time.Minute)
		}},
	} {
		job.SingleZone, job.SpreadZones = false, false
		r := NewRuleChecker(30 * time.Second)
		r.RecordSubmission(0, job)
		c.do(r)
		if len(r.Violations) == 0 || !strings.HasPrefix(r.Violations[0], c.rule+":") {
			t.Errorf("%s was not seen: %v", c.rule, r.Violations)
		}
	}
}
