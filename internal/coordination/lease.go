package coordination

import (
	"errors"
	"log/slog"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// lease is the state service's lease of this process run: as long as it lives, the run
// owns what the records say it owns.
type lease struct {
	id        protocol.LeaseID // of the run, or the one to register with; 0: none
	granting  bool
	grantAsk  protocol.Instant // when the one that is being granted was asked for
	grantAt   protocol.Instant // when the next may be
	extending bool
	extendAsk protocol.Instant
	extendAt  protocol.Instant
}

// tickLease asks for a lease where there is none, and renews it in good time.
func (c *Core) tickLease() {
	now := c.now.Steady
	if c.lease.id == 0 && !c.lease.granting && now >= c.lease.grantAt {
		c.lease.granting, c.lease.grantAsk = true, now
		c.emit(Grant{c.cfg.HoldTTL})
	}
	if c.lease.id != 0 && !c.lease.extending && now >= c.lease.extendAt && c.since(c.lease.grantAt) > c.cfg.HoldTTL/4 {
		c.lease.extending, c.lease.extendAsk = true, now
		c.lease.extendAt = now.Add(c.jitter(c.cfg.HoldTTL / 4))
		c.emit(Extend{c.lease.id})
	}
}

func (c *Core) onGrant(v GrantResult) {
	c.lease.granting = false
	if c.heard(c.lease.grantAsk, v.Err) {
		c.lease.id = v.Hold
		c.lease.grantAt = c.now.Steady
	} else {
		c.lease.grantAt = c.now.Steady.Add(c.jitter(500 * time.Millisecond))
	}
}

func (c *Core) onExtend(v ExtendResult) {
	c.lease.extending = false
	if errors.Is(v.Err, bk.ErrGone) && v.Hold == c.lease.id {
		c.log(slog.LevelWarn, "lease has ended", "run", string(c.run))
		c.self, c.lease.id = 0, 0
	}
	if !c.heard(c.lease.extendAsk, v.Err) {
		c.lease.extendAt = c.now.Steady.Add(c.jitter(300 * time.Millisecond))
	}
}

// checkSelf compares this run with what the state service says of it.
func (c *Core) checkSelf() {
	if !c.registered() {
		return
	}
	e := c.replica.Members[c.cfg.Member]
	if e != nil && e.Rec.Run == c.run {
		c.self = e.Stamp
		return
	}
	if e == nil && c.replica.Rev < protocol.Rev(c.self) {
		return // the replica is older than the registration
	}
	c.log(slog.LevelWarn, "this run's lease has ended, a new run begins", "run", string(c.run))
	c.self, c.lease.id = 0, 0
}
