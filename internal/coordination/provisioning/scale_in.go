package provisioning

import (
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// surplusIdleFactor is the part of IdleTimeoutFactor for which an idle machine is kept that
	// urgent work does not need.
	surplusIdleFactor = 0.25

	// isolatedTimeoutFactor is how many times as long silent machines are waited for where nearly
	// all are silent, so that it may be this controller that is partitioned. If their agents reached
	// another controller, they would have been handed off to it by then: so no controller reaches them.
	isolatedTimeoutFactor = 2

	// unknownTypeIdleTimeout is how long an idle machine is kept whose type the cloud no longer lists.
	unknownTypeIdleTimeout = time.Minute
)

// scaleInReason is why a machine is terminated. Operators see the texts in the log.
type scaleInReason string

const (
	scaleInNone            scaleInReason = "" // the machine stays
	scaleInNeverBooted     scaleInReason = "never came up"
	scaleInBootFailed      scaleInReason = "failed while it booted"
	scaleInFailed          scaleInReason = "failed"
	scaleInNotListed       scaleInReason = "no longer listed"
	scaleInSilent          scaleInReason = "silent"
	scaleInCommandsLost    scaleInReason = "commands do not reach machine"
	scaleInFaulty          scaleInReason = "faulty"
	scaleInTaskDoesNotStop scaleInReason = "cancelled task does not stop"
	scaleInIdle            scaleInReason = "idle"
)

// scaleInDecision is a machine that is to be terminated, and why.
type scaleInDecision struct {
	state  *agents.MachineState // a machine that was forgotten since has another one
	reason scaleInReason        // scaleInNone once it has been acted on
}

// idlePeriod is since when a machine has been idle. It ends with the ownership under which it was
// observed.
type idlePeriod struct {
	ownership agents.Ownership
	startedAt protocol.Instant
}

// BeginScaleInReview starts a new review of the owned machines, of which some are silent.
func (t *Terminator) BeginScaleInReview(silentMachines int) {
	t.inventory.recordSilentMachines(silentMachines)
	t.scaleInQueue = t.scaleInQueue[:0]
}

// EvaluateScaleIn decides whether an owned machine is to be terminated, and queues it if so.
// A machine that is already marked has its termination begun. isolated tells that nearly all
// owned machines are silent.
func (t *Terminator) EvaluateScaleIn(entry *storage.Machine, state *agents.MachineState, isIsolated bool) {
	if entry.Record.Terminating {
		if !t.IsTerminating(state.ID) && t.lease.IsRegistered() {
			t.terminations[state.ID] = &termination{}
		}
		return
	}
	reason := t.scaleInReasonFor(entry, state, isIsolated)
	if reason == scaleInNone {
		return
	}
	if reason == scaleInTaskDoesNotStop && t.replication.StoreUnavailableEverywhere() {
		t.TerminateUnrecorded(state.ID)
	}
	t.scaleInQueue = append(t.scaleInQueue, scaleInDecision{state: state, reason: reason})
}

// scaleInReasonFor is why a machine is to be terminated. The idle period is kept up to date only
// where there is no other reason.
func (t *Terminator) scaleInReasonFor(entry *storage.Machine, state *agents.MachineState, isIsolated bool) scaleInReason {
	record := &entry.Record
	if record.AgentEpoch == 0 {
		return t.bootFailureReason(record, state)
	}
	if reason := t.failureReason(record, state, isIsolated); reason != scaleInNone {
		return reason
	}
	t.trackIdlePeriod(record, state)
	if t.isIdleTooLong(record, state) {
		return scaleInIdle
	}
	return scaleInNone
}

// bootFailureReason is why a machine whose agent has never sent a heartbeat is to be terminated.
func (t *Terminator) bootFailureReason(record *storage.MachineRecord, state *agents.MachineState) scaleInReason {
	machineType := t.catalog.MachineType(record.MachineType)
	if machineType == nil {
		return scaleInNone
	}
	bootTime := protocol.Seconds(machineType.BootSeconds)
	bootTimeout := time.Duration(float64(bootTime)*t.Config.BootTimeoutFactor) + t.Config.BootTimeoutMargin
	// Age alone is no proof: the agent of a machine that this controller has just adopted or become
	// the owner of gets the time to send a heartbeat.
	if t.machineAge(record) > bootTimeout && t.Since(state.LastContactAt) > bootTime {
		return scaleInNeverBooted
	}
	if t.inventory.isListedAsFailed(state.ID) {
		return scaleInBootFailed
	}
	return scaleInNone
}

