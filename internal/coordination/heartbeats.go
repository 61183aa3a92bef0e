package coordination

import (
	"log/slog"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// recordMisdirectedHeartbeat notes a report of a machine that another run owns. If its worker answers
// here, its owner is told: the way between those two may be broken. (A worker
// that answers nobody, or a late copy, is no reason to hand anything over.)
func (c *Core) recordMisdirectedHeartbeat(heartbeat *protocol.Heartbeat) {
	known, ok := c.misdirectedHeartbeats[heartbeat.Machine]
	if ok && (heartbeat.AgentEpoch < known.agentEpoch || heartbeat.AgentEpoch == known.agentEpoch && heartbeat.Sequence <= known.sequence) || heartbeat.Addr == "" || len(c.misdirectedHeartbeats) >= c.maxMisdirectedHeartbeats() {
		return
	}
	if c.agentCallsInFlight < c.maxAgentCalls() {
		c.misdirectedHeartbeats[heartbeat.Machine] = misdirectedHeartbeat{receivedAt: c.now.Monotonic, agentEpoch: heartbeat.AgentEpoch, sequence: heartbeat.Sequence}
		c.agentCallsInFlight++
		c.emit(ProbeAgent{heartbeat.Machine, heartbeat.Addr})
	}
}

// maxMisdirectedHeartbeats bounds the reports of others' machines that are kept in mind: a controller
// that has lost its workers may send all of them here.
func (c *Core) maxMisdirectedHeartbeats() int { return max(len(c.replica.Machines), 500) }

func (c *Core) replyRedirect(req RequestID, owner protocol.ControllerID) {
	c.reply(req, 421, protocol.Redirect{Controller: owner})
}

// onHeartbeat handles a worker's report.
func (c *Core) onHeartbeat(input HeartbeatInput) {
	heartbeat, err := protocol.ParseHeartbeat(input.Body)
	if err != nil {
		c.reply(input.RequestID, 400, errorBody{err.Error()})
		return
	}
	if !c.replication.isLoaded {
		c.reply(input.RequestID, 503, errorBody{"not ready"})
		return
	}
	entry := c.replica.Machines[heartbeat.Machine]
	if entry == nil || !c.ownsMachine(&entry.Record) {
		switch {
		case entry != nil && c.replica.IsAlive(entry.Record.Owner) && entry.Record.Owner.Controller() != c.cfg.ControllerID:
			c.recordMisdirectedHeartbeat(heartbeat)
			c.replyRedirect(input.RequestID, entry.Record.Owner.Controller())
		case c.storeUnavailable() || !c.isRegistered():
			c.replyRedirect(input.RequestID, "")
		default:
			m := c.machineState(heartbeat.Machine)
			if isStale(heartbeat, m.lastAgentEpoch, m.lastSequence) || entry != nil && heartbeat.AgentEpoch < entry.Record.AgentEpoch {
				c.replyRedirect(input.RequestID, "") // a late copy
				return
			}
			c.dropDeferredRequest(m)
			m.recordHeartbeat(heartbeat, c.now.Monotonic)
			m.lastAgentEpoch, m.lastSequence = heartbeat.AgentEpoch, heartbeat.Sequence
			c.deferResponse(m, input.RequestID, true)
			if entry == nil {
				// It may be a copy that outlived its machine. Only a worker that
				// answers shows that there still is one.
				c.probeAgent(m, heartbeat.Addr)
			}
		}
		return
	}
	if heartbeat.FencingToken > entry.Record.FencingToken {
		// Someone else is entitled by now, whatever the replica says.
		c.replyRedirect(input.RequestID, "")
		return
	}
	m := c.trackOwnedMachine(entry, heartbeat.Machine)
	if isStale(heartbeat, m.lastAgentEpoch, m.lastSequence) || heartbeat.AgentEpoch < entry.Record.AgentEpoch {
		c.replyRedirect(input.RequestID, "") // delivered late; its worker has long gone on
		return
	}
	c.dropDeferredRequest(m)
	m.lastAgentEpoch, m.lastSequence = heartbeat.AgentEpoch, heartbeat.Sequence
	c.processDeliveryEvidence(entry, m, heartbeat)
	// One report is in flight at a time: the last answer has been carried out
	// or dropped by now.
	clear(m.inflightStarts)
	if m.latestHeartbeat == nil || !isStale(heartbeat, m.latestHeartbeat.AgentEpoch, m.latestHeartbeat.Sequence) {
		m.recordHeartbeat(heartbeat, c.now.Monotonic)
	}
	m.lastContactAt, m.lastHeartbeatAt = c.now.Monotonic, c.now.Monotonic
	c.deferResponse(m, input.RequestID, false)
	if !c.shouldDeferResponse(entry, m) {
		c.answerHeartbeat(entry, m)
	}
}

// deferResponse lets a report wait for its answer.
func (c *Core) deferResponse(m *machineState, req RequestID, awaitsOwnership bool) {
	m.deferredRequest, m.deferredAt, m.awaitsOwnership = req, c.now.Monotonic, awaitsOwnership
	c.deferredHeartbeats[m.id] = true
	if awaitsOwnership {
		c.awaitingOwner[m.id] = true
	}
}

// popDeferredRequest gives the waiting report to whoever answers it now.
func (c *Core) popDeferredRequest(m *machineState) RequestID {
	req := m.deferredRequest
	m.deferredRequest = 0
	delete(c.deferredHeartbeats, m.id)
	delete(c.awaitingOwner, m.id)
	return req
}

func (c *Core) dropDeferredRequest(m *machineState) {
	if m.deferredRequest != 0 {
		c.replyRedirect(c.popDeferredRequest(m), "")
	}
}

// processDeliveryEvidence notices a worker whose reports arrive while answers may not reach it: it
// does not show the token, nor the starts, that the last answer had, or its
// session has ended. Whether it hears is then asked directly.
func (c *Core) processDeliveryEvidence(entry *storage.Machine, m *machineState, heartbeat *protocol.Heartbeat) {
	switch {
	case heartbeat.AgentEpoch > m.deliveryAgentEpoch && m.deliveryAgentEpoch != 0, m.awaitsDelivery && (heartbeat.FencingToken < m.answeredToken || !m.showsInflightStart(heartbeat)):
		c.markSuspect(m)
	case m.awaitsDelivery:
		c.markReachable(m)
	}
	m.awaitsDelivery, m.deliveryAgentEpoch = false, heartbeat.AgentEpoch
}

func (c *Core) markSuspect(m *machineState) {
	if m.suspectedAt == 0 {
		m.suspectedAt = c.now.Monotonic
	}
}

// markReachable notes that something that was sent to the worker has arrived.
func (c *Core) markReachable(m *machineState) {
	if m.commandsLostAt != 0 {
		c.log(slog.LevelInfo, "the machine hears again", "machine", string(m.id))
	}
	m.suspectedAt, m.callFailures, m.commandsLostAt = 0, 0, 0
}

// showsInflightStart tells whether the report shows any start that was on its way.
func (m *machineState) showsInflightStart(heartbeat *protocol.Heartbeat) bool {
	if len(m.inflightStarts) == 0 {
		return true
	}
	for i := range heartbeat.Tasks {
		if attempt, ok := m.inflightStarts[heartbeat.Tasks[i].Task]; ok && attempt == heartbeat.Tasks[i].Attempt {
			return true
		}
	}
	return false
}

// commandsLost tells whether what is sent to the worker is known not to arrive.
func (m *machineState) commandsLost() bool { return m.commandsLostAt != 0 }

// isSuspect tells whether it has been unsure for a while that the worker hears.
func (c *Core) isSuspect(m *machineState) bool {
	return m.suspectedAt != 0 && c.since(m.suspectedAt) > 3*time.Second
}

// shouldDeferResponse tells whether the answer should wait a moment for a write, so that
// it can carry the starts that take the place of what has ended.
func (c *Core) shouldDeferResponse(entry *storage.Machine, m *machineState) bool {
	if c.replica.Revision < m.ownershipRevision {
		return c.since(m.deferredAt) < 3*time.Second
	}
	if c.storeUnavailable() || !c.isRegistered() {
		return false
	}
	heartbeat := m.latestHeartbeat
	if m.commandsLost() || m.confirmedToken < entry.Record.FencingToken {
		return false
	}
	if c.since(m.deferredAt) >= c.maxResponseDelay() {
		return c.shouldDeferIdleResponse(entry, m)
	}
	if heartbeat.AgentEpoch != entry.Record.AgentEpoch {
		return storage.ShardEpochOf(heartbeat.FencingToken) == entry.Record.ShardEpoch || entry.Record.AgentEpoch == 0
	}
	if storage.ShardEpochOf(heartbeat.FencingToken) != entry.Record.ShardEpoch {
		return false
	}
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		if status.State == protocol.TaskExited {
			if attempt, ok := entry.Record.AttemptOf(status.Task); ok && attempt == status.Attempt {
				return true
			}
		}
	}
	return c.expectsAssignments(entry, m) || c.shouldDeferIdleResponse(entry, m)
}

