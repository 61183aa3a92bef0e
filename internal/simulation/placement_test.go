package simulation

import (
	"slices"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// A gang on a machine with a preemption notice stops in order: all its tasks are told in time and
// save, and it continues elsewhere as a whole.
func TestGangSavesOnPreemptionNotice(t *testing.T) {
	w := NewWorld(5, 3, testMachineTypes, testTeams())
	w.addSmallMachines(12, "a")
	job := newGang("j-1", "l", "high", 5, 4, 40)
	job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds = 20, 2
	w.After(3*time.Second, func() { w.Submit(job) })
	w.Advance(20 * time.Second)
	var machine protocol.MachineID
	for _, m := range w.sortedMachines() {
		for _, execution := range m.tasks {
			if execution.state == protocol.TaskRunning {
				machine = m.ID
			}
		}
	}
	if machine == "" {
		t.Fatal("the gang does not run")
	}
	w.PreemptMachine(machine, 14*time.Second)
	w.Advance(14 * time.Second)
	if w.SavedTaskCounts["j-1"] != 5 {
		t.Errorf("%d of 5 tasks have saved", w.SavedTaskCounts["j-1"])
	}
	w.Advance(100 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if !w.FinishedJobs["j-1"] || len(w.Rules.Violations) > 0 {
		t.Errorf("done %v, broken %v", w.FinishedJobs["j-1"], w.Rules.Violations)
	}
}

// Above the price threshold no spot machine is provisioned and no task is placed on one, until
// the threshold is recomputed.
func TestSpotSuspension(t *testing.T) {
	w := NewWorld(8, 3, append([]protocol.MachineType(nil), testMachineTypes...), testTeams())
	job := func(id protocol.JobID) *protocol.Job {
		job := newArray(id, "l", "standard", 8, 4, 10)
		job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds, job.AllowSpot = 5, 1, true
		return job
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
		t.Error("on-demand machines were not used instead")
	}
}

// A machine on which the tasks of two jobs fail is scaled in; a job that fails everywhere takes no
// machines with it and is tried ever less often.
func TestFaultyMachinesAndJobs(t *testing.T) {
	const maxStarts = 60
	for _, c := range []struct {
		name     string
		faulty   bool
		classes  []string // of jobs that come one after the other
		scaledIn int      // machines, as faulty
	}{
		{"faulty machine", true, []string{"l", "l", "l", "l"}, 1},
		{"job that fails everywhere", false, []string{"l", failingClass}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newFixedWorld(9, 1, 3)
			w.Machines[machineID(1)].Faulty = c.faulty
			scaledIn := 0
			w.Trace = func(line string) {
				if scaleInMessages.areIn(line) && strings.Contains(line, "faulty") {
					scaledIn++
				}
			}
			for i, class := range c.classes {
				w.After(seconds(3+25*i), func() { w.Submit(newArray(jobNumber(i), class, "standard", 4, 2, 2)) })
			}
			w.Advance(seconds(145))
			if slices.Contains(c.classes, failingClass) {
				w.Cancel("j-1") // its user sees that it makes no progress
			}
			w.Advance(seconds(5))
			w.Rules.CheckFinal(w.Now)
			if scaledIn != c.scaledIn || w.Rules.TasksStarted > maxStarts || len(w.Rules.Violations) > 0 {
				t.Errorf("%d scaled in, want %d; %d starts, broken %v", scaledIn, c.scaledIn, w.Rules.TasksStarted, w.Rules.Violations)
			}
			for i, class := range c.classes {
				if class != failingClass && !w.FinishedJobs[jobNumber(i)] {
					t.Errorf("%s is not done", jobNumber(i))
				}
			}
		})
	}
}

// The records of the largest array there may be stay within the store's limits, also when its
// tasks end in any order, and a team with a guarantee gets its capacity from one that borrows it.
func TestLargeArrayAndGuarantee(t *testing.T) {
	teams := map[string]step.Quota{"big": {}, "sure": {GuaranteedCores: 8}}
	w := NewWorld(12, 1, testMachineTypes[1:], teams)
	w.CloudOutOfCapacity = true
	w.AddMachine("large", "a", false, 0)
	w.AddMachine("large", "b", false, 0)
	job := newArray("j-1", "l", "high", protocol.MaxTasks, 0.1, 3)
	job.Team, job.MemoryGB = "big", 0.1
	guaranteed := newGang("j-2", "l", "low", 1, 8, 3)
	guaranteed.Team = "sure"
	w.After(2*time.Second, func() { w.Submit(job) })
	w.Advance(40 * time.Second)
	w.Submit(guaranteed)
	w.Advance(25 * time.Second)
	if w.Store.TooLargeTransactions > 0 || w.Store.LargestValueBytes > maxValueBytes || w.Rules.TasksStarted < 1000 || len(w.Rules.Violations) > 0 {
		t.Errorf("%d transactions too large, largest value %d, %d starts, broken %v",
			w.Store.TooLargeTransactions, w.Store.LargestValueBytes, w.Rules.TasksStarted, w.Rules.Violations)
	}
	if !w.FinishedJobs["j-2"] {
		t.Error("the team did not get its guarantee")
	}
}

// Tasks that need accelerators are placed where there are some, and no more at once than there
// are.
func TestAccelerators(t *testing.T) {
	machineTypes := append([]protocol.MachineType(nil), testMachineTypes[0], testMachineTypes[0])
	machineTypes[1].Name, machineTypes[1].Accelerators = "gpu", 2
	w := NewWorld(13, 1, machineTypes, testTeams())
	w.CloudOutOfCapacity = true
	w.AddMachine("small", "a", false, 0)
	gpuMachine := w.AddMachine("gpu", "a", false, 0)
	job := newArray("j-1", "l", "high", 6, 0.5, 4)
	job.Accelerators = 1
	most := 0
	w.Every(100*time.Millisecond, func() {
		live := 0
		for id, m := range w.Machines {
			for _, execution := range m.tasks {
				if execution.state != protocol.TaskExited {
					live++
					if id != gpuMachine {
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

// A job of higher priority preempts lower ones, one of the same priority does not.
func TestPreemption(t *testing.T) {
	w := NewWorld(6, 1, testMachineTypes[1:], testTeams())
	w.CloudOutOfCapacity = true
	w.traceLogsTo(t)
	w.AddMachine("large", "a", false, 0)
	low := newArray("j-1", "l", "low", 16, 2, 60)
	high := newGang("j-2", "l", "high", 1, 30, 5)
	same := newGang("j-3", "l", "low", 1, 30, 5)
	w.After(2*time.Second, func() { w.Submit(low) })
	w.After(8*time.Second, func() { w.Submit(same) })
	w.Advance(18 * time.Second)
	if w.FinishedJobs["j-3"] || w.Rules.TasksStarted != 16 {
		t.Fatalf("a job of the same priority preempted others: %d started", w.Rules.TasksStarted)
	}
	w.Submit(high)
	w.Advance(15 * time.Second)
	if !w.FinishedJobs["j-2"] {
		t.Error("the job of higher priority did not preempt")
	}
	w.Advance(300 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if !w.FinishedJobs["j-1"] || !w.FinishedJobs["j-3"] || len(w.Rules.Violations) > 0 {
		t.Errorf("done %v, broken %v", w.FinishedJobs, w.Rules.Violations)
	}
}
