package coordination

import (
	"errors"
	"log/slog"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// incarnationLease keeps the store's lease of this process and the incarnation that is registered under it.
// As long as the lease lives, the incarnation owns what the records say it owns.
type incarnationLease struct {
	*stepContext

	store *storeHealth

	incarnation          storage.Incarnation
	registrationRevision protocol.ModRevision // stamp of this member's key while run is registered
	id                   protocol.LeaseID     // of the run, or the one to register with; 0: none
	isGranting           bool
	grantRequestedAt     protocol.Instant // when the one that is being granted was asked for
	grantedOrRetryAt     protocol.Instant // when the next may be
	isRenewing           bool
	renewalRequestedAt   protocol.Instant
	nextRenewalAt        protocol.Instant
}

// tickLease asks for a lease where there is none, and renews it in good time.
func (l *incarnationLease) tickLease() {
	now := l.now.Monotonic
	if l.id == 0 && !l.isGranting && now >= l.grantedOrRetryAt {
		l.isGranting, l.grantRequestedAt = true, now
		l.emit(GrantLease{TTL: l.cfg.LeaseTTL})
	}
	if l.id != 0 && !l.isRenewing && now >= l.nextRenewalAt && l.since(l.grantedOrRetryAt) > l.cfg.LeaseTTL/4 {
		l.isRenewing, l.renewalRequestedAt = true, now
		l.nextRenewalAt = now.Add(l.jitter(l.cfg.LeaseTTL / 4))
		l.emit(RenewLease{LeaseID: l.id})
	}
}

func (l *incarnationLease) onGrantLeaseResult(v GrantLeaseResult) {
	l.isGranting = false
	if l.store.recordContact(l.grantRequestedAt, v.Err) {
		l.id = v.LeaseID
		l.grantedOrRetryAt = l.now.Monotonic
	} else {
		l.grantedOrRetryAt = l.now.Monotonic.Add(l.jitter(500 * time.Millisecond))
	}
}

func (l *incarnationLease) onRenewLeaseResult(v RenewLeaseResult) {
	l.isRenewing = false
	if errors.Is(v.Err, storage.ErrLeaseExpired) && v.LeaseID == l.id {
		l.log(slog.LevelWarn, "controller lease expired", "incarnation", string(l.incarnation))
		l.registrationRevision, l.id = 0, 0
	}
	if !l.store.recordContact(l.renewalRequestedAt, v.Err) {
		l.nextRenewalAt = l.now.Monotonic.Add(l.jitter(300 * time.Millisecond))
	}
}

// checkRegistration compares this run with what the state service says of it.
func (l *incarnationLease) checkRegistration() {
	if !l.isRegistered() {
		return
	}
	e := l.replica.Controllers[l.cfg.ControllerID]
	if e != nil && e.Record.Incarnation == l.incarnation {
		l.registrationRevision = e.ModRevision
		return
	}
	if e == nil && l.replica.Revision < protocol.Revision(l.registrationRevision) {
		return // the replica is older than the registration
	}
	l.log(slog.LevelWarn, "controller registration lost, registering again", "incarnation", string(l.incarnation))
	l.registrationRevision, l.id = 0, 0
}

func (l *incarnationLease) isRegistered() bool { return l.registrationRevision != 0 }

// ownsMachine tells whether this run owns the machine, as far as it knows.
func (l *incarnationLease) ownsMachine(record *storage.MachineRecord) bool {
	return l.incarnation != "" && record.Owner == l.incarnation
}