// expectsAssignments tells whether the plan has tasks for the machine that its owner waits to
// see on record, most often those of a job that another controller has claimed. The
// answer waits for them within maxResponseDelay: without that a core that has become free
// stays so for half a report interval on average, where tasks are short a tenth of
// all cores.
func (c *Core) expectsAssignments(entry *storage.Machine, m *machineState) bool {
	rec := &entry.Record
	if !c.lastPlan.pendingPlacements[m.id] || !c.isUpToDate() || rec.Terminating || rec.Cordoned || m.latestHeartbeat.PreemptionNoticeSeconds != nil {
		return false
	}
	for i := range rec.Assignments {
		if job := c.replica.Jobs[rec.Assignments[i].Job]; job == nil || job.Record.Spec == nil || job.Record.Spec.IsGang() || !c.showsAllTasks(m, &rec.Assignments[i]) {
			return false // there is something to start
		}
	}
	return true
}

// maxResponseDelay is how long a report with news waits for the write. Where reports are
// far apart it waits longer: the next one, which would take what this answer
// lacks, is that much later.
func (c *Core) maxResponseDelay() time.Duration {
	return max(c.cfg.MaxResponseDelay, min(c.cfg.HeartbeatInterval*3/8, 3*time.Second))
}

// shouldDeferIdleResponse tells whether the answer to a machine with room waits for something
// to do: a start that is written meanwhile goes out at once instead of with the
// next report. The worker waits longer than that for an answer. While tasks
// run there it waits only where reports are so far apart that it pays.
func (c *Core) shouldDeferIdleResponse(entry *storage.Machine, m *machineState) bool {
	heartbeat, rec := m.latestHeartbeat, &entry.Record
	if c.since(m.deferredAt) >= c.cfg.MaxIdleResponseDelay || !c.isUpToDate() || storage.ShardEpochOf(heartbeat.FencingToken) != rec.ShardEpoch || heartbeat.AgentEpoch != rec.AgentEpoch || heartbeat.PreemptionNoticeSeconds != nil ||
		rec.Terminating || rec.Cordoned {
		return false
	}
	if len(heartbeat.Tasks) == 0 && len(rec.Assignments) == 0 {
		return true
	}
	if c.cfg.HeartbeatInterval < 2*c.cfg.MaxIdleResponseDelay {
		return false
	}
	machineType := c.machineType(rec.MachineType)
	if machineType == nil {
		return false
	}
	freeCores := machineType.Cores
	for i := range rec.Assignments {
		job := c.replica.Jobs[rec.Assignments[i].Job]
		if job == nil || job.Record.Spec == nil || job.Record.Spec.IsGang() {
			return false
		}
		freeCores -= float64(rec.Assignments[i].Tasks.Len()) * job.Record.Spec.Cores
		if !c.showsAllTasks(m, &rec.Assignments[i]) {
			return false // there is something to start
		}
	}
	for i := range heartbeat.Tasks {
		if status := &heartbeat.Tasks[i]; status.State == protocol.TaskExited {
			return false // to be reaped
		}
	}
	return freeCores >= machineType.Cores/3
}

