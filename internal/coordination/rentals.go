package coordination

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
	"tillerarch/internal/shares"
)

// poolKey names the machines of one type, zone and kind: the cloud runs out of each
// of these pools alone.
type poolKey struct {
	sku  protocol.Sku
	zone protocol.Zone
	spot bool
}

// rental is a rental request that is not over yet.
type rental struct {
	request  protocol.Hire
	at       protocol.Instant
	inFlight bool
	retryAt  protocol.Instant
	machines []protocol.MachineID // as granted; their records are still to be written
}

// rentals keeps this run's rental requests, and which pools had no machines of late.
type rentals struct {
	requests map[string]*rental
	sequence int
	refused  map[poolKey]protocol.Instant // when a pool last had fewer machines than asked for
}

func newRentals() rentals {
	return rentals{requests: map[string]*rental{}, refused: map[poolKey]protocol.Instant{}}
}

// granted tells whether a machine is one of those that a request was answered with.
func (r *rentals) granted(id protocol.MachineID) bool {
	for _, request := range r.requests {
		if slices.Contains(request.machines, id) {
			return true
		}
	}
	return false
}

// pending lists the pools that a request is under way for.
func (r *rentals) pending() map[poolKey]bool {
	pools := map[poolKey]bool{}
	for _, request := range r.requests {
		pools[request.pool()] = true
	}
	return pools
}

func (r *rental) pool() poolKey {
	return poolKey{r.request.Type, r.request.Zone, r.request.Spot}
}

// unmetDemand is work that no machine, up or coming, can take.
type unmetDemand struct {
	job   protocol.JobID
	desc  *protocol.Job
	tasks int
	zone  protocol.Zone // the only one it may be in, if not empty
	order int
	sent  protocol.Millis
	// All pools are asked for it at once; else dearer ones only where cheaper ones have
	// no machines.
	urgent bool
}

// plannedSoon is the age from which a job's unmet demand counts: a younger one may
// not have been planned by its claimant yet.
const plannedSoon protocol.Millis = 300

// dearerPool is how many times as dear as the cheapest pool another one may be that is
// asked beside it for work that is not urgent.
const dearerPool = 1.05

// planFresh is the age up to which a plan may be acted on.
const planFresh = 2 * time.Second

// rent asks the cloud for what the claimed jobs need and no machine, up or
// coming, can take.
func (c *Core) rent() {
	c.repeatRentals()
	if c.stateDown() || c.since(c.planned.at) > planFresh {
		return
	}
	slices.SortStableFunc(c.demand, func(a, z unmetDemand) int { return cmp.Compare(a.order, z.order) })
	pending := c.rentals.pending()
	spots := c.spotMachines()
	for _, d := range c.demand {
		if c.now.Wall-d.sent >= plannedSoon {
			c.rentFor(d, pending, spots)
		}
	}
	c.demand = c.demand[:0]
}

// repeatRentals sends requests again that had no answer.
func (c *Core) repeatRentals() {
	for _, name := range sorted(c.rentals.requests) {
		r := c.rentals.requests[name]
		if r.machines == nil && !r.inFlight && c.now.Steady >= r.retryAt {
			r.inFlight = true
			c.emit(SendRental{r.request})
		}
	}
}

func (c *Core) spotMachines() int {
	n := 0
	for _, e := range c.replica.Machines {
		if e.Rec.Spot {
			n++
		}
	}
	return n
}

// rentFor sends the requests for one job's demand, at most one at a time to a pool.
func (c *Core) rentFor(d unmetDemand, pending map[poolKey]bool, spots int) {
	left := d.tasks
	cheapest := 0.0
	for _, p := range c.pools(d) {
		if c.exhausted(p.key) {
			continue
		}
		if cheapest == 0 {
			cheapest = p.cost
		}
		if left <= 0 || !d.urgent && p.cost > cheapest*dearerPool {
			return
		}
		if pending[p.key] {
			continue
		}
		n := min((left+p.per-1)/p.per, c.cfg.RentalCap, protocol.MaxHire)
		if p.key.spot {
			n = min(n, c.cfg.SpotCap-spots)
		}
		if n <= 0 {
			continue
		}
		pending[p.key] = true
		c.sendRental(p.key, n, d.job)
		left -= n * p.per
	}
}

