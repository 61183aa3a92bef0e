package step

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// MaxMisdirectedPerStatus is the most misdirected heartbeats that one status holds. This many fit
// into a frame beside the cancellations, in every version of the wire form.
const MaxMisdirectedPerStatus = 200

// PeerStatus is the only message that controllers send each other. A lost status causes a delay
// and nothing worse: no decision that must be certain depends on statuses alone.
type PeerStatus struct {
	ControllerID   protocol.ControllerID
	StoreReachable bool // the sender reaches the key-value store
	Incarnation    storage.Incarnation
	AcceptsShards  bool // agents reach the sender, so it can own more shards

	// MisdirectedHeartbeats lists heartbeats of machines that other controllers own and whose
	// agents reach the sender. The owners of these machines may be cut off from the agents.
	MisdirectedHeartbeats []MisdirectedHeartbeat

	Revision       protocol.Revision // the sender's replica is complete up to this revision
	CancelRequests []CancelRequest   // that some controllers may not know yet
	CancelAcks     []protocol.JobID  // jobs whose tasks the sender will no longer start
}

// MisdirectedHeartbeat identifies a heartbeat that reached a controller which does not own the
// machine, by the position of that heartbeat among all heartbeats of the machine.
type MisdirectedHeartbeat struct {
	Machine    protocol.MachineID
	AgentEpoch protocol.AgentEpoch
	Sequence   protocol.Sequence
}

// CancelRequest informs controllers whose replicas are behind that the cancellation of a job has
// been requested.
//
// A job is cancelled in two steps, both recorded in the store. The request comes first: from then
// on the job's owner assigns no task, and the owners of machines start no task of the job and stop
// those that run. The job is recorded as cancelled once every controller that could keep or start
// a task of the job knows the request. Without this condition, a controller whose watch has stalled
// would go on responding to its agents for as long as an outage lasts. A request is never revoked.
//
// For each machine that still has a recorded attempt of the job after the request, the owner of the
// machine confirms that no task of the job runs or will start there. This controller decides for
// its own machines by its own state. Another controller sends an acknowledgement, which binds its
// process. An ended incarnation confirms nothing, because its process may be cut off together with
// its agents and continue to run. Instead, the agent must have shown the new fencing token to the
// successor of that incarnation. A controller that starts or takes over a shard knows the request,
// because it responds to no agent before its replica contains its own write.
type CancelRequest struct {
	Job      protocol.JobID
	Revision protocol.Revision // at which the request was recorded
}
