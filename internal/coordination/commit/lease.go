package commit

import (
	"errors"
	"log/slog"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// renewalsPerLease is how often a lease is renewed in the time that it would last, so that
	// it survives some lost requests.
	renewalsPerLease = 4
	// grantRetryDelay and renewalRetryDelay are the pauses after a failed request; they vary by
	// a quarter.
	grantRetryDelay   = 500 * time.Millisecond
	renewalRetryDelay = 300 * time.Millisecond
)

// Lease keeps the store's lease of this process and the incarnation that is registered under it.
// As long as the lease lives, the incarnation owns what the records say it owns.
type Lease struct {
	*step.Context

	store *StoreHealth

	incarnation          storage.Incarnation
	registrationRevision protocol.ModRevision // of this controller's key while the incarnation is registered; else 0
	id                   protocol.LeaseID     // of the incarnation, or to register with; 0: none

	isGranting       bool
	grantRequestedAt protocol.Instant // of the lease that is being granted
	grantedAt        protocol.Instant // of the latest lease
	nextGrantAt      protocol.Instant // earliest next request after a failed one

	isRenewing         bool
	renewalRequestedAt protocol.Instant
	nextRenewalAt      protocol.Instant
}

// IsRegistered tells whether the store has this incarnation on record, as far as is known.
func (l *Lease) IsRegistered() bool { return l.registrationRevision != 0 }

// Incarnation is this process under its lease, as registered; empty before the first registration.
func (l *Lease) Incarnation() storage.Incarnation { return l.incarnation }

// isGranted tells whether this process holds a lease.
func (l *Lease) isGranted() bool { return l.id != 0 }

// OwnsMachine tells whether this incarnation owns the machine, as far as it knows.
func (l *Lease) OwnsMachine(record *storage.MachineRecord) bool {
	return l.owns(record.Owner)
}

// owns tells whether an owner on record is this incarnation.
func (l *Lease) owns(owner storage.Incarnation) bool {
	return l.incarnation != "" && owner == l.incarnation
}

// TickLease requests a lease where there is none, and renews it in good time.
func (l *Lease) TickLease() {
	now := l.Now.Monotonic
	if l.id == 0 && !l.isGranting && now >= l.nextGrantAt {
		l.isGranting, l.grantRequestedAt = true, now
		l.Emit(step.GrantLease{TTL: l.Config.LeaseTTL})
	}
	if l.isRenewalDue() {
		l.isRenewing, l.renewalRequestedAt = true, now
		l.nextRenewalAt = now.Add(l.Jitter(l.renewalInterval()))
		l.Emit(step.RenewLease{LeaseID: l.id})
	}
}

func (l *Lease) isRenewalDue() bool {
	return l.id != 0 && !l.isRenewing && l.Now.Monotonic >= l.nextRenewalAt &&
		l.Since(l.grantedAt) > l.renewalInterval()
}

func (l *Lease) renewalInterval() time.Duration { return l.Config.LeaseTTL / renewalsPerLease }

// OnGrantLeaseResult takes in a new lease.
func (l *Lease) OnGrantLeaseResult(result step.GrantLeaseResult) {
	l.isGranting = false
	if l.store.RecordContact(l.grantRequestedAt, result.Err) {
		l.id = result.LeaseID
		l.grantedAt = l.Now.Monotonic
	} else {
		l.nextGrantAt = l.Now.Monotonic.Add(l.Jitter(grantRetryDelay))
	}
}

// OnRenewLeaseResult takes in whether the lease was renewed.
func (l *Lease) OnRenewLeaseResult(result step.RenewLeaseResult) {
	l.isRenewing = false
	if errors.Is(result.Err, storage.ErrLeaseExpired) && result.LeaseID == l.id {
		l.Log(slog.LevelWarn, "controller lease expired", "incarnation", string(l.incarnation))
		l.discardLease()
	}
	if !l.store.RecordContact(l.renewalRequestedAt, result.Err) {
		l.nextRenewalAt = l.Now.Monotonic.Add(l.Jitter(renewalRetryDelay))
	}
}

// discardLease forgets a lease that has expired, and with it the registration.
func (l *Lease) discardLease() { l.registrationRevision, l.id = 0, 0 }

// checkRegistration compares this incarnation with the one that the store has on record.
func (l *Lease) checkRegistration() {
	if !l.IsRegistered() {
		return
	}
	registered := l.Replica.Controllers[l.Config.ControllerID]
	if registered != nil && registered.Record.Incarnation == l.incarnation {
		l.registrationRevision = registered.ModRevision
		return
	}
	if registered == nil && l.Replica.Revision < protocol.Revision(l.registrationRevision) {
		return // the replica is older than the registration
	}
	l.Log(slog.LevelWarn, "controller registration lost, registering again", "incarnation", string(l.incarnation))
	l.discardLease()
}