func (c *Core) sendRental(p poolKey, machines int, job protocol.JobID) {
	c.rentals.sequence++
	name := fmt.Sprintf("%s-%d", c.run, c.rentals.sequence)
	request := protocol.Hire{Hire: name, Type: p.sku, Zone: p.zone, Spot: p.spot, Count: machines}
	c.rentals.requests[name] = &rental{request: request, at: c.now.Steady, inFlight: true}
	c.log(slog.LevelInfo, "machines are rented", "hire", name, "type", string(p.sku), "zone", string(p.zone),
		"spot", p.spot, "count", machines, "for", string(job))
	c.emit(SendRental{request})
}

// exhausted tells whether the cloud had too few machines of a pool just now.
func (c *Core) exhausted(p poolKey) bool {
	at, refused := c.rentals.refused[p]
	return refused && c.since(at) < c.cfg.NoCapacity
}

// pool is what could be rented for a job.
type pool struct {
	key  poolKey
	per  int // tasks of the job on one machine
	cost float64
}

// pools lists what could be rented for a job, cheapest per task first.
func (c *Core) pools(d unmetDemand) []pool {
	var out []pool
	for i := range c.flavors {
		f := &c.flavors[i]
		per := machineFits(f, d.desc)
		if per == 0 {
			continue
		}
		for _, z := range f.Zones {
			if !d.desc.Allowed(f.Sku, z) || d.zone != "" && z != d.zone {
				continue
			}
			tasks := float64(min(per, d.tasks))
			out = append(out, pool{poolKey{f.Sku, z, false}, per, f.Rate / tasks})
			if t := c.spot[priceKey{f.Sku, z}]; !d.desc.Daemon() && c.spotFor(d.desc, f) && t != nil && t.Open() {
				out = append(out, pool{poolKey{f.Sku, z, true}, per, f.LowPrice / tasks})
			}
		}
	}
	slices.SortStableFunc(out, func(a, z pool) int {
		// Controllers differ in the zone that they try first.
		return cmp.Or(cmp.Compare(a.cost, z.cost), cmp.Compare(c.zonePreference(z), c.zonePreference(a)))
	})
	return out
}

func (c *Core) zonePreference(p pool) uint64 {
	return shares.Weight(string(c.cfg.Member), string(p.key.zone))
}

// machineFits tells how many tasks of a job an empty machine of a type takes.
func machineFits(f *protocol.Flavor, j *protocol.Job) int {
	return (&room{cores: f.Cores, accels: f.Accelerators, mem: f.MemGB}).fits(j)
}

// onRental takes the answer to a rental request.
func (c *Core) onRental(v RentalResult) {
	r := c.rentals.requests[v.Hire.Hire]
	if r == nil {
		return
	}
	r.inFlight = false
	p := r.pool()
	switch {
	case v.NoCapacity:
		c.rentals.refused[p] = c.now.Steady
		delete(c.rentals.requests, v.Hire.Hire)
		c.log(slog.LevelInfo, "cloud has no capacity", "type", string(p.sku), "zone", string(p.zone), "spot", p.spot)
	case v.Invalid:
		c.rentals.refused[p] = c.now.Steady
		delete(c.rentals.requests, v.Hire.Hire)
		c.log(slog.LevelError, "cloud calls the rental malformed", "hire", v.Hire.Hire)
	case v.Err != nil:
		// It may have been carried out: the same name is asked again.
		r.retryAt = c.now.Steady.Add(c.jitter(time.Second))
		c.log(slog.LevelWarn, "rental without answer is repeated", "hire", v.Hire.Hire, "err", v.Err.Error())
	default:
		if len(v.Machines) < v.Hire.Count {
			c.rentals.refused[p] = c.now.Steady
		}
		r.machines = v.Machines
		if len(v.Machines) == 0 {
			delete(c.rentals.requests, v.Hire.Hire)
		}
		c.log(slog.LevelInfo, "machines come", "hire", v.Hire.Hire, "machines", len(v.Machines), "asked", v.Hire.Count)
	}
}

// recordRentals puts granted machines on record.
func (c *Core) recordRentals(b *batch) {
	for _, name := range sorted(c.rentals.requests) {
		r := c.rentals.requests[name]
		if r.machines == nil {
			continue
		}
		missing := 0
		for _, id := range r.machines {
			if _, released := c.released[id]; released || c.replica.Machines[id] != nil {
				continue
			}
			missing++
			if b.machines[id] == nil && b.canAdd() {
				b.add(id, &bk.MachineRecord{Type: r.request.Type, Zone: r.request.Zone, Spot: r.request.Spot,
					Since: c.now.Wall - protocol.Millis(c.since(r.at).Milliseconds())}, 0)
			}
		}
		if missing == 0 {
			delete(c.rentals.requests, name)
		}
	}
}
