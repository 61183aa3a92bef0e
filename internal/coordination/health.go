package coordination

import "time"

const (
	// startupOutageDelay is the time without any answer of the store after which a controller that
	// has read nothing yet assumes that the store is unavailable.
	startupOutageDelay = 2 * time.Second

	// storeContactTolerance is the age of the store's last answer up to which a controller counts
	// as healthy although requests fail.
	storeContactTolerance = 3 * time.Second

	// peerReportMaxAge is the age up to which the statuses of other controllers tell whether the
	// store is unavailable to them, too.
	peerReportMaxAge = 3 * time.Second
)

// Healthy tells whether this controller can take requests. In an outage of the store that all
// controllers see it stays healthy: it can answer, if only that the user must retry.
func (c *Core) Healthy() bool {
	if c.hasStarted() {
		return c.reachesStore() || c.isStoreOutageShared()
	}
	// A process that starts in an outage has read nothing, and is no worse than the others: it
	// says so at once, and serves as soon as it can. One that was called unhealthy would be
	// passed over for a while after the outage.
	return c.commit.Store.HasFailedFor(startupOutageDelay) && c.isStoreOutageShared()
}

// hasStarted tells whether this controller has read the records and has had a lease.
func (c *Core) hasStarted() bool {
	return c.commit.Replication.IsLoaded() && c.commit.Lease.Incarnation() != ""
}

// reachesStore tells whether the store answers this controller, or did a moment ago.
func (c *Core) reachesStore() bool {
	return !c.commit.Replication.StoreUnavailable() || c.commit.Store.HasAnsweredWithin(storeContactTolerance)
}

// isStoreOutageShared tells whether other controllers do not reach the store either. If one reaches it, this
// controller alone is cut off. One that gets answers neither from the store nor from any other
// controller must assume that it is cut off itself: users do better elsewhere.
func (c *Core) isStoreOutageShared() bool {
	return c.ownership.Peers.PeersReportStoreUnavailable(peerReportMaxAge)
}
