package simulation

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// A machine whose heartbeats arrive while replies and commands do not reach it gets no more
// tasks, its own are placed elsewhere once they are proven gone, and it is scaled in if that
// lasts. One that commands reach again is used again.
func TestMachineCommandsLost(t *testing.T) {
	for _, c := range []struct {
		name  string
		heals bool
	}{{"commands stay lost", false}, {"commands arrive again", true}} {
		t.Run(c.name, func(t *testing.T) { playCommandsLost(t, c.heals) })
	}
}

func playCommandsLost(t *testing.T, heals bool) {
	t.Helper()
	const jobs = 60 // small ones all the time: every machine with free capacity gets some
	w := newFixedWorld(21, 3, 3)
	m := w.Machines[machineID(1)]
	for i := range jobs {
		w.After(seconds(3+i), func() { w.Submit(newArray(jobNumber(i), "l", "standard", 2, 2, 3)) })
	}
	drains, scaleIns, placedAfterDrain := 0, 0, 0
	w.Trace = func(line string) {
		if logDrainChanged.isIn(line) && strings.Contains(line, string(m.ID)+" enabled true") {
			drains++
		}
		if scaleInMessages.areIn(line) && strings.Contains(line, string(m.ID)) {
			scaleIns++
		}
		if logTasksPlaced.isIn(line) && strings.Contains(line, string(m.ID)) && m.CommandsLost && drains > 0 {
			placedAfterDrain++
		}
	}
	w.Advance(seconds(15))
	m.CommandsLost = true
	w.Advance(seconds(12))
	if drains != 1 || placedAfterDrain > 0 {
		t.Errorf("drained %d times within 12 s, %d placements after that", drains, placedAfterDrain)
	}
	if heals {
		m.CommandsLost = false
		w.Advance(seconds(13))
		if len(m.tasks) == 0 {
			t.Error("the machine is not used again")
		}
	}
	w.Advance(seconds(100))
	w.Rules.CheckFinal(w.Now)
	if (scaleIns == 1) != !heals || len(w.Rules.Violations) > 0 || len(w.FinishedJobs) != jobs {
		t.Errorf("scaled in %d times, %d of %d jobs done, broken %v", scaleIns, len(w.FinishedJobs), jobs, w.Rules.Violations)
	}
}

