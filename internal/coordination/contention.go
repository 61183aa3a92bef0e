package coordination

import (
	"cmp"
	"slices"
	"time"

	"tillerarch/internal/protocol"
)

// Some machine types are the only ones that certain tasks fit. While such tasks wait,
// jobs that can have a cheaper type in time leave those machines to them: else higher
// ranked small tasks fill them, and dearer large machines are rented instead.

const (
	// bootMargin is how many times as long as usual a machine is taken to need to come up.
	bootMargin = 1.2
	// contendedFor is for how long a type counts as contended behind the last plan that
	// left tasks without it.
	contendedFor = 2 * time.Second
)

// rentalOption is a machine type of one kind that a job may be served by.
type rentalOption struct {
	flavor    *protocol.Flavor
	cost      float64 // of a task
	available bool    // the cloud may have some
}

// homeTypes lists the types that a job's tasks are to be rented on: the one that costs
// least and has machines, and those that would cost less but have none. inTime tells
// whether new machines of that one are up before the tasks have to begin.
func (c *Core) homeTypes(q *queued) (types []protocol.Sku, inTime bool) {
	for _, o := range c.rentalOptions(q.rec.Desc) {
		types = append(types, o.flavor.Sku)
		if !o.available {
			continue
		}
		boot := protocol.Seconds(o.flavor.ReadyS * (bootMargin - 1))
		up := boot + startTime(o.flavor, q.rec.Desc)
		inTime = !q.late && !q.aged && up <= millis(q.startBy-c.now.Wall)
		return types, inTime
	}
	return types, false
}

// rentalOptions lists how a job could be served, cheapest first.
func (c *Core) rentalOptions(d *protocol.Job) []rentalOption {
	var options []rentalOption
	for i := range c.flavors {
		f := &c.flavors[i]
		tasks := float64(machineFits(f, d))
		if tasks == 0 {
			continue
		}
		if c.spotFor(d, f) {
			options = append(options, rentalOption{f, f.LowPrice / tasks, c.available(f, d, true)})
		}
		options = append(options, rentalOption{f, f.Rate / tasks, c.available(f, d, false)})
	}
	slices.SortStableFunc(options, func(a, z rentalOption) int { return cmp.Compare(a.cost, z.cost) })
	return options
}

// available tells whether the cloud may have a machine of a type in a zone that the
// job allows.
func (c *Core) available(f *protocol.Flavor, d *protocol.Job, spot bool) bool {
	return slices.ContainsFunc(f.Zones, func(z protocol.Zone) bool {
		return d.Allowed(f.Sku, z) && !c.exhausted(poolKey{f.Sku, z, spot})
	})
}

// leaves lists the types that a job leaves to others which wait for them.
func (c *Core) leaves(q *queued) map[protocol.Sku]bool {
	out := map[protocol.Sku]bool{}
	if len(c.planned.contended) == 0 {
		return out
	}
	home, inTime := c.homeTypes(q)
	if !inTime {
		return out
	}
	for s := range c.planned.contended {
		if !slices.Contains(home, s) {
			out[s] = true
		}
	}
	return out
}

// noteContention notes that tasks of a job have found no machine.
func (c *Core) noteContention(q *queued) {
	types, _ := c.homeTypes(q)
	for _, s := range types {
		c.waitedFor[s] = c.now.Steady
	}
}

// contended lists the types that tasks have waited for of late.
func (c *Core) contended() map[protocol.Sku]bool {
	out := map[protocol.Sku]bool{}
	for s, at := range c.waitedFor {
		if c.since(at) < contendedFor {
			out[s] = true
		}
	}
	return out
}
