package agents

import (
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// agentLease holds this controller's knowledge of the agent's lease. Each response renews the lease.
// The agent kills its tasks when the lease expires.
type agentLease struct {
	ConfirmedToken      protocol.FencingToken // highest token that the agent has shown
	tokenConfirmedAt    protocol.Instant      // when the agent first showed the shard epoch of ConfirmedToken
	answeredHeartbeatAt protocol.Instant      // when the last heartbeat that was answered with 200 was received
	answeredToken       protocol.FencingToken // token in the response to that heartbeat
}

// confirmToken records a fencing token that the agent has shown.
func (l *agentLease) confirmToken(token protocol.FencingToken, now protocol.Instant) {
	if storage.ShardEpochOf(token) > storage.ShardEpochOf(l.ConfirmedToken) {
		l.tokenConfirmedAt = now
	}
	l.ConfirmedToken = max(l.ConfirmedToken, token)
}

// recordAnswer records the response with token to a heartbeat that was received at receivedAt.
func (l *agentLease) recordAnswer(receivedAt protocol.Instant, token protocol.FencingToken) {
	if receivedAt > l.answeredHeartbeatAt {
		l.answeredHeartbeatAt, l.answeredToken = receivedAt, token
	}
}

// forgetAnswer deletes the record of the last response, which another ownership sent.
func (l *agentLease) forgetAnswer() { l.answeredHeartbeatAt, l.answeredToken = 0, 0 }

// latestRenewal returns the latest time at which the agent's lease can have been renewed. The time is
// unknown until the agent has shown the epoch, because an earlier owner may renew the lease until
// then.
func (l *agentLease) latestRenewal(epoch storage.ShardEpoch) (at protocol.Instant, isKnown bool) {
	if storage.ShardEpochOf(l.ConfirmedToken) != epoch {
		return 0, false
	}
	if storage.ShardEpochOf(l.answeredToken) == epoch {
		return max(l.tokenConfirmedAt, l.answeredHeartbeatAt), true
	}
	return l.tokenConfirmedAt, true
}

// IsAgentLeaseExpired reports whether the agent's lease has definitely expired, so that the agent has
// killed all its tasks. Once the agent has shown the epoch of this ownership, only responses of this
// incarnation renew the lease, and the agent counts the lease from when it sent a heartbeat, which is
// no later than when the heartbeat was received.
func (at *Table) IsAgentLeaseExpired(state *MachineState, record *storage.MachineRecord) bool {
	if state.LatestHeartbeat == nil || state.isDeferred() {
		return false
	}
	renewedAt, isKnown := state.latestRenewal(record.ShardEpoch)
	return isKnown && at.Since(renewedAt) > at.agentLeaseExpiry()
}

// agentLeaseExpiry returns the time since its last renewal after which an agent's lease has expired
// whatever the drift of the agent's clock. Monotonic clocks drift by up to 0.05% each; the rest of
// the addition is margin.
func (at *Table) agentLeaseExpiry() time.Duration {
	const clockDriftDivisor, margin = 500, 500 * time.Millisecond
	return at.Config.AgentLeaseTTL + at.Config.AgentLeaseTTL/clockDriftDivisor + margin
}