// showsAllTasks tells whether the report shows all tasks of an assignment.
func (c *Core) showsAllTasks(m *machineState, a *storage.Assignment) bool {
	showsAll := true
	a.Tasks.Each(func(n int) bool {
		status := m.taskStatuses[protocol.Task{Job: a.Job, Index: n}]
		showsAll = status != nil && status.Attempt == a.Attempt
		return showsAll
	})
	return showsAll
}

func (c *Core) resolveDeferredHeartbeats() {
	if !c.shouldRecheckDeferred {
		return
	}
	c.shouldRecheckDeferred = false
	for _, id := range sortedKeys(c.deferredHeartbeats) {
		m := c.machineStates[id]
		entry := c.replica.Machines[id]
		if m.awaitsOwnership {
			switch {
			case entry != nil && c.ownsMachine(&entry.Record):
				m.awaitsOwnership = false
				delete(c.awaitingOwner, id)
				c.trackOwnedMachine(entry, id)
				if m.latestHeartbeat.FencingToken > entry.Record.FencingToken || m.latestHeartbeat.AgentEpoch < entry.Record.AgentEpoch {
					c.dropDeferredRequest(m)
				} else if c.replica.Revision >= m.ownershipRevision {
					c.answerHeartbeat(entry, m)
				}
			case entry != nil && c.replica.IsAlive(entry.Record.Owner):
				c.replyRedirect(c.popDeferredRequest(m), entry.Record.Owner.Controller())
			case c.storeUnavailable() || c.since(m.deferredAt) > 2500*time.Millisecond:
				c.dropDeferredRequest(m)
			}
			continue
		}
		if entry != nil && !c.ownsMachine(&entry.Record) && c.replica.IsAlive(entry.Record.Owner) {
			c.replyRedirect(c.popDeferredRequest(m), entry.Record.Owner.Controller())
		} else if entry == nil || !c.ownsMachine(&entry.Record) || m.latestHeartbeat.FencingToken > entry.Record.FencingToken {
			c.dropDeferredRequest(m)
		} else if !c.shouldDeferResponse(entry, m) {
			c.answerHeartbeat(entry, m)
		}
	}
}

