package provisioning

import (
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// surplusIdleFactor is the fraction of IdleTimeoutFactor that applies to an idle machine that urgent
	// work does not need.
	surplusIdleFactor = 0.25

	// isolatedTimeoutFactor multiplies the silence limit while nearly all owned machines are silent,
	// because this controller itself may be isolated. If the agents reached another controller, their
	// machines would have been handed off to that controller by then, so no controller reaches them.
	isolatedTimeoutFactor = 2

	// unknownTypeIdleTimeout is the idle timeout of a machine whose type the cloud no longer lists.
	unknownTypeIdleTimeout = time.Minute
)

// scaleInReason is the reason for the termination of a machine. It appears in the log, where operators
// read it.
type scaleInReason string

const (
	scaleInNone            scaleInReason = "" // the machine is kept
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

// scaleInDecision holds a machine that is to be terminated, and the reason.
type scaleInDecision struct {
	state  *agents.MachineState // differs from the agent table's state if the machine was forgotten since
	reason scaleInReason        // scaleInNone once a batch has the mark
}

// idlePeriod is the time for which a machine has been idle. It ends with the ownership in which it was
// observed.
type idlePeriod struct {
	ownership agents.Ownership
	startedAt protocol.Instant
}

// BeginScaleInReview starts a review of all owned machines and discards the decisions of the previous
// review. silentMachines is the number of owned machines that are silent.
func (t *Terminator) BeginScaleInReview(silentMachines int) {
	t.inventory.setSilentMachineCount(silentMachines)
	t.scaleInQueue = t.scaleInQueue[:0]
}

// EvaluateScaleIn decides whether an owned machine is to be terminated, and queues the machine if so.
// It begins the termination of a machine that is already recorded as terminating. isIsolated means
// that so many owned machines are silent that this controller itself is probably isolated.
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

// scaleInReasonFor returns the reason to terminate a machine, or scaleInNone. It updates the machine's
// idle period only if there is no other reason.
func (t *Terminator) scaleInReasonFor(
	entry *storage.Machine, state *agents.MachineState, isIsolated bool,
) scaleInReason {
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

// bootFailureReason returns the reason to terminate a machine whose agent has never sent a heartbeat, or
// scaleInNone.
func (t *Terminator) bootFailureReason(record *storage.MachineRecord, state *agents.MachineState) scaleInReason {
	machineType := t.catalog.MachineType(record.MachineType)
	if machineType == nil {
		return scaleInNone
	}
	bootTime := protocol.Seconds(machineType.BootSeconds)
	bootTimeout := time.Duration(float64(bootTime)*t.Config.BootTimeoutFactor) + t.Config.BootTimeoutMargin
	// The age alone is no evidence of a failure: if this controller has just adopted the machine or become
	// its owner, the agent gets time to send a heartbeat.
	if t.machineAge(record) > bootTimeout && t.Since(state.LastContactAt) > bootTime {
		return scaleInNeverBooted
	}
	if t.inventory.isListedAsFailed(state.ID) {
		return scaleInBootFailed
	}
	return scaleInNone
}

// failureReason returns the reason, other than being idle, to terminate a machine that has booted. It
// returns scaleInNone if there is no such reason.
func (t *Terminator) failureReason(
	record *storage.MachineRecord, state *agents.MachineState, isIsolated bool,
) scaleInReason {
	// The cloud's list does not depend on the network to the agents. A machine that is missing from the
	// list is therefore gone, even if most machines of this controller are silent.
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

// isSilentTooLong reports whether a machine's agent has been silent for longer than the silence limit, so
// that the machine must be replaced.
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

// silenceLimit returns the time without contact after which a machine is terminated. By then the lease
// of the agent has expired, so that the agent has stopped its tasks.
func (t *Terminator) silenceLimit() time.Duration {
	return t.Config.AgentLeaseTTL + t.Config.SilentScaleInDelay
}

// trackIdlePeriod starts the idle period of a machine that is not in use, and ends the idle period of a
// machine that is in use.
func (t *Terminator) trackIdlePeriod(record *storage.MachineRecord, state *agents.MachineState) {
	if t.isInUse(record, state) {
		delete(t.idlePeriods, state.ID)
		return
	}
	if idle, isIdle := t.idlePeriods[state.ID]; !isIdle || idle.ownership != state.Ownership() {
		t.idlePeriods[state.ID] = idlePeriod{ownership: state.Ownership(), startedAt: t.Now.Monotonic}
	}
}

// isInUse reports whether a machine has tasks, or the scheduler's plan uses the machine.
func (t *Terminator) isInUse(record *storage.MachineRecord, state *agents.MachineState) bool {
	return len(record.Assignments) > 0 || t.planUseChecker.RetainsMachine(state.ID) || state.HasLiveTasks()
}

// isIdleTooLong reports whether a machine has been idle for longer than idleTimeout and is older than
// MinMachineAge.
func (t *Terminator) isIdleTooLong(record *storage.MachineRecord, state *agents.MachineState) bool {
	idle, isIdle := t.idlePeriods[state.ID]
	return isIdle &&
		t.Since(idle.startedAt) > t.idleTimeout(state, t.catalog.MachineType(record.MachineType)) &&
		t.machineAge(record) > t.Config.MinMachineAge
}

// idleTimeout returns the time for which an idle machine is kept. The time is proportional to the time
// that it takes to provision a machine of the same type and to pull an image of mean size.
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

// forgetIdlePeriods forgets the idle periods of machines that the agent table no longer has.
func (t *Terminator) forgetIdlePeriods() {
	for id := range t.idlePeriods {
		if t.agents.Lookup(id) == nil {
			delete(t.idlePeriods, id)
		}
	}
}

// machineAge returns the time since a machine was requested.
func (t *Terminator) machineAge(record *storage.MachineRecord) time.Duration {
	return step.MillisToDuration(t.Now.Wall - record.AddedAt)
}
