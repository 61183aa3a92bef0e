package simulation

import (
	"slices"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// hungMachineScenario is a cancellation of a job all of whose machines hang for longer than cancel_s.
type hungMachineScenario struct {
	name        string
	controllers int
	hungCount   int // number of tasks of the job, and of machines that hang
	soundCount  int // number of other machines, which run another job
	kind        protocol.Kind
	cancelAfter time.Duration // from the moment at which the machines hang
	inject      func(w *World)
}

// hungMachineScenarios returns the scenarios of TestCancelledTasksOnHungMachines. Times of further faults count
// from the moment at which the machines hang.
func hungMachineScenarios() []hungMachineScenario {
	const atOnce, afterLease = 100 * time.Millisecond, 16 * time.Second
	noFault := func(*World) {}
	restartAt := func(at float64) func(*World) {
		return func(w *World) {
			for _, controller := range w.Controllers {
				controller.ScheduleRestart(seconds(at), seconds(1))
			}
		}
	}
	failOverAt := func(at float64) func(*World) {
		return func(w *World) { w.After(seconds(at), func() { w.busiestController().restartIfAlive(time.Minute) }) }
	}
	drainAt := func(at float64) func(*World) {
		return func(w *World) {
			w.After(seconds(at), func() { w.setDrainAt(0, w.busiestController().ID, true) })
		}
	}
	return []hungMachineScenario{
		{"most machines", 1, 8, 2, protocol.KindArray, atOnce, noFault},
		{"all machines", 1, 8, 0, protocol.KindArray, atOnce, noFault},
		{"few machines", 1, 3, 9, protocol.KindArray, atOnce, noFault},
		{"most machines of a gang", 1, 8, 2, protocol.KindGang, atOnce, noFault},
		{"most machines of a service", 1, 8, 2, protocol.KindService, atOnce, noFault},
		{"cancelled after the end of the lease", 1, 8, 2, protocol.KindArray, afterLease, noFault},
		{"gang, cancelled after the end of the lease", 1, 8, 2, protocol.KindGang, afterLease, noFault},
		{"service, cancelled after the end of the lease", 1, 8, 2, protocol.KindService, afterLease, noFault},
		{"few machines, cancelled after the end of the lease", 1, 3, 9, protocol.KindArray, afterLease, noFault},
		{"the controller restarts before the end of the lease", 1, 8, 2, protocol.KindArray, atOnce, restartAt(6)},
		{"the controller restarts after the end of the lease", 1, 8, 2, protocol.KindArray, atOnce, restartAt(18)},
		{"the controller restarts twice, then the job is cancelled", 1, 8, 2, protocol.KindArray, 32 * time.Second, func(w *World) {
			restartAt(17)(w)
			restartAt(30)(w)
		}},
		{"the owner fails before the end of the lease", 3, 8, 4, protocol.KindArray, atOnce, failOverAt(6)},
		{"the owner fails after the end of the lease", 3, 8, 4, protocol.KindArray, afterLease, failOverAt(18)},
		{"the shards are transferred before the end of the lease", 3, 8, 4, protocol.KindArray, atOnce, drainAt(4)},
		{"the shards are transferred after the end of the lease", 3, 8, 4, protocol.KindArray, afterLease, drainAt(18)},
	}
}

// newWholeMachineJob returns a job that runs for long and takes a whole small machine for each task.
func newWholeMachineJob(id protocol.JobID, kind protocol.Kind, tasks int) *protocol.Job {
	const coresOfSmallMachine = 4
	job := newArray(id, "l", "standard", tasks, coresOfSmallMachine, 500)
	job.Kind = kind
	if kind == protocol.KindService {
		job.EstimatedRunSeconds = 0
	}
	return job
}

// TestCancelledTasksOnHungMachines lets the machines of a job hang for longer than cancel_s. Its tasks must be
// gone in time after the cancellation, and sound machines stay. Before the fix the record of a machine lost
// its tasks at the end of the agent's lease, and with them the deadline for the cancelled ones.
func TestCancelledTasksOnHungMachines(t *testing.T) {
	for _, scenario := range hungMachineScenarios() {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seedCount(); seed++ {
				runHungMachineScenario(t, &scenario, seed)
			}
		})
	}
}

func runHungMachineScenario(t *testing.T, scenario *hungMachineScenario, seed uint64) {
	t.Helper()
	w := newFixedWorld(seed, scenario.controllers, scenario.hungCount+scenario.soundCount)
	w.traceLogsTo(t)
	w.restartWithConfig(func(config *step.Config) { config.RecordTransfers = true })
	job := newWholeMachineJob("j-1", scenario.kind, scenario.hungCount)
	w.After(seconds(3), func() { w.Submit(job) })
	if scenario.soundCount > 0 {
		w.After(seconds(9), func() { w.Submit(newWholeMachineJob("j-2", protocol.KindArray, scenario.soundCount)) })
	}
	w.Advance(seconds(20))
	isHung := map[protocol.MachineID]bool{}
	for _, machine := range w.machinesWithTaskOf(job) {
		isHung[machine.ID] = true
		machine.Hang(seconds(150))
	}
	if len(isHung) != scenario.hungCount {
		t.Fatalf("seed %d: tasks of the job run on %d machines, want %d", seed, len(isHung), scenario.hungCount)
	}
	scenario.inject(w)
	w.After(scenario.cancelAfter, func() { w.Cancel(job.ID) })
	w.Advance(seconds(120))
	checkRules(t, w, seed)
	if !w.FinishedJobs[job.ID] {
		t.Errorf("seed %d: the job is not reported cancelled", seed)
	}
	for _, machine := range w.sortedMachines() {
		if machine.Terminated && !isHung[machine.ID] {
			t.Errorf("seed %d: machine %s, which is sound, was terminated", seed, machine.ID)
		}
	}
}

// machinesWithTaskOf returns the machines on which a task of a job is.
func (w *World) machinesWithTaskOf(job *protocol.Job) (machines []*Machine) {
	for _, machine := range w.sortedMachines() {
		hasTask := func(task protocol.Task) bool { return task.Job == job.ID }
		if !machine.Terminated && slices.ContainsFunc(machine.sortedTasks(), hasTask) {
			machines = append(machines, machine)
		}
	}
	return machines
}
