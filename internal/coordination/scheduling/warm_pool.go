package scheduling

import (
	"cmp"
	"slices"
	"time"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// warmPool says which idle machines are kept for work that could not wait until a
// machine is rented for it: as many as such work had in use at its peak. All others
// go back early. Every controller computes the same from the same records.
type warmPool struct {
	classes         map[string]*urgentClass
	totalPeakCores  float64 // cores that unfinished work asked for at most; it fades
	urgentPeakCores float64 // and those of urgent work
	observedAt      protocol.Instant
	retained        map[protocol.MachineID]bool
}

// urgentClass is the urgent work of one class.
type urgentClass struct {
	latestJob    *protocol.Job // what its newest tasks take
	currentTasks float64       // unfinished tasks
	peakTasks    float64       // the most at once; it fades
}

// peakDecayPeriod is how long a peak is remembered.
const peakDecayPeriod = 5 * time.Minute

func newWarmPool() warmPool { return warmPool{classes: map[string]*urgentClass{}} }

// Observe takes in the unfinished jobs.
func (w *warmPool) Observe(now protocol.Instant, queue []*PendingJob) {
	decay := 1 - min(float64(now.Sub(w.observedAt))/float64(peakDecayPeriod), 1)
	w.observedAt = now
	for _, class := range w.classes {
		class.peakTasks, class.currentTasks = class.peakTasks*decay, 0
	}
	totalCores, urgentCores := 0.0, 0.0
	for _, q := range queue {
		tasks := float64(q.Record.Spec.TaskCount - q.doneTasks)
		if q.Record.Spec.IsService() {
			tasks -= float64(q.placedTasks) // what runs will not ask for a machine again
		}
		totalCores += tasks * q.Record.Spec.Cores
		if !q.IsUrgent {
			continue
		}
		urgentCores += tasks * q.Record.Spec.Cores
		class := w.classes[q.Record.Spec.Class]
		if class == nil {
			class = &urgentClass{}
			w.classes[q.Record.Spec.Class] = class
		}
		class.latestJob = q.Record.Spec
		class.currentTasks += tasks
	}
	for _, class := range w.classes {
		class.peakTasks = max(class.peakTasks, class.currentTasks)
	}
	w.totalPeakCores = max(w.totalPeakCores*decay, totalCores)
	w.urgentPeakCores = max(w.urgentPeakCores*decay, urgentCores)
}

// SelectRetained picks the idle machines that are kept, those that cost least first.
func (w *warmPool) SelectRetained(candidates []*Candidate, mayUse func(*protocol.Job, *Candidate) bool) {
	w.retained = map[protocol.MachineID]bool{}
	idle := slices.DeleteFunc(slices.Clone(candidates), func(r *Candidate) bool {
		return r.isProvisioning || r.Record.Terminating || len(r.Record.Assignments) > 0
	})
	slices.SortFunc(idle, func(a, z *Candidate) int {
		return cmp.Or(cmp.Compare(a.pricePerCore(), z.pricePerCore()), cmp.Compare(a.ID, z.ID))
	})
	for _, className := range step.SortedKeys(w.classes) {
		class := w.classes[className]
		need := class.peakTasks - class.currentTasks
		for _, r := range idle {
			if need <= 0 {
				break
			}
			if n := catalog.MachineTypeCapacity(r.MachineType, class.latestJob); n > 0 && !w.retained[r.ID] && mayUse(class.latestJob, r) {
				w.retained[r.ID] = true
				need -= float64(n)
			}
		}
	}
}

// ShouldRetain tells whether an idle machine is kept for urgent work. Where that is most of
// all work, every machine is.
func (w *warmPool) ShouldRetain(id protocol.MachineID) bool {
	return w.retained[id] || 2*w.urgentPeakCores >= w.totalPeakCores
}

// pricePerCore is what a core of the machine costs.
func (c *Candidate) pricePerCore() float64 {
	price := c.MachineType.OnDemandPrice
	if c.Record.Spot {
		price = c.MachineType.SpotPrice
	}
	return price / max(c.MachineType.Cores, catalog.Epsilon)
}
