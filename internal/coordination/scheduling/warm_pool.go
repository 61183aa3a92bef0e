package scheduling

import (
	"cmp"
	"slices"
	"time"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// peakDecayPeriod is how long a peak is remembered. Each update of the peaks reduces them by the fraction
// of the period that has passed since the last update.
const peakDecayPeriod = 5 * time.Minute

// warmPool selects the idle machines that are retained for work that cannot wait until a machine is
// provisioned for it. It retains as many as such work used at its peak. All other idle machines are scaled
// in early. Every controller computes the same result from the same records.
type warmPool struct {
	classes         map[string]*urgentClass
	totalPeakCores  float64 // decaying peak of the cores that unfinished work requests
	urgentPeakCores float64 // decaying peak of the cores that urgent work requests
	observedAt      protocol.Instant
	retained        map[protocol.MachineID]bool
}

// urgentClass is the urgent work of one job class.
type urgentClass struct {
	lastSpec     *protocol.Job // spec of the last urgent job in queue order, which determines the resources of a task
	currentTasks float64       // unfinished tasks
	peakTasks    float64       // decaying peak of currentTasks
}

func newWarmPool() warmPool { return warmPool{classes: map[string]*urgentClass{}} }

// updatePeaks updates the peaks with the unfinished jobs.
func (w *warmPool) updatePeaks(now protocol.Instant, jobs []*PendingJob) {
	decay := 1 - min(float64(now.Sub(w.observedAt))/float64(peakDecayPeriod), 1)
	w.observedAt = now
	for _, class := range w.classes {
		class.peakTasks, class.currentTasks = class.peakTasks*decay, 0
	}
	totalCores, urgentCores := 0.0, 0.0
	for _, job := range jobs {
		tasks := expectedTasks(job)
		totalCores += tasks * job.record.Spec.Cores
		if job.isUrgent {
			urgentCores += tasks * job.record.Spec.Cores
			w.addUrgentTasks(job.record.Spec, tasks)
		}
	}
	for _, class := range w.classes {
		class.peakTasks = max(class.peakTasks, class.currentTasks)
	}
	w.totalPeakCores = max(w.totalPeakCores*decay, totalCores)
	w.urgentPeakCores = max(w.urgentPeakCores*decay, urgentCores)
}

// expectedTasks returns the number of a job's tasks that need a machine now or later. Running replicas do
// not need one.
func expectedTasks(job *PendingJob) float64 {
	tasks := float64(job.record.Spec.TaskCount - job.completedTaskCount)
	if job.record.Spec.IsService() {
		tasks -= float64(job.placedTasks)
	}
	return tasks
}

// addUrgentTasks adds tasks of an urgent job to the current tasks of its class.
func (w *warmPool) addUrgentTasks(spec *protocol.Job, tasks float64) {
	class := w.classes[spec.Class]
	if class == nil {
		class = &urgentClass{}
		w.classes[spec.Class] = class
	}
	class.lastSpec = spec
	class.currentTasks += tasks
}

// selectRetainedMachines selects the idle machines to retain, cheapest first.
func (w *warmPool) selectRetainedMachines(candidates []*Candidate, isAllowed func(*protocol.Job, *Candidate) bool) {
	w.retained = map[protocol.MachineID]bool{}
	idleMachines := cheapestIdleMachines(candidates)
	for _, className := range step.SortedKeys(w.classes) {
		class := w.classes[className]
		missingTasks := class.peakTasks - class.currentTasks
		for _, machine := range idleMachines {
			if missingTasks <= 0 {
				break
			}
			capacity := catalog.MachineTypeCapacity(machine.machineType, class.lastSpec)
			if capacity > 0 && !w.retained[machine.id] && isAllowed(class.lastSpec, machine) {
				w.retained[machine.id] = true
				missingTasks -= float64(capacity)
			}
		}
	}
}

// cheapestIdleMachines returns the machines that run nothing and could be scaled in, cheapest per core
// first.
func cheapestIdleMachines(candidates []*Candidate) []*Candidate {
	idleMachines := slices.DeleteFunc(slices.Clone(candidates), func(machine *Candidate) bool {
		return machine.isProvisioning || machine.record.Terminating || len(machine.record.Assignments) > 0
	})
	slices.SortFunc(idleMachines, func(left, right *Candidate) int {
		return cmp.Or(cmp.Compare(left.pricePerCore(), right.pricePerCore()), cmp.Compare(left.id, right.id))
	})
	return idleMachines
}

// shouldRetainMachine reports whether an idle machine is retained for urgent work. If urgent work is at
// least half of all work, every machine is retained.
func (w *warmPool) shouldRetainMachine(id protocol.MachineID) bool {
	return w.retained[id] || 2*w.urgentPeakCores >= w.totalPeakCores
}
