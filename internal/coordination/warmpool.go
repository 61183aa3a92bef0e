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
	classes    map[string]*urgentClass
	totalPeak  float64 // cores that unfinished work asked for at most; it fades
	urgentPeak float64 // and those of urgent work
	at         protocol.Instant
	kept       map[protocol.MachineID]bool
}

// urgentClass is the urgent work of one class.
type urgentClass struct {
	task *protocol.Job // what its newest tasks take
	now  float64       // unfinished tasks
	peak float64       // the most at once; it fades
}

const (
	// peakFades is how long a peak is remembered.
	peakFades = 5 * time.Minute
	// surplusShare is the part of IdleFactor for which an idle machine is kept that
	// urgent work does not need.
	surplusShare = 0.25
)

func newWarmPool() warmPool { return warmPool{classes: map[string]*urgentClass{}} }

// observe takes in the unfinished jobs.
func (w *warmPool) observe(now protocol.Instant, queue []*queued) {
	fade := 1 - min(float64(now.Sub(w.at))/float64(peakFades), 1)
	w.at = now
	for _, class := range w.classes {
		class.peak, class.now = class.peak*fade, 0
	}
	total, pressing := 0.0, 0.0
	for _, q := range queue {
		tasks := float64(q.rec.Desc.Tasks - q.done)
		if q.rec.Desc.Daemon() {
			tasks -= float64(q.placed) // what runs will not ask for a machine again
		}
		total += tasks * q.rec.Desc.Cores
		if !q.urgent {
			continue
		}
		pressing += tasks * q.rec.Desc.Cores
		class := w.classes[q.rec.Desc.Class]
		if class == nil {
			class = &urgentClass{}
			w.classes[q.rec.Desc.Class] = class
		}
		class.task = q.rec.Desc
		class.now += tasks
	}
	for _, class := range w.classes {
		class.peak = max(class.peak, class.now)
	}
	w.totalPeak = max(w.totalPeak*fade, total)
	w.urgentPeak = max(w.urgentPeak*fade, pressing)
}

// choose picks the idle machines that are kept, those that cost least first.
func (w *warmPool) choose(rooms []*room, mayUse func(*protocol.Job, *room) bool) {
	w.kept = map[protocol.MachineID]bool{}
	idle := slices.DeleteFunc(slices.Clone(rooms), func(r *room) bool {
		return r.coming || r.rec.Releasing || len(r.rec.Assigned) > 0
	})
	slices.SortFunc(idle, func(a, z *room) int {
		return cmp.Or(cmp.Compare(a.corePrice(), z.corePrice()), cmp.Compare(a.id, z.id))
	})
	for _, lane := range sorted(w.classes) {
		class := w.classes[lane]
		need := class.peak - class.now
		for _, r := range idle {
			if need <= 0 {
				break
			}
			if n := machineFits(r.fl, class.task); n > 0 && !w.kept[r.id] && mayUse(class.task, r) {
				w.kept[r.id] = true
				need -= float64(n)
			}
		}
	}
}

// needs tells whether an idle machine is kept for urgent work. Where that is most of
// all work, every machine is.
func (w *warmPool) needs(id protocol.MachineID) bool {
	return w.kept[id] || 2*w.urgentPeak >= w.totalPeak
}

// corePrice is what a core of the machine costs.
func (r *room) corePrice() float64 {
	price := r.fl.Rate
	if r.rec.Spot {
		price = r.fl.LowPrice
	}
	return price / max(r.fl.Cores, eps)
}

// bringUp is how long it takes until a task runs on a machine that is rented for it.
func (c *Core) bringUp(d *protocol.Job) time.Duration {
	return c.quickest(d, func(f *protocol.Flavor) time.Duration { return startTime(f, d) })
}

// quickest is the least time that a machine type which fits the job needs.
func (c *Core) quickest(d *protocol.Job, needs func(*protocol.Flavor) time.Duration) time.Duration {
	best := time.Duration(0)
	for i := range c.flavors {
		f := &c.flavors[i]
		if machineFits(f, d) == 0 {
			continue
		}
		if t := needs(f); best == 0 || t < best {
			best = t
		}
	}
	return best
}

// startTime is how long a new machine of a type takes until it can run a task.
func startTime(f *protocol.Flavor, d *protocol.Job) time.Duration {
	return protocol.Seconds(f.ReadyS + fetchSeconds(f, d))
}

// fetchSeconds is how long a machine of a type takes to fetch the job's image.
func fetchSeconds(f *protocol.Flavor, d *protocol.Job) float64 {
	if f.FetchGBPerS <= 0 {
		return 0
	}
	return d.ImageGB / f.FetchGBPerS
}

// urgent tells whether a job's tasks have to begin sooner than machines can be relied
// on to be rented for them.
func (c *Core) urgent(q *queued) bool {
	slack := millis(q.beginBy - q.rec.Sent)
	return slack < time.Duration(c.cfg.IdleFactor*float64(c.bringUp(q.rec.Desc)))
}