// answerHeartbeat answers the report that is held: 200 with the orders.
func (c *Core) answerHeartbeat(entry *storage.Machine, m *machineState) {
	if c.replica.Revision < m.ownershipRevision {
		// The replica may lack what was written before this run became the owner: a job
		// may have been withdrawn that nobody told this run of.
		c.dropDeferredRequest(m)
		return
	}
	commands := c.commandsFor(entry, m, true)
	for _, o := range commands {
		if o.Type == protocol.CommandStart {
			m.inflightStarts[o.Task] = o.Attempt
		}
	}
	m.awaitsDelivery = len(m.inflightStarts) > 0 || m.latestHeartbeat.FencingToken < entry.Record.FencingToken
	o := protocol.Commands{FencingToken: entry.Record.FencingToken, Commands: commands}
	c.emit(Reply{RequestID: c.popDeferredRequest(m), Status: 200, Body: o.Encode()})
	if m.deferredAt > m.answeredHeartbeatAt {
		m.answeredHeartbeatAt, m.answeredToken = m.deferredAt, entry.Record.FencingToken
	}
}

// commandsFor lists what the worker is to do. Starts and reaps go into answers to
// reports only: those are never carried out late.
func (c *Core) commandsFor(entry *storage.Machine, m *machineState, inResponse bool) []protocol.Command {
	var commands []protocol.Command
	heartbeat, rec := m.latestHeartbeat, &entry.Record
	isCurrent := m.currentHeartbeat(rec) != nil
	upToDate := c.isUpToDate()
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		attempt, ok := rec.AttemptOf(status.Task)
		assigned := ok && attempt == status.Attempt
		if status.State == protocol.TaskExited {
			if inResponse && isCurrent && !assigned && upToDate {
				commands = append(commands, protocol.Command{Type: protocol.CommandForget, Task: status.Task, Attempt: status.Attempt})
			}
			continue
		}
		graceSeconds := -1.0
		if stop, ok := m.stopRequests[status.Task]; ok && stop.attempt == status.Attempt {
			if status.State != protocol.TaskSaving || stop.graceSeconds == 0 {
				graceSeconds = stop.graceSeconds
			}
		}
		if !assigned && upToDate || c.cancelRequested(status.Task.Job) {
			graceSeconds = 0
		}
		if graceSeconds >= 0 {
			seconds := graceSeconds
			commands = append(commands, protocol.Command{Type: protocol.CommandStop, Task: status.Task, Attempt: status.Attempt, GracePeriodSeconds: &seconds})
		}
	}
	if !inResponse || !upToDate || heartbeat.AgentEpoch != rec.AgentEpoch || rec.Terminating || m.commandsLost() || c.isQuiesced(rec.Shard) {
		return commands
	}
	for i := range rec.Assignments {
		a := &rec.Assignments[i]
		job := c.replica.Jobs[a.Job]
		if job == nil || job.Record.State.IsTerminal() || c.cancelRequested(a.Job) || job.Record.GracefulStopAttempt >= a.Attempt && job.Record.GracefulStopAttempt > 0 {
			continue
		}
		if job.Record.Spec.IsGang() && !c.isGangFullyAssigned(a.Job, &job.Record, a.Attempt) {
			continue
		}
		a.Tasks.Each(func(n int) bool {
			task := protocol.Task{Job: a.Job, Index: n}
			if status := m.taskStatuses[task]; status != nil && (status.Attempt == a.Attempt || status.State != protocol.TaskExited || !isCurrent) {
				return true // here already, or an old attempt that must go first
			}
			if attempt, ok := m.revokedAttempts[task]; ok && attempt >= a.Attempt {
				return true
			}
			// A stop of an earlier attempt, which may have ended unseen with its
			// session, does not hold back the next one.
			if stop, ok := m.stopRequests[task]; ok && stop.attempt >= a.Attempt {
				return true
			}
			commands = append(commands, protocol.Command{Type: protocol.CommandStart, Task: task, Attempt: a.Attempt})
			return true
		})
	}
	return commands
}

