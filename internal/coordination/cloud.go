package coordination

import (
	"log/slog"
	"sort"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// release is a machine on its way back to the cloud.
type release struct {
	tryAt    protocol.Instant
	out      bool
	done     bool // answered 200: the machine and all on it are gone
	unmarked bool // nothing on record says so
}

// cutOffFactor is how many times as long machines are waited for where nearly all are
// silent, so that it may be this node that is cut off. Their workers would have reached
// another controller by then, which would have been handed them: nobody reaches them.
const cutOffFactor = 2

// listing is what the cloud's list says of a machine.
type listing struct {
	host    protocol.Host
	seenAt  protocol.Instant // when the list that had it was asked for
	missing int              // later lists in a row without it
}

func (c *Core) onFlavors(v FlavorsResult) {
	c.flavorOut = false
	if v.Err != nil {
		c.flavorAt = c.now.Steady.Add(c.jitter(2 * time.Second))
		c.log(slog.LevelWarn, "machine types are not known", "err", v.Err.Error())
		return
	}
	c.flavors = v.Flavors
	c.flavorAt = c.now.Steady.Add(c.jitter(c.cfg.SpotCheck))
	for _, f := range v.Flavors {
		for _, z := range f.Zones {
			k := priceKey{f.Sku, z}
			t := c.spot[k]
			if t == nil {
				c.spot[k] = NewThreshold(c.cfg.SpotWindow, c.now.Steady, f.LowPrice, f.Rate)
				continue
			}
			if t.Observe(c.now.Steady, f.LowPrice, f.Rate) {
				c.log(slog.LevelInfo, "spot halts, price above threshold", "type", string(f.Sku), "zone", string(z),
					"price", f.LowPrice, "threshold", t.Value())
			}
		}
	}
}

// tickFlavors reads the machine types and their prices again when that is due.
func (c *Core) tickFlavors() {
	if !c.flavorOut && c.now.Steady >= c.flavorAt {
		c.flavorOut = true
		c.emit(AskFlavors{})
	}
}

// forgetReleased drops what is remembered of machines that went back long ago.
func (c *Core) forgetReleased() {
	for id, at := range c.released {
		if c.since(at) > releasedKept {
			delete(c.released, id)
		}
	}
}

// releasedKept is how long a machine that went back is remembered: the cloud's list may
// show it for as long.
const releasedKept = 90 * time.Second

// sendReleases sends the releases that are due, in one call.
func (c *Core) sendReleases() {
	now := c.now.Steady
	var names []protocol.MachineID
	for id, r := range c.releasing {
		if e := c.replica.Machines[id]; e == nil || !r.unmarked && (!c.mine(&e.Rec) || !e.Rec.Releasing) {
			delete(c.releasing, id)
			continue
		}
		if !r.done && !r.out && now >= r.tryAt && len(names) < protocol.MaxRelease {
			names = append(names, id)
		}
	}
	if len(names) > 0 && !c.releaseOut {
		sort.Slice(names, func(i, k int) bool { return names[i] < names[k] })
		for _, id := range names {
			c.releasing[id].out = true
		}
		c.releaseOut = true
		c.emit(SendRelease{names})
	}
}

// tickList reads the cloud's list of machines when that is due.
func (c *Core) tickList() {
	now := c.now.Steady
	if c.silentOwn > 0 {
		c.listAt = min(c.listAt, c.listedAt.Add(c.cfg.ListSilent))
	}
	if !c.listOut && now >= c.listAt {
		c.listedAt = now
		c.listOut = true
		c.listAt = now.Add(c.jitter(c.cfg.ListEvery))
		c.emit(AskList{})
	}
}

func (c *Core) onRelease(v ReleaseResult) {
	c.releaseOut = false
	for _, id := range v.Machines {
		r := c.releasing[id]
		if r == nil {
			continue
		}
		r.out = false
		if v.Err != nil {
			r.tryAt = c.now.Steady.Add(c.jitter(time.Second))
			continue
		}
		r.done = true
	}
	if v.Err != nil {
		c.log(slog.LevelWarn, "release failed", "machines", len(v.Machines), "err", v.Err.Error())
	}
}

// giveBack marks an owned machine's record; the release is sent once that is
// durable, so that nobody places anything there meanwhile.
func (c *Core) giveBack(b *batch, id protocol.MachineID, why string) {
	b.machine(id).Releasing = true
	b.log(slog.LevelInfo, "machine goes back", "machine", string(id), "why", why)
}

// tickRelease decides whether an owned machine goes back, and why.
func (c *Core) tickRelease(e *bk.Machine, m *mstate, cutOff bool) {
	if e.Rec.Releasing {
		if c.releasing[m.id] == nil && c.registered() {
			c.releasing[m.id] = &release{}
		}
		return
	}
	if m.leave = c.reasonToLeave(e, m, cutOff); m.leave != "" {
		c.leaving = append(c.leaving, m.id)
	}
}

func (c *Core) reasonToLeave(e *bk.Machine, m *mstate, cutOff bool) string {
	rec := &e.Rec
	fl := c.flavor(rec.Type)
	age := millis(c.now.Wall - rec.Since)
	if rec.Session == 0 {
		if fl == nil {
			return ""
		}
		limit := time.Duration(float64(protocol.Seconds(fl.ReadyS))*c.cfg.BootFactor) + c.cfg.BootExtra
		// Its age alone says nothing of a machine that this node has only just
		// found in the list or taken over: its worker gets the time to report.
		if age > limit && c.since(m.heardAt) > protocol.Seconds(fl.ReadyS) {
			return "never came up"
		}
		if l := c.listed[m.id]; l != nil && l.host.Stage == protocol.HostFailed {
			return "failed while it booted"
		}
		return ""
	}
	quiet := c.unheard(m)
	// The list does not come by way of the workers' network: what it no longer has is gone,
	// also where most machines of this node are silent.
	if l := c.listed[m.id]; l != nil && c.silent(m) {
		if l.host.Stage == protocol.HostFailed {
			return "failed"
		}
		if l.missing >= 2 {
			return "no longer listed"
		}
	}
	if given := c.cfg.Lease + c.cfg.SilentReturn; m.held == 0 && (quiet > given && !cutOff || quiet > cutOffFactor*given) {
		return "silent"
	}
	if m.deaf() && c.since(m.deafAt) > c.cfg.Lease+c.cfg.SilentReturn {
		return "answers do not reach it"
	}
	if m.faulty && len(rec.Assigned) == 0 {
		return "faulty"
	}
	// A withdrawn task that will not go takes its machine with it.
	if c.wouldNotGo(m, rec, cutOff) {
		if c.outForAll() {
			c.returnUnmarked(m.id)
		}
		return "withdrawn task would not go"
	}
	if len(rec.Assigned) > 0 || c.planned.busy[m.id] || m.rep != nil && c.liveTasks(m) {
		m.idleSince = 0
		return ""
	}
	if m.idleSince == 0 {
		m.idleSince = c.now.Steady
	}
	idle := c.since(m.idleSince)
	if idle > c.idleLimit(m, fl) && age > c.cfg.MinPaid {
		return "idle"
	}
	return ""
}

// idleLimit is how long an idle machine is kept: about as long as it would
// take to have its like again, up and with its images.
func (c *Core) idleLimit(m *mstate, fl *protocol.Flavor) time.Duration {
	if fl == nil {
		return time.Minute
	}
	again := fl.ReadyS
	if fl.FetchGBPerS > 0 && len(m.images) > 0 {
		sum := 0.0
		for _, i := range m.images {
			sum += i.gb
		}
		again += sum / float64(len(m.images)) / fl.FetchGBPerS
	}
	factor := c.cfg.IdleFactor
	if !c.warm.needs(m.id) {
		factor *= surplusShare
	}
	return time.Duration(again * factor * float64(time.Second))
}

func (c *Core) liveTasks(m *mstate) bool {
	for i := range m.rep.Tasks {
		if m.rep.Tasks[i].Stage != protocol.Ended {
			return true
		}
	}
	return false
}

func (c *Core) onList(v ListResult) {
	c.listOut = false
	if v.Err != nil {
		c.log(slog.LevelDebug, "machine list failed", "err", v.Err.Error())
		return
	}
	if !c.replication.loaded {
		return
	}
	have := map[protocol.MachineID]bool{}
	for _, h := range v.Hosts {
		if !h.UID.Valid() {
			continue
		}
		have[h.UID] = true
		c.listed[h.UID] = &listing{host: h, seenAt: v.Asked}
	}
	for id, l := range c.listed {
		// Lists come late and out of order: one that lacks a machine counts
		// only if it was asked for well after one that had it.
		if !have[id] && v.Asked.Sub(l.seenAt) > 0 {
			if l.missing++; l.missing > 5 {
				delete(c.listed, id)
			}
		}
	}
	// A machine that reported but was never listed counts as missing too, once
	// it must have been.
	for id, e := range c.replica.Machines {
		if !have[id] && c.listed[id] == nil && millis(c.now.Wall-e.Rec.Since) > 3*c.cfg.ListLag+5*time.Second {
			c.listed[id] = &listing{host: protocol.Host{UID: id}, seenAt: v.Asked}
		}
	}
}

// strangers are listed machines that no record tells of: late rentals, or ones
// whose renter died before it wrote them down. They are adopted, to be used or
// returned.
func (c *Core) strangers(b *batch) {
	unknown := pick(c.listed, func(l *listing) bool { return c.replica.Machines[l.host.UID] == nil })
	for _, id := range unknown {
		l := c.listed[id]
		if l.missing > 0 || l.host.AgeS < 20 || l.host.Type == "" || !b.canAdd() || b.machines[id] != nil {
			continue
		}
		if _, ok := c.released[id]; ok || !c.heir(string(id)) || c.rentals.granted(id) {
			continue
		}
		b.add(id, &bk.MachineRecord{Addr: l.host.Addr, Type: l.host.Type, Zone: l.host.Zone,
			Spot: l.host.Spot, Since: c.now.Wall - protocol.Millis(l.host.AgeS*1000)}, 0)
		b.log(slog.LevelInfo, "unexpected machine adopted from the list", "machine", string(id))
	}
}

// writeReleases marks the machines that are to go back.
func (c *Core) writeReleases(b *batch) {
	for _, id := range c.leaving {
		e := c.replica.Machines[id]
		if m := c.machines[id]; m != nil && m.leave != "" && e != nil && c.mine(&e.Rec) && !e.Rec.Releasing && b.hasRoom(b.needs(id)) && !b.gone(id) {
			if m.leave == "idle" && (b.machines[id] != nil || len(e.Rec.Assigned) > 0) {
				continue
			}
			c.giveBack(b, id, m.leave)
			m.leave = ""
		}
	}
}

// beginReview begins to ask anew which of the owned machines go back.
func (c *Core) beginReview(silent int) {
	c.silentOwn = silent
	c.leaving = c.leaving[:0]
}
