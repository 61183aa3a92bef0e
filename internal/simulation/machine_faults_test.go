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

func newArray(id protocol.JobID, class string, priority protocol.Priority, tasks int, cores, runSeconds float64) *protocol.Job {
	return &protocol.Job{ID: id, Class: class, Team: "core", Kind: protocol.KindArray, Priority: priority, TaskCount: tasks, Cores: cores, MemoryGB: 1, Image: "b", EstimatedRunSeconds: runSeconds}
}

func newGang(id protocol.JobID, class string, priority protocol.Priority, tasks int, cores, runSeconds float64) *protocol.Job {
	job := newArray(id, class, priority, tasks, cores, runSeconds)
	job.Kind = protocol.KindGang
	return job
}

// logsScaleIn tells whether a log line says that a machine is returned to the cloud, on
// record or not.
func logsScaleIn(line string) bool {
	return strings.Contains(line, "machine scale-in") || strings.Contains(line, "unrecorded machine termination")
}

// A machine whose reports arrive while answers and commands do not reach it
// takes no more work, its tasks move on proof, and it is replaced if it stays
// so; one that hears again is used again.
func TestMachineCommandsLost(t *testing.T) {
	for _, c := range []struct {
		name  string
		heals bool
	}{{"stays deaf", false}, {"hears again", true}} {
		w := NewWorld(21, 3, testMachineTypes[:1], testTeams())
		w.CloudOutOfCapacity = true
		w.Config.IdleTimeoutFactor = 100
		for _, controller := range w.Controllers {
			controller.Start()
		}
		var ids []protocol.MachineID
		for i := 0; i < 3; i++ {
			ids = append(ids, w.AddMachine("small", "a", false, 0))
		}
		m := w.Machines[ids[0]]
		// Small tasks all the time: whoever has room gets some.
		for i := 0; i < 60; i++ {
			w.After(time.Duration(3+i)*time.Second, func() { w.Submit(newArray(protocol.JobID(fmt.Sprintf("j-%d", i)), "l", "standard", 2, 2, 3)) })
		}
		drained, released, placedAfterDrain := 0, 0, 0
		w.Trace = func(l string) {
			if strings.Contains(l, "machine drain changed") && strings.Contains(l, string(ids[0])+" enabled true") {
				drained++
			}
			if logsScaleIn(l) && strings.Contains(l, string(ids[0])) {
				released++
			}
			if strings.Contains(l, "tasks placed") && strings.Contains(l, string(ids[0])) && m.CommandsLost && drained > 0 {
				placedAfterDrain++
			}
		}
		w.Advance(15 * time.Second)
		m.CommandsLost = true
		w.Advance(12 * time.Second)
		if drained != 1 || placedAfterDrain > 0 {
			t.Errorf("%s: drained %d times within 12 s, %d placements behind that", c.name, drained, placedAfterDrain)
		}
		if c.heals {
			m.CommandsLost = false
			w.Advance(13 * time.Second)
			if len(m.tasks) == 0 {
				t.Errorf("%s: the machine is not used again", c.name)
			}
		}
		w.Advance(100 * time.Second)
		w.Rules.CheckFinal(w.Now)
		if (released == 1) != !c.heals || len(w.Rules.Violations) > 0 || len(w.FinishedJobs) != 60 {
			t.Errorf("%s: went back %d times, %d of 60 done, broken %v", c.name, released, len(w.FinishedJobs), w.Rules.Violations)
		}
	}
}

