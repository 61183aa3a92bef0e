package simulation

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// runningReplicaCount returns the number of replicas of a service that run on machines that neither
// hang nor are terminated or partitioned.
func (w *World) runningReplicaCount(id protocol.JobID) (count int) {
	for _, machine := range w.Machines {
		for task, execution := range machine.tasks {
			if task.Job == id && execution.state == protocol.TaskRunning && !machine.Terminated && !machine.Partitioned && !machine.hung {
				count++
			}
		}
	}
	return count
}

// placedTaskCount returns the number of tasks of a job that are on machines and have not exited. They
// need not run yet.
func (w *World) placedTaskCount(id protocol.JobID) (count int) {
	for _, machine := range w.Machines {
		for task, execution := range machine.tasks {
			if task.Job == id && execution.state != protocol.TaskExited && !machine.Terminated {
				count++
			}
		}
	}
	return count
}

// machinesOfJob returns the machines on which a job has tasks, ordered by id.
func (w *World) machinesOfJob(id protocol.JobID) (machines []*Machine) {
	for _, machine := range w.sortedMachines() {
		for task, execution := range machine.tasks {
			if task.Job == id && execution.state != protocol.TaskExited && !machine.Terminated {
				machines = append(machines, machine)
				break
			}
		}
	}
	return machines
}

// TestServices checks that the replicas of a service run again after any failure of their machines
// and of the controllers. Only a cancellation ends them.
func TestServices(t *testing.T) {
	for _, test := range []struct {
		name            string
		replicas        int
		changeJob       func(job *protocol.Job) // may be nil
		inject          func(w *World)
		recoverySeconds float64 // time until all replicas run again
	}{
		{"no fault", 4, nil, noFault, 0},
		{"its machine is terminated", 3, nil, terminateServiceMachine, 30},
		{"its machine loses the network permanently", 3, nil, func(w *World) { w.machinesOfJob("j-1")[0].Partitioned = true }, 60},
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
		{"the store is unavailable when its machine is terminated", 4, nil, func(w *World) {
			w.setFlagsFor(seconds(10), &w.Store.Unavailable)
			terminateServiceMachine(w)
		}, 50},
		{"the store refuses the busiest controller", 4, nil, func(w *World) {
			w.setFlagsFor(seconds(20), &w.busiestController().RefusedByStore)
			terminateServiceMachine(w)
		}, 50},
		{"spread over zones", 5, func(job *protocol.Job) { job.SpreadZones = true }, terminateServiceMachine, 30},
		{"its spot machine is preempted with notice", 2, func(job *protocol.Job) { job.AllowSpot, job.Cores = true, 3 }, func(w *World) {
			for _, machine := range w.machinesOfJob("j-1") {
				w.PreemptMachine(machine.ID, 9*time.Second)
			}
		}, 16},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seedCount(); seed++ {
				w := newMixedWorld(t, seed)
				job := newService("j-1", test.replicas)
				if test.changeJob != nil {
					test.changeJob(job)
				}
				w.After(seconds(4), func() { w.Submit(job) })
				w.Advance(seconds(20))
				if w.runningReplicaCount("j-1") != test.replicas {
					t.Fatalf("seed %d: %d of %d replicas run before the fault, want all", seed, w.runningReplicaCount("j-1"), test.replicas)
				}
				test.inject(w)
				w.Advance(seconds(test.recoverySeconds + 0.1))
				if w.runningReplicaCount("j-1") != test.replicas {
					t.Errorf("seed %d: %d of %d replicas run again after the fault, want all", seed, w.runningReplicaCount("j-1"), test.replicas)
				}
				for _, machine := range w.Machines {
					machine.Partitioned = false
				}
				w.Advance(seconds(30))
				w.Rules.CheckFinal(w.Now)
				if w.FinishedJobs["j-1"] || len(w.Rules.Violations) > 0 {
					t.Errorf("seed %d: service ended %v, want false; rule violations %v", seed, w.FinishedJobs["j-1"], w.Rules.Violations)
				}
				w.Cancel("j-1")
				w.Advance(seconds(8))
				if w.runningReplicaCount("j-1") != 0 || w.Rules.job("j-1").reportedState != protocol.JobCancelled {
					t.Errorf("seed %d: %d replicas run after the cancellation, want 0; the service is reported %q, want it cancelled", seed, w.runningReplicaCount("j-1"), w.Rules.job("j-1").reportedState)
				}
				w.Advance(seconds(40))
				if w.runningReplicaCount("j-1") != 0 || len(w.Rules.Violations) > 0 {
					t.Errorf("seed %d: %d replicas run at the end, want 0; rule violations %v", seed, w.runningReplicaCount("j-1"), w.Rules.Violations)
				}
			}
		})
	}
}

func terminateServiceMachine(w *World) { w.TerminateMachine(w.machinesOfJob("j-1")[0].ID) }

