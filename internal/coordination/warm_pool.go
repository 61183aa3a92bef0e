package coordination

import (
	"cmp"
	"slices"
	"time"

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

// observe takes in the unfinished jobs.
func (w *warmPool) observe(now protocol.Instant, queue []*pendingJob) {
	decay := 1 - min(float64(now.Sub(w.observedAt))/float64(peakDecayPeriod), 1)
	w.observedAt = now
	for _, class := range w.classes {
		class.peakTasks, class.currentTasks = class.peakTasks*decay, 0
	}
	totalCores, urgentCores := 0.0, 0.0
	for _, q := range queue {
		tasks := float64(q.record.Spec.TaskCount - q.doneTasks)
		if q.record.Spec.IsService() {
			tasks -= float64(q.placedTasks) // what runs will not ask for a machine again
		}
		totalCores += tasks * q.record.Spec.Cores
		if !q.isUrgent {
			continue
		}
		urgentCores += tasks * q.record.Spec.Cores
		class := w.classes[q.record.Spec.Class]
		if class == nil {
			class = &urgentClass{}
			w.classes[q.record.Spec.Class] = class
		}
		class.latestJob = q.record.Spec
		class.currentTasks += tasks
	}
	for _, class := range w.classes {
		class.peakTasks = max(class.peakTasks, class.currentTasks)
	}
	w.totalPeakCores = max(w.totalPeakCores*decay, totalCores)
	w.urgentPeakCores = max(w.urgentPeakCores*decay, urgentCores)
}

// selectRetained picks the idle machines that are kept, those that cost least first.
func (w *warmPool) selectRetained(candidates []*candidate, mayUse func(*protocol.Job, *candidate) bool) {
	w.retained = map[protocol.MachineID]bool{}
	idle := slices.DeleteFunc(slices.Clone(candidates), func(r *candidate) bool {
		return r.isProvisioning || r.record.Terminating || len(r.record.Assignments) > 0
	})
	slices.SortFunc(idle, func(a, z *candidate) int {
		return cmp.Or(cmp.Compare(a.pricePerCore(), z.pricePerCore()), cmp.Compare(a.id, z.id))
	})
	for _, className := range sortedKeys(w.classes) {
		class := w.classes[className]
		need := class.peakTasks - class.currentTasks
		for _, r := range idle {
			if need <= 0 {
				break
			}
			if n := machineTypeCapacity(r.machineType, class.latestJob); n > 0 && !w.retained[r.id] && mayUse(class.latestJob, r) {
				w.retained[r.id] = true
				need -= float64(n)
			}
		}
	}
}

// shouldRetain tells whether an idle machine is kept for urgent work. Where that is most of
// all work, every machine is.
func (w *warmPool) shouldRetain(id protocol.MachineID) bool {
	return w.retained[id] || 2*w.urgentPeakCores >= w.totalPeakCores
}

// pricePerCore is what a core of the machine costs.
func (c *candidate) pricePerCore() float64 {
	price := c.machineType.OnDemandPrice
	if c.record.Spot {
		price = c.machineType.SpotPrice
	}
	return price / max(c.machineType.Cores, epsilon)
}

// machineStartupTime is how long a new machine of a type takes until it can run a task.
func machineStartupTime(f *protocol.MachineType, d *protocol.Job) time.Duration {
	return protocol.Seconds(f.BootSeconds + imageFetchSeconds(f, d))
}

// imageFetchSeconds is how long a machine of a type takes to fetch the job's image.
func imageFetchSeconds(f *protocol.MachineType, d *protocol.Job) float64 {
	if f.ImagePullGBPerSecond <= 0 {
		return 0
	}
	return d.ImageGB / f.ImagePullGBPerSecond
}
