package provisioning

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// removalRetention is how long a machine that has left the records is remembered: the cloud may
// list it for as long.
const removalRetention = 90 * time.Second

// PlanUseChecker checks whether the scheduler's plan uses a machine.
type PlanUseChecker interface {
	RetainsMachine(id protocol.MachineID) bool
}

// IdlePolicy tells which idle machines are kept in reserve.
type IdlePolicy interface {
	RetainsIdleMachine(id protocol.MachineID) bool
}

// Terminator scales in: it decides which owned machines are to be terminated (scale_in.go), and has
// the cloud terminate them.
type Terminator struct {
	*step.Context

	agents         *agents.Table
	cancellations  *cancellation.Canceller
	catalog        *catalog.Catalog
	inventory      *Inventory
	lease          *commit.Lease
	planUseChecker PlanUseChecker
	replication    *commit.Replication
	idlePolicy     IdlePolicy

	scaleInQueue []scaleInDecision // of the last review of the owned machines
	idlePeriods  map[protocol.MachineID]idlePeriod

	terminations   map[protocol.MachineID]*termination
	isCallInFlight bool                                    // a call to the cloud is under way
	removedAt      map[protocol.MachineID]protocol.Instant // when machines left the records
}

// termination is the progress of terminating a machine.
type termination struct {
	retryAt      protocol.Instant
	isInFlight   bool
	isConfirmed  bool // answered 200: the machine and all on it are gone
	isUnrecorded bool // the machine's record does not say so
}

// isDue tells whether the termination is to be requested from the cloud now.
func (t *termination) isDue(now protocol.Instant) bool {
	return !t.isConfirmed && !t.isInFlight && now >= t.retryAt
}

func newTerminator(ctx *step.Context) *Terminator {
	return &Terminator{
		Context:      ctx,
		idlePeriods:  map[protocol.MachineID]idlePeriod{},
		terminations: map[protocol.MachineID]*termination{},
		removedAt:    map[protocol.MachineID]protocol.Instant{},
	}
}

// IsTerminating tells whether a machine is being terminated.
func (t *Terminator) IsTerminating(id protocol.MachineID) bool { return t.terminations[id] != nil }

// IsTerminationConfirmed tells whether the cloud has confirmed that the machine is terminated.
func (t *Terminator) IsTerminationConfirmed(id protocol.MachineID) bool {
	pending := t.terminations[id]
	return pending != nil && pending.isConfirmed
}

// TerminateUnrecorded terminates a machine without a mark on its record: while the store is
// unavailable to all controllers none can be written, and the task that still runs there would
// outlive the time limit of its cancellation meanwhile. To other controllers the machine has failed,
// which they handle anyway; the mark only keeps them from placing tasks there, so its lack costs time.
func (t *Terminator) TerminateUnrecorded(id protocol.MachineID) {
	if t.IsTerminating(id) {
		return
	}
	t.terminations[id] = &termination{isUnrecorded: true}
	t.Log(slog.LevelWarn, "unrecorded machine termination",
		"machine", string(id), "reason", string(scaleInTaskDoesNotStop))
}

// RecordRemoval remembers that a machine has left the records, so that it is not adopted again from a
// stale list of the cloud.
func (t *Terminator) RecordRemoval(id protocol.MachineID) {
	t.removedAt[id] = t.Now.Monotonic
}

// wasRemovedRecently tells whether a machine has left the records recently.
func (t *Terminator) wasRemovedRecently(id protocol.MachineID) bool {
	_, ok := t.removedAt[id]
	return ok
}

// ForgetRemovedMachines forgets the machines whose records were removed so long ago that the cloud no
// longer lists them. It also forgets the idle periods of machines that the agent table no longer has.
func (t *Terminator) ForgetRemovedMachines() {
	for id, at := range t.removedAt {
		if t.Since(at) > removalRetention {
			delete(t.removedAt, id)
		}
	}
	t.forgetIdlePeriods()
}

// SendTerminations sends the terminations that are due, in one call.
func (t *Terminator) SendTerminations() {
	t.forgetObsoleteTerminations()
	if t.isCallInFlight {
		return
	}
	now := t.Now.Monotonic
	dueIDs := step.SelectKeys(t.terminations, func(pending *termination) bool { return pending.isDue(now) })
	if len(dueIDs) == 0 {
		return
	}
	dueIDs = dueIDs[:min(len(dueIDs), protocol.MaxTerminateCount)]
	for _, id := range dueIDs {
		t.terminations[id].isInFlight = true
	}
	t.isCallInFlight = true
	t.Emit(step.TerminateMachines{Machines: dueIDs})
}

// forgetObsoleteTerminations drops the terminations of machines that have left the records or are
// no longer this controller's to terminate.
func (t *Terminator) forgetObsoleteTerminations() {
	for id, pending := range t.terminations {
		entry := t.Replica.Machines[id]
		if entry == nil || !pending.isUnrecorded && !t.isMarkedTerminating(&entry.Record) {
			delete(t.terminations, id)
		}
	}
}

// isMarkedTerminating tells whether an owned machine's record says that it is being terminated.
func (t *Terminator) isMarkedTerminating(record *storage.MachineRecord) bool {
	return t.lease.OwnsMachine(record) && record.Terminating
}

// OnTerminateMachinesResult handles the answer to a termination call.
func (t *Terminator) OnTerminateMachinesResult(result step.TerminateMachinesResult) {
	t.isCallInFlight = false
	for _, id := range result.Machines {
		pending := t.terminations[id]
		if pending == nil {
			continue
		}
		pending.isInFlight = false
		if result.Err != nil {
			pending.retryAt = t.Now.Monotonic.Add(t.Jitter(retryDelay))
			continue
		}
		pending.isConfirmed = true
	}
	if result.Err != nil {
		t.Log(slog.LevelWarn, "machine termination failed", "count", len(result.Machines), "error", result.Err)
	}
}

// WriteTerminations marks the records of the machines that are to be scaled in. The termination
// is sent once the mark is durable, so that no controller places a task there meanwhile.
func (t *Terminator) WriteTerminations(batch *commit.Batch) {
	for i := range t.scaleInQueue {
		decision := &t.scaleInQueue[i]
		if !t.canMarkTerminating(batch, decision) {
			continue
		}
		id := decision.state.ID
		batch.MutableMachine(id).Terminating = true
		batch.Log(slog.LevelInfo, "machine scale-in", "machine", string(id), "reason", string(decision.reason))
		decision.reason = scaleInNone
	}
}

// canMarkTerminating tells whether a decision still holds and its mark fits into the batch.
func (t *Terminator) canMarkTerminating(batch *commit.Batch, decision *scaleInDecision) bool {
	id := decision.state.ID
	entry := t.Replica.Machines[id]
	if decision.reason == scaleInNone || t.agents.Lookup(id) != decision.state || entry == nil {
		return false
	}
	if !t.lease.OwnsMachine(&entry.Record) || entry.Record.Terminating {
		return false
	}
	if !batch.HasCapacity(batch.OpsNeeded(id)) || batch.RemovesMachine(id) {
		return false
	}
	isInUse := batch.ChangesMachine(id) || len(entry.Record.Assignments) > 0
	return decision.reason != scaleInIdle || !isInUse
}
