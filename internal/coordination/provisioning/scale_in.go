package provisioning

import (
	"log/slog"
	"sort"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// surplusIdleFactor is the part of IdleTimeoutFactor for which an idle machine is kept that
// urgent work does not need.
const surplusIdleFactor = 0.25

// PlanUse knows the machines that the plan uses.
type PlanUse interface {
	RetainsMachine(id protocol.MachineID) bool
}

// IdlePolicy knows the idle machines that are kept in reserve.
type IdlePolicy interface {
	RetainsIdleMachine(id protocol.MachineID) bool
}

// Terminator scales in: it decides which owned machines are returned to the cloud, and returns them.
type Terminator struct {
	*step.Context

	agents        *agents.Table
	cancellations *cancellation.Canceller
	catalog       *catalog.Catalog
	inventory     *Inventory
	lease         *commit.Lease
	plan          PlanUse
	replication   *commit.Replication
	scheduler     IdlePolicy

	scaleInQueue  []protocol.MachineID // owned ones that are to go back
	terminations  map[protocol.MachineID]*termination
	isTerminating bool
	terminatedAt  map[protocol.MachineID]protocol.Instant
}

func NewTerminator(ctx *step.Context) *Terminator {
	return &Terminator{
		Context:      ctx,
		terminations: map[protocol.MachineID]*termination{},
		terminatedAt: map[protocol.MachineID]protocol.Instant{},
	}
}

// IsTerminating tells whether a machine is being returned to the cloud.
func (mt *Terminator) IsTerminating(id protocol.MachineID) bool { return mt.terminations[id] != nil }

// IsTerminationConfirmed tells whether the cloud has answered a release of the machine.
func (mt *Terminator) IsTerminationConfirmed(id protocol.MachineID) bool {
	r := mt.terminations[id]
	return r != nil && r.confirmed
}

// TerminateUnrecorded sends a machine back with no mark on record: while the state service
// is down for all, none can be written, and the task that is still there would break
// its rule meanwhile. To others it is a machine that died, which they know to meet; the
// mark keeps them from placing tasks there, which costs time only.
func (mt *Terminator) TerminateUnrecorded(id protocol.MachineID) {
	if mt.terminations[id] != nil {
		return
	}
	mt.terminations[id] = &termination{unrecorded: true}
	mt.Log(slog.LevelWarn, "unrecorded machine termination", "machine", string(id), "reason", "withdrawn task would not go")
}

// RecordRemoval remembers that a machine has left the records, so that a stale list of the
// cloud does not bring it back.
func (mt *Terminator) RecordRemoval(id protocol.MachineID) {
	mt.terminatedAt[id] = mt.Now.Monotonic
}

// ForgetTerminated drops what is remembered of machines that went back long ago.
func (mt *Terminator) ForgetTerminated() {
	for id, at := range mt.terminatedAt {
		if mt.Since(at) > terminatedRetention {
			delete(mt.terminatedAt, id)
		}
	}
}

// SendTerminations sends the releases that are due, in one call.
func (mt *Terminator) SendTerminations() {
	now := mt.Now.Monotonic
	var ids []protocol.MachineID
	for id, r := range mt.terminations {
		if e := mt.Replica.Machines[id]; e == nil || !r.unrecorded && (!mt.lease.OwnsMachine(&e.Record) || !e.Record.Terminating) {
			delete(mt.terminations, id)
			continue
		}
		if !r.confirmed && !r.inFlight && now >= r.retryAt && len(ids) < protocol.MaxTerminateCount {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 && !mt.isTerminating {
		sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
		for _, id := range ids {
			mt.terminations[id].inFlight = true
		}
		mt.isTerminating = true
		mt.Emit(step.TerminateMachines{Machines: ids})
	}
}

func (mt *Terminator) OnTerminateResult(v step.TerminateMachinesResult) {
	mt.isTerminating = false
	for _, id := range v.Machines {
		r := mt.terminations[id]
		if r == nil {
			continue
		}
		r.inFlight = false
		if v.Err != nil {
			r.retryAt = mt.Now.Monotonic.Add(mt.Jitter(time.Second))
			continue
		}
		r.confirmed = true
	}
	if v.Err != nil {
		mt.Log(slog.LevelWarn, "machine termination failed", "count", len(v.Machines), "error", v.Err.Error())
	}
}

// markTerminating marks an owned machine's record; the release is sent once that is
// durable, so that nobody places anything there meanwhile.
func (mt *Terminator) markTerminating(b *commit.Batch, id protocol.MachineID, reason string) {
	b.MutableMachine(id).Terminating = true
	b.Log(slog.LevelInfo, "machine scale-in", "machine", string(id), "reason", reason)
}

// EvaluateScaleIn decides whether an owned machine goes back, and why.
func (mt *Terminator) EvaluateScaleIn(e *storage.Machine, m *agents.MachineState, isolated bool) {
	if e.Record.Terminating {
		if mt.terminations[m.ID] == nil && mt.lease.IsRegistered() {
			mt.terminations[m.ID] = &termination{}
		}
		return
	}
	if m.ScaleInReason = mt.scaleInReasonFor(e, m, isolated); m.ScaleInReason != "" {
		mt.scaleInQueue = append(mt.scaleInQueue, m.ID)
	}
}

func (mt *Terminator) scaleInReasonFor(e *storage.Machine, m *agents.MachineState, isolated bool) string {
	rec := &e.Record
	machineType := mt.catalog.MachineType(rec.MachineType)
	age := step.MillisToDuration(mt.Now.Wall - rec.AddedAt)
	if rec.AgentEpoch == 0 {
		if machineType == nil {
			return ""
		}
		bootTimeout := time.Duration(float64(protocol.Seconds(machineType.BootSeconds))*mt.Config.BootTimeoutFactor) + mt.Config.BootTimeoutMargin
		// Its age alone says nothing of a machine that this node has only just
		// found in the list or taken over: its worker gets the time to report.
		if age > bootTimeout && mt.Since(m.LastContactAt) > protocol.Seconds(machineType.BootSeconds) {
			return "never came up"
		}
		if l := mt.inventory.listedInstances[m.ID]; l != nil && l.instance.State == protocol.InstanceFailed {
			return "failed while it booted"
		}
		return ""
	}
	sinceContact := mt.agents.TimeSinceContact(m)
	// The list does not come by way of the workers' network: what it no longer has is gone,
	// also where most machines of this node are silent.
	if l := mt.inventory.listedInstances[m.ID]; l != nil && mt.agents.IsSilent(m) {
		if l.instance.State == protocol.InstanceFailed {
			return "failed"
		}
		if l.missedLists >= 2 {
			return "no longer listed"
		}
	}
	if silenceTimeout := mt.Config.AgentLeaseTTL + mt.Config.SilentScaleInDelay; m.DeferredRequest == 0 && (sinceContact > silenceTimeout && !isolated || sinceContact > isolatedTimeoutFactor*silenceTimeout) {
		return "silent"
	}
	if m.CommandsLost() && mt.Since(m.CommandsLostAt) > mt.Config.AgentLeaseTTL+mt.Config.SilentScaleInDelay {
		return "answers do not reach it"
	}
	if m.IsFaulty && len(rec.Assignments) == 0 {
		return "faulty"
	}
	// A withdrawn task that will not go takes its machine with it.
	if mt.cancellations.MustForceScaleIn(m, rec, isolated) {
		if mt.replication.StoreUnavailableEverywhere() {
			mt.TerminateUnrecorded(m.ID)
		}
		return "cancelled task does not stop"
	}
	if len(rec.Assignments) > 0 || mt.plan.RetainsMachine(m.ID) || m.HasLiveTasks() {
		m.IdleSince = 0
		return ""
	}
	if m.IdleSince == 0 {
		m.IdleSince = mt.Now.Monotonic
	}
	idleFor := mt.Since(m.IdleSince)
	if idleFor > mt.idleTimeout(m, machineType) && age > mt.Config.MinMachineAge {
		return "idle"
	}
	return ""
}

// idleTimeout is how long an idle machine is kept: about as long as it would
// take to have its like again, up and with its images.
func (mt *Terminator) idleTimeout(m *agents.MachineState, machineType *protocol.MachineType) time.Duration {
	if machineType == nil {
		return time.Minute
	}
	replacementSeconds := machineType.BootSeconds
	if machineType.ImagePullGBPerSecond > 0 {
		replacementSeconds += m.MeanImageGB() / machineType.ImagePullGBPerSecond
	}
	factor := mt.Config.IdleTimeoutFactor
	if !mt.scheduler.RetainsIdleMachine(m.ID) {
		factor *= surplusIdleFactor
	}
	return time.Duration(replacementSeconds * factor * float64(time.Second))
}

// WriteTerminations marks the machines that are to go back.
func (mt *Terminator) WriteTerminations(b *commit.Batch) {
	for _, id := range mt.scaleInQueue {
		e := mt.Replica.Machines[id]
		if m := mt.agents.Lookup(id); m != nil && m.ScaleInReason != "" && e != nil && mt.lease.OwnsMachine(&e.Record) && !e.Record.Terminating && b.HasCapacity(b.WritesNeeded(id)) && !b.RemovesMachine(id) {
			if m.ScaleInReason == "idle" && (b.ChangesMachine(id) || len(e.Record.Assignments) > 0) {
				continue
			}
			mt.markTerminating(b, id, m.ScaleInReason)
			m.ScaleInReason = ""
		}
	}
}

// BeginScaleInReview begins to ask anew which of the owned machines go back.
func (mt *Terminator) BeginScaleInReview(silent int) {
	mt.inventory.silentOwnedMachines = silent
	mt.scaleInQueue = mt.scaleInQueue[:0]
}
