package ownership

import (
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// peerStatusInterval is the mean interval of the statuses that this controller sends.
	peerStatusInterval = time.Second
	// peerStatusBacklogInterval is the same while there are more misdirected heartbeats than fit one status.
	peerStatusBacklogInterval = 200 * time.Millisecond
	// peerStatusLifetime is the age up to which a status allows transferring shards to its sender.
	peerStatusLifetime = 3 * time.Second
	// storeContactTimeout is how long after its last answer the store counts as reachable.
	storeContactTimeout = 2 * time.Second
)

// Peers holds the last status of each other controller, and sends them the status of this one.
// Statuses may be lost or late: no write may rely on one alone, without the records confirming it.
type Peers struct {
	*step.Context

	cancellations *cancellation.Canceller
	lease         *commit.Lease
	misdirected   *agents.MisdirectedHeartbeats
	ownership     *Manager
	replication   *commit.Replication
	store         *commit.StoreHealth

	lastStatuses   map[protocol.ControllerID]receivedStatus
	nextStatusAt   protocol.Instant
	isStatusUrgent bool // the next status is due at the next tick
}

// receivedStatus is a status of another controller, and when it came.
type receivedStatus struct {
	step.PeerStatus
	receivedAt protocol.Instant
}

func newPeers(ctx *step.Context) *Peers {
	return &Peers{
		Context:      ctx,
		lastStatuses: map[protocol.ControllerID]receivedStatus{},
	}
}

// RecordStatus replaces the last status of another controller.
func (p *Peers) RecordStatus(status *step.PeerStatus) {
	p.lastStatuses[status.ControllerID] = receivedStatus{PeerStatus: *status, receivedAt: p.Now.Monotonic}
}

// HasHeardFrom tells whether an incarnation has sent its status within a time.
func (p *Peers) HasHeardFrom(incarnation storage.Incarnation, within time.Duration) bool {
	status, hasStatus := p.lastStatuses[incarnation.Controller()]
	return hasStatus && status.Incarnation == incarnation && p.Since(status.receivedAt) < within
}

// PeersReportStoreUnavailable tells whether other controllers have sent a status within a time, and
// none of these reaches the store. It is true of a controller without others.
func (p *Peers) PeersReportStoreUnavailable(within time.Duration) bool {
	isReportedUnavailable := p.Config.PeerCount == 0
	for _, status := range p.lastStatuses {
		if p.Since(status.receivedAt) >= within {
			continue
		}
		if status.StoreReachable {
			return false
		}
		isReportedUnavailable = true
	}
	return isReportedUnavailable
}

// ExpediteStatus has the next status sent at the next tick.
func (p *Peers) ExpediteStatus() { p.isStatusUrgent = true }

// TickStatus sends the status of this controller to the others when that is due.
func (p *Peers) TickStatus() {
	now := p.Now.Monotonic
	if now < p.nextStatusAt && !p.isStatusUrgent {
		return
	}
	p.isStatusUrgent = false
	p.nextStatusAt = now.Add(p.Jitter(peerStatusInterval))
	status := step.PeerStatus{
		ControllerID:   p.Config.ControllerID,
		StoreReachable: p.replication.IsLoaded() && p.store.IsAnswering(storeContactTimeout),
	}
	if p.lease.IsRegistered() {
		status.Incarnation = p.lease.Incarnation()
		p.cancellations.AddCancellationStatus(&status)
		status.AcceptsShards = p.ownership.acceptsShards()
		if hasMore := p.misdirected.AddMisdirectedHeartbeats(&status); hasMore {
			p.nextStatusAt = now.Add(p.Jitter(peerStatusBacklogInterval))
		}
	}
	p.misdirected.ForgetExpired()
	p.Emit(step.SendPeerStatus{Status: status})
}

// acceptingShards lists the other incarnations to which shards may be transferred.
func (p *Peers) acceptingShards() []storage.Incarnation {
	var accepting []storage.Incarnation
	for _, status := range p.lastStatuses {
		isRecent := p.Since(status.receivedAt) <= peerStatusLifetime
		if isRecent && status.StoreReachable && status.AcceptsShards && p.Replica.IsAlive(status.Incarnation) {
			accepting = append(accepting, status.Incarnation)
		}
	}
	return accepting
}
