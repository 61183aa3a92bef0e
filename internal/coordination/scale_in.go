package coordination

import (
	"log/slog"
	"sort"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
	"time"
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

// machineTerminator scales in: it decides which owned machines are returned to the cloud, and returns them.
type machineTerminator struct {
	*stepContext

	agents        *agentTable
	cancellations *canceller
	catalog       *machineCatalog
	inventory     *instanceInventory
	lease         *incarnationLease
	plan          PlanUse
	replication   *replicaSync
	scheduler     IdlePolicy

	scaleInQueue  []protocol.MachineID // owned ones that are to go back
	terminations  map[protocol.MachineID]*termination
	isTerminating bool
	terminatedAt  map[protocol.MachineID]protocol.Instant
}

func newMachineTerminator(ctx *stepContext) *machineTerminator {
	return &machineTerminator{
		stepContext:  ctx,
		terminations: map[protocol.MachineID]*termination{},
		terminatedAt: map[protocol.MachineID]protocol.Instant{},
	}
}

// IsTerminationConfirmed tells whether the cloud has answered a release of the machine.
func (mt *machineTerminator) IsTerminationConfirmed(id protocol.MachineID) bool {
	r := mt.terminations[id]
	return r != nil && r.confirmed
}

// TerminateUnrecorded sends a machine back with no mark on record: while the state service
// is down for all, none can be written, and the task that is still there would break
// its rule meanwhile. To others it is a machine that died, which they know to meet; the
// mark keeps them from placing tasks there, which costs time only.
func (mt *machineTerminator) TerminateUnrecorded(id protocol.MachineID) {
	if mt.terminations[id] != nil {
		return
	}
	mt.terminations[id] = &termination{unrecorded: true}
	mt.log(slog.LevelWarn, "unrecorded machine termination", "machine", string(id), "reason", "withdrawn task would not go")
}

// RecordRemoval remembers that a machine has left the records, so that a stale list of the
// cloud does not bring it back.
func (mt *machineTerminator) RecordRemoval(id protocol.MachineID) {
	mt.terminatedAt[id] = mt.now.Monotonic
}

// forgetTerminated drops what is remembered of machines that went back long ago.
func (mt *machineTerminator) forgetTerminated() {
	for id, at := range mt.terminatedAt {
		if mt.since(at) > terminatedRetention {
			delete(mt.terminatedAt, id)
		}
	}
}

// sendTerminations sends the releases that are due, in one call.
func (mt *machineTerminator) sendTerminations() {
	now := mt.now.Monotonic
	var ids []protocol.MachineID
	for id, r := range mt.terminations {
		if e := mt.replica.Machines[id]; e == nil || !r.unrecorded && (!mt.lease.ownsMachine(&e.Record) || !e.Record.Terminating) {
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
		mt.emit(TerminateMachines{Machines: ids})
	}
}

func (mt *machineTerminator) onTerminateResult(v TerminateMachinesResult) {
	mt.isTerminating = false
	for _, id := range v.Machines {
		r := mt.terminations[id]
		if r == nil {
			continue
		}
		r.inFlight = false
		if v.Err != nil {
			r.retryAt = mt.now.Monotonic.Add(mt.jitter(time.Second))
			continue
		}
		r.confirmed = true
	}
	if v.Err != nil {
		mt.log(slog.LevelWarn, "machine termination failed", "count", len(v.Machines), "error", v.Err.Error())
	}
}

// markTerminating marks an owned machine's record; the release is sent once that is
// durable, so that nobody places anything there meanwhile.
func (mt *machineTerminator) markTerminating(b *batch, id protocol.MachineID, reason string) {
	b.mutableMachine(id).Terminating = true
	b.log(slog.LevelInfo, "machine scale-in", "machine", string(id), "reason", reason)
}

// EvaluateScaleIn decides whether an owned machine goes back, and why.
func (mt *machineTerminator) EvaluateScaleIn(e *storage.Machine, m *machineState, isolated bool) {
	if e.Record.Terminating {
		if mt.terminations[m.id] == nil && mt.lease.isRegistered() {
			mt.terminations[m.id] = &termination{}
		}
		return
	}
	if m.scaleInReason = mt.scaleInReasonFor(e, m, isolated); m.scaleInReason != "" {
		mt.scaleInQueue = append(mt.scaleInQueue, m.id)
	}
}

func (mt *machineTerminator) scaleInReasonFor(e *storage.Machine, m *machineState, isolated bool) string {
	rec := &e.Record
	machineType := mt.catalog.machineType(rec.MachineType)
	age := millisToDuration(mt.now.Wall - rec.AddedAt)
	if rec.AgentEpoch == 0 {
		if machineType == nil {
			return ""
		}
		bootTimeout := time.Duration(float64(protocol.Seconds(machineType.BootSeconds))*mt.cfg.BootTimeoutFactor) + mt.cfg.BootTimeoutMargin
		// Its age alone says nothing of a machine that this node has only just
		// found in the list or taken over: its worker gets the time to report.
		if age > bootTimeout && mt.since(m.lastContactAt) > protocol.Seconds(machineType.BootSeconds) {
			return "never came up"
		}
		if l := mt.inventory.listedInstances[m.id]; l != nil && l.instance.State == protocol.InstanceFailed {
			return "failed while it booted"
		}
		return ""
	}
	sinceContact := mt.agents.timeSinceContact(m)
	// The list does not come by way of the workers' network: what it no longer has is gone,
	// also where most machines of this node are silent.
	if l := mt.inventory.listedInstances[m.id]; l != nil && mt.agents.isSilent(m) {
		if l.instance.State == protocol.InstanceFailed {
			return "failed"
		}
		if l.missedLists >= 2 {
			return "no longer listed"
		}
	}
	if silenceTimeout := mt.cfg.AgentLeaseTTL + mt.cfg.SilentScaleInDelay; m.deferredRequest == 0 && (sinceContact > silenceTimeout && !isolated || sinceContact > isolatedTimeoutFactor*silenceTimeout) {
		return "silent"
	}
	if m.commandsLost() && mt.since(m.commandsLostAt) > mt.cfg.AgentLeaseTTL+mt.cfg.SilentScaleInDelay {
		return "answers do not reach it"
	}
	if m.isFaulty && len(rec.Assignments) == 0 {
		return "faulty"
	}
	// A withdrawn task that will not go takes its machine with it.
	if mt.cancellations.mustForceScaleIn(m, rec, isolated) {
		if mt.replication.storeUnavailableEverywhere() {
			mt.TerminateUnrecorded(m.id)
		}
		return "cancelled task does not stop"
	}
	if len(rec.Assignments) > 0 || mt.plan.RetainsMachine(m.id) || m.latestHeartbeat != nil && mt.hasLiveTasks(m) {
		m.idleSince = 0
		return ""
	}
	if m.idleSince == 0 {
		m.idleSince = mt.now.Monotonic
	}
	idleFor := mt.since(m.idleSince)
	if idleFor > mt.idleTimeout(m, machineType) && age > mt.cfg.MinMachineAge {
		return "idle"
	}
	return ""
}

// idleTimeout is how long an idle machine is kept: about as long as it would
// take to have its like again, up and with its images.
func (mt *machineTerminator) idleTimeout(m *machineState, machineType *protocol.MachineType) time.Duration {
	if machineType == nil {
		return time.Minute
	}
	replacementSeconds := machineType.BootSeconds
	if machineType.ImagePullGBPerSecond > 0 && len(m.cachedImages) > 0 {
		totalGB := 0.0
		for _, i := range m.cachedImages {
			totalGB += i.sizeGB
		}
		replacementSeconds += totalGB / float64(len(m.cachedImages)) / machineType.ImagePullGBPerSecond
	}
	factor := mt.cfg.IdleTimeoutFactor
	if !mt.scheduler.RetainsIdleMachine(m.id) {
		factor *= surplusIdleFactor
	}
	return time.Duration(replacementSeconds * factor * float64(time.Second))
}

func (mt *machineTerminator) hasLiveTasks(m *machineState) bool {
	for i := range m.latestHeartbeat.Tasks {
		if m.latestHeartbeat.Tasks[i].State != protocol.TaskExited {
			return true
		}
	}
	return false
}

// writeTerminations marks the machines that are to go back.
func (mt *machineTerminator) writeTerminations(b *batch) {
	for _, id := range mt.scaleInQueue {
		e := mt.replica.Machines[id]
		if m := mt.agents.machineStates[id]; m != nil && m.scaleInReason != "" && e != nil && mt.lease.ownsMachine(&e.Record) && !e.Record.Terminating && b.hasCapacity(b.writesNeeded(id)) && !b.removesMachine(id) {
			if m.scaleInReason == "idle" && (b.machines[id] != nil || len(e.Record.Assignments) > 0) {
				continue
			}
			mt.markTerminating(b, id, m.scaleInReason)
			m.scaleInReason = ""
		}
	}
}

// BeginScaleInReview begins to ask anew which of the owned machines go back.
func (mt *machineTerminator) BeginScaleInReview(silent int) {
	mt.inventory.silentOwnedMachines = silent
	mt.scaleInQueue = mt.scaleInQueue[:0]
}
