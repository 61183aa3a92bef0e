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

// TestMachineCommandsLost checks a machine whose heartbeats arrive while replies and commands do not
// reach it. The machine gets no more tasks, its own tasks are placed on other machines once they are
// proven gone, and the machine is scaled in if the fault lasts. If commands reach the machine again,
// it is used again.
func TestMachineCommandsLost(t *testing.T) {
	for _, scenario := range []struct {
		name           string
		commandsResume bool
	}{{"commands stay lost", false}, {"commands arrive again", true}} {
		t.Run(scenario.name, func(t *testing.T) { testMachineCommandsLost(t, scenario.commandsResume) })
	}
}

// testMachineCommandsLost lets no command reach one machine, permanently or for 12 seconds.
func testMachineCommandsLost(t *testing.T, commandsResume bool) {
	t.Helper()
	const jobCount = 60 // small jobs, one each second, so that every machine with free capacity gets tasks
	w := newFixedWorld(21, 3, 3)
	machine := w.Machines[machineID(1)]
	for i := range jobCount {
		w.After(seconds(3+i), func() { w.Submit(newArray(jobID(i), "l", "standard", 2, 2, 3)) })
	}
	drainCount, scaleInCount, placementsAfterDrain := 0, 0, 0
	w.Trace = func(line string) {
		if logDrainChanged.isIn(line) && strings.Contains(line, string(machine.ID)+" enabled true") {
			drainCount++
		}
		if scaleInMessages.isAnyIn(line) && strings.Contains(line, string(machine.ID)) {
			scaleInCount++
		}
		if logTasksPlaced.isIn(line) && strings.Contains(line, string(machine.ID)) && machine.CommandsLost && drainCount > 0 {
			placementsAfterDrain++
		}
	}
	w.Advance(seconds(15))
	machine.CommandsLost = true
	w.Advance(seconds(12))
	if drainCount != 1 || placementsAfterDrain > 0 {
		t.Errorf("drained %d times within 12 s, want 1; %d placements after that, want none", drainCount, placementsAfterDrain)
	}
	if commandsResume {
		machine.CommandsLost = false
		w.Advance(seconds(13))
		if len(machine.tasks) == 0 {
			t.Error("the machine is not used again although commands reach it")
		}
	}
	w.Advance(seconds(100))
	w.Rules.CheckFinal(w.Now)
	if (scaleInCount == 1) != !commandsResume || len(w.Rules.Violations) > 0 || len(w.FinishedJobs) != jobCount {
		t.Errorf("scaled in %d times, want once only if commands stay lost; %d of %d jobs done, want all; violations %v, want none", scaleInCount, len(w.FinishedJobs), jobCount, w.Rules.Violations)
	}
}

