package simulation

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// runningReplicas counts the replicas of a service that run on machines that work and can be
// reached.
func (w *World) runningReplicas(id protocol.JobID) (n int) {
	for _, m := range w.Machines {
		for t, execution := range m.tasks {
			if t.Job == id && execution.state == protocol.TaskRunning && !m.Terminated && !m.Partitioned && !m.hung {
				n++
			}
		}
	}
	return n
}

// placedTasks counts the tasks of a job that are on machines, whether they run yet or not.
func (w *World) placedTasks(id protocol.JobID) (n int) {
	for _, m := range w.Machines {
		for t, execution := range m.tasks {
			if t.Job == id && execution.state != protocol.TaskExited && !m.Terminated {
				n++
			}
		}
	}
	return n
}

// machinesOfJob lists the machines on which a job has tasks, in order.
func (w *World) machinesOfJob(id protocol.JobID) (out []*Machine) {
	for _, m := range w.sortedMachines() {
		for t, execution := range m.tasks {
			if t.Job == id && execution.state != protocol.TaskExited && !m.Terminated {
				out = append(out, m)
				break
			}
		}
	}
	return out
}

// A service's replicas come back whatever becomes of their machines and of the controllers, and
// only a cancellation ends them.
func TestServices(t *testing.T) {
	for _, c := range []struct {
		name     string
		replicas int
		change   func(job *protocol.Job) // may be nil
		inject   func(w *World)
		recovery float64 // seconds until all replicas run again
	}{
		{"quiet", 4, nil, noFault, 0},
		{"its machine dies", 3, nil, terminateServiceMachine, 30},
		{"its machine loses the network for good", 3, nil, func(w *World) { w.machinesOfJob("j-1")[0].Partitioned = true }, 60},
		{"its agent begins a new epoch", 3, nil, func(w *World) { w.machinesOfJob("j-1")[0].Reboot() }, 8},
		{"its agents begin new epochs again and again", 1, nil, func(w *World) {
			for range 8 {
				w.machinesOfJob("j-1")[0].Reboot()
				w.Advance(seconds(7))
			}
		}, 0},
		{"all controllers fail", 4, nil, func(w *World) {
			terminateServiceMachine(w)
			for _, controller := range w.Controllers {
				controller.ScheduleRestart(0, 3*time.Second)
			}
		}, 50},
		{"the store is down as its machine dies", 4, nil, func(w *World) {
			w.setFlagsFor(seconds(10), &w.Store.Unavailable)
			terminateServiceMachine(w)
		}, 50},
		{"a leader is refused", 4, nil, func(w *World) {
			w.setFlagsFor(seconds(20), &w.busiestController().RefusedByStore)
			terminateServiceMachine(w)
		}, 50},
		{"spread over zones", 5, func(job *protocol.Job) { job.SpreadZones = true }, terminateServiceMachine, 30},
		{"its spot machine is preempted with notice", 2, func(job *protocol.Job) { job.AllowSpot, job.Cores = true, 3 }, func(w *World) {
			for _, m := range w.machinesOfJob("j-1") {
				w.PreemptMachine(m.ID, 9*time.Second)
			}
		}, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seedCount(); seed++ {
				w := newMixedWorld(t, seed)
				job := newService("j-1", c.replicas)
				if c.change != nil {
					c.change(job)
				}
				w.After(seconds(4), func() { w.Submit(job) })
				w.Advance(seconds(20))
				if w.runningReplicas("j-1") != c.replicas {
					t.Fatalf("seed %d: %d of %d replicas run", seed, w.runningReplicas("j-1"), c.replicas)
				}
				c.inject(w)
				w.Advance(seconds(c.recovery + 0.1))
				if w.runningReplicas("j-1") != c.replicas {
					t.Errorf("seed %d: %d of %d replicas run again", seed, w.runningReplicas("j-1"), c.replicas)
				}
				for _, m := range w.Machines {
					m.Partitioned = false
				}
				w.Advance(seconds(30))
				w.Rules.CheckFinal(w.Now)
				if w.FinishedJobs["j-1"] || len(w.Rules.Violations) > 0 {
					t.Errorf("seed %d: ended %v, broken %v", seed, w.FinishedJobs["j-1"], w.Rules.Violations)
				}
				w.Cancel("j-1")
				w.Advance(seconds(8))
				if w.runningReplicas("j-1") != 0 || w.Rules.job("j-1").reportedState != protocol.JobCancelled {
					t.Errorf("seed %d: %d replicas run after the cancellation, it is reported %q", seed, w.runningReplicas("j-1"), w.Rules.job("j-1").reportedState)
				}
				w.Advance(seconds(40))
				if w.runningReplicas("j-1") != 0 || len(w.Rules.Violations) > 0 {
					t.Errorf("seed %d: %d replicas run, broken %v", seed, w.runningReplicas("j-1"), w.Rules.Violations)
				}
			}
		})
	}
}

