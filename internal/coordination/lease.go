package coordination

import (
	"errors"
	"log/slog"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// leaseState is the state service's lease of this process run: as long as it lives, the run
// owns what the records say it owns.
type leaseState struct {
	id                 protocol.LeaseID // of the run, or the one to register with; 0: none
	isGranting         bool
	grantRequestedAt   protocol.Instant // when the one that is being granted was asked for
	grantedOrRetryAt   protocol.Instant // when the next may be
	isRenewing         bool
	renewalRequestedAt protocol.Instant
	nextRenewalAt      protocol.Instant
}

// tickLease asks for a lease where there is none, and renews it in good time.
func (c *Core) tickLease() {
	now := c.now.Monotonic
	if c.lease.id == 0 && !c.lease.isGranting && now >= c.lease.grantedOrRetryAt {
		c.lease.isGranting, c.lease.grantRequestedAt = true, now
		c.emit(GrantLease{c.cfg.LeaseTTL})
	}
	if c.lease.id != 0 && !c.lease.isRenewing && now >= c.lease.nextRenewalAt && c.since(c.lease.grantedOrRetryAt) > c.cfg.LeaseTTL/4 {
		c.lease.isRenewing, c.lease.renewalRequestedAt = true, now
		c.lease.nextRenewalAt = now.Add(c.jitter(c.cfg.LeaseTTL / 4))
		c.emit(RenewLease{c.lease.id})
	}
}

func (c *Core) onGrantLeaseResult(v GrantLeaseResult) {
	c.lease.isGranting = false
	if c.recordContact(c.lease.grantRequestedAt, v.Err) {
		c.lease.id = v.LeaseID
		c.lease.grantedOrRetryAt = c.now.Monotonic
	} else {
		c.lease.grantedOrRetryAt = c.now.Monotonic.Add(c.jitter(500 * time.Millisecond))
	}
}

func (c *Core) onRenewLeaseResult(v RenewLeaseResult) {
	c.lease.isRenewing = false
	if errors.Is(v.Err, storage.ErrLeaseExpired) && v.LeaseID == c.lease.id {
		c.log(slog.LevelWarn, "lease has ended", "run", string(c.incarnation))
		c.registrationRevision, c.lease.id = 0, 0
	}
	if !c.recordContact(c.lease.renewalRequestedAt, v.Err) {
		c.lease.nextRenewalAt = c.now.Monotonic.Add(c.jitter(300 * time.Millisecond))
	}
}

// checkRegistration compares this run with what the state service says of it.
func (c *Core) checkRegistration() {
	if !c.isRegistered() {
		return
	}
	e := c.replica.Controllers[c.cfg.ControllerID]
	if e != nil && e.Record.Incarnation == c.incarnation {
		c.registrationRevision = e.ModRevision
		return
	}
	if e == nil && c.replica.Revision < protocol.Revision(c.registrationRevision) {
		return // the replica is older than the registration
	}
	c.log(slog.LevelWarn, "this run's lease has ended, a new run begins", "run", string(c.incarnation))
	c.registrationRevision, c.lease.id = 0, 0
}