// TestMachineHeartbeatsLost checks that an agent that reaches no controller, while direct commands
// reach it, gets no tasks, not even right after a command that it has replied to. Starts are sent
// in replies to heartbeats only.
func TestMachineHeartbeatsLost(t *testing.T) {
	w := newFixedWorld(23, 3, 4)
	for i := range 4 {
		w.After(5*time.Second, func() { w.Submit(newArray(protocol.JobID(fmt.Sprintf("j-9%d", i)), "l", "low", 4, 1, 300)) })
	}
	w.Advance(15 * time.Second)
	var machine *Machine
	for _, candidate := range w.sortedMachines() {
		if len(candidate.tasks) == 4 {
			machine = candidate
		}
	}
	machine.HeartbeatsLost = true
	w.Advance(7 * time.Second)
	placementCount := 0
	w.Trace = func(line string) {
		if logTasksPlaced.isIn(line) && strings.Contains(line, string(machine.ID)) && machine.HeartbeatsLost {
			placementCount++
		}
	}
	for i := 0; i < 4; i++ { // the direct commands that stop its tasks reach the machine
		w.Cancel(protocol.JobID(fmt.Sprintf("j-9%d", i)))
	}
	for i := 0; i < 30; i++ {
		w.After(time.Duration(i)*2*time.Second, func() { w.Submit(newArray(protocol.JobID(fmt.Sprintf("j-%d", i)), "l", "standard", 10, 2, 3)) })
	}
	w.Advance(7 * time.Second)
	if placementCount > 0 {
		t.Errorf("%d placements on a machine whose heartbeats are lost, want none", placementCount)
	}
	machine.HeartbeatsLost = false
	w.Rules.FaultsEndedAt = w.Now
	w.Advance(10 * time.Second)
	runningCount := 0
	for _, execution := range machine.tasks {
		if execution.state == protocol.TaskRunning {
			runningCount++
		}
	}
	if runningCount == 0 {
		t.Error("the machine is not used again although its heartbeats arrive")
	}
	w.Advance(140 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if len(w.Rules.Violations) > 0 || len(w.FinishedJobs) != 34 {
		t.Errorf("%d of 34 jobs done, want all; violations %v, want none", len(w.FinishedJobs), w.Rules.Violations)
	}
}

// TestLateDuplicateHeartbeats checks that a heartbeat that arrives after its machine is gone, or at a
// controller that does not own the machine, neither brings the machine back nor changes its owner.
func TestLateDuplicateHeartbeats(t *testing.T) {
	w := NewWorld(22, 3, testMachineTypes[:1], testTeams())
	w.CloudOutOfCapacity = true
	w.addSmallMachines(6, "a")
	w.After(3*time.Second, func() { w.Submit(newArray("j-1", "l", "standard", 12, 2, 60)) })
	w.Advance(15 * time.Second)
	machine := w.sortedMachines()[0]
	heartbeat, lateHeartbeat := machine.nextHeartbeat(), machine.nextHeartbeat() // no controller has seen their sequence numbers
	machine.sequence--
	startsBefore := w.Rules.TasksStarted
	changeCount := 0
	w.Trace = func(line string) {
		if ownershipMessages.isAnyIn(line) {
			changeCount++
		}
	}
	// The first heartbeat reaches all controllers while the machine is up. The tasks must stay on the machine.
	for i := 0; i < 40; i++ {
		w.After(time.Duration(i)*300*time.Millisecond, func() { w.Controllers[i%3].DeliverHeartbeat(heartbeat, func(int, []byte) {}) })
	}
	w.Advance(14 * time.Second)
	if changeCount != 0 || w.Rules.TasksStarted != startsBefore {
		t.Errorf("%d changes by duplicate heartbeats, want none; %d tasks started in all, want %d", changeCount, w.Rules.TasksStarted, startsBefore)
	}
	// The second heartbeat reaches all controllers once the machine is terminated and no longer recorded.
	w.TerminateMachine(machine.ID)
	w.Advance(40 * time.Second)
	changeCount = 0
	for i := 0; i < 20; i++ {
		w.After(time.Duration(i)*time.Second, func() { w.Controllers[i%3].DeliverHeartbeat(lateHeartbeat, func(int, []byte) {}) })
	}
	w.Advance(25 * time.Second)
	if changeCount != 0 {
		t.Errorf("%d changes by duplicate heartbeats of a terminated machine, want none", changeCount)
	}
	w.Advance(150 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if !w.FinishedJobs["j-1"] || len(w.Rules.Violations) > 0 {
		t.Errorf("job done: %v, want true; violations %v, want none", w.FinishedJobs["j-1"], w.Rules.Violations)
	}
}

// TestControllerIsolatedWithAgents checks that a controller that reaches neither the store nor other
// controllers replies to its agents until other controllers own their machines, so that no task is
// lost. Users get 503 from the isolated controller at once.
func TestControllerIsolatedWithAgents(t *testing.T) {
	for seed := uint64(31); seed < 34; seed++ {
		w := NewWorld(seed, 3, testMachineTypes[:1], testTeams())
		w.CloudOutOfCapacity = true
		w.addSmallMachines(9, "a")
		w.After(3*time.Second, func() { w.Submit(newArray("j-1", "l", "standard", 18, 2, 60)) })
		w.After(6*time.Second, func() { w.Submit(newArray("j-2", "l", "standard", 4, 2, 10)) })
		w.Advance(14 * time.Second)
		isolated := w.Controllers[0]
		isolated.StoreUnreachable, isolated.PeersUnreachable = true, true
		w.Advance(9 * time.Second)
		if isolated.Core.Healthy() {
			t.Errorf("seed %d: the isolated controller reports that it is healthy", seed)
		}
		askedAt := w.Now
		replyStatus, replyDelay := 0, time.Duration(0)
		w.SendUserRequestTo(isolated, protocol.RequestQuery, "j-1", nil, func(status int, _ protocol.JobState) { replyStatus, replyDelay = status, w.Now-askedAt })
		w.Advance(3 * time.Second)
		if replyStatus != 503 || replyDelay > 200*time.Millisecond {
			t.Errorf("seed %d: answered with %d after %v, want 503 within 200 ms", seed, replyStatus, replyDelay)
		}
		// The other controllers serve a job that is submitted now, with all machines.
		w.Submit(newArray("j-3", "l", "high", 4, 2, 5))
		w.Advance(60 * time.Second)
		for id, machine := range w.Machines {
			if !machine.Terminated && machine.controllerIndex%3 == 0 {
				t.Errorf("seed %d: %s still sends its heartbeats to the isolated controller", seed, id)
			}
		}
		isolated.StoreUnreachable, isolated.PeersUnreachable = false, false
		w.Rules.FaultsEndedAt = w.Now
		w.Advance(120 * time.Second)
		w.Rules.CheckFinal(w.Now)
		if w.Rules.TasksStarted != 26 || len(w.FinishedJobs) != 3 || len(w.Rules.Violations) > 0 {
			t.Errorf("seed %d: %d starts for 26 tasks, want 26; jobs done: %v, want 3; violations %v, want none", seed, w.Rules.TasksStarted, w.FinishedJobs, w.Rules.Violations)
		}
	}
}

// TestHandOff checks that an owner that its agents no longer reach hands their machines off to the
// controller that gets their heartbeats. That happens before the agents' leases expire, so that
// the tasks go on.
func TestHandOff(t *testing.T) {
	w := NewWorld(7, 3, testMachineTypes, testTeams())
	w.addSmallMachines(6, "a")
	job := newArray("j-1", "l", "standard", 12, 2, 90)
	w.After(3*time.Second, func() { w.Submit(job) })
	w.Advance(12 * time.Second)
	machineCounts := map[int]int{}
	for _, machine := range w.Machines {
		machineCounts[machine.controllerIndex%3]++
	}
	if w.Rules.TasksStarted != 12 || machineCounts[0] == 0 {
		t.Fatalf("%d tasks started, want 12; machines by controller: %v, want some of controller 0", w.Rules.TasksStarted, machineCounts)
	}
	w.Controllers[0].AgentsUnreachable = true
	w.Advance(200 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if w.Rules.TasksStarted != 12 || !w.FinishedJobs["j-1"] || len(w.Rules.Violations) > 0 {
		t.Errorf("%d starts for 12 tasks, want 12; job done: %v, want true; violations %v, want none", w.Rules.TasksStarted, w.FinishedJobs["j-1"], w.Rules.Violations)
	}
}

// TestNoStarvation checks that no job starves: the largest jobs of a class start within four minutes,
// and half of the jobs of each class are served, whatever stream of jobs they compete with. Without
// aging each of these scenarios breaks that rule, which shows that aging prevents starvation.
func TestNoStarvation(t *testing.T) {
	withDeadline := func(job *protocol.Job, deadlineSeconds float64) *protocol.Job {
		job.DeadlineSeconds = &deadlineSeconds
		return job
	}
	for _, scenario := range []struct {
		name       string
		watchedJob *protocol.Job
		// The stream of jobs that watchedJob competes with.
		competitorInterval time.Duration
		newCompetitor      func(id protocol.JobID) *protocol.Job
	}{
		{"a large array without a deadline among small ones", newArray("j-1", "l", "standard", 300, 2, 4), 780 * time.Millisecond,
			func(id protocol.JobID) *protocol.Job {
				return withDeadline(newArray(id, "l", "standard", 8, 2, 6), 30)
			}},
		{"a gang of whole machines among smaller ones", newGang("j-1", "g", "high", 4, 30, 10), 3300 * time.Millisecond,
			func(id protocol.JobID) *protocol.Job {
				return withDeadline(newGang(id, "g", "high", 1, 30, 12), 20)
			}},
		{"a low-priority array in a long burst of standard ones", newArray("j-1", "night", "low", 12, 4, 10), 800 * time.Millisecond,
			func(id protocol.JobID) *protocol.Job { return newArray(id, "l", "standard", 8, 2, 6) }},
	} {
		for _, variant := range []struct {
			agingEnabled    bool
			controllerCount int // several controllers divide the capacity between their jobs
		}{{true, 3}, {true, 1}, {false, 1}} {
			t.Run(fmt.Sprintf("%s, aging %v, %d controllers", scenario.name, variant.agingEnabled, variant.controllerCount), func(t *testing.T) {
				w := newStarvationWorld(variant.controllerCount, variant.agingEnabled)
				competitorCount := 0
				w.Every(scenario.competitorInterval, func() {
					if competitorCount++; w.Now < seconds(390) {
						w.Submit(scenario.newCompetitor(jobID(100 + competitorCount)))
					}
				})
				w.After(seconds(20), func() { w.Submit(scenario.watchedJob) })
				w.Advance(seconds(400))
				w.Rules.CheckFinal(w.Now)
				checkStarvation(t, w, !variant.agingEnabled)
			})
		}
	}
}

// newStarvationWorld returns a deployment of four large machines. The cloud has no more.
func newStarvationWorld(controllerCount int, agingEnabled bool) *World {
	w := NewWorld(41, controllerCount, testMachineTypes[1:], testTeams())
	w.CloudOutOfCapacity = true
	w.restartWithConfig(func(config *step.Config) {
		config.IdleTimeoutFactor = 100
		if !agingEnabled {
			config.AgingThreshold = time.Hour
		}
	})
	for range 4 {
		w.AddMachine("large", "a", false, 0)
	}
	return w
}

// checkStarvation checks that the watched job or its class starved if that is wanted, and did not
// starve otherwise. It also checks that no rule but those on starvation was broken.
func checkStarvation(t *testing.T, w *World, wantStarved bool) {
	t.Helper()
	starvationCount := 0
	for _, violation := range w.Rules.Violations {
		isStarvation := strings.HasPrefix(violation, "unserved")
		concernsWatchedJob := strings.Contains(violation, "j-1 ") || strings.Contains(violation, "largest") || strings.Contains(violation, "night")
		switch {
		case isStarvation && concernsWatchedJob:
			starvationCount++
		case !isStarvation:
			t.Error(violation)
		}
	}
	if (starvationCount > 0) != wantStarved {
		t.Errorf("starved: %v, want %v; the watched job started at %v, violations %v", starvationCount > 0, wantStarved, w.Rules.job("j-1").firstTaskAt, w.Rules.Violations)
	}
}

// TestMachineInOneShard checks that a machine is in one shard only, although its heartbeats reach
// several controllers at the same moment, each of which may adopt the machine.
func TestMachineInOneShard(t *testing.T) {
	for seed := uint64(51); seed < 56; seed++ {
		w := NewWorld(seed, 3, testMachineTypes[:1], testTeams())
		w.CloudOutOfCapacity = true
		w.Advance(2 * time.Second)
		for i := range 8 {
			machine := w.Machines[w.AddMachine("small", "a", false, time.Hour)] // up in an hour, so that it sends no heartbeat by itself
			w.After(time.Duration(i)*400*time.Millisecond, func() {
				for _, controller := range w.Controllers {
					controller.DeliverHeartbeat(machine.nextHeartbeat(), func(int, []byte) {})
				}
			})
		}
		conflictCount := 0
		w.Trace = func(line string) {
			if logTransactionConflict.isIn(line) {
				conflictCount++
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
		for id, count := range shardCounts {
			if count != 1 {
				t.Errorf("seed %d: machine %s is in %d shards, want 1", seed, id, count)
			}
		}
		if len(shardCounts) != 8 || conflictCount == 0 {
			t.Errorf("seed %d: %d of 8 machines recorded, want all; %d transaction conflicts, want some", seed, len(shardCounts), conflictCount)
		}
	}
}

// TestShardsAreSpread checks that the shards of earlier incarnations are spread over the controllers
// when all controllers come back at once. A controller that comes back later and has far fewer
// shards than the others gets some of theirs.
func TestShardsAreSpread(t *testing.T) {
	for _, scenario := range []struct {
		name                 string
		minRebalanceInterval time.Duration // between transfers for balance
		restart              func(w *World)
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
		t.Run(scenario.name, func(t *testing.T) {
			w := NewWorld(61, 3, testMachineTypes[:1], testTeams())
			w.CloudOutOfCapacity = true
			w.restartWithConfig(func(config *step.Config) {
				config.IdleTimeoutFactor = 1000
				config.ValueBytes = 1024 // few machines in a shard, so that there are many shards
				config.MinRebalanceInterval = scenario.minRebalanceInterval
			})
			w.addSmallMachines(60, "a")
			w.Advance(seconds(20))
			scenario.restart(w)
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
			fewest, most := 1000, 0
			for _, controller := range w.Controllers {
				fewest = min(fewest, shardCounts[string(controller.ID)])
				most = max(most, shardCounts[string(controller.ID)])
			}
			if most < 4 || 3*fewest < most || len(w.Rules.Violations) > 0 {
				t.Errorf("shards by controller: %v, want at least 4 at the controller with the most, and at least a third of that at each; violations %v, want none", shardCounts, w.Rules.Violations)
			}
		})
	}
}

// TestGangTooLargeForRecord checks that a gang on more machines than a value in the store can list
// neither blocks other writes nor is forgotten.
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
		t.Errorf("%d transactions too large, want none; jobs done: %v, want 3; violations %v, want none", w.Store.TooLargeTransactions, w.FinishedJobs, w.Rules.Violations)
	}
}