// isGangFullyAssigned tells whether every task of the gang is assigned with the attempt
// or done: only then may any of them start.
func (c *Core) isGangFullyAssigned(id protocol.JobID, record *storage.JobRecord, attempt protocol.Attempt) bool {
	covered := c.replica.CompletedTasks(id)
	for machineID := range c.replica.MachinesWithJob(id) {
		m := c.replica.Machines[machineID]
		if m.Record.Terminating {
			continue
		}
		for a := range m.Record.AssignmentsOf(id) {
			if a.Attempt == attempt {
				covered = covered.Union(a.Tasks)
			}
		}
	}
	return covered.Len() == record.Spec.TaskCount
}

// onAgentResult takes the report that answers a direct command.
func (c *Core) onAgentResult(result AgentResult) {
	c.agentCallsInFlight--
	ok := result.Err == nil && result.Heartbeat != nil && result.Heartbeat.Machine == result.Machine
	if misdirected, found := c.misdirectedHeartbeats[result.Machine]; found && ok {
		misdirected.hasAgentResponded = true
		c.misdirectedHeartbeats[result.Machine] = misdirected
	}
	m := c.machineStates[result.Machine]
	if m == nil {
		return
	}
	m.isCallInFlight = false
	entry := c.replica.Machines[result.Machine]
	if entry == nil && m.awaitsOwnership && ok {
		if !isStale(result.Heartbeat, m.lastAgentEpoch, m.lastSequence) {
			m.recordHeartbeat(result.Heartbeat, c.now.Monotonic)
			m.hasAnsweredProbe = true
		}
		return
	}
	if entry == nil || !c.ownsMachine(&entry.Record) {
		// Asked as a last resort: what its worker shows is no less true.
		if entry != nil && ok && (m.latestHeartbeat == nil || !isStale(result.Heartbeat, m.latestHeartbeat.AgentEpoch, m.latestHeartbeat.Sequence)) {
			m.recordHeartbeat(result.Heartbeat, c.now.Monotonic)
		}
		return
	}
	if !ok {
		if m.callFailures == 0 {
			m.firstCallFailureAt = m.callStartedAt
		}
		m.callFailures++
		c.markSuspect(m)
		// It talks all the while: it is no dead machine, and no cut one.
		if m.callFailures >= 2 && m.lastContactAt > m.firstCallFailureAt && m.commandsLostAt == 0 {
			m.commandsLostAt = c.now.Monotonic
			c.log(slog.LevelWarn, "nothing that is sent reaches the machine", "machine", string(m.id))
		}
		return
	}
	if m.latestHeartbeat == nil || !isStale(result.Heartbeat, m.latestHeartbeat.AgentEpoch, m.latestHeartbeat.Sequence) {
		m.recordHeartbeat(result.Heartbeat, c.now.Monotonic)
		c.markReachable(m)
	}
}

