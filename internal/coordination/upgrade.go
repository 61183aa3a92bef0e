package coordination

import (
	"log/slog"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// While a deployment is upgraded, controllers of the old and of this version work on the
// same records. Each run of this version says in its member record which format it
// reads. Once all controllers have been seen to do so, the format on record is raised,
// and only then is anything written that the old version could not read. Where no new
// limits of the state service are announced, the plain format serves, and nothing is
// raised.

// upgrade is what this process knows of the versions of the others.
type upgrade struct {
	readers map[protocol.Member]bool // controllers last seen to read the packed format
	refused bool                     // the announced limits hold: a write within today's was refused as too large
	since   protocol.Instant         // since when the format could be raised
	warned  bk.Run                   // a run that was reported as too old
}

// raiseDelay is how long the other controllers leave it to one of them to raise the
// format.
const raiseDelay = 2 * time.Second

// format is the newest format that may be written.
func (c *Core) format() bk.Format { return c.replica.Format.Rec.Write }

// observeVersions notes which controllers read the packed format. A run of an older
// version takes back what was noted of its controller.
func (c *Core) observeVersions() {
	for member, e := range c.replica.Members {
		reads := e.Rec.Reads >= bk.FormatPacked
		if c.upgrade.readers[member] = reads; !reads && c.format() >= bk.FormatPacked && c.upgrade.warned != e.Rec.Run {
			c.upgrade.warned = e.Rec.Run
			c.log(slog.LevelError, "a controller of a version that can't read the records is up", "run", string(e.Rec.Run))
		}
	}
}

// mayRaiseFormat tells whether the packed format may be written from now on: every
// controller of the deployment has been seen to read it. That the announced limits hold
// shows it too, as they come only when the upgrade is over; but not against a run of
// an older version that lives.
func (c *Core) mayRaiseFormat() bool {
	if c.cfg.NextLimits == nil || c.format() >= bk.FormatPacked {
		return false
	}
	for member := range c.replica.Members {
		if !c.upgrade.readers[member] {
			return false
		}
	}
	if c.upgrade.refused {
		return true
	}
	for _, member := range c.cfg.Members {
		if !c.upgrade.readers[member] {
			return false
		}
	}
	return c.upgrade.readers[c.cfg.Member]
}

// raiseFormat sends the change of the format, and tells whether it did. It rests on the
// keys of all controllers, those that are away too: one of them may end, and another
// version begin, before the change is applied.
func (c *Core) raiseFormat() bool {
	if !c.mayRaiseFormat() {
		c.upgrade.since = 0
		return false
	}
	if c.upgrade.since == 0 {
		c.upgrade.since = c.now.Steady
	}
	if !c.heir(bk.FormatKey) && c.since(c.upgrade.since) < raiseDelay || !c.spend(1) {
		return false
	}
	when := []protocol.When{{Key: bk.FormatKey, Stamp: c.replica.Stamp(bk.FormatKey)}}
	for _, member := range append([]protocol.Member{c.cfg.Member}, c.cfg.Members...) {
		key := bk.MemberKey(member)
		when = append(when, protocol.When{Key: key, Stamp: c.replica.Stamp(key)})
	}
	record := bk.FormatRecord{Write: bk.FormatPacked, By: c.run}
	c.send(&txn{multi: protocol.Multi{When: when, Then: []protocol.Then{{Put: bk.FormatKey, Data: bk.JSON(record)}}},
		logs: []Effect{Log{slog.LevelInfo, "all controllers read the packed format, it is written from now on", nil}}})
	return true
}

// tooLarge takes in that the state service has called a transaction malformed.
func (c *Core) tooLarge(m *protocol.Multi) {
	if c.cfg.NextLimits != nil && c.format() < bk.FormatPacked && !c.acceptable().keepsTo(m) {
		c.upgrade.refused = true
	}
	c.shrink()
}

// repack rewrites what this run is responsible for and what the limits would refuse as
// it is: pages and jobs written before the format was raised. It takes what room there
// is, so a few transactions do; whatever else needs such a record before rewrites it the
// same way.
func (c *Core) repack(b *batch) {
	if c.format() < bk.FormatPacked {
		return
	}
	limit := c.limits().ValueBytes
	// Once that is done there are none, at each transaction: only what is found is sorted.
	pages := pick(c.replica.Pages, func(p *bk.Page) bool { return p.Owner == c.run && p.Size > limit })
	for _, id := range pages {
		if b.pages[id] == nil && b.hasRoom(c.pageOps(id)) {
			b.page(id)
		}
	}
	jobs := pick(c.replica.Open, func(e *bk.Entry[bk.JobRecord]) bool { return e.Rec.Claim == c.run && e.Size > limit })
	for _, id := range jobs {
		if b.hasRoom(b.needs("", id)) {
			b.job(id)
		}
	}
}

// pageOps is how many changes it takes to write a page: one that was written in the
// plain format may take several parts.
func (c *Core) pageOps(id bk.PageID) int {
	limit := c.limits().ValueBytes
	p := c.replica.Pages[id]
	if p == nil || c.format() < bk.FormatPacked || p.Size <= limit {
		return 1
	}
	const margin = 5 // a quarter more than the packed page takes, as parts are uneven
	return max((c.replica.PackedSize(id)*margin/4+limit-1)/limit, 1)
}
