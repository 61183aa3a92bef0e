package agents

import (
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// agentLease is what is known of the agent's lease: it kills its tasks when no response has
// renewed the lease for its whole time.
type agentLease struct {
	ConfirmedToken      protocol.FencingToken // highest that the agent has shown
	tokenConfirmedAt    protocol.Instant      // when it first showed the shard epoch of that token
	answeredHeartbeatAt protocol.Instant      // receipt of the last heartbeat that was answered with 200
	answeredToken       protocol.FencingToken // of that answer
}

func (l *agentLease) confirmToken(token protocol.FencingToken, now protocol.Instant) {
	if storage.ShardEpochOf(token) > storage.ShardEpochOf(l.ConfirmedToken) {
		l.tokenConfirmedAt = now
	}
	l.ConfirmedToken = max(l.ConfirmedToken, token)
}

func (l *agentLease) recordAnswer(receivedAt protocol.Instant, token protocol.FencingToken) {
	if receivedAt > l.answeredHeartbeatAt {
		l.answeredHeartbeatAt, l.answeredToken = receivedAt, token
	}
}

func (l *agentLease) forgetAnswer() { l.answeredHeartbeatAt, l.answeredToken = 0, 0 }

// latestRenewal is the latest time at which the agent's lease can have been renewed. It is not
// known before the agent has shown the epoch: an earlier owner may go on renewing until then.
func (l *agentLease) latestRenewal(epoch storage.ShardEpoch) (at protocol.Instant, isKnown bool) {
	if storage.ShardEpochOf(l.ConfirmedToken) != epoch {
		return 0, false
	}
	if storage.ShardEpochOf(l.answeredToken) == epoch {
		return max(l.tokenConfirmedAt, l.answeredHeartbeatAt), true
	}
	return l.tokenConfirmedAt, true
}

// IsAgentLeaseExpired tells whether the agent's lease has expired for sure, so that it has killed
// all its tasks. It has shown this ownership's epoch, so only this incarnation's responses counted
// since; and the last of them answered a heartbeat that was sent no later than it was received.
func (at *Table) IsAgentLeaseExpired(state *MachineState, record *storage.MachineRecord) bool {
	if state.LatestHeartbeat == nil || state.isDeferred() {
		return false
	}
	renewedAt, isKnown := state.latestRenewal(record.ShardEpoch)
	return isKnown && at.Since(renewedAt) > at.agentLeaseExpiry()
}

// agentLeaseExpiry is the time after which an agent's lease has run out whatever its clock says.
// Monotonic clocks drift by up to 0.05% each; the rest is margin.
func (at *Table) agentLeaseExpiry() time.Duration {
	const clockDriftDivisor, margin = 500, 500 * time.Millisecond
	return at.Config.AgentLeaseTTL + at.Config.AgentLeaseTTL/clockDriftDivisor + margin
}
