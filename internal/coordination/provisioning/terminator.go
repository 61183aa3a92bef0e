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

// removalRetention is the time for which a removed machine is remembered. The cloud may list the machine
// for as long.
const removalRetention = 90 * time.Second

// PlanUseChecker checks whether the scheduler's plan uses a machine.
type PlanUseChecker interface {
	RetainsMachine(id protocol.MachineID) bool
}

// IdlePolicy decides which idle machines are kept in reserve.
type IdlePolicy interface {
	RetainsIdleMachine(id protocol.MachineID) bool
}

// Terminator scales the fleet in. It decides which owned machines are to be terminated (scale_in.go), and
// requests their termination from the cloud.
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

	scaleInQueue []scaleInDecision // decisions of the last review of the owned machines
	idlePeriods  map[protocol.MachineID]idlePeriod

	terminations   map[protocol.MachineID]*termination
	isCallInFlight bool                                    // a termination call to the cloud is in progress
	removedAt      map[protocol.MachineID]protocol.Instant // when the records of machines were removed
}

// termination holds the progress of the termination of a machine.
type termination struct {
	retryAt      protocol.Instant
	isInFlight   bool
	isConfirmed  bool // the cloud answered 200, so the machine and its tasks are gone
	isUnrecorded bool // the machine is not recorded as terminating
}

// isDue reports whether the termination is to be requested from the cloud now.
func (t *termination) isDue(now protocol.Instant) bool {
	return !t.isConfirmed && !t.isInFlight && now >= t.retryAt
}

// newTerminator returns a terminator without terminations.
func newTerminator(ctx *step.Context) *Terminator {
	return &Terminator{
		Context:      ctx,
		idlePeriods:  map[protocol.MachineID]idlePeriod{},
		terminations: map[protocol.MachineID]*termination{},
		removedAt:    map[protocol.MachineID]protocol.Instant{},
	}
}

// IsTerminating reports whether the termination of a machine has begun.
func (t *Terminator) IsTerminating(id protocol.MachineID) bool { return t.terminations[id] != nil }

// IsTerminationConfirmed reports whether the cloud has confirmed that a machine is terminated.
func (t *Terminator) IsTerminationConfirmed(id protocol.MachineID) bool {
	pending := t.terminations[id]
	return pending != nil && pending.isConfirmed
}

// TerminateUnrecorded begins the termination of a machine without recording the machine as terminating.
// While the store is unavailable to all controllers, no record can be written, and a task that still
// runs on the machine would otherwise run beyond the time limit of its cancellation. To other
// controllers the machine appears to have failed, which they handle like any failure. The record only
// keeps other controllers from placing tasks on the machine, so its absence only costs time.
func (t *Terminator) TerminateUnrecorded(id protocol.MachineID) {
	if t.IsTerminating(id) {
		return
	}
	t.terminations[id] = &termination{isUnrecorded: true}
	t.Log(slog.LevelWarn, "unrecorded machine termination",
		"machine", string(id), "reason", string(scaleInTaskDoesNotStop))
}

// RecordRemoval notes that the record of a machine was removed, so that the machine is not adopted again
// from a stale list of the cloud.
func (t *Terminator) RecordRemoval(id protocol.MachineID) {
	t.removedAt[id] = t.Now.Monotonic
}

// wasRemovedRecently reports whether the record of a machine was removed recently.
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

// SendTerminations sends the due terminations to the cloud in one call, unless a call is in progress.
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

// forgetObsoleteTerminations forgets the terminations of machines that have no record. It also forgets
// recorded terminations of machines that this controller no longer owns.
func (t *Terminator) forgetObsoleteTerminations() {
	for id, pending := range t.terminations {
		entry := t.Replica.Machines[id]
		if entry == nil || !pending.isUnrecorded && !t.isMarkedTerminating(&entry.Record) {
			delete(t.terminations, id)
		}
	}
}

// isMarkedTerminating reports whether this controller owns a machine and the machine is recorded as
// terminating.
func (t *Terminator) isMarkedTerminating(record *storage.MachineRecord) bool {
	return t.lease.OwnsMachine(record) && record.Terminating
}

// OnTerminateMachinesResult handles the cloud's answer to a termination call.
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

// WriteTerminations marks the machines that are to be scaled in as terminating in the batch. The
// termination is sent once the mark is durable, so that no controller places a task on the machine in
// the meantime.
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

// canMarkTerminating reports whether a decision is still valid and the batch has capacity for the mark.
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
