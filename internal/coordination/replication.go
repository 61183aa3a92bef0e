package coordination

import (
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// replication is how far the replica of the records is, and what is under way for it.
type replication struct {
	loaded    bool         // the replica is whole
	until     protocol.Rev // it is whole once it has reached this
	begun     bool         // there is a replica to go on from; an empty store has revision 0
	loading   bool
	loadAsk   protocol.Instant // when the records that are being read were asked for
	following bool
	followAsk protocol.Instant // when the watch that is open was asked for
	followAt  protocol.Instant // when the next one may be
	replicaAt protocol.Instant // when the replica was last known to be up to date
	retryAt   protocol.Instant // next try of load or follow
}

// serviceHealth is whether the state service answers this process.
type serviceHealth struct {
	answeredAt protocol.Instant // last answer
	askedAt    protocol.Instant // when the newest request was sent that it has answered
	failures   int              // requests in a row without an answer
	downAt     protocol.Instant // when the first of those was
}

// follow asks for changes again. Each answer costs a request of a tight
// budget, so the calls keep a distance unless something waits for the replica.
func (c *Core) follow(waiting bool) {
	now := c.now.Steady
	if !c.replication.begun || c.replication.following || c.replication.loading || now < c.replication.retryAt {
		return
	}
	if now < c.replication.followAt && c.replica.Rev >= c.minRev && !waiting {
		return
	}
	c.replication.following, c.replication.followAsk = true, now
	c.replication.followAt = now.Add(c.cfg.FollowGap)
	c.emit(Follow{c.replica.Rev})
}

// heard notes whether the state service answered what was asked at a time.
func (c *Core) heard(asked protocol.Instant, err error) bool {
	if err == nil || errors.Is(err, bk.ErrGone) || errors.Is(err, bk.ErrTooOld) {
		if c.service.failures > 0 {
			c.log(slog.LevelInfo, "state service answers again", "failures", c.service.failures)
		}
		c.service.answeredAt, c.service.askedAt, c.service.failures = c.now.Steady, max(c.service.askedAt, asked), 0
		return err == nil
	}
	if c.service.failures == 0 {
		c.service.downAt = c.now.Steady
		c.log(slog.LevelWarn, "state service does not answer", "err", err.Error())
	}
	c.service.failures++
	return false
}

// stateDown tells whether a request to the state service would likely fail.
func (c *Core) stateDown() bool {
	return !c.replication.loaded || c.service.failures > 1 && c.since(c.service.answeredAt) > time.Second || c.since(c.service.answeredAt) > c.cfg.HoldTTL
}

// fresh tells whether new starts may rest on the replica.
func (c *Core) fresh() bool {
	// Calls may be answered while the watch stands still: the replica's own age
	// counts too, or a task of a job withdrawn long ago could be started. Both count
	// from when the request was sent: an answer may have lain in a socket while this
	// process stood still, and its run may have ended meanwhile.
	return c.replication.loaded && c.registered() && c.since(c.service.askedAt) < c.cfg.HoldTTL/2 && c.since(c.replication.replicaAt) < c.cfg.HoldTTL
}

func (c *Core) onLoad(v LoadResult) {
	c.replication.loading = false
	if !c.heard(c.replication.loadAsk, v.Err) {
		c.replication.retryAt = c.now.Steady.Add(c.jitter(500 * time.Millisecond))
		return
	}
	// Records deleted while this node did not follow must not stay: begin anew.
	old := c.replica
	c.replica = bk.NewReplica()
	c.replica.Changed = old.Changed
	c.forgetAssignments()
	for _, i := range v.Items {
		c.replicaPut(i.Key, i.Data, i.Stamp)
	}
	c.forgetUnrecorded(old)
	c.replica.Rev = v.From
	c.replication.until = v.Until
	c.replication.replicaAt = c.replication.loadAsk
	c.replication.begun = true
	c.replication.loaded = c.replica.Rev >= c.replication.until
	c.applyLimits()
	c.log(slog.LevelInfo, "records read", "jobs", len(c.replica.Jobs), "machines", len(c.replica.Machines), "revision", uint64(v.From))
}

func (c *Core) replicaPut(key string, data json.RawMessage, stamp protocol.Stamp) {
	before := c.format()
	if _, err := c.replica.Put(key, data, stamp); err != nil {
		c.log(slog.LevelError, "unreadable record is left alone", "key", key, "err", err.Error())
	}
	if c.format() != before {
		c.applyLimits()
	}
}

func (c *Core) onFollow(v FollowResult) {
	c.replication.following = false
	if errors.Is(v.Err, bk.ErrTooOld) {
		c.log(slog.LevelWarn, "changes are no longer kept, records are read again", "from", uint64(v.From))
		c.replication.loaded, c.replication.begun = false, false
		c.replication.retryAt = c.now.Steady
		return
	}
	if !c.heard(c.replication.followAsk, v.Err) {
		c.replication.retryAt = c.now.Steady.Add(c.jitter(200 * time.Millisecond))
		return
	}
	if v.From != c.replica.Rev {
		return
	}
	for _, n := range v.News.News {
		if n.Put != "" {
			c.replicaPut(n.Put, n.Data, n.Stamp)
		} else {
			c.replica.Delete(n.Delete, n.Stamp)
		}
	}
	c.onLost()
	c.stirred = true
	c.replica.Rev = max(c.replica.Rev, v.News.Rev)
	c.replication.replicaAt = c.replication.followAsk
	if !c.replication.loaded && c.replica.Rev >= c.replication.until {
		c.replication.loaded = true
	}
	c.checkSelf()
}
