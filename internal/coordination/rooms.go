package coordination

import (
	"log/slog"
	"math"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// room is a machine as the planner sees it.
type room struct {
	id     protocol.MachineID
	m      *mstate // nil: nothing is remembered of it here
	rec    *bk.MachineRecord
	fl     *protocol.Flavor
	coming bool // rented, but not up yet: nothing is written to it
	closed bool // takes no new task
	margin bool // because its period is about to end
	cores  float64
	accels float64
	mem    float64
	used   []held
	// What tasks are to take that follow those which run there.
	followers struct{ cores, accels, mem float64 }
}

// held is what a job has on a machine.
type held struct {
	job   protocol.JobID
	try   protocol.Attempt
	n     int
	desc  *protocol.Job
	order int
}

const eps = 1e-6

func (r *room) fits(j *protocol.Job) int {
	n := protocol.MaxTasks
	for _, p := range [3][2]float64{{r.cores, j.Cores}, {r.accels, j.Accelerators}, {r.mem, j.MemGB}} {
		if p[1] > 0 {
			n = min(n, int(math.Floor(p[0]/p[1]+eps)))
		}
	}
	return max(n, 0)
}

func (r *room) take(j *protocol.Job, n int) {
	r.cores -= float64(n) * j.Cores
	r.accels -= float64(n) * j.Accelerators
	r.mem -= float64(n) * j.MemGB
}

// mayUse tells whether the job's tasks may be on the machine at all.
func (c *Core) mayUse(j *protocol.Job, r *room) bool {
	return j.Allowed(r.rec.Type, r.rec.Zone) && (!r.rec.Spot || c.spotFor(j, r.fl))
}

// spotFor tells whether the job may use spot machines of a type. The rule
// gives them to jobs that keep checkpoints. The exception: where a task is so
// short that what a reclaim is expected to cost is less than what spot saves,
// it may do without (docs/design.md).
func (c *Core) spotFor(j *protocol.Job, f *protocol.Flavor) bool {
	if !j.Spot {
		return false
	}
	return j.Saves() || f.Rate > 0 && j.EstimateS/3600*c.cfg.SpotLoss < 1-f.LowPrice/f.Rate
}

// rooms lists the machines, with what is left on them.
func (c *Core) rooms(b *batch) []*room {
	list := c.replica.List()
	out := make([]*room, 0, len(list)+16)
	alive := map[bk.Run]bool{c.run: true}
	for _, e := range c.replica.Members {
		alive[e.Rec.Run] = true
	}
	flavors := map[protocol.Sku]*protocol.Flavor{}
	for i := range c.flavors {
		flavors[c.flavors[i].Sku] = &c.flavors[i]
	}
	resting := c.movingPages(isPrepared)
	orders := map[*protocol.Job]int{}
	for _, e := range list {
		id, rec := e.ID, &e.Rec
		if b.pages[rec.Page] != nil {
			if b.gone(id) {
				continue
			}
			rec = b.viewMachine(id)
		}
		fl := flavors[rec.Type]
		if fl == nil {
			continue
		}
		r := &room{id: id, m: c.machines[id], rec: rec, fl: fl, cores: fl.Cores, accels: fl.Accelerators, mem: fl.MemGB, coming: rec.Session == 0}
		r.closed = rec.Releasing || rec.Drain || !alive[rec.Owner] || resting[rec.Page] || c.releasing[id] != nil
		for i := range rec.Assigned {
			a := &rec.Assigned[i]
			j := b.viewJob(a.Job)
			if j == nil || j.Desc == nil {
				r.closed = true // what it takes is not known
				continue
			}
			order, ok := orders[j.Desc]
			if !ok {
				order = c.order(j.Desc)
				orders[j.Desc] = order
			}
			n := a.Tasks.Len()
			r.take(j.Desc, n)
			r.used = append(r.used, held{a.Job, a.Try, n, j.Desc, order})
		}
		if rec.Spot && !r.closed {
			age := millis(c.now.Wall - rec.Since)
			r.margin = NearBoundary(id, age, c.cfg.SpotPeriod, c.cfg.SpotMargin)
			if t := c.spot[priceKey{rec.Type, rec.Zone}]; t != nil && !t.Open() || r.margin {
				r.closed = true
			}
		}
		out = append(out, r)
	}
	return append(out, c.roomsToCome()...)
}

// roomsToCome lists the machines of rental requests that are on no record yet.
func (c *Core) roomsToCome() []*room {
	var out []*room
	for _, name := range sorted(c.rentals.requests) {
		r := c.rentals.requests[name]
		fl := c.flavor(r.request.Type)
		if fl == nil {
			continue
		}
		n := r.request.Count
		if r.machines != nil {
			n = 0
			for _, id := range r.machines {
				if c.replica.Machines[id] == nil {
					n++
				}
			}
		}
		for range n {
			out = append(out, &room{id: protocol.MachineID("~" + name), coming: true, fl: fl, cores: fl.Cores, accels: fl.Accelerators, mem: fl.MemGB,
				rec: &bk.MachineRecord{Type: r.request.Type, Zone: r.request.Zone, Spot: r.request.Spot}})
		}
	}
	return out
}

// logFleet tells, every ten seconds, what is rented and how much of it is in use.
func (c *Core) logFleet(rooms []*room) {
	if c.now.Steady < c.fleetAt {
		return
	}
	c.fleetAt = c.now.Steady.Add(10 * time.Second)
	type sum struct {
		up, coming  int
		margin      int
		closed      int
		cores, used float64
	}
	sums := map[poolKey]*sum{}
	for _, r := range rooms {
		k := poolKey{r.rec.Type, "", r.rec.Spot}
		if sums[k] == nil {
			sums[k] = &sum{}
		}
		if r.coming {
			sums[k].coming++
			continue
		}
		sums[k].up++
		if r.margin {
			sums[k].margin++
		}
		if r.closed {
			sums[k].closed++
		}
		sums[k].cores += r.fl.Cores
		sums[k].used += r.fl.Cores - r.cores
	}
	for k, t := range c.spot {
		c.log(slog.LevelDebug, "spot rule", "type", string(k.sku), "zone", string(k.zone), "price", t.price, "threshold", t.value, "open", t.Open())
	}
	for k, s := range sums {
		c.log(slog.LevelDebug, "fleet", "type", string(k.sku), "spot", k.spot, "up", s.up, "coming", s.coming, "cores", s.cores, "used", s.used, "margin", s.margin, "closed", s.closed)
	}
}

func (m *mstate) hasImage(bundle string) bool {
	if m == nil {
		return false
	}
	for i := range m.images {
		if m.images[i].name == bundle {
			return true
		}
	}
	return false
}

func (c *Core) noteImage(id protocol.MachineID, fl *protocol.Flavor, j *protocol.Job) {
	m := c.mstate(id)
	for i := range m.images {
		if m.images[i].name == j.Image {
			m.images = append(m.images[:i], m.images[i+1:]...)
			break
		}
	}
	m.images = append(m.images, image{j.Image, j.ImageGB})
	sum := 0.0
	for i := len(m.images) - 1; i >= 0; i-- {
		if sum += m.images[i].gb; sum > fl.LocalGB {
			m.images = append([]image(nil), m.images[i+1:]...)
			break
		}
	}
}
