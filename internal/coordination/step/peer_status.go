package step

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// MaxMisdirectedPerStatus is how many machines of other owners one status names: as many as
// fit into a frame beside the cancellations, in every version of the wire form.
const MaxMisdirectedPerStatus = 200

// PeerStatus is all that controllers tell each other. The loss of one costs time only: nothing
// that must be certain rests on it alone.
type PeerStatus struct {
	ControllerID   protocol.ControllerID
	StoreReachable bool // the sender reaches the key-value store
	Incarnation    storage.Incarnation
	AcceptsShards  bool // agents reach the sender, so it can own more shards

	// MisdirectedHeartbeats are from machines of other owners whose agents reach the sender:
	// these owners may be cut off from them.
	MisdirectedHeartbeats []MisdirectedHeartbeat

	Revision      protocol.Revision // up to which the sender's replica is complete
	CancelIntents []CancelIntent    // of which some controllers may not know yet
	CancelAcks    []protocol.JobID  // jobs of which the sender will start no task any more
}

// MisdirectedHeartbeat identifies a heartbeat that reached a controller which does not own the
// machine, by its position among all heartbeats of that machine.
type MisdirectedHeartbeat struct {
	Machine    protocol.MachineID
	AgentEpoch protocol.AgentEpoch
	Sequence   protocol.Sequence
}

// CancelIntent tells controllers whose replicas are behind that a job is being cancelled.
//
// A job is cancelled in two steps, both on record. The intent comes first: from then on the
// job's owner assigns no task, and owners of machines start no task and stop those that run.
// The job is recorded as cancelled once no controller that could keep or start a task of it is
// unaware of the intent: one whose watch has stalled would else go on responding to its agents
// for as long as an outage lasts. An intent is never revoked.
//
// For each machine that has an attempt of the job on record behind the intent, its owner
// confirms that no task runs or will start there: this controller from what it knows itself,
// another one by an acknowledgement, which binds its process. An ended incarnation confirms
// nothing, as its process may be cut off together with its agents and go on: the agent must
// have shown its successor the new fencing token. A controller that takes a shard over, or
// starts, knows the intent by then: it responds to no agent before its replica has its own write.
type CancelIntent struct {
	Job      protocol.JobID
	Revision protocol.Revision // at which the intent was recorded
}