// A worker that reaches no controller, while direct commands reach it, gets no work, also
// right behind a command that it has answered: starts go out in answers to its reports only.
func TestMachineHeartbeatsLost(t *testing.T) {
	w := NewWorld(23, 3, testMachineTypes[:1], testTeams())
	w.CloudOutOfCapacity = true
	w.Config.IdleTimeoutFactor = 100
	for _, controller := range w.Controllers {
		controller.Start()
	}
	for i := 0; i < 4; i++ {
		w.AddMachine("small", "a", false, 0)
	}
	for i := 0; i < 4; i++ {
		w.After(5*time.Second, func() { w.Submit(newArray(protocol.JobID(fmt.Sprintf("j-9%d", i)), "l", "low", 4, 1, 300)) })
	}
	w.Advance(15 * time.Second)
	var m *Machine
	for _, id := range slices.Sorted(maps.Keys(w.Machines)) {
		if len(w.Machines[id].tasks) == 4 {
			m = w.Machines[id]
		}
	}
	m.HeartbeatsLost = true
	w.Advance(7 * time.Second)
	placed := 0
	w.Trace = func(l string) {
		if strings.Contains(l, "tasks placed") && strings.Contains(l, string(m.ID)) && m.HeartbeatsLost {
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
		t.Errorf("%d placements on a machine that does not report", placed)
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

// A report that outlived its machine, or comes to where it does not belong,
// brings nothing back and makes no new owner.
func TestLateDuplicateHeartbeats(t *testing.T) {
	w := NewWorld(22, 3, testMachineTypes[:1], testTeams())
	w.CloudOutOfCapacity = true
	for i := 0; i < 6; i++ {
		w.AddMachine("small", "a", false, 0)
	}
	w.After(3*time.Second, func() { w.Submit(newArray("j-1", "l", "standard", 12, 2, 60)) })
	w.Advance(15 * time.Second)
	id := slices.Sorted(maps.Keys(w.Machines))[0]
	m := w.Machines[id]
	heartbeat, lateHeartbeat := m.nextHeartbeat(), m.nextHeartbeat() // one more than any controller has seen
	m.sequence--
	started := w.Rules.TasksStarted
	changes := 0
	w.Trace = func(l string) {
		for _, what := range []string{"adopted", "handed off", "ownership transferred", "shard failover", "requeued", "task ended"} {
			if strings.Contains(l, what) {
				changes++
			}
		}
	}
	// To all controllers while the machine lives: its tasks stay where they are.
	for i := 0; i < 40; i++ {
		w.After(time.Duration(i)*300*time.Millisecond, func() { w.Controllers[i%3].DeliverHeartbeat(heartbeat, func(int, []byte) {}) })
	}
	w.Advance(14 * time.Second)
	if changes != 0 || w.Rules.TasksStarted != started {
		t.Errorf("%d changes by copies, %d starts after %d", changes, w.Rules.TasksStarted, started)
	}
	// And once it is gone and off the records.
	w.TerminateMachine(id)
	w.Advance(40 * time.Second)
	changes = 0
	for i := 0; i < 20; i++ {
		w.After(time.Duration(i)*time.Second, func() { w.Controllers[i%3].DeliverHeartbeat(lateHeartbeat, func(int, []byte) {}) })
	}
	w.Advance(25 * time.Second)
	if changes != 0 {
		t.Errorf("%d changes by copies of a machine that is gone", changes)
	}
	w.Advance(150 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if !w.FinishedJobs["j-1"] || len(w.Rules.Violations) > 0 {
		t.Errorf("done %v, broken %v", w.FinishedJobs["j-1"], w.Rules.Violations)
	}
}

// A controller that hears neither the state service nor other controllers goes
// on answering its workers until its successors have them: no task is lost.
// Users get 503 from it at once.
func TestControllerIsolatedWithAgents(t *testing.T) {
	for seed := uint64(31); seed < 34; seed++ {
		w := NewWorld(seed, 3, testMachineTypes[:1], testTeams())
		w.CloudOutOfCapacity = true
		for i := 0; i < 9; i++ {
			w.AddMachine("small", "a", false, 0)
		}
		w.After(3*time.Second, func() { w.Submit(newArray("j-1", "l", "standard", 18, 2, 60)) })
		w.After(6*time.Second, func() { w.Submit(newArray("j-2", "l", "standard", 4, 2, 10)) })
		w.Advance(14 * time.Second)
		controller := w.Controllers[0]
		controller.StoreUnreachable, controller.PeersUnreachable = true, true
		w.Advance(9 * time.Second)
		if controller.Core.Healthy() {
			t.Errorf("seed %d: it is healthy", seed)
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
				t.Errorf("seed %d: %s still reports to it", seed, id)
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

// Nothing starves: the largest jobs of a class begin within four minutes, and
// half of each class is served, whatever stream they stand against. Without
// aging each of these days breaks that rule, which shows that it is the guard.
func TestNoStarvation(t *testing.T) {
	withDeadline := func(job *protocol.Job, s float64) *protocol.Job {
		job.DeadlineSeconds = &s
		return job
	}
	for _, c := range []struct {
		name  string
		first *protocol.Job
		// The stream: a job every so often.
		every  time.Duration
		stream func(id protocol.JobID, i int) *protocol.Job
	}{
		{"a large array without a deadline among small ones", newArray("j-1", "l", "standard", 300, 2, 4), 780 * time.Millisecond,
			func(id protocol.JobID, i int) *protocol.Job {
				return withDeadline(newArray(id, "l", "standard", 8, 2, 6), 30)
			}},
		{"a gang of whole machines among smaller ones", newGang("j-1", "g", "high", 4, 30, 10), 3300 * time.Millisecond,
			func(id protocol.JobID, i int) *protocol.Job {
				return withDeadline(newGang(id, "g", "high", 1, 30, 12), 20)
			}},
		{"low rank in a long burst", newArray("j-1", "night", "low", 12, 4, 10), 800 * time.Millisecond,
			func(id protocol.JobID, i int) *protocol.Job { return newArray(id, "l", "standard", 8, 2, 6) }},
	} {
		for _, try := range []struct {
			aging bool
			nodes int
		}{{true, 3}, {true, 1}, {false, 1}} { // several share the room between their jobs
			aging := try.aging
			w := NewWorld(41, try.nodes, testMachineTypes[1:], testTeams())
			w.CloudOutOfCapacity = true
			w.Config.IdleTimeoutFactor = 100
			if !aging {
				w.Config.AgingThreshold = time.Hour
			}
			for _, n := range w.Controllers {
				n.Start()
			}
			for i := 0; i < 4; i++ {
				w.AddMachine("large", "a", false, 0)
			}
			n := 0
			w.Every(c.every, func() {
				if n++; w.Now < 390*time.Second {
					w.Submit(c.stream(protocol.JobID(fmt.Sprintf("j-%d", 100+n)), n))
				}
			})
			w.After(20*time.Second, func() { w.Submit(c.first) })
			w.Advance(400 * time.Second)
			w.Rules.CheckFinal(w.Now)
			starved := 0
			for _, b := range w.Rules.Violations {
				if strings.HasPrefix(b, "unserved") && (strings.Contains(b, "j-1 ") || strings.Contains(b, "largest") || strings.Contains(b, "night")) {
					starved++
				} else if !strings.HasPrefix(b, "unserved") {
					t.Errorf("%s: %s", c.name, b)
				}
			}
			began := w.Rules.job("j-1").firstTaskAt
			if (starved > 0) == aging {
				t.Errorf("%s, aging %v: begins at %v, broken %v", c.name, aging, began, w.Rules.Violations)
			}
		}
	}
}

// A machine that reports to two controllers at the same moment, both of which
// may put it on record, stands on one page only.
func TestMachineOnOneShard(t *testing.T) {
	for seed := uint64(51); seed < 56; seed++ {
		w := NewWorld(seed, 3, testMachineTypes[:1], testTeams())
		w.CloudOutOfCapacity = true
		w.Advance(2 * time.Second)
		for i := 0; i < 8; i++ {
			m := w.Machines[w.AddMachine("small", "a", false, time.Hour)] // reports when it is told to
			w.After(time.Duration(i)*400*time.Millisecond, func() {
				for _, n := range w.Controllers {
					n.DeliverHeartbeat(m.nextHeartbeat(), func(int, []byte) {})
				}
			})
		}
		refused := 0
		w.Trace = func(l string) {
			if strings.Contains(l, "transaction conflict") {
				refused++
			}
		}
		w.Advance(6 * time.Second)
		on := map[string]int{}
		for _, i := range w.Store.List(storage.ShardKey("")) {
			var shard struct {
				M []string `json:"m"`
			}
			if err := json.Unmarshal(i.Value, &shard); err != nil {
				t.Fatal(err)
			}
			for _, line := range shard.M {
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
func TestShardsAreSpread(t *testing.T) {
	for _, c := range []struct {
		name   string
		gap    time.Duration // between pages that are given away
		events func(w *World)
	}{
		{"all crash and are back one after the other", time.Hour, func(w *World) {
			for i, controller := range w.Controllers {
				controller.Kill()
				w.After(5*time.Second+time.Duration(i)*500*time.Millisecond, controller.Start)
			}
			w.Advance(25 * time.Second)
		}},
		{"one is back after the others have taken over", 3 * time.Second, func(w *World) {
			w.Controllers[0].Kill()
			w.Advance(25 * time.Second)
			w.Controllers[0].Start()
			w.Advance(60 * time.Second)
		}},
	} {
		w := NewWorld(61, 3, testMachineTypes[:1], testTeams())
		w.CloudOutOfCapacity = true
		w.Config.IdleTimeoutFactor = 1000
		w.Config.ValueBytes = 1024 // few machines on a page
		w.Config.MinRebalanceInterval = c.gap
		for _, controller := range w.Controllers {
			controller.Start()
		}
		for i := 0; i < 60; i++ {
			w.AddMachine("small", "a", false, 0)
		}
		w.Advance(20 * time.Second)
		c.events(w)
		on := map[string]int{}
		for _, i := range w.Store.List(storage.ShardKey("")) {
			var shard struct{ O string }
			if err := json.Unmarshal(i.Value, &shard); err != nil {
				t.Fatal(err)
			}
			controllerID, _, _ := strings.Cut(shard.O, "#")
			on[controllerID]++
		}
		least, most := 1000, 0
		for _, controller := range w.Controllers {
			least = min(least, on[string(controller.ID)])
			most = max(most, on[string(controller.ID)])
		}
		if most < 4 || 3*least < most || len(w.Rules.Violations) > 0 {
			t.Errorf("%s: %v, broken %v", c.name, on, w.Rules.Violations)
		}
	}
}

// A gang of more machines than a value could list neither blocks what else is to
// be written nor is it forgotten.
func TestGangTooLargeForRecord(t *testing.T) {
	w := NewWorld(71, 1, testMachineTypes[:1], testTeams())
	w.CloudOutOfCapacity = true
	w.Store.MaxValueBytes, w.Config.ValueBytes = 2048, 2048
	w.Config.IdleTimeoutFactor = 100
	w.Controllers[0].Start()
	for i := 0; i < 200; i++ {
		w.AddMachine("small", "a", false, 0)
	}
	w.After(6*time.Second, func() { w.Submit(newArray("j-1", "l", "low", 200, 4, 15)) })
	w.After(16*time.Second, func() { w.Submit(newGang("j-2", "g", "high", 190, 4, 5)) })
	w.After(18*time.Second, func() { w.Submit(newArray("j-3", "l", "low", 4, 4, 5)) })
	w.Advance(150 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if w.Store.RejectedTooLarge > 0 || len(w.FinishedJobs) != 3 || len(w.Rules.Violations) > 0 {
		t.Errorf("%d transactions too large, done %v, broken %v", w.Store.RejectedTooLarge, w.FinishedJobs, w.Rules.Violations)
	}
}
