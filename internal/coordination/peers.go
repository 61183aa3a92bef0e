package coordination

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
	"time"
)

// peerTable holds the last status of each other controller, and tells them the status of this one.
type peerTable struct {
	*stepContext

	cancellations *canceller
	lease         *incarnationLease
	misdirected   *misdirectedHeartbeats
	ownership     *shardOwnership
	replication   *replicaSync
	store         *storeHealth

	peers              map[protocol.ControllerID]peer
	nextPeerStatusAt   protocol.Instant
	isPeerStatusUrgent bool // there is something that the others should hear at once
}

func newPeerTable(ctx *stepContext) *peerTable {
	return &peerTable{
		stepContext: ctx,
		peers:       map[protocol.ControllerID]peer{},
	}
}

// PeersReportStoreUnavailable tells whether other controllers have been heard of within a time, and
// all of those say that they do not reach the state service.
func (t *peerTable) PeersReportStoreUnavailable(within time.Duration) bool {
	anyHeard := t.cfg.PeerCount == 0
	for _, p := range t.peers {
		if t.since(p.receivedAt) >= within {
			continue
		}
		if p.status.StoreReachable {
			return false
		}
		anyHeard = true
	}
	return anyHeard
}

// ExpediteStatus has the next status sent at the next tick.
func (t *peerTable) ExpediteStatus() { t.isPeerStatusUrgent = true }

// recordStatus takes in the status of another controller.
func (t *peerTable) recordStatus(status *PeerStatus) {
	t.peers[status.ControllerID] = peer{status: *status, receivedAt: t.now.Monotonic}
}

// HasHeardFrom tells whether an incarnation has sent its status within a time.
func (t *peerTable) HasHeardFrom(incarnation storage.Incarnation, within time.Duration) bool {
	p, ok := t.peers[incarnation.Controller()]
	return ok && p.status.Incarnation == incarnation && t.since(p.receivedAt) < within
}

// tickPeerStatus tells the other controllers of this one when that is due.
func (t *peerTable) tickPeerStatus() {
	now := t.now.Monotonic
	if now < t.nextPeerStatusAt && !t.isPeerStatusUrgent {
		return
	}
	t.isPeerStatusUrgent = false
	t.nextPeerStatusAt = now.Add(t.jitter(time.Second))
	status := PeerStatus{ControllerID: t.cfg.ControllerID, StoreReachable: t.replication.isLoaded && t.store.isAnswering(2*time.Second)}
	if t.lease.isRegistered() {
		status.Incarnation = t.lease.incarnation
		t.cancellations.addCancellationStatus(&status)
		status.AcceptsShards = t.ownership.canAcceptMachines()
		if t.misdirected.addMisdirectedHeartbeats(&status) {
			t.nextPeerStatusAt = now.Add(t.jitter(peerStatusBacklogInterval))
		}
	}
	t.misdirected.expire()
	t.emit(SendPeerStatus{Status: status})
}
