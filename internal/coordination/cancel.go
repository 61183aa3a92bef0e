package coordination

import (
	"time"

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

// canceller takes jobs through the two steps of a cancellation, the request and its confirmation.
type canceller struct {
	*stepContext

	agents      *agentTable
	calls       *agentCaller
	commits     *committer
	lease       *incarnationLease
	limits      *writeLimiter
	ownership   OwnerElection
	peers       PeerNotifier
	replication *replicaSync
	terminator  ForcedTerminator

	requestedAt       map[protocol.JobID]protocol.Instant                          // since when this run withdraws them
	peerIntents       map[protocol.JobID]peerIntent                                // intents that the replica does not have yet
	peerAcks          map[protocol.JobID]map[storage.Incarnation]protocol.Revision // runs that answer for one, and their replicas' revisions
	localAcks         map[protocol.JobID]bool                                      // intents that this run answers for
	fullyAcknowledged map[protocol.JobID]bool                                      // intents of which nobody who matters is unaware
	intentSentAt      map[protocol.JobID]protocol.Instant                          // intents in the last message to the others

	intentRotation, ackRotation rotation // which of them the next message begins with
}

func newCanceller(ctx *stepContext) *canceller {
	return &canceller{
		stepContext:       ctx,
		requestedAt:       map[protocol.JobID]protocol.Instant{},
		peerIntents:       map[protocol.JobID]peerIntent{},
		peerAcks:          map[protocol.JobID]map[storage.Incarnation]protocol.Revision{},
		fullyAcknowledged: map[protocol.JobID]bool{},
		intentSentAt:      map[protocol.JobID]protocol.Instant{},
	}
}

// A job is withdrawn in two steps, both on record. The intent comes first: from then
// on its claimant assigns nothing, and owners start nothing and stop its tasks. The
// job is called withdrawn once nobody who could keep or begin a task of it is unaware:
// a controller whose watch stands still would else go on answering its workers for as
// long as an outage lasts. An intent is never taken back.
//
// For each machine that has an attempt of the job on record behind the intent, its
// owner answers for it: this controller by what it knows itself (settled), another one
// by an acknowledgement, which binds its process. A run that has ended answers for
// nothing, as its process may be cut off with its workers and go on: its heir must have
// been shown the token by the worker. Who takes a page over, or begins, knows the
// intent by then: it answers no worker before its replica has its own write.

// CancelIntent is the fact that a job is being withdrawn, for controllers whose replicas do
// not have it yet.
type CancelIntent struct {
	Job      protocol.JobID
	Revision protocol.Revision // at which it is on record
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
func (c *canceller) CancelRequested(id protocol.JobID) bool {
	if e := c.replica.Jobs[id]; e != nil && e.Record.IsCancelledOrPending() {
		return true
	}
	_, ok := c.peerIntents[id]
	return ok
}

// timeSinceCancelRequest is for how long that has been so: counted from the confirmation as far
// as it is on record.
func (c *canceller) timeSinceCancelRequest(id protocol.JobID) time.Duration {
	d := time.Duration(0)
	if e := c.replica.Jobs[id]; e != nil && e.Record.IsCancelledOrPending() {
		d = millisToDuration(c.now.Wall - e.Record.CancelUpdatedAt)
	}
	if intent, ok := c.peerIntents[id]; ok {
		d = max(d, c.since(intent.receivedAt))
	}
	return d
}

// isMachineQuiescent tells whether on an owned machine no task of a job that is called off can
// begin any more, and no earlier owner can keep one: the worker has shown this
// ownership's token, and what its newest report shows is past its image or gone.
func (c *canceller) isMachineQuiescent(id protocol.MachineID, job protocol.JobID) bool {
	entry, m := c.replica.Machines[id], c.agents.machineStates[id]
	if c.terminator.IsTerminationConfirmed(id) {
		return true
	}
	if m == nil || m.latestHeartbeat == nil || storage.ShardEpochOf(m.confirmedToken) < entry.Record.ShardEpoch {
		return false
	}
	if m.latestHeartbeat.AgentEpoch > entry.Record.AgentEpoch || c.agents.isAgentLeaseExpired(m, &entry.Record) {
		return true // killed
	}
	if m.currentHeartbeat(&entry.Record) == nil {
		return false
	}
	for a := range entry.Record.AssignmentsOf(job) {
		if !m.allTasksSatisfy(a, func(p *protocol.TaskStatus) bool { return p.State != protocol.TaskPullingImage }) {
			return false
		}
	}
	return true
}

// allTasksSatisfy tells whether no start of the assigned tasks is in flight, and the newest report
// either lacks each of them or shows it as it should be.
func (m *machineState) allTasksSatisfy(a *storage.Assignment, isSatisfied func(*protocol.TaskStatus) bool) bool {
	satisfied := true
	a.Tasks.Each(func(n int) bool {
		task := protocol.Task{Job: a.Job, Index: n}
		_, inFlight := m.inflightStarts[task]
		status := m.taskStatuses[task]
		satisfied = !inFlight && (status == nil || isSatisfied(status))
		return satisfied
	})
	return satisfied
}

// areOwnedMachinesQuiescent tells whether all owned machines are settled for a job.
func (c *canceller) areOwnedMachinesQuiescent(id protocol.JobID) bool {
	for machineID := range c.replica.MachinesWithJob(id) {
		if entry := c.replica.Machines[machineID]; c.lease.ownsMachine(&entry.Record) && !c.isMachineQuiescent(machineID, id) {
			return false
		}
	}
	return true
}

// isCancelFullyAcknowledged tells whether nobody who could keep or begin a task of the job is unaware
// of its intent.
func (c *canceller) isCancelFullyAcknowledged(id protocol.JobID) bool {
	if c.replica.Revision < protocol.Revision(c.replica.Jobs[id].ModRevision) {
		return false // what was assigned before the intent may be missing here
	}
	for machineID := range c.replica.MachinesWithJob(id) {
		record := &c.replica.Machines[machineID].Record
		if c.lease.ownsMachine(record) {
			if !c.isMachineQuiescent(machineID, id) {
				return false
			}
			continue
		}
		if c.terminator.IsTerminationConfirmed(machineID) {
			continue
		}
		// An acknowledgement covers what its sender knew that it owns.
		revision, ok := c.peerAcks[id][record.Owner]
		if !ok || !c.replica.IsAlive(record.Owner) || revision < protocol.Revision(c.replica.Shards[record.Shard].OwnedSince) {
			return false
		}
	}
	return true
}

// prepareDirectCancel tells whether a job can be called withdrawn with no intent before:
// nothing of it is assigned but on settled machines of this run, and nothing can be,
// as only this run assigns its tasks. The write rests on the pages of these machines:
// one that is being given away goes first or not at all.
func (c *canceller) prepareDirectCancel(b *batch, id protocol.JobID) bool {
	entry := c.replica.Jobs[id]
	if entry.Record.Owner != c.lease.incarnation || c.replica.Revision < protocol.Revision(entry.ModRevision) || c.commits.hasPendingConditionOn(storage.JobKey(id)) ||
		len(b.conditions)+len(c.replica.MachinesWithJob(id)) > 3*c.limits.writeLimits().TransactionOps {
		return false
	}
	for machineID := range c.replica.MachinesWithJob(id) {
		if record := &c.replica.Machines[machineID].Record; !c.lease.ownsMachine(record) || !c.isMachineQuiescent(machineID, id) {
			return false
		}
	}
	for machineID := range c.replica.MachinesWithJob(id) {
		b.dependOn(storage.ShardKey(c.replica.Machines[machineID].Record.Shard))
	}
	return true
}

// expireCancellations gives up on withdrawals that could not be put on record for long.
func (c *canceller) expireCancellations() {
	for id, requestedAt := range c.requestedAt {
		// The user is told to come back; withdrawing goes on all the same
		// for a while, as it was asked for.
		if c.replica.CancellingJobs[id] == nil && c.since(requestedAt) > 30*time.Second {
			delete(c.requestedAt, id)
		}
	}
}

// writeCancellations puts the next step of each withdrawal into the transaction.
func (c *canceller) writeCancellations(b *batch) {
	for _, id := range sortedKeys(c.requestedAt) {
		entry := c.replica.Jobs[id]
		switch {
		case entry == nil || entry.Record.State.IsTerminal():
			delete(c.requestedAt, id)
		case !b.hasCapacity(1) || entry.Record.CancelRequested && (!c.fullyAcknowledged[id] || c.replica.CompletedTasks(id).Len() >= entry.Record.Spec.TaskCount):
			// Not yet; or all its tasks turned out done first: its claimant says so.
		case entry.Record.CancelRequested || c.prepareDirectCancel(b, id):
			record := b.mutableJob(id)
			record.State, record.CancelRequested, record.CancelUpdatedAt = protocol.JobCancelled, false, c.now.Wall
		default:
			record := b.mutableJob(id)
			record.CancelRequested, record.CancelUpdatedAt = true, c.now.Wall
		}
	}
}

// tickCancellations finds out which withdrawals can be told, and what others are told.
func (c *canceller) tickCancellations() {
	if !c.replication.isLoaded {
		return
	}
	for id, intent := range c.peerIntents {
		if c.replica.Revision >= intent.revision {
			delete(c.peerIntents, id) // the replica has it, or it is over
		}
	}
	for id := range c.fullyAcknowledged {
		if c.replica.CancellingJobs[id] == nil {
			delete(c.fullyAcknowledged, id)
		}
	}
	for id := range c.peerAcks {
		if c.replica.CancellingJobs[id] == nil {
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
	for id := range c.replica.CancellingJobs {
		ack(id)
		if _, isRequested := c.requestedAt[id]; !isRequested && c.timeSinceCancelRequest(id) > 4*time.Second && c.ownership.IsSuccessor(storage.JobKey(id)) {
			c.requestCancellation(id) // whoever began it may be gone
		}
		if !c.fullyAcknowledged[id] {
			c.fullyAcknowledged[id] = c.isCancelFullyAcknowledged(id)
			// Only who drives it tells of it: the others have nothing to send at once.
			_, isSent := c.intentSentAt[id]
			_, isRequester := c.requestedAt[id]
			if isRequester && !isSent && !c.fullyAcknowledged[id] {
				c.peers.ExpediteStatus()
			}
		}
	}
}

// addCancellationStatus adds to what the other controllers are told: the intents that some of
// them do not seem to know, and those that this one answers for. Both are repeated until
// they are over; if there are too many for one message, they take turns.
func (c *canceller) addCancellationStatus(status *PeerStatus) {
	status.Revision = c.replica.Revision
	var unacknowledged []protocol.JobID
	for _, id := range sortedKeys(c.requestedAt) {
		if e := c.replica.CancellingJobs[id]; e != nil && !c.fullyAcknowledged[id] {
			unacknowledged = append(unacknowledged, id)
		}
	}
	clear(c.intentSentAt)
	for _, id := range c.intentRotation.nextChunk(unacknowledged, maxIntentsPerMessage) {
		c.intentSentAt[id] = c.now.Monotonic
		status.CancelIntents = append(status.CancelIntents, CancelIntent{Job: id, Revision: protocol.Revision(c.replica.CancellingJobs[id].ModRevision)})
	}
	status.CancelAcks = c.ackRotation.nextChunk(sortedKeys(c.localAcks), maxAcksPerMessage)
}

// rotation takes parts of a list in turn, so that each entry comes within as many takes as
// the list has parts.
type rotation struct{ offset int }

// nextChunk gives the next entries, and goes on behind them the next time.
func (r *rotation) nextChunk(ids []protocol.JobID, limit int) []protocol.JobID {
	if len(ids) <= limit {
		return ids
	}
	start := r.offset % len(ids)
	r.offset = start + limit
	return append(append([]protocol.JobID(nil), ids[start:]...), ids[:start]...)[:limit]
}

// onPeerCancellations takes in what another controller says of withdrawals.
func (c *canceller) onPeerCancellations(status *PeerStatus) {
	for _, intent := range status.CancelIntents[:min(len(status.CancelIntents), maxIntentsPerMessage)] {
		if _, ok := c.peerIntents[intent.Job]; !ok && intent.Job.IsValid() && c.replica.Revision < intent.Revision && len(c.peerIntents) < maxPeerIntents {
			c.peerIntents[intent.Job] = peerIntent{revision: intent.Revision, receivedAt: c.now.Monotonic}
			c.shouldRecheckDeferred = true
		}
	}
	if !c.replica.IsAlive(status.Incarnation) {
		return // of an unknown or ended run
	}
	for _, id := range status.CancelAcks[:min(len(status.CancelAcks), maxAcksPerMessage)] {
		if c.replica.CancellingJobs[id] == nil {
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
func (c *canceller) longestPendingCancel(m *machineState, record *storage.MachineRecord) (longest time.Duration, isPending bool) {
	if m.latestHeartbeat != nil && m.latestHeartbeat.AgentEpoch > record.AgentEpoch {
		return 0, false // killed
	}
	isCurrent := m.latestHeartbeat != nil && m.latestHeartbeat.AgentEpoch == record.AgentEpoch && storage.ShardEpochOf(m.latestHeartbeat.FencingToken) >= record.ShardEpoch
	for i := range record.Assignments {
		a := &record.Assignments[i]
		if !c.CancelRequested(a.Job) {
			continue
		}
		hasEnded := isCurrent && m.allTasksSatisfy(a, func(p *protocol.TaskStatus) bool { return p.State == protocol.TaskExited })
		if !hasEnded {
			longest, isPending = max(longest, c.timeSinceCancelRequest(a.Job)), true
		}
	}
	return longest, isPending
}

// mustForceScaleIn tells whether a machine must go back because a task of a job that is
// called off is still there: it hangs, or cannot be reached. Early enough for a slow
// cloud, and late enough for what only needs a moment. cutOff: it is this node rather
// that is not reached.
func (c *canceller) mustForceScaleIn(m *machineState, record *storage.MachineRecord, cutOff bool) bool {
	pendingFor, isPending := c.longestPendingCancel(m, record)
	return isPending && pendingFor > c.cfg.CancelTimeout*2/5 && (c.agents.isSilent(m) && !cutOff || pendingFor > c.cfg.CancelTimeout*3/5)
}

// ownerContactTimeout is how long an owner counts as alive after its last status while the
// store is down for all.
const ownerContactTimeout = 5 * time.Second

// forceScaleIn looks after machines whose owner is not heard of while the state service is
// down for all, so that nobody can take them over. If a task of a job that is called off
// may be there, the worker is asked; one that does not answer goes back.
func (c *canceller) forceScaleIn() {
	if !c.replication.isLoaded || !c.replication.storeUnavailableEverywhere() {
		return
	}
	ids := selectKeys(c.replica.Machines, func(entry *storage.Machine) bool {
		return !c.lease.ownsMachine(&entry.Record) && len(entry.Record.Assignments) > 0
	})
	for _, id := range ids {
		entry := c.replica.Machines[id]
		if c.peers.HasHeardFrom(entry.Record.Owner, ownerContactTimeout) {
			continue // its owner lives, and sees to it
		}
		m := c.agents.machineState(id)
		pendingFor, isPending := c.longestPendingCancel(m, &entry.Record)
		switch {
		case !isPending || pendingFor < c.cfg.CancelTimeout*2/5:
		case pendingFor > c.cfg.CancelTimeout*3/5:
			c.terminator.TerminateUnrecorded(id)
		default:
			c.calls.probeUnownedAgent(m, entry.Record.Address)
		}
	}
}

func (c *canceller) requestCancellation(id protocol.JobID) {
	if _, ok := c.requestedAt[id]; !ok {
		c.requestedAt[id] = c.now.Monotonic
	}
}
