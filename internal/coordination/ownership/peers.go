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
	// peerStatusInterval is the mean interval at which this controller sends its status.
	peerStatusInterval = time.Second
	// peerStatusBacklogInterval is the mean interval while there are more misdirected heartbeats than one
	// status holds.
	peerStatusBacklogInterval = 200 * time.Millisecond
	// peerStatusLifetime is the maximum age of a status that permits transfers to its sender.
	peerStatusLifetime = 3 * time.Second
	// storeContactTimeout is the time since the last answer of the store after which the store counts as
	// unreachable.
	storeContactTimeout = 2 * time.Second
)

// Peers holds the last status of each other controller, and sends the status of this controller to the
// others. Statuses may be lost or late. No write may rely on a status alone, without the records
// confirming it.
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

// receivedStatus is a status of another controller and the time of its arrival.
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

// HasHeardFrom reports whether the last status of the incarnation's controller came from that
// incarnation and arrived within the given time.
func (p *Peers) HasHeardFrom(incarnation storage.Incarnation, within time.Duration) bool {
	status, hasStatus := p.lastStatuses[incarnation.Controller()]
	return hasStatus && status.Incarnation == incarnation && p.Since(status.receivedAt) < within
}

// PeersReportStoreUnavailable reports whether other controllers have sent a status within the given time
// and none of them reaches the store. It returns true if there are no other controllers.
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

// ExpediteStatus makes the next call of TickStatus send the status, even if it is not due.
func (p *Peers) ExpediteStatus() { p.isStatusUrgent = true }

// TickStatus sends the status of this controller to the others if it is due or urgent. It is called at
// each tick.
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

// acceptingShards returns the other incarnations to which shards may be transferred.
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
