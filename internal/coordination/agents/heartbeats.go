package agents

import (
	"time"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// CancellationChecker knows the jobs whose cancellation has been requested.
type CancellationChecker interface {
	CancelRequested(id protocol.JobID) bool
}

// PlacementForecast knows the machines for which a placement is about to be recorded.
type PlacementForecast interface {
	ExpectsPlacement(id protocol.MachineID) bool
}

// QuiesceChecker knows the shards on which nothing new may begin.
type QuiesceChecker interface {
	IsQuiesced(id storage.ShardID) bool
}

// HeartbeatHandler handles heartbeats: it decides when to answer one, and with which commands.
type HeartbeatHandler struct {
	*step.Context

	agents        *Table
	calls         *Caller
	cancellations CancellationChecker
	catalog       *catalog.Catalog
	jobs          *JobTable
	lease         *commit.Lease
	misdirected   *MisdirectedHeartbeats
	plan          PlacementForecast
	replication   *commit.Replication
	transfers     QuiesceChecker
}

// OnHeartbeat handles a worker's report.
func (h *HeartbeatHandler) OnHeartbeat(input step.HeartbeatInput) {
	heartbeat, err := protocol.ParseHeartbeat(input.Body)
	if err != nil {
		h.Reply(input.RequestID, 400, step.ErrorBody{Error: err.Error()})
		return
	}
	if !h.replication.IsLoaded() {
		h.Reply(input.RequestID, 503, step.ErrorBody{Error: "not ready"})
		return
	}
	entry := h.Replica.Machines[heartbeat.Machine]
	if entry == nil || !h.lease.OwnsMachine(&entry.Record) {
		switch {
		case entry != nil && h.Replica.IsAlive(entry.Record.Owner) && entry.Record.Owner.Controller() != h.Config.ControllerID:
			h.misdirected.recordMisdirectedHeartbeat(heartbeat)
			h.agents.replyRedirect(input.RequestID, entry.Record.Owner.Controller())
		case h.replication.StoreUnavailable() || !h.lease.IsRegistered():
			h.agents.replyRedirect(input.RequestID, "")
		default:
			m := h.agents.MachineState(heartbeat.Machine)
			if isStale(heartbeat, m.LastAgentEpoch, m.LastSequence) || entry != nil && heartbeat.AgentEpoch < entry.Record.AgentEpoch {
				h.agents.replyRedirect(input.RequestID, "") // a late copy
				return
			}
			h.agents.dropDeferredRequest(m)
			m.RecordHeartbeat(heartbeat, h.Now.Monotonic)
			m.LastAgentEpoch, m.LastSequence = heartbeat.AgentEpoch, heartbeat.Sequence
			h.agents.deferResponse(m, input.RequestID, true)
			if entry == nil {
				// It may be a copy that outlived its machine. Only a worker that
				// answers shows that there still is one.
				h.calls.probeAgent(m, heartbeat.Addr)
			}
		}
		return
	}
	if heartbeat.FencingToken > entry.Record.FencingToken {
		// Someone else is entitled by now, whatever the replica says.
		h.agents.replyRedirect(input.RequestID, "")
		return
	}
	m := h.agents.TrackOwnedMachine(entry, heartbeat.Machine)
	if isStale(heartbeat, m.LastAgentEpoch, m.LastSequence) || heartbeat.AgentEpoch < entry.Record.AgentEpoch {
		h.agents.replyRedirect(input.RequestID, "") // delivered late; its worker has long gone on
		return
	}
	h.agents.dropDeferredRequest(m)
	m.LastAgentEpoch, m.LastSequence = heartbeat.AgentEpoch, heartbeat.Sequence
	h.processDeliveryEvidence(entry, m, heartbeat)
	// One report is in flight at a time: the last answer has been carried out
	// or dropped by now.
	clear(m.InflightStarts)
	if m.LatestHeartbeat == nil || !isStale(heartbeat, m.LatestHeartbeat.AgentEpoch, m.LatestHeartbeat.Sequence) {
		m.RecordHeartbeat(heartbeat, h.Now.Monotonic)
	}
	m.LastContactAt, m.lastHeartbeatAt = h.Now.Monotonic, h.Now.Monotonic
	h.agents.deferResponse(m, input.RequestID, false)
	if !h.shouldDeferResponse(entry, m) {
		h.answerHeartbeat(entry, m)
	}
}

// processDeliveryEvidence notices a worker whose reports arrive while answers may not reach it: it
// does not show the token, nor the starts, that the last answer had, or its
// session has ended. Whether it hears is then asked directly.
func (h *HeartbeatHandler) processDeliveryEvidence(entry *storage.Machine, m *MachineState, heartbeat *protocol.Heartbeat) {
	switch {
	case heartbeat.AgentEpoch > m.deliveryAgentEpoch && m.deliveryAgentEpoch != 0, m.awaitsDelivery && (heartbeat.FencingToken < m.answeredToken || !m.showsInflightStart(heartbeat)):
		h.agents.markSuspect(m)
	case m.awaitsDelivery:
		h.agents.markReachable(m)
	}
	m.awaitsDelivery, m.deliveryAgentEpoch = false, heartbeat.AgentEpoch
}

// showsInflightStart tells whether the report shows any start that was on its way.
func (m *MachineState) showsInflightStart(heartbeat *protocol.Heartbeat) bool {
	if len(m.InflightStarts) == 0 {
		return true
	}
	for i := range heartbeat.Tasks {
		if attempt, ok := m.InflightStarts[heartbeat.Tasks[i].Task]; ok && attempt == heartbeat.Tasks[i].Attempt {
			return true
		}
	}
	return false
}

// CommandsLost tells whether what is sent to the worker is known not to arrive.
func (m *MachineState) CommandsLost() bool { return m.CommandsLostAt != 0 }

// shouldDeferResponse tells whether the answer should wait a moment for a write, so that
// it can carry the starts that take the place of what has ended.
func (h *HeartbeatHandler) shouldDeferResponse(entry *storage.Machine, m *MachineState) bool {
	if h.Replica.Revision < m.OwnershipRevision {
		return h.Since(m.deferredAt) < 3*time.Second
	}
	if h.replication.StoreUnavailable() || !h.lease.IsRegistered() {
		return false
	}
	heartbeat := m.LatestHeartbeat
	if m.CommandsLost() || m.ConfirmedToken < entry.Record.FencingToken {
		return false
	}
	if h.Since(m.deferredAt) >= h.maxResponseDelay() {
		return h.shouldDeferIdleResponse(entry, m)
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
	return h.expectsAssignments(entry, m) || h.shouldDeferIdleResponse(entry, m)
}

// expectsAssignments tells whether the plan has tasks for the machine that its owner waits to
// see on record, most often those of a job that another controller has claimed. The
// answer waits for them within maxResponseDelay: without that a core that has become free
// stays so for half a report interval on average, where tasks are short a tenth of
// all cores.
func (h *HeartbeatHandler) expectsAssignments(entry *storage.Machine, m *MachineState) bool {
	rec := &entry.Record
	if !h.plan.ExpectsPlacement(m.ID) || !h.replication.IsUpToDate() || rec.Terminating || rec.Cordoned || m.LatestHeartbeat.PreemptionNoticeSeconds != nil {
		return false
	}
	for i := range rec.Assignments {
		if job := h.Replica.Jobs[rec.Assignments[i].Job]; job == nil || job.Record.Spec == nil || job.Record.Spec.IsGang() || !h.showsAllTasks(m, &rec.Assignments[i]) {
			return false // there is something to start
		}
	}
	return true
}

// maxResponseDelay is how long a report with news waits for the write. Where reports are
// far apart it waits longer: the next one, which would take what this answer
// lacks, is that much later.
func (h *HeartbeatHandler) maxResponseDelay() time.Duration {
	return max(h.Config.MaxResponseDelay, min(h.Config.HeartbeatInterval*3/8, 3*time.Second))
}

// shouldDeferIdleResponse tells whether the answer to a machine with room waits for something
// to do: a start that is written meanwhile goes out at once instead of with the
// next report. The worker waits longer than that for an answer. While tasks
// run there it waits only where reports are so far apart that it pays.
func (h *HeartbeatHandler) shouldDeferIdleResponse(entry *storage.Machine, m *MachineState) bool {
	heartbeat, rec := m.LatestHeartbeat, &entry.Record
	if h.Since(m.deferredAt) >= h.Config.MaxIdleResponseDelay || !h.replication.IsUpToDate() || storage.ShardEpochOf(heartbeat.FencingToken) != rec.ShardEpoch || heartbeat.AgentEpoch != rec.AgentEpoch || heartbeat.PreemptionNoticeSeconds != nil ||
		rec.Terminating || rec.Cordoned {
		return false
	}
	if len(heartbeat.Tasks) == 0 && len(rec.Assignments) == 0 {
		return true
	}
	if h.Config.HeartbeatInterval < 2*h.Config.MaxIdleResponseDelay {
		return false
	}
	machineType := h.catalog.MachineType(rec.MachineType)
	if machineType == nil {
		return false
	}
	freeCores := machineType.Cores
	for i := range rec.Assignments {
		job := h.Replica.Jobs[rec.Assignments[i].Job]
		if job == nil || job.Record.Spec == nil || job.Record.Spec.IsGang() {
			return false
		}
		freeCores -= float64(rec.Assignments[i].Tasks.Len()) * job.Record.Spec.Cores
		if !h.showsAllTasks(m, &rec.Assignments[i]) {
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
func (h *HeartbeatHandler) showsAllTasks(m *MachineState, a *storage.Assignment) bool {
	showsAll := true
	a.Tasks.Each(func(n int) bool {
		status := m.taskStatuses[protocol.Task{Job: a.Job, Index: n}]
		showsAll = status != nil && status.Attempt == a.Attempt
		return showsAll
	})
	return showsAll
}

func (h *HeartbeatHandler) ResolveDeferredHeartbeats() {
	if !h.ShouldRecheckDeferred {
		return
	}
	h.ShouldRecheckDeferred = false
	for _, id := range step.SortedKeys(h.agents.deferredHeartbeats) {
		m := h.agents.machineStates[id]
		entry := h.Replica.Machines[id]
		if m.awaitsOwnership {
			switch {
			case entry != nil && h.lease.OwnsMachine(&entry.Record):
				m.awaitsOwnership = false
				delete(h.agents.awaitingOwner, id)
				h.agents.TrackOwnedMachine(entry, id)
				if m.LatestHeartbeat.FencingToken > entry.Record.FencingToken || m.LatestHeartbeat.AgentEpoch < entry.Record.AgentEpoch {
					h.agents.dropDeferredRequest(m)
				} else if h.Replica.Revision >= m.OwnershipRevision {
					h.answerHeartbeat(entry, m)
				}
			case entry != nil && h.Replica.IsAlive(entry.Record.Owner):
				h.agents.replyRedirect(h.agents.popDeferredRequest(m), entry.Record.Owner.Controller())
			case h.replication.StoreUnavailable() || h.Since(m.deferredAt) > 2500*time.Millisecond:
				h.agents.dropDeferredRequest(m)
			}
			continue
		}
		if entry != nil && !h.lease.OwnsMachine(&entry.Record) && h.Replica.IsAlive(entry.Record.Owner) {
			h.agents.replyRedirect(h.agents.popDeferredRequest(m), entry.Record.Owner.Controller())
		} else if entry == nil || !h.lease.OwnsMachine(&entry.Record) || m.LatestHeartbeat.FencingToken > entry.Record.FencingToken {
			h.agents.dropDeferredRequest(m)
		} else if !h.shouldDeferResponse(entry, m) {
			h.answerHeartbeat(entry, m)
		}
	}
}

// answerHeartbeat answers the report that is held: 200 with the orders.
func (h *HeartbeatHandler) answerHeartbeat(entry *storage.Machine, m *MachineState) {
	if h.Replica.Revision < m.OwnershipRevision {
		// The replica may lack what was written before this run became the owner: a job
		// may have been withdrawn that nobody told this run of.
		h.agents.dropDeferredRequest(m)
		return
	}
	commands := h.CommandsFor(entry, m, true)
	for _, o := range commands {
		if o.Type == protocol.CommandStart {
			m.InflightStarts[o.Task] = o.Attempt
		}
	}
	m.awaitsDelivery = len(m.InflightStarts) > 0 || m.LatestHeartbeat.FencingToken < entry.Record.FencingToken
	o := protocol.Commands{FencingToken: entry.Record.FencingToken, Commands: commands}
	h.Emit(step.Reply{RequestID: h.agents.popDeferredRequest(m), Status: 200, Body: o.Encode()})
	if m.deferredAt > m.answeredHeartbeatAt {
		m.answeredHeartbeatAt, m.answeredToken = m.deferredAt, entry.Record.FencingToken
	}
}

// CommandsFor lists what the worker is to do. Starts and reaps go into answers to
// reports only: those are never carried out late.
func (h *HeartbeatHandler) CommandsFor(entry *storage.Machine, m *MachineState, inResponse bool) []protocol.Command {
	var commands []protocol.Command
	heartbeat, rec := m.LatestHeartbeat, &entry.Record
	isCurrent := m.CurrentHeartbeat(rec) != nil
	upToDate := h.replication.IsUpToDate()
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
		if stop, ok := m.StopRequests[status.Task]; ok && stop.Attempt == status.Attempt {
			if status.State != protocol.TaskSaving || stop.graceSeconds == 0 {
				graceSeconds = stop.graceSeconds
			}
		}
		if !assigned && upToDate || h.cancellations.CancelRequested(status.Task.Job) {
			graceSeconds = 0
		}
		if graceSeconds >= 0 {
			seconds := graceSeconds
			commands = append(commands, protocol.Command{Type: protocol.CommandStop, Task: status.Task, Attempt: status.Attempt, GracePeriodSeconds: &seconds})
		}
	}
	if !inResponse || !upToDate || heartbeat.AgentEpoch != rec.AgentEpoch || rec.Terminating || m.CommandsLost() || h.transfers.IsQuiesced(rec.Shard) {
		return commands
	}
	for i := range rec.Assignments {
		a := &rec.Assignments[i]
		job := h.Replica.Jobs[a.Job]
		if job == nil || job.Record.State.IsTerminal() || h.cancellations.CancelRequested(a.Job) || job.Record.GracefulStopAttempt >= a.Attempt && job.Record.GracefulStopAttempt > 0 {
			continue
		}
		if job.Record.Spec.IsGang() && !h.jobs.isGangFullyAssigned(a.Job, &job.Record, a.Attempt) {
			continue
		}
		a.Tasks.Each(func(n int) bool {
			task := protocol.Task{Job: a.Job, Index: n}
			if status := m.taskStatuses[task]; status != nil && (status.Attempt == a.Attempt || status.State != protocol.TaskExited || !isCurrent) {
				return true // here already, or an old attempt that must go first
			}
			if attempt, ok := m.RevokedAttempts[task]; ok && attempt >= a.Attempt {
				return true
			}
			// A stop of an earlier attempt, which may have ended unseen with its
			// session, does not hold back the next one.
			if stop, ok := m.StopRequests[task]; ok && stop.Attempt >= a.Attempt {
				return true
			}
			commands = append(commands, protocol.Command{Type: protocol.CommandStart, Task: task, Attempt: a.Attempt})
			return true
		})
	}
	return commands
}

// Direct commands under way at once: after a takeover there are hundreds of
// workers to be told, and each call takes a socket. Those of a large fleet grow with it, as
// the machines do that hang at once, each of which holds a call for seconds.
const (
	minAgentCalls        = 24
	machinesPerAgentCall = 32 // of the machines on record, one in so many
)
