package agents

import (
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// reachability is when something came from the agent.
type reachability struct {
	LastContactAt   protocol.Instant // any sign of life, or the begin of this ownership
	lastHeartbeatAt protocol.Instant // last heartbeat that the agent sent by itself, or the begin of this ownership
}

// heartbeatOrder is the place of the last heartbeat that was processed in the order of all of
// them. Older ones, and the same again, are late copies.
type heartbeatOrder struct {
	LastAgentEpoch protocol.AgentEpoch
	LastSequence   protocol.Sequence
}

// IsOutOfOrder tells whether a heartbeat is no newer than the last one that was processed.
func (o *heartbeatOrder) IsOutOfOrder(agentEpoch protocol.AgentEpoch, sequence protocol.Sequence) bool {
	return agentEpoch < o.LastAgentEpoch || agentEpoch == o.LastAgentEpoch && sequence <= o.LastSequence
}

// AdvanceTo records that a heartbeat is being processed.
func (o *heartbeatOrder) AdvanceTo(agentEpoch protocol.AgentEpoch, sequence protocol.Sequence) {
	o.LastAgentEpoch, o.LastSequence = agentEpoch, sequence
}

// isStale tells whether a heartbeat is no newer than the given place in the order.
func isStale(heartbeat *protocol.Heartbeat, agentEpoch protocol.AgentEpoch, sequence protocol.Sequence) bool {
	last := heartbeatOrder{LastAgentEpoch: agentEpoch, LastSequence: sequence}
	return last.IsOutOfOrder(heartbeat.AgentEpoch, heartbeat.Sequence)
}

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

// delivery is whether what is sent to the agent arrives. Its heartbeats may come in all the
// while: they say nothing of the other direction.
type delivery struct {
	awaitsDelivery     bool // the last response had a start, or a token, that the agent must show
	deliveryAgentEpoch protocol.AgentEpoch
	suspectedAt        protocol.Instant // since when it is uncertain that commands arrive; 0: they do
	firstCallFailureAt protocol.Instant // begin of the first of the direct calls that have failed in a row
	callFailures       int              // how many those are
	CommandsLostAt     protocol.Instant // since when commands are known not to arrive; 0: they do
}

const (
	// commandsLostFailures is how many direct calls in a row must fail, while the agent is
	// heard, before its commands count as lost.
	commandsLostFailures = 2
	// suspectTimeout is how long an agent may be suspected before its machine is drained.
	suspectTimeout = 3 * time.Second
)

// CommandsLost tells whether what is sent to the agent is known not to arrive.
func (d *delivery) CommandsLost() bool { return d.CommandsLostAt != 0 }

// suspect notes that commands may not arrive.
func (d *delivery) suspect(now protocol.Instant) {
	if d.suspectedAt == 0 {
		d.suspectedAt = now
	}
}

// confirmDelivery notes that something that was sent has arrived.
func (d *delivery) confirmDelivery() {
	d.suspectedAt, d.callFailures, d.CommandsLostAt = 0, 0, 0
}

// recordCallFailure counts a direct call that has failed.
func (d *delivery) recordCallFailure(startedAt protocol.Instant) {
	if d.callFailures == 0 {
		d.firstCallFailureAt = startedAt
	}
	d.callFailures++
}

// isHeardWhileCallsFail tells whether the agent was heard while several direct calls failed: its
// machine is neither dead nor cut off in both directions.
func (m *MachineState) isHeardWhileCallsFail() bool {
	return m.callFailures >= commandsLostFailures && m.LastContactAt > m.firstCallFailureAt
}

// isHeardWhileSuspect tells whether the agent has been heard since it became suspect, so that a
// direct call may show whether commands arrive.
func (m *MachineState) isHeardWhileSuspect() bool {
	return m.suspectedAt != 0 && m.LastContactAt >= m.suspectedAt
}
