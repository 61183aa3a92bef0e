package cancellation

import (
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// OwnerElection names the one controller to which a key falls.
type OwnerElection interface {
	IsSuccessor(key string) bool
}

// PeerNotifier has the next status sent to the other controllers, and knows when they were
// last heard of.
type PeerNotifier interface {
	ExpediteStatus()
	HasHeardFrom(incarnation storage.Incarnation, within time.Duration) bool
}

// ForcedTerminator returns machines to the cloud that a cancelled task does not leave.
type ForcedTerminator interface {
	IsTerminationConfirmed(id protocol.MachineID) bool
	TerminateUnrecorded(id protocol.MachineID)
}

// Canceller takes jobs through the two steps of a cancellation, the request and its confirmation.
type Canceller struct {
	*step.Context

	agents      *agents.Table
	calls       *agents.Caller
	commits     *commit.Committer
	lease       *commit.Lease
	limits      *commit.WriteLimiter
	ownership   OwnerElection
	peers       PeerNotifier
	replication *commit.Replication
	terminator  ForcedTerminator

	requestedAt       map[protocol.JobID]protocol.Instant                          // since when this run withdraws them
	peerIntents       map[protocol.JobID]peerIntent                                // intents that the replica does not have yet
	peerAcks          map[protocol.JobID]map[storage.Incarnation]protocol.Revision // runs that answer for one, and their replicas' revisions
	localAcks         map[protocol.JobID]bool                                      // intents that this run answers for
	fullyAcknowledged map[protocol.JobID]bool                                      // intents of which nobody who matters is unaware
	intentSentAt      map[protocol.JobID]protocol.Instant                          // intents in the last message to the others

	intentRotation, ackRotation Rotation // which of them the next message begins with
}

func NewCanceller(ctx *step.Context) *Canceller {
	return &Canceller{
		Context:           ctx,
		requestedAt:       map[protocol.JobID]protocol.Instant{},
		peerIntents:       map[protocol.JobID]peerIntent{},
		peerAcks:          map[protocol.JobID]map[storage.Incarnation]protocol.Revision{},
		fullyAcknowledged: map[protocol.JobID]bool{},
		intentSentAt:      map[protocol.JobID]protocol.Instant{},
	}
}

// peerIntent is an intent that another controller told of.
type peerIntent struct {
	revision   protocol.Revision
	receivedAt protocol.Instant
}

// Bounds of what controllers tell each other of withdrawals in one message, and of
// what is kept of it.
const (
	maxIntentsPerMessage = 150
	maxAcksPerMessage    = 200
	maxPeerIntents       = 2000
)

// CancelRequested tells whether a job is withdrawn, or about to be: none of its tasks may
// begin or go on.
func (c *Canceller) CancelRequested(id protocol.JobID) bool {
	if e := c.Replica.Jobs[id]; e != nil && e.Record.IsCancelledOrPending() {
		return true
	}
	_, ok := c.peerIntents[id]
	return ok
}

// timeSinceCancelRequest is for how long that has been so: counted from the confirmation as far
// as it is on record.
func (c *Canceller) timeSinceCancelRequest(id protocol.JobID) time.Duration {
	d := time.Duration(0)
	if e := c.Replica.Jobs[id]; e != nil && e.Record.IsCancelledOrPending() {
		d = step.MillisToDuration(c.Now.Wall - e.Record.CancelUpdatedAt)
	}
	if intent, ok := c.peerIntents[id]; ok {
		d = max(d, c.Since(intent.receivedAt))
	}
	return d
}

// IsMachineQuiescent tells whether on an owned machine no task of a job that is called off can
// begin any more, and no earlier owner can keep one: the worker has shown this
// ownership's token, and what its newest report shows is past its image or gone.
func (c *Canceller) IsMachineQuiescent(id protocol.MachineID, job protocol.JobID) bool {
	entry, m := c.Replica.Machines[id], c.agents.Lookup(id)
	if c.terminator.IsTerminationConfirmed(id) {
		return true
	}
	if m == nil || m.LatestHeartbeat == nil || storage.ShardEpochOf(m.ConfirmedToken) < entry.Record.ShardEpoch {
		return false
	}
	if m.LatestHeartbeat.AgentEpoch > entry.Record.AgentEpoch || c.agents.IsAgentLeaseExpired(m, &entry.Record) {
		return true // killed
	}
	if m.CurrentHeartbeat(&entry.Record) == nil {
		return false
	}
	for a := range entry.Record.AssignmentsOf(job) {
		if !m.AllTasksSatisfy(a, func(p *protocol.TaskStatus) bool { return p.State != protocol.TaskPullingImage }) {
			return false
		}
	}
	return true
}

// areOwnedMachinesQuiescent tells whether all owned machines are settled for a job.
func (c *Canceller) areOwnedMachinesQuiescent(id protocol.JobID) bool {
	for machineID := range c.Replica.MachinesWithJob(id) {
		if entry := c.Replica.Machines[machineID]; c.lease.OwnsMachine(&entry.Record) && !c.IsMachineQuiescent(machineID, id) {
			return false
		}
	}
	return true
}

// IsCancelFullyAcknowledged tells whether nobody who could keep or begin a task of the job is unaware
// of its intent.
func (c *Canceller) IsCancelFullyAcknowledged(id protocol.JobID) bool {
	if c.Replica.Revision < protocol.Revision(c.Replica.Jobs[id].ModRevision) {
		return false // what was assigned before the intent may be missing here
	}
	for machineID := range c.Replica.MachinesWithJob(id) {
		record := &c.Replica.Machines[machineID].Record
		if c.lease.OwnsMachine(record) {
			if !c.IsMachineQuiescent(machineID, id) {
				return false
			}
			continue
		}
		if c.terminator.IsTerminationConfirmed(machineID) {
			continue
		}
		// An acknowledgement covers what its sender knew that it owns.
		revision, ok := c.peerAcks[id][record.Owner]
		if !ok || !c.Replica.IsAlive(record.Owner) || revision < protocol.Revision(c.Replica.Shards[record.Shard].OwnedSince) {
			return false
		}
	}
	return true
}

// prepareDirectCancel tells whether a job can be called withdrawn with no intent before:
// nothing of it is assigned but on settled machines of this run, and nothing can be,
// as only this run assigns its tasks. The write rests on the pages of these machines:
// one that is being given away goes first or not at all.
func (c *Canceller) prepareDirectCancel(b *commit.Batch, id protocol.JobID) bool {
	entry := c.Replica.Jobs[id]
	if entry.Record.Owner != c.lease.Incarnation() || c.Replica.Revision < protocol.Revision(entry.ModRevision) || c.commits.HasPendingConditionOn(storage.JobKey(id)) ||
		b.ConditionCount()+len(c.Replica.MachinesWithJob(id)) > 3*c.limits.WriteLimits().TransactionOps {
		return false
	}
	for machineID := range c.Replica.MachinesWithJob(id) {
		if record := &c.Replica.Machines[machineID].Record; !c.lease.OwnsMachine(record) || !c.IsMachineQuiescent(machineID, id) {
			return false
		}
	}
	for machineID := range c.Replica.MachinesWithJob(id) {
		b.DependOn(storage.ShardKey(c.Replica.Machines[machineID].Record.Shard))
	}
	return true
}

// ExpireCancellations gives up on withdrawals that could not be put on record for long.
func (c *Canceller) ExpireCancellations() {
	for id, requestedAt := range c.requestedAt {
		// The user is told to come back; withdrawing goes on all the same
		// for a while, as it was asked for.
		if c.Replica.CancellingJobs[id] == nil && c.Since(requestedAt) > 30*time.Second {
			delete(c.requestedAt, id)
		}
	}
}

// HasRequests tells whether this controller has cancellations to write.
func (c *Canceller) HasRequests() bool { return len(c.requestedAt) > 0 }

// WriteCancellations puts the next step of each withdrawal into the transaction.
func (c *Canceller) WriteCancellations(b *commit.Batch) {
	for _, id := range step.SortedKeys(c.requestedAt) {
		entry := c.Replica.Jobs[id]
		switch {
		case entry == nil || entry.Record.State.IsTerminal():
			delete(c.requestedAt, id)
		case !b.HasCapacity(1) || entry.Record.CancelRequested && (!c.fullyAcknowledged[id] || c.Replica.CompletedTasks(id).Len() >= entry.Record.Spec.TaskCount):
			// Not yet; or all its tasks turned out done first: its claimant says so.
		case entry.Record.CancelRequested || c.prepareDirectCancel(b, id):
			record := b.MutableJob(id)
			record.State, record.CancelRequested, record.CancelUpdatedAt = protocol.JobCancelled, false, c.Now.Wall
		default:
			record := b.MutableJob(id)
			record.CancelRequested, record.CancelUpdatedAt = true, c.Now.Wall
		}
	}
}

// TickCancellations finds out which withdrawals can be told, and what others are told.
func (c *Canceller) TickCancellations() {
	if !c.replication.IsLoaded() {
		return
	}
	for id, intent := range c.peerIntents {
		if c.Replica.Revision >= intent.revision {
			delete(c.peerIntents, id) // the replica has it, or it is over
		}
	}
	for id := range c.fullyAcknowledged {
		if c.Replica.CancellingJobs[id] == nil {
			delete(c.fullyAcknowledged, id)
		}
	}
	for id := range c.peerAcks {
		if c.Replica.CancellingJobs[id] == nil {
			delete(c.peerAcks, id)
		}
	}
	previousAcks := c.localAcks
	c.localAcks = map[protocol.JobID]bool{}
	ack := func(id protocol.JobID) {
		if c.areOwnedMachinesQuiescent(id) {
			c.localAcks[id] = true
			if !previousAcks[id] {
				c.peers.ExpediteStatus()
			}
		}
	}
	for id := range c.peerIntents {
		ack(id)
	}
	for id := range c.Replica.CancellingJobs {
		ack(id)
		if _, isRequested := c.requestedAt[id]; !isRequested && c.timeSinceCancelRequest(id) > 4*time.Second && c.ownership.IsSuccessor(storage.JobKey(id)) {
			c.RequestCancellation(id) // whoever began it may be gone
		}
		if !c.fullyAcknowledged[id] {
			c.fullyAcknowledged[id] = c.IsCancelFullyAcknowledged(id)
			// Only who drives it tells of it: the others have nothing to send at once.
			_, isSent := c.intentSentAt[id]
			_, isRequester := c.requestedAt[id]
			if isRequester && !isSent && !c.fullyAcknowledged[id] {
				c.peers.ExpediteStatus()
			}
		}
	}
}

// AddCancellationStatus adds to what the other controllers are told: the intents that some of
// them do not seem to know, and those that this one answers for. Both are repeated until
// they are over; if there are too many for one message, they take turns.
func (c *Canceller) AddCancellationStatus(status *step.PeerStatus) {
	status.Revision = c.Replica.Revision
	var unacknowledged []protocol.JobID
	for _, id := range step.SortedKeys(c.requestedAt) {
		if e := c.Replica.CancellingJobs[id]; e != nil && !c.fullyAcknowledged[id] {
			unacknowledged = append(unacknowledged, id)
		}
	}
	clear(c.intentSentAt)
	for _, id := range c.intentRotation.NextChunk(unacknowledged, maxIntentsPerMessage) {
		c.intentSentAt[id] = c.Now.Monotonic
		status.CancelIntents = append(status.CancelIntents, step.CancelIntent{Job: id, Revision: protocol.Revision(c.Replica.CancellingJobs[id].ModRevision)})
	}
	status.CancelAcks = c.ackRotation.NextChunk(step.SortedKeys(c.localAcks), maxAcksPerMessage)
}

// Rotation takes parts of a list in turn, so that each entry comes within as many takes as
// the list has parts.
type Rotation struct{ offset int }

// NextChunk gives the next entries, and goes on behind them the next time.
func (r *Rotation) NextChunk(ids []protocol.JobID, limit int) []protocol.JobID {
	if len(ids) <= limit {
		return ids
	}
	start := r.offset % len(ids)
	r.offset = start + limit
	return append(append([]protocol.JobID(nil), ids[start:]...), ids[:start]...)[:limit]
}

// OnPeerCancellations takes in what another controller says of withdrawals.
func (c *Canceller) OnPeerCancellations(status *step.PeerStatus) {
	for _, intent := range status.CancelIntents[:min(len(status.CancelIntents), maxIntentsPerMessage)] {
		if _, ok := c.peerIntents[intent.Job]; !ok && intent.Job.IsValid() && c.Replica.Revision < intent.Revision && len(c.peerIntents) < maxPeerIntents {
			c.peerIntents[intent.Job] = peerIntent{revision: intent.Revision, receivedAt: c.Now.Monotonic}
			c.ShouldRecheckDeferred = true
		}
	}
	if !c.Replica.IsAlive(status.Incarnation) {
		return // of an unknown or ended run
	}
	for _, id := range status.CancelAcks[:min(len(status.CancelAcks), maxAcksPerMessage)] {
		if c.Replica.CancellingJobs[id] == nil {
			continue
		}
		if c.peerAcks[id] == nil {
			c.peerAcks[id] = map[storage.Incarnation]protocol.Revision{}
		}
		c.peerAcks[id][status.Incarnation] = max(c.peerAcks[id][status.Incarnation], status.Revision)
	}
}

// longestPendingCancel tells whether a task of a job that is called off may still be on the
// machine, and for how long that job has been.
func (c *Canceller) longestPendingCancel(m *agents.MachineState, record *storage.MachineRecord) (longest time.Duration, isPending bool) {
	if m.LatestHeartbeat != nil && m.LatestHeartbeat.AgentEpoch > record.AgentEpoch {
		return 0, false // killed
	}
	isCurrent := m.LatestHeartbeat != nil && m.LatestHeartbeat.AgentEpoch == record.AgentEpoch && storage.ShardEpochOf(m.LatestHeartbeat.FencingToken) >= record.ShardEpoch
	for i := range record.Assignments {
		a := &record.Assignments[i]
		if !c.CancelRequested(a.Job) {
			continue
		}
		hasEnded := isCurrent && m.AllTasksSatisfy(a, func(p *protocol.TaskStatus) bool { return p.State == protocol.TaskExited })
		if !hasEnded {
			longest, isPending = max(longest, c.timeSinceCancelRequest(a.Job)), true
		}
	}
	return longest, isPending
}

// MustForceScaleIn tells whether a machine must go back because a task of a job that is
// called off is still there: it hangs, or cannot be reached. Early enough for a slow
// cloud, and late enough for what only needs a moment. cutOff: it is this node rather
// that is not reached.
func (c *Canceller) MustForceScaleIn(m *agents.MachineState, record *storage.MachineRecord, cutOff bool) bool {
	pendingFor, isPending := c.longestPendingCancel(m, record)
	return isPending && pendingFor > c.Config.CancelTimeout*2/5 && (c.agents.IsSilent(m) && !cutOff || pendingFor > c.Config.CancelTimeout*3/5)
}

// ownerContactTimeout is how long an owner counts as alive after its last status while the
// store is down for all.
const ownerContactTimeout = 5 * time.Second

// ForceScaleIn looks after machines whose owner is not heard of while the state service is
// down for all, so that nobody can take them over. If a task of a job that is called off
// may be there, the worker is asked; one that does not answer goes back.
func (c *Canceller) ForceScaleIn() {
	if !c.replication.IsLoaded() || !c.replication.StoreUnavailableEverywhere() {
		return
	}
	ids := step.SelectKeys(c.Replica.Machines, func(entry *storage.Machine) bool {
		return !c.lease.OwnsMachine(&entry.Record) && len(entry.Record.Assignments) > 0
	})
	for _, id := range ids {
		entry := c.Replica.Machines[id]
		if c.peers.HasHeardFrom(entry.Record.Owner, ownerContactTimeout) {
			continue // its owner lives, and sees to it
		}
		m := c.agents.MachineState(id)
		pendingFor, isPending := c.longestPendingCancel(m, &entry.Record)
		switch {
		case !isPending || pendingFor < c.Config.CancelTimeout*2/5:
		case pendingFor > c.Config.CancelTimeout*3/5:
			c.terminator.TerminateUnrecorded(id)
		default:
			c.calls.ProbeUnownedAgent(m, entry.Record.Address)
		}
	}
}

func (c *Canceller) RequestCancellation(id protocol.JobID) {
	if _, ok := c.requestedAt[id]; !ok {
		c.requestedAt[id] = c.Now.Monotonic
	}
}