// failureReason is why a machine that has booted is to be terminated although it is not idle.
func (t *Terminator) failureReason(record *storage.MachineRecord, state *agents.MachineState, isIsolated bool) scaleInReason {
	// The list does not depend on the network to the agents: a machine that it lacks is gone, even
	// where most machines of this controller are silent.
	if t.agents.IsSilent(state) {
		if t.inventory.isListedAsFailed(state.ID) {
			return scaleInFailed
		}
		if t.inventory.isMissing(state.ID) {
			return scaleInNotListed
		}
	}
	switch {
	case t.isSilentTooLong(state, isIsolated):
		return scaleInSilent
	case state.CommandsLost() && t.Since(state.CommandsLostAt) > t.silenceLimit():
		return scaleInCommandsLost
	case state.IsFaulty && len(record.Assignments) == 0:
		return scaleInFaulty
	case t.cancellations.MustForceScaleIn(state, record, isIsolated):
		return scaleInTaskDoesNotStop
	}
	return scaleInNone
}

// isSilentTooLong tells whether a machine's agent has sent nothing for so long that the machine has to
// be replaced.
func (t *Terminator) isSilentTooLong(state *agents.MachineState, isIsolated bool) bool {
	if state.DeferredRequest != 0 {
		return false
	}
	limit := t.silenceLimit()
	if isIsolated {
		limit *= isolatedTimeoutFactor
	}
	return t.agents.TimeSinceContact(state) > limit
}

// silenceLimit is the time without contact after which a machine is terminated: its agent's lease
// has expired by then, so that it has stopped its tasks.
func (t *Terminator) silenceLimit() time.Duration {
	return t.Config.AgentLeaseTTL + t.Config.SilentScaleInDelay
}

// trackIdlePeriod begins a machine's idle period when it is not in use, and ends it when it is.
func (t *Terminator) trackIdlePeriod(record *storage.MachineRecord, state *agents.MachineState) {
	if t.isInUse(record, state) {
		delete(t.idlePeriods, state.ID)
		return
	}
	if idle, isIdle := t.idlePeriods[state.ID]; !isIdle || idle.ownership != state.Ownership() {
		t.idlePeriods[state.ID] = idlePeriod{ownership: state.Ownership(), startedAt: t.Now.Monotonic}
	}
}

// isInUse tells whether a machine has tasks, or is about to have some.
func (t *Terminator) isInUse(record *storage.MachineRecord, state *agents.MachineState) bool {
	return len(record.Assignments) > 0 || t.planUseChecker.RetainsMachine(state.ID) || state.HasLiveTasks()
}

// isIdleTooLong tells whether a machine has been idle for longer than idleTimeout.
func (t *Terminator) isIdleTooLong(record *storage.MachineRecord, state *agents.MachineState) bool {
	idle, isIdle := t.idlePeriods[state.ID]
	return isIdle &&
		t.Since(idle.startedAt) > t.idleTimeout(state, t.catalog.MachineType(record.MachineType)) &&
		t.machineAge(record) > t.Config.MinMachineAge
}

// idleTimeout is how long an idle machine is kept, in proportion to the time that it takes to provision
// one of its type and fetch its images.
func (t *Terminator) idleTimeout(state *agents.MachineState, machineType *protocol.MachineType) time.Duration {
	if machineType == nil {
		return unknownTypeIdleTimeout
	}
	replacementSeconds := machineType.BootSeconds
	if machineType.ImagePullGBPerSecond > 0 {
		replacementSeconds += state.MeanImageGB() / machineType.ImagePullGBPerSecond
	}
	idleFactor := t.Config.IdleTimeoutFactor
	if !t.idlePolicy.RetainsIdleMachine(state.ID) {
		idleFactor *= surplusIdleFactor
	}
	return time.Duration(replacementSeconds * idleFactor * float64(time.Second))
}

// forgetIdlePeriods drops the idle periods of machines that are no longer remembered.
func (t *Terminator) forgetIdlePeriods() {
	for id := range t.idlePeriods {
		if t.agents.Lookup(id) == nil {
			delete(t.idlePeriods, id)
		}
	}
}

// machineAge is the time since a machine was requested.
func (t *Terminator) machineAge(record *storage.MachineRecord) time.Duration {
	return step.MillisToDuration(t.Now.Wall - record.AddedAt)
}