// An agent that reaches no controller, while direct commands reach it, gets no tasks, also right
// after a command that it has replied to: starts are sent in replies to heartbeats only.
func TestMachineHeartbeatsLost(t *testing.T) {
	w := newFixedWorld(23, 3, 4)
	for i := range 4 {
		w.After(5*time.Second, func() { w.Submit(newArray(protocol.JobID(fmt.Sprintf("j-9%d", i)), "l", "low", 4, 1, 300)) })
	}
	w.Advance(15 * time.Second)
	var m *Machine
	for _, full := range w.sortedMachines() {
		if len(full.tasks) == 4 {
			m = full
		}
	}
	m.HeartbeatsLost = true
	w.Advance(7 * time.Second)
	placed := 0
	w.Trace = func(line string) {
		if logTasksPlaced.isIn(line) && strings.Contains(line, string(m.ID)) && m.HeartbeatsLost {
			placed++
		}
	}
	for i := 0; i < 4; i++ { // its stops reach it
		w.Cancel(protocol.JobID(fmt.Sprintf("j-9%d", i)))
	}
	for i := 0; i < 30; i++ {
		w.After(time.Duration(i)*2*time.Second, func() { w.Submit(newArray(protocol.JobID(fmt.Sprintf("j-%d", i)), "l", "standard", 10, 2, 3)) })
	}
	w.Advance(7 * time.Second)
	if placed > 0 {
		t.Errorf("%d placements on a machine whose heartbeats are lost", placed)
	}
	m.HeartbeatsLost = false
	w.Rules.FaultsEndedAt = w.Now
	w.Advance(10 * time.Second)
	running := 0
	for _, execution := range m.tasks {
		if execution.state == protocol.TaskRunning {
			running++
		}
	}
	if running == 0 {
		t.Error("the machine is not used again")
	}
	w.Advance(140 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if len(w.Rules.Violations) > 0 || len(w.FinishedJobs) != 34 {
		t.Errorf("%d of 34 done, broken %v", len(w.FinishedJobs), w.Rules.Violations)
	}
}

// A heartbeat that outlived its machine, or that reaches a controller which does not own it,
// brings no machine back and makes no new owner.
func TestLateDuplicateHeartbeats(t *testing.T) {
	w := NewWorld(22, 3, testMachineTypes[:1], testTeams())
	w.CloudOutOfCapacity = true
	w.addSmallMachines(6, "a")
	w.After(3*time.Second, func() { w.Submit(newArray("j-1", "l", "standard", 12, 2, 60)) })
	w.Advance(15 * time.Second)
	m := w.sortedMachines()[0]
	heartbeat, lateHeartbeat := m.nextHeartbeat(), m.nextHeartbeat() // one more than any controller has seen
	m.sequence--
	started := w.Rules.TasksStarted
	changes := 0
	w.Trace = func(line string) {
		if ownershipMessages.areIn(line) {
			changes++
		}
	}
	// To all controllers while the machine lives: its tasks stay where they are.
	for i := 0; i < 40; i++ {
		w.After(time.Duration(i)*300*time.Millisecond, func() { w.Controllers[i%3].DeliverHeartbeat(heartbeat, func(int, []byte) {}) })
	}
	w.Advance(14 * time.Second)
	if changes != 0 || w.Rules.TasksStarted != started {
		t.Errorf("%d changes by duplicate heartbeats, %d starts after %d", changes, w.Rules.TasksStarted, started)
	}
	// And once it is gone and off the records.
	w.TerminateMachine(m.ID)
	w.Advance(40 * time.Second)
	changes = 0
	for i := 0; i < 20; i++ {
		w.After(time.Duration(i)*time.Second, func() { w.Controllers[i%3].DeliverHeartbeat(lateHeartbeat, func(int, []byte) {}) })
	}
	w.Advance(25 * time.Second)
	if changes != 0 {
		t.Errorf("%d changes by duplicate heartbeats of a machine that is gone", changes)
	}
	w.Advance(150 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if !w.FinishedJobs["j-1"] || len(w.Rules.Violations) > 0 {
		t.Errorf("done %v, broken %v", w.FinishedJobs["j-1"], w.Rules.Violations)
	}
}

// A controller that reaches neither the store nor other controllers goes on replying to its
// agents until its successors have them: no task is lost. Users get 503 from it at once.
func TestControllerIsolatedWithAgents(t *testing.T) {
	for seed := uint64(31); seed < 34; seed++ {
		w := NewWorld(seed, 3, testMachineTypes[:1], testTeams())
		w.CloudOutOfCapacity = true
		w.addSmallMachines(9, "a")
		w.After(3*time.Second, func() { w.Submit(newArray("j-1", "l", "standard", 18, 2, 60)) })
		w.After(6*time.Second, func() { w.Submit(newArray("j-2", "l", "standard", 4, 2, 10)) })
		w.Advance(14 * time.Second)
		controller := w.Controllers[0]
		controller.StoreUnreachable, controller.PeersUnreachable = true, true
		w.Advance(9 * time.Second)
		if controller.Core.Healthy() {
			t.Errorf("seed %d: it reports that it is healthy", seed)
		}
		askedAt := w.Now
		status, after := 0, time.Duration(0)
		w.SendUserRequestTo(controller, protocol.RequestQuery, "j-1", nil, func(s int, _ protocol.JobState) { status, after = s, w.Now-askedAt })
		w.Advance(3 * time.Second)
		if status != 503 || after > 200*time.Millisecond {
			t.Errorf("seed %d: answered %d after %v", seed, status, after)
		}
		// What is submitted now is served without it, by all machines.
		w.Submit(newArray("j-3", "l", "high", 4, 2, 5))
		w.Advance(60 * time.Second)
		for id, m := range w.Machines {
			if !m.Terminated && m.controllerIndex%3 == 0 {
				t.Errorf("seed %d: %s still sends its heartbeats to it", seed, id)
			}
		}
		controller.StoreUnreachable, controller.PeersUnreachable = false, false
		w.Rules.FaultsEndedAt = w.Now
		w.Advance(120 * time.Second)
		w.Rules.CheckFinal(w.Now)
		if w.Rules.TasksStarted != 26 || len(w.FinishedJobs) != 3 || len(w.Rules.Violations) > 0 {
			t.Errorf("seed %d: %d starts for 26 tasks, done %v, broken %v", seed, w.Rules.TasksStarted, w.FinishedJobs, w.Rules.Violations)
		}
	}
}

// An owner that its agents no longer reach hands their machines off to the controller that gets
// their heartbeats, before their leases expire: the tasks go on.
func TestHandOff(t *testing.T) {
	w := NewWorld(7, 3, testMachineTypes, testTeams())
	w.addSmallMachines(6, "a")
	job := newArray("j-1", "l", "standard", 12, 2, 90)
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

// Nothing starves: the largest jobs of a class start within four minutes, and half of each class
// is served, whatever stream of jobs they compete with. Without aging each of these days breaks
// that rule, which shows that aging is the guard.
func TestNoStarvation(t *testing.T) {
	withDeadline := func(job *protocol.Job, s float64) *protocol.Job {
		job.DeadlineSeconds = &s
		return job
	}
	for _, c := range []struct {
		name  string
		first *protocol.Job
		// The stream that it competes with.
		interval time.Duration
		next     func(id protocol.JobID) *protocol.Job
	}{
		{"a large array without a deadline among small ones", newArray("j-1", "l", "standard", 300, 2, 4), 780 * time.Millisecond,
			func(id protocol.JobID) *protocol.Job {
				return withDeadline(newArray(id, "l", "standard", 8, 2, 6), 30)
			}},
		{"a gang of whole machines among smaller ones", newGang("j-1", "g", "high", 4, 30, 10), 3300 * time.Millisecond,
			func(id protocol.JobID) *protocol.Job {
				return withDeadline(newGang(id, "g", "high", 1, 30, 12), 20)
			}},
		{"low priority in a long burst", newArray("j-1", "night", "low", 12, 4, 10), 800 * time.Millisecond,
			func(id protocol.JobID) *protocol.Job { return newArray(id, "l", "standard", 8, 2, 6) }},
	} {
		for _, variant := range []struct {
			aging       bool
			controllers int // several divide the capacity between their jobs
		}{{true, 3}, {true, 1}, {false, 1}} {
			t.Run(fmt.Sprintf("%s, aging %v, %d controllers", c.name, variant.aging, variant.controllers), func(t *testing.T) {
				w := newStarvationWorld(variant.controllers, variant.aging)
				count := 0
				w.Every(c.interval, func() {
					if count++; w.Now < seconds(390) {
						w.Submit(c.next(jobNumber(100 + count)))
					}
				})
				w.After(seconds(20), func() { w.Submit(c.first) })
				w.Advance(seconds(400))
				w.Rules.CheckFinal(w.Now)
				checkStarvation(t, w, !variant.aging)
			})
		}
	}
}

// newStarvationWorld is a deployment of four large machines.
func newStarvationWorld(controllers int, aging bool) *World {
	w := NewWorld(41, controllers, testMachineTypes[1:], testTeams())
	w.CloudOutOfCapacity = true
	w.restartWithConfig(func(config *step.Config) {
		config.IdleTimeoutFactor = 100
		if !aging {
			config.AgingThreshold = time.Hour
		}
	})
	for range 4 {
		w.AddMachine("large", "a", false, 0)
	}
	return w
}

// checkStarvation checks whether the first job or its class starved, and that nothing else was
// wrong.
func checkStarvation(t *testing.T, w *World, wantStarved bool) {
	t.Helper()
	starved := 0
	for _, violation := range w.Rules.Violations {
		isStarvation := strings.HasPrefix(violation, "unserved")
		concernsFirst := strings.Contains(violation, "j-1 ") || strings.Contains(violation, "largest") || strings.Contains(violation, "night")
		switch {
		case isStarvation && concernsFirst:
			starved++
		case !isStarvation:
			t.Error(violation)
		}
	}
	if (starved > 0) != wantStarved {
		t.Errorf("starved %v, want %v; started at %v, broken %v", starved > 0, wantStarved, w.Rules.job("j-1").firstTaskAt, w.Rules.Violations)
	}
}

// A machine whose heartbeats reach several controllers at the same moment, each of which may
// adopt it, is in one shard only.
func TestMachineOnOneShard(t *testing.T) {
	for seed := uint64(51); seed < 56; seed++ {
		w := NewWorld(seed, 3, testMachineTypes[:1], testTeams())
		w.CloudOutOfCapacity = true
		w.Advance(2 * time.Second)
		for i := range 8 {
			m := w.Machines[w.AddMachine("small", "a", false, time.Hour)] // sends no heartbeat by itself
			w.After(time.Duration(i)*400*time.Millisecond, func() {
				for _, controller := range w.Controllers {
					controller.DeliverHeartbeat(m.nextHeartbeat(), func(int, []byte) {})
				}
			})
		}
		conflicts := 0
		w.Trace = func(line string) {
			if logTransactionConflict.isIn(line) {
				conflicts++
			}
		}
		w.Advance(6 * time.Second)
		shardCounts := map[string]int{}
		for _, entry := range w.Store.List(storage.ShardKey("")) {
			var shard struct {
				Machines []string `json:"m"`
			}
			if err := json.Unmarshal(entry.Value, &shard); err != nil {
				t.Fatal(err)
			}
			for _, line := range shard.Machines {
				id, _, _ := strings.Cut(line, " ")
				shardCounts[id]++
			}
		}
		for id, n := range shardCounts {
			if n != 1 {
				t.Errorf("seed %d: %s is in %d shards", seed, id, n)
			}
		}
		if len(shardCounts) != 8 || conflicts == 0 {
			t.Errorf("seed %d: %d of 8 machines on record, %d transaction conflicts", seed, len(shardCounts), conflicts)
		}
	}
}

// When all controllers come back at once, the shards of their earlier incarnations are spread
// over them; one that comes back later and has far fewer is given some.
func TestShardsAreSpread(t *testing.T) {
	for _, c := range []struct {
		name        string
		minInterval time.Duration // between transfers for balance
		restart     func(w *World)
	}{
		{"all crash and are back one after the other", time.Hour, func(w *World) {
			for i, controller := range w.Controllers {
				controller.ScheduleRestart(0, seconds(5+0.5*float64(i)))
			}
			w.Advance(seconds(25))
		}},
		{"one is back after the others have taken over", seconds(3), func(w *World) {
			w.Controllers[0].Kill()
			w.Advance(seconds(25))
			w.Controllers[0].Start()
			w.Advance(seconds(60))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := NewWorld(61, 3, testMachineTypes[:1], testTeams())
			w.CloudOutOfCapacity = true
			w.restartWithConfig(func(config *step.Config) {
				config.IdleTimeoutFactor = 1000
				config.ValueBytes = 1024 // few machines in a shard
				config.MinRebalanceInterval = c.minInterval
			})
			w.addSmallMachines(60, "a")
			w.Advance(seconds(20))
			c.restart(w)
			shardCounts := map[string]int{}
			for _, entry := range w.Store.List(storage.ShardKey("")) {
				var shard struct {
					Owner string `json:"o"`
				}
				if err := json.Unmarshal(entry.Value, &shard); err != nil {
					t.Fatal(err)
				}
				owner, _, _ := strings.Cut(shard.Owner, "#")
				shardCounts[owner]++
			}
			least, most := 1000, 0
			for _, controller := range w.Controllers {
				least = min(least, shardCounts[string(controller.ID)])
				most = max(most, shardCounts[string(controller.ID)])
			}
			if most < 4 || 3*least < most || len(w.Rules.Violations) > 0 {
				t.Errorf("%v, broken %v", shardCounts, w.Rules.Violations)
			}
		})
	}
}

// A gang on more machines than a value can list neither blocks other writes nor is forgotten.
func TestGangTooLargeForRecord(t *testing.T) {
	w := NewWorld(71, 1, testMachineTypes[:1], testTeams())
	w.CloudOutOfCapacity = true
	w.Store.MaxValueBytes = 2048
	w.restartWithConfig(func(config *step.Config) {
		config.ValueBytes = 2048
		config.IdleTimeoutFactor = 100
	})
	w.addSmallMachines(200, "a")
	w.After(seconds(6), func() { w.Submit(newArray("j-1", "l", "low", 200, 4, 15)) })
	w.After(seconds(16), func() { w.Submit(newGang("j-2", "g", "high", 190, 4, 5)) })
	w.After(seconds(18), func() { w.Submit(newArray("j-3", "l", "low", 4, 4, 5)) })
	w.Advance(seconds(150))
	w.Rules.CheckFinal(w.Now)
	if w.Store.TooLargeTransactions > 0 || len(w.FinishedJobs) != 3 || len(w.Rules.Violations) > 0 {
		t.Errorf("%d transactions too large, done %v, broken %v", w.Store.TooLargeTransactions, w.FinishedJobs, w.Rules.Violations)
	}
}