func terminateServiceMachine(w *World) { w.TerminateMachine(w.machinesOfJob("j-1")[0].ID) }

// Replicas of high priority preempt tasks of lower priority on full machines, and no more of them
// than they need; replicas of low priority preempt none.
func TestReplicasPreempt(t *testing.T) {
	for _, c := range []struct {
		priority protocol.Priority
		running  int
	}{{"critical", 3}, {"low", 0}} {
		w := newMixedWorld(t, 4)
		w.CloudOutOfCapacity = true
		w.After(seconds(3), func() { w.Submit(newArray("j-2", "l", "standard", 32, 1, 600)) })
		w.Advance(seconds(15))
		before, starts := w.placedTasks("j-2"), w.StartCommandCount
		job := newService("j-1", 3)
		job.Priority = c.priority
		w.Submit(job)
		w.Advance(seconds(10))
		after := w.placedTasks("j-2")
		// One that is stopped without need would be placed again, and start anew.
		if before != 32 || w.runningReplicas("j-1") != c.running || before-after != c.running || w.StartCommandCount-starts != c.running || len(w.Rules.Violations) > 0 {
			t.Errorf("%s: %d replicas run, %d of %d other tasks left, %d starts, broken %v",
				c.priority, w.runningReplicas("j-1"), after, before, w.StartCommandCount-starts, w.Rules.Violations)
		}
	}
}

// Replicas share a machine if there is no other; if there are others, at most half of them are
// on one.
func TestReplicasShareOnlyMachine(t *testing.T) {
	for _, machines := range []int{1, 4} {
		w := NewWorld(3, 3, testMachineTypes, testTeams())
		w.CloudOutOfCapacity = true
		w.addSmallMachines(machines, "a")
		w.After(seconds(4), func() { w.Submit(newService("j-1", 4)) })
		w.Advance(seconds(15))
		if hosts := len(w.machinesOfJob("j-1")); w.runningReplicas("j-1") != 4 || hosts < min(machines, 2) {
			t.Errorf("%d machines: %d replicas run on %d", machines, w.runningReplicas("j-1"), hosts)
		}
		w.Rules.FaultsEndedAt = w.Now
		w.Advance(seconds(100))
		if len(w.Rules.Violations) > 0 {
			t.Errorf("%d machines: %v", machines, w.Rules.Violations)
		}
	}
}

// A replica that exits as soon as it starts is tried ever less often, and keeps nothing else from
// running.
func TestReplicaExitsImmediately(t *testing.T) {
	for _, class := range []string{exitingClass, failingClass} {
		w := newMixedWorld(t, 6)
		job := newService("j-1", 2)
		job.Class = class
		w.After(seconds(3), func() { w.Submit(job) })
		good := newService("j-2", 4)
		w.After(seconds(30), func() { w.Submit(good) })
		w.Advance(seconds(40))
		early := w.StartCommandCount
		w.Advance(seconds(120))
		if late := w.StartCommandCount - early; w.runningReplicas("j-2") != 4 || late < 4 || late > 2*120/20 || w.FinishedJobs["j-1"] {
			t.Errorf("%s: %d starts in two minutes, %d good replicas run, done %v", class, late, w.runningReplicas("j-2"), w.FinishedJobs["j-1"])
		}
		if len(w.Rules.Violations) > 0 {
			t.Errorf("%s: %v", class, w.Rules.Violations)
		}
	}
}

// A service whose replicas together need more than its team's quota is rejected; one that fits
// keeps within the quota together with others of its team.
func TestServicesWithinQuota(t *testing.T) {
	w := newMixedWorld(t, 2)
	w.Config.Quotas = map[string]step.Quota{"tight": {MaxCores: 10}}
	big := newService("j-1", 11)
	big.Team = "tight"
	w.After(seconds(3), func() { w.SubmitInvalid(big.ID, protocol.Encode(big)) })
	for i, id := range []protocol.JobID{"j-2", "j-3"} {
		job := newService(id, 6)
		job.Team = "tight"
		w.After(seconds(4+float64(i)), func() { w.Submit(job) })
	}
	w.Advance(seconds(30))
	if n := w.runningReplicas("j-2") + w.runningReplicas("j-3"); n != 10 || len(w.Rules.Violations) > 0 || w.Rules.job("j-1").accepted {
		t.Errorf("%d replicas run on a quota of 10 cores, broken %v", n, w.Rules.Violations)
	}
}
