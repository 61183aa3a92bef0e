package simulation

import (
	"slices"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// TestGangSavesOnPreemptionNotice checks that a gang stops gracefully if a machine of one of its
// tasks gets a preemption notice. All tasks of the gang are told to stop in time and save their
// progress, and the whole gang continues on other machines.
func TestGangSavesOnPreemptionNotice(t *testing.T) {
	w := NewWorld(5, 3, testMachineTypes, testTeams())
	w.addSmallMachines(12, "a")
	job := newGang("j-1", "l", "high", 5, 4, 40)
	job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds = 20, 2
	w.After(3*time.Second, func() { w.Submit(job) })
	w.Advance(20 * time.Second)
	var machineWithTask protocol.MachineID
	for _, machine := range w.sortedMachines() {
		for _, execution := range machine.tasks {
			if execution.state == protocol.TaskRunning {
				machineWithTask = machine.ID
			}
		}
	}
	if machineWithTask == "" {
		t.Fatal("no task of the gang runs after 20 s")
	}
	w.PreemptMachine(machineWithTask, 14*time.Second)
	w.Advance(14 * time.Second)
	if w.SavedTaskCounts["j-1"] != 5 {
		t.Errorf("%d of 5 tasks have saved their progress, want all", w.SavedTaskCounts["j-1"])
	}
	w.Advance(100 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if !w.FinishedJobs["j-1"] || len(w.Rules.Violations) > 0 {
		t.Errorf("gang finished %v, want true; rule violations %v", w.FinishedJobs["j-1"], w.Rules.Violations)
	}
}

// TestSpotSuspension checks that no spot machine is provisioned and no task is placed on one while
// the spot prices are above the threshold. This lasts until the threshold is computed again.
func TestSpotSuspension(t *testing.T) {
	w := NewWorld(8, 3, append([]protocol.MachineType(nil), testMachineTypes...), testTeams())
	newSpotJob := func(id protocol.JobID) *protocol.Job {
		job := newArray(id, "l", "standard", 8, 4, 10)
		job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds, job.AllowSpot = 5, 1, true
		return job
	}
	spotMachineCount := func() (count int) {
		for _, machine := range w.Machines {
			if machine.Spot {
				count++
			}
		}
		return count
	}
	w.After(2*time.Second, func() { w.Submit(newSpotJob("j-1")) })
	w.Advance(30 * time.Second)
	spotMachinesBefore := spotMachineCount()
	if !w.FinishedJobs["j-1"] || spotMachinesBefore == 0 {
		t.Fatalf("job finished %v, want true; %d spot machines, want some", w.FinishedJobs["j-1"], spotMachinesBefore)
	}
	for i := range w.MachineTypes {
		w.MachineTypes[i].SpotPrice = 0.9 * w.MachineTypes[i].OnDemandPrice
	}
	w.Advance(13 * time.Second) // until the next check of the prices
	spotTaskCount := func() (count int) {
		for _, machine := range w.Machines {
			if machine.Spot && !machine.Terminated {
				count += len(machine.tasks)
			}
		}
		return count
	}
	w.Submit(newSpotJob("j-2"))
	w.Advance(5 * time.Second)
	if spotTaskCount() != 0 || spotMachineCount() != spotMachinesBefore {
		t.Errorf("%d tasks on spot machines, want 0; %d spot machines, want still %d", spotTaskCount(), spotMachineCount(), spotMachinesBefore)
	}
	w.Advance(40 * time.Second)
	if !w.FinishedJobs["j-2"] {
		t.Error("the job has not finished on on-demand machines")
	}
}

// TestFaultyMachinesAndJobs checks that a machine on which the tasks of two jobs fail is scaled in. A
// job whose tasks fail on every machine causes no scale-in, and its tasks are tried at growing
// intervals.
func TestFaultyMachinesAndJobs(t *testing.T) {
	const maxTaskStarts = 60
	for _, test := range []struct {
		name             string
		hasFaultyMachine bool     // tasks of all jobs fail on one of the machines
		classes          []string // of jobs that are submitted one after the other
		wantScaleIns     int      // machines that are scaled in as faulty
	}{
		{"faulty machine", true, []string{"l", "l", "l", "l"}, 1},
		{"job that fails on every machine", false, []string{"l", failingClass}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newFixedWorld(9, 1, 3)
			w.Machines[machineID(1)].Faulty = test.hasFaultyMachine
			scaleIns := 0
			w.Trace = func(line string) {
				if scaleInMessages.isAnyIn(line) && strings.Contains(line, "faulty") {
					scaleIns++
				}
			}
			for i, class := range test.classes {
				w.After(seconds(3+25*i), func() { w.Submit(newArray(jobID(i), class, "standard", 4, 2, 2)) })
			}
			w.Advance(seconds(145))
			if slices.Contains(test.classes, failingClass) {
				w.Cancel("j-1") // because its user sees that the job makes no progress
			}
			w.Advance(seconds(5))
			w.Rules.CheckFinal(w.Now)
			if scaleIns != test.wantScaleIns || w.Rules.TasksStarted > maxTaskStarts || len(w.Rules.Violations) > 0 {
				t.Errorf("%d machines scaled in as faulty, want %d; %d task starts; rule violations %v", scaleIns, test.wantScaleIns, w.Rules.TasksStarted, w.Rules.Violations)
			}
			for i, class := range test.classes {
				if class != failingClass && !w.FinishedJobs[jobID(i)] {
					t.Errorf("%s has not finished", jobID(i))
				}
			}
		})
	}
}

// TestLargeArrayAndGuarantee checks that the records of an array of the largest allowed size stay
// within the store's limits, also when the array's tasks end in any order. A team with guaranteed
// capacity gets this capacity from a team that borrows it.
func TestLargeArrayAndGuarantee(t *testing.T) {
	teams := map[string]step.Quota{"big": {}, "sure": {GuaranteedCores: 8}}
	w := NewWorld(12, 1, testMachineTypes[1:], teams)
	w.CloudOutOfCapacity = true
	w.AddMachine("large", "a", false, 0)
	w.AddMachine("large", "b", false, 0)
	largeArray := newArray("j-1", "l", "high", protocol.MaxTasks, 0.1, 3)
	largeArray.Team, largeArray.MemoryGB = "big", 0.1
	guaranteedGang := newGang("j-2", "l", "low", 1, 8, 3)
	guaranteedGang.Team = "sure"
	w.After(2*time.Second, func() { w.Submit(largeArray) })
	w.Advance(40 * time.Second)
	w.Submit(guaranteedGang)
	w.Advance(25 * time.Second)
	if w.Store.TooLargeTransactions > 0 || w.Store.LargestValueBytes > maxValueBytes || w.Rules.TasksStarted < 1000 || len(w.Rules.Violations) > 0 {
		t.Errorf("%d transactions were too large, want 0; the largest value has %d bytes; %d tasks started, want at least 1000; rule violations %v",
			w.Store.TooLargeTransactions, w.Store.LargestValueBytes, w.Rules.TasksStarted, w.Rules.Violations)
	}
	if !w.FinishedJobs["j-2"] {
		t.Error("the gang of the team with guaranteed cores has not finished")
	}
}

// TestAccelerators checks that tasks that need accelerators are placed only on machines with
// accelerators, and that no more of them run at once than there are accelerators.
func TestAccelerators(t *testing.T) {
	machineTypes := append([]protocol.MachineType(nil), testMachineTypes[0], testMachineTypes[0])
	machineTypes[1].Name, machineTypes[1].Accelerators = "gpu", 2
	w := NewWorld(13, 1, machineTypes, testTeams())
	w.CloudOutOfCapacity = true
	w.AddMachine("small", "a", false, 0)
	gpuMachine := w.AddMachine("gpu", "a", false, 0)
	job := newArray("j-1", "l", "high", 6, 0.5, 4)
	job.Accelerators = 1
	maxLiveTasks := 0
	w.Every(100*time.Millisecond, func() {
		liveTasks := 0
		for id, machine := range w.Machines {
			for _, execution := range machine.tasks {
				if execution.state != protocol.TaskExited {
					liveTasks++
					if id != gpuMachine {
						t.Errorf("a task is on machine %s, which has no accelerators", id)
					}
				}
			}
		}
		maxLiveTasks = max(maxLiveTasks, liveTasks)
	})
	w.After(2*time.Second, func() { w.Submit(job) })
	w.Advance(40 * time.Second)
	if maxLiveTasks != 2 || !w.FinishedJobs["j-1"] {
		t.Errorf("at most %d tasks at once on 2 accelerators, want 2; job finished %v, want true", maxLiveTasks, w.FinishedJobs["j-1"])
	}
}

// TestPreemption checks that a job preempts jobs of lower priority, but none of the same priority.
func TestPreemption(t *testing.T) {
	w := NewWorld(6, 1, testMachineTypes[1:], testTeams())
	w.CloudOutOfCapacity = true
	w.traceLogsTo(t)
	w.AddMachine("large", "a", false, 0)
	lowArray := newArray("j-1", "l", "low", 16, 2, 60)
	highGang := newGang("j-2", "l", "high", 1, 30, 5)
	lowGang := newGang("j-3", "l", "low", 1, 30, 5)
	w.After(2*time.Second, func() { w.Submit(lowArray) })
	w.After(8*time.Second, func() { w.Submit(lowGang) })
	w.Advance(18 * time.Second)
	if w.FinishedJobs["j-3"] || w.Rules.TasksStarted != 16 {
		t.Fatalf("the job of the same priority finished or caused more starts: %d tasks started, want 16", w.Rules.TasksStarted)
	}
	w.Submit(highGang)
	w.Advance(15 * time.Second)
	if !w.FinishedJobs["j-2"] {
		t.Error("the job of higher priority has not finished by preemption")
	}
	w.Advance(300 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if !w.FinishedJobs["j-1"] || !w.FinishedJobs["j-3"] || len(w.Rules.Violations) > 0 {
		t.Errorf("finished jobs %v, want j-1 and j-3 among them; rule violations %v", w.FinishedJobs, w.Rules.Violations)
	}
}
