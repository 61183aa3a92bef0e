package commit

import (
	"errors"
	"log/slog"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Lease keeps the store's lease of this process and the incarnation that is registered under it.
// As long as the lease lives, the incarnation owns what the records say it owns.
type Lease struct {
	*step.Context

	store *StoreHealth

	incarnation          storage.Incarnation
	RegistrationRevision protocol.ModRevision // stamp of this member's key while run is registered
	id                   protocol.LeaseID     // of the run, or the one to register with; 0: none
	isGranting           bool
	grantRequestedAt     protocol.Instant // when the one that is being granted was asked for
	grantedOrRetryAt     protocol.Instant // when the next may be
	isRenewing           bool
	renewalRequestedAt   protocol.Instant
	nextRenewalAt        protocol.Instant
}

// TickLease asks for a lease where there is none, and renews it in good time.
func (l *Lease) TickLease() {
	now := l.Now.Monotonic
	if l.id == 0 && !l.isGranting && now >= l.grantedOrRetryAt {
		l.isGranting, l.grantRequestedAt = true, now
		l.Emit(step.GrantLease{TTL: l.Config.LeaseTTL})
	}
	if l.id != 0 && !l.isRenewing && now >= l.nextRenewalAt && l.Since(l.grantedOrRetryAt) > l.Config.LeaseTTL/4 {
		l.isRenewing, l.renewalRequestedAt = true, now
		l.nextRenewalAt = now.Add(l.Jitter(l.Config.LeaseTTL / 4))
		l.Emit(step.RenewLease{LeaseID: l.id})
	}
}

func (l *Lease) OnGrantLeaseResult(v step.GrantLeaseResult) {
	l.isGranting = false
	if l.store.RecordContact(l.grantRequestedAt, v.Err) {
		l.id = v.LeaseID
		l.grantedOrRetryAt = l.Now.Monotonic
	} else {
		l.grantedOrRetryAt = l.Now.Monotonic.Add(l.Jitter(500 * time.Millisecond))
	}
}

func (l *Lease) OnRenewLeaseResult(v step.RenewLeaseResult) {
	l.isRenewing = false
	if errors.Is(v.Err, storage.ErrLeaseExpired) && v.LeaseID == l.id {
		l.Log(slog.LevelWarn, "controller lease expired", "incarnation", string(l.incarnation))
		l.RegistrationRevision, l.id = 0, 0
	}
	if !l.store.RecordContact(l.renewalRequestedAt, v.Err) {
		l.nextRenewalAt = l.Now.Monotonic.Add(l.Jitter(300 * time.Millisecond))
	}
}

// checkRegistration compares this run with what the state service says of it.
func (l *Lease) checkRegistration() {
	if !l.IsRegistered() {
		return
	}
	e := l.Replica.Controllers[l.Config.ControllerID]
	if e != nil && e.Record.Incarnation == l.incarnation {
		l.RegistrationRevision = e.ModRevision
		return
	}
	if e == nil && l.Replica.Revision < protocol.Revision(l.RegistrationRevision) {
		return // the replica is older than the registration
	}
	l.Log(slog.LevelWarn, "controller registration lost, registering again", "incarnation", string(l.incarnation))
	l.RegistrationRevision, l.id = 0, 0
}

func (l *Lease) IsRegistered() bool { return l.RegistrationRevision != 0 }

// Incarnation names this process run as it is registered, empty before the first registration.
func (l *Lease) Incarnation() storage.Incarnation { return l.incarnation }

// IsGranted tells whether this process holds a lease.
func (l *Lease) IsGranted() bool { return l.id != 0 }

// OwnsMachine tells whether this run owns the machine, as far as it knows.
func (l *Lease) OwnsMachine(record *storage.MachineRecord) bool {
	return l.incarnation != "" && record.Owner == l.incarnation
}
