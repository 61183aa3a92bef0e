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

type peer struct {
	status     step.PeerStatus
	receivedAt protocol.Instant
}

// peerStatusBacklogInterval is the distance of hints while there is more to tell than fits into one.
const peerStatusBacklogInterval = 200 * time.Millisecond

// Peers holds the last status of each other controller, and tells them the status of this one.
type Peers struct {
	*step.Context

	cancellations *cancellation.Canceller
	lease         *commit.Lease
	misdirected   *agents.MisdirectedHeartbeats
	ownership     *Manager
	replication   *commit.Replication
	store         *commit.StoreHealth

	peers              map[protocol.ControllerID]peer
	nextPeerStatusAt   protocol.Instant
	isPeerStatusUrgent bool // there is something that the others should hear at once
}

func NewPeers(ctx *step.Context) *Peers {
	return &Peers{
		Context: ctx,
		peers:   map[protocol.ControllerID]peer{},
	}
}

// PeersReportStoreUnavailable tells whether other controllers have been heard of within a time, and
// all of those say that they do not reach the state service.
func (t *Peers) PeersReportStoreUnavailable(within time.Duration) bool {
	anyHeard := t.Config.PeerCount == 0
	for _, p := range t.peers {
		if t.Since(p.receivedAt) >= within {
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
func (t *Peers) ExpediteStatus() { t.isPeerStatusUrgent = true }

// RecordStatus takes in the status of another controller.
func (t *Peers) RecordStatus(status *step.PeerStatus) {
	t.peers[status.ControllerID] = peer{status: *status, receivedAt: t.Now.Monotonic}
}

// HasHeardFrom tells whether an incarnation has sent its status within a time.
func (t *Peers) HasHeardFrom(incarnation storage.Incarnation, within time.Duration) bool {
	p, ok := t.peers[incarnation.Controller()]
	return ok && p.status.Incarnation == incarnation && t.Since(p.receivedAt) < within
}

// TickPeerStatus tells the other controllers of this one when that is due.
func (t *Peers) TickPeerStatus() {
	now := t.Now.Monotonic
	if now < t.nextPeerStatusAt && !t.isPeerStatusUrgent {
		return
	}
	t.isPeerStatusUrgent = false
	t.nextPeerStatusAt = now.Add(t.Jitter(time.Second))
	status := step.PeerStatus{ControllerID: t.Config.ControllerID, StoreReachable: t.replication.IsLoaded() && t.store.IsAnswering(2*time.Second)}
	if t.lease.IsRegistered() {
		status.Incarnation = t.lease.Incarnation()
		t.cancellations.AddCancellationStatus(&status)
		status.AcceptsShards = t.ownership.canAcceptMachines()
		if t.misdirected.AddMisdirectedHeartbeats(&status) {
			t.nextPeerStatusAt = now.Add(t.Jitter(peerStatusBacklogInterval))
		}
	}
	t.misdirected.Expire()
	t.Emit(step.SendPeerStatus{Status: status})
}