// Direct commands under way at once: after a takeover there are hundreds of
// workers to be told, and each call takes a socket. Those of a large fleet grow with it, as
// the machines do that hang at once, each of which holds a call for seconds.
const (
	minAgentCalls        = 24
	machinesPerAgentCall = 32 // of the machines on record, one in so many
)

func (c *Core) maxAgentCalls() int {
	return max(minAgentCalls, len(c.replica.Machines)/machinesPerAgentCall)
}

// sendCommands sends a direct command, at most one at a time to a machine.
func (c *Core) sendCommands(entry *storage.Machine, m *machineState, commands []protocol.Command, minInterval time.Duration) {
	if m.isCallInFlight || m.callStartedAt != 0 && c.since(m.callStartedAt) < minInterval || entry.Record.Address == "" || len(commands) == 0 && c.agentCallsInFlight >= c.maxAgentCalls() {
		return
	}
	agentEpoch := entry.Record.AgentEpoch
	if m.latestHeartbeat != nil && m.latestHeartbeat.AgentEpoch > agentEpoch {
		agentEpoch = m.latestHeartbeat.AgentEpoch
	}
	if agentEpoch == 0 {
		return
	}
	m.isCallInFlight, m.callStartedAt = true, c.now.Monotonic
	c.agentCallsInFlight++
	c.emit(SendCommands{m.id, entry.Record.Address, protocol.Commands{FencingToken: entry.Record.FencingToken, AgentEpoch: agentEpoch, Commands: commands}})
}

// probeAgent asks the worker of a machine that this run does not own for its report.
func (c *Core) probeAgent(m *machineState, addr string) {
	if m.isCallInFlight || m.hasAnsweredProbe || addr == "" || c.agentCallsInFlight >= 2*c.maxAgentCalls() {
		return
	}
	m.isCallInFlight, m.callStartedAt = true, c.now.Monotonic
	c.agentCallsInFlight++
	c.emit(ProbeAgent{m.id, addr})
}

// requestStop notes that a task is to stop.
func (c *Core) requestStop(m *machineState, t protocol.Task, attempt protocol.Attempt, graceSeconds float64, reason string) {
	if s, ok := m.stopRequests[t]; ok && s.attempt == attempt && s.graceSeconds <= graceSeconds {
		return
	}
	m.stopRequests[t] = stopRequest{attempt, graceSeconds}
	c.log(slog.LevelInfo, "task is stopped", "task", t.String(), "attempt", uint64(attempt), "machine", string(m.id), "why", reason)
}
