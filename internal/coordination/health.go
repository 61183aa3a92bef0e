package coordination

import "time"

const (
	// startupOutageDelay is the time without any response of the store after which a controller that
	// has read nothing yet assumes that the store is unavailable.
	startupOutageDelay = 2 * time.Second

	// storeContactTolerance is the largest age of the store's last response at which a controller
	// counts as healthy although its requests to the store fail.
	storeContactTolerance = 3 * time.Second

	// peerReportMaxAge is the largest age at which the status of another controller shows whether the
	// store is unavailable to that controller, too.
	peerReportMaxAge = 3 * time.Second
)

// Healthy reports whether this controller can take requests. In an outage of the store that all
// controllers see, this controller stays healthy: it can at least answer that the user must retry.
func (c *Core) Healthy() bool {
	if c.hasStarted() {
		return c.reachesStore() || c.isStoreOutageShared()
	}
	// A process that starts in an outage has read nothing, but serves no worse than the other
	// controllers: it rejects requests at once, and accepts them as soon as it can. If it reported
	// itself unhealthy, it would receive no requests for a while after the outage.
	return c.commit.Store.HasFailedFor(startupOutageDelay) && c.isStoreOutageShared()
}

// hasStarted reports whether this controller has read the records and has had a lease.
func (c *Core) hasStarted() bool {
	return c.commit.Replication.IsLoaded() && c.commit.Lease.Incarnation() != ""
}

// reachesStore reports whether the store responds to this controller, or did so within
// storeContactTolerance.
func (c *Core) reachesStore() bool {
	return !c.commit.Replication.StoreUnavailable() || c.commit.Store.HasAnsweredWithin(storeContactTolerance)
}

// isStoreOutageShared reports whether other controllers do not reach the store either. If one of
// them reaches the store, only this controller is cut off. A controller that hears neither from the
// store nor from any other controller must assume that it is cut off itself, and users are better
// served by another controller.
func (c *Core) isStoreOutageShared() bool {
	return c.ownership.Peers.PeersReportStoreUnavailable(peerReportMaxAge)
}
