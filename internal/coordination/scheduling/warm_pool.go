package scheduling

import (
	"cmp"
	"slices"
	"time"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// peakDecayPeriod is how long a peak is remembered.
const peakDecayPeriod = 5 * time.Minute

// warmPool decides which idle machines are kept for work that cannot wait until a machine is
// provisioned for it: as many as such work had in use at its peak. All others are scaled in
// early. Every controller computes the same from the same records.
type warmPool struct {
	classes         map[string]*urgentClass
	totalPeakCores  float64 // the most cores that unfinished work asked for; it decays
	urgentPeakCores float64 // and the most that urgent work did
	observedAt      protocol.Instant
	retained        map[protocol.MachineID]bool
}

// urgentClass is the urgent work of one class.
type urgentClass struct {
	newestSpec   *protocol.Job // of its newest job: what a task takes
	currentTasks float64       // unfinished tasks
	peakTasks    float64       // the most at once; it decays
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

// expectedTasks counts the tasks of a job that ask for a machine now or later. A replica that
// runs does not.
func expectedTasks(job *PendingJob) float64 {
	tasks := float64(job.record.Spec.TaskCount - job.doneTasks)
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
	class.newestSpec = spec
	class.currentTasks += tasks
}

// selectRetainedMachines picks the idle machines that are kept, the cheapest first.
func (w *warmPool) selectRetainedMachines(candidates []*Candidate, isAllowed func(*protocol.Job, *Candidate) bool) {
	w.retained = map[protocol.MachineID]bool{}
	idle := cheapestIdleMachines(candidates)
	for _, className := range step.SortedKeys(w.classes) {
		class := w.classes[className]
		missing := class.peakTasks - class.currentTasks
		for _, machine := range idle {
			if missing <= 0 {
				break
			}
			capacity := catalog.MachineTypeCapacity(machine.machineType, class.newestSpec)
			if capacity > 0 && !w.retained[machine.id] && isAllowed(class.newestSpec, machine) {
				w.retained[machine.id] = true
				missing -= float64(capacity)
			}
		}
	}
}

// cheapestIdleMachines lists the machines that run nothing and could be scaled in, the cheapest per core
// first.
func cheapestIdleMachines(candidates []*Candidate) []*Candidate {
	idle := slices.DeleteFunc(slices.Clone(candidates), func(machine *Candidate) bool {
		return machine.isProvisioning || machine.record.Terminating || len(machine.record.Assignments) > 0
	})
	slices.SortFunc(idle, func(left, right *Candidate) int {
		return cmp.Or(cmp.Compare(left.pricePerCore(), right.pricePerCore()), cmp.Compare(left.id, right.id))
	})
	return idle
}

// shouldRetainMachine tells whether an idle machine is kept for urgent work. Where that is half of all
// work or more, every machine is.
func (w *warmPool) shouldRetainMachine(id protocol.MachineID) bool {
	return w.retained[id] || 2*w.urgentPeakCores >= w.totalPeakCores
}
