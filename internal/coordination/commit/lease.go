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
	// renewalsPerLease is the number of renewals within the TTL of a lease, so that the lease
	// survives some lost requests.
	renewalsPerLease = 4
	// grantRetryDelay and renewalRetryDelay are the mean pauses after a failed request. Jitter
	// varies them by a quarter.
	grantRetryDelay   = 500 * time.Millisecond
	renewalRetryDelay = 300 * time.Millisecond
)

// Lease holds this process's lease in the store and the incarnation that is registered under it.
// While the lease lives, the incarnation owns whatever the records say that it owns.
type Lease struct {
	*step.Context

	store *StoreHealth

	incarnation          storage.Incarnation
	registrationRevision protocol.ModRevision // of this controller's key; 0 if the incarnation is not registered
	id                   protocol.LeaseID     // lease of the incarnation, or for the next registration; 0 if there is none

	isGranting       bool
	grantRequestedAt protocol.Instant // when the latest lease was requested
	grantedAt        protocol.Instant // when the latest lease was granted
	nextGrantAt      protocol.Instant // earliest next grant request after a failed one

	isRenewing         bool
	renewalRequestedAt protocol.Instant
	nextRenewalAt      protocol.Instant
}

// IsRegistered reports whether this incarnation is registered in the store, as far as this process
// knows.
func (l *Lease) IsRegistered() bool { return l.registrationRevision != 0 }

// Incarnation returns the incarnation that this process registered last, or an empty value before the
// first registration.
func (l *Lease) Incarnation() storage.Incarnation { return l.incarnation }

// isGranted reports whether this process holds a lease.
func (l *Lease) isGranted() bool { return l.id != 0 }

// OwnsMachine reports whether a machine's record names this incarnation as the owner.
func (l *Lease) OwnsMachine(record *storage.MachineRecord) bool {
	return l.owns(record.Owner)
}

// owns reports whether owner, as it is named in a record, is this incarnation.
func (l *Lease) owns(owner storage.Incarnation) bool {
	return l.incarnation != "" && owner == l.incarnation
}

// TickLease requests a lease if there is none, and renews the lease when that is due.
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

// isRenewalDue reports whether the lease should be renewed now.
func (l *Lease) isRenewalDue() bool {
	return l.id != 0 && !l.isRenewing && l.Now.Monotonic >= l.nextRenewalAt &&
		l.Since(l.grantedAt) > l.renewalInterval()
}

// renewalInterval returns the mean time between two renewals.
func (l *Lease) renewalInterval() time.Duration { return l.Config.LeaseTTL / renewalsPerLease }

// OnGrantLeaseResult stores a granted lease, or schedules another request after a failure.
func (l *Lease) OnGrantLeaseResult(result step.GrantLeaseResult) {
	l.isGranting = false
	if l.store.RecordContact(l.grantRequestedAt, result.Err) {
		l.id = result.LeaseID
		l.grantedAt = l.Now.Monotonic
	} else {
		l.nextGrantAt = l.Now.Monotonic.Add(l.Jitter(grantRetryDelay))
	}
}

// OnRenewLeaseResult handles the result of a renewal. It discards the lease if the lease has expired.
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

// discardLease forgets the lease and the registration under it.
func (l *Lease) discardLease() { l.registrationRevision, l.id = 0, 0 }

// checkRegistration compares this incarnation with the one that is registered in the replica. It
// discards the lease if the registration is lost.
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