// TestReplicasPreempt checks that replicas of high priority preempt tasks of lower priority on full
// machines, and no more tasks than the replicas need. Replicas of low priority preempt no tasks.
func TestReplicasPreempt(t *testing.T) {
	for _, test := range []struct {
		priority        protocol.Priority
		runningReplicas int
	}{{"critical", 3}, {"low", 0}} {
		w := newMixedWorld(t, 4)
		w.CloudOutOfCapacity = true
		w.After(seconds(3), func() { w.Submit(newArray("j-2", "l", "standard", 32, 1, 600)) })
		w.Advance(seconds(15))
		tasksBefore, startsBefore := w.placedTaskCount("j-2"), w.StartCommandCount
		job := newService("j-1", 3)
		job.Priority = test.priority
		w.Submit(job)
		w.Advance(seconds(10))
		tasksAfter := w.placedTaskCount("j-2")
		// A task that is preempted without need would be placed and started again.
		if tasksBefore != 32 || w.runningReplicaCount("j-1") != test.runningReplicas || tasksBefore-tasksAfter != test.runningReplicas || w.StartCommandCount-startsBefore != test.runningReplicas || len(w.Rules.Violations) > 0 {
			t.Errorf("priority %s: %d replicas run, %d of %d other tasks are left, %d starts; want one task fewer and one start for each replica that is to run; rule violations %v",
				test.priority, w.runningReplicaCount("j-1"), tasksAfter, tasksBefore, w.StartCommandCount-startsBefore, w.Rules.Violations)
		}
	}
}

// TestReplicasShareOnlyMachine checks that replicas of a service share a machine if there is only
// one. If there are several machines, the replicas run on at least two of them.
func TestReplicasShareOnlyMachine(t *testing.T) {
	for _, machineCount := range []int{1, 4} {
		w := NewWorld(3, 3, testMachineTypes, testTeams())
		w.CloudOutOfCapacity = true
		w.addSmallMachines(machineCount, "a")
		w.After(seconds(4), func() { w.Submit(newService("j-1", 4)) })
		w.Advance(seconds(15))
		if usedMachines := len(w.machinesOfJob("j-1")); w.runningReplicaCount("j-1") != 4 || usedMachines < min(machineCount, 2) {
			t.Errorf("%d machines: %d replicas run on %d machines, want 4 replicas on at least 2 machines, or on the only machine", machineCount, w.runningReplicaCount("j-1"), usedMachines)
		}
		w.Rules.FaultsEndedAt = w.Now
		w.Advance(seconds(100))
		if len(w.Rules.Violations) > 0 {
			t.Errorf("%d machines: rule violations %v", machineCount, w.Rules.Violations)
		}
	}
}

// TestReplicaExitsImmediately checks that a replica that exits as soon as it starts is tried at
// growing intervals and does not keep any other job from running.
func TestReplicaExitsImmediately(t *testing.T) {
	for _, class := range []string{exitingClass, failingClass} {
		w := newMixedWorld(t, 6)
		exitingService := newService("j-1", 2)
		exitingService.Class = class
		w.After(seconds(3), func() { w.Submit(exitingService) })
		healthyService := newService("j-2", 4)
		w.After(seconds(30), func() { w.Submit(healthyService) })
		w.Advance(seconds(40))
		earlyStarts := w.StartCommandCount
		w.Advance(seconds(120))
		if lateStarts := w.StartCommandCount - earlyStarts; w.runningReplicaCount("j-2") != 4 || lateStarts < 4 || lateStarts > 2*120/20 || w.FinishedJobs["j-1"] {
			t.Errorf("%s: %d starts in two minutes, want 4 to 12; %d replicas of the healthy service run, want 4; exiting service finished %v, want false", class, lateStarts, w.runningReplicaCount("j-2"), w.FinishedJobs["j-1"])
		}
		if len(w.Rules.Violations) > 0 {
			t.Errorf("%s: rule violations %v", class, w.Rules.Violations)
		}
	}
}

// TestServicesWithinQuota checks that a service is rejected if its replicas together need more cores
// than its team's quota. Services that fit each by itself stay within the quota together.
func TestServicesWithinQuota(t *testing.T) {
	w := newMixedWorld(t, 2)
	w.Config.Quotas = map[string]step.Quota{"tight": {MaxCores: 10}}
	tooLargeService := newService("j-1", 11)
	tooLargeService.Team = "tight"
	w.After(seconds(3), func() { w.SubmitInvalid(tooLargeService.ID, protocol.Encode(tooLargeService)) })
	for i, id := range []protocol.JobID{"j-2", "j-3"} {
		job := newService(id, 6)
		job.Team = "tight"
		w.After(seconds(4+float64(i)), func() { w.Submit(job) })
	}
	w.Advance(seconds(30))
	if replicas := w.runningReplicaCount("j-2") + w.runningReplicaCount("j-3"); replicas != 10 || len(w.Rules.Violations) > 0 || w.Rules.job("j-1").accepted {
		t.Errorf("%d replicas run with a quota of 10 cores, want 10 and the larger service rejected; rule violations %v", replicas, w.Rules.Violations)
	}
}
