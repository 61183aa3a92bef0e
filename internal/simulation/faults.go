package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// Pause lets the controller stand still for a while: what comes in waits, and is
// read in one go when it goes on.
func (c *Controller) Pause(duration time.Duration) {
	c.paused = true
	generation := c.generation
	c.world.After(duration, func() {
		if c.generation != generation || !c.Alive {
			return
		}
		c.paused = false
		inputs := c.pendingInputs
		c.pendingInputs = nil
		for _, input := range inputs {
			c.step(input)
		}
	})
}

// delayCommand carries a direct command out seconds late, whatever its sender has
// become meanwhile; nobody answers it.
func (c *Controller) delayCommand(command step.SendCommands) {
	w := c.world
	c.executeWithoutReply(time.Duration(2000+w.Rand.IntN(14000))*time.Millisecond, 2*time.Second, func() {
		if m := w.Machines[command.Machine]; m != nil && !m.Terminated {
			m.ExecuteCommands(command.Commands)
		}
	}, step.AgentResult{Machine: command.Machine, Err: errNoReply})
}

// executeWithoutReply carries something out after a while; whoever asked for it hears nothing
// until its time is up.
func (c *Controller) executeWithoutReply(delay, timeout time.Duration, execute func(), timeoutInput step.Input) {
	generation := c.generation
	c.world.After(delay, execute)
	c.world.After(timeout, func() {
		if c.Alive && c.generation == generation {
			c.step(timeoutInput)
		}
	})
}

// callStore sends something to the state service, which may be cut off, refuse this
// controller alone, be slow, or carry a transaction out late.
func (c *Controller) callStore(timeout time.Duration, execute func() step.Input, timeoutInput, refusedInput step.Input) {
	w := c.world
	if c.RefusedByStore {
		c.callService(false, timeout, func() step.Input { return refusedInput }, timeoutInput)
		return
	}
	_, isCommit := timeoutInput.(step.CommitResult)
	if isCommit && w.Rand.Float64() < w.DelayedWriteRate {
		c.executeWithoutReply(time.Duration(2000+w.Rand.IntN(10000))*time.Millisecond, timeout, func() { execute() }, timeoutInput)
		return
	}
	if isCommit && w.LostWriteReplyRate > 0 && w.Rand.Float64() < w.LostWriteReplyRate {
		c.executeWithoutReply(w.messageDelay(), timeout, func() { execute() }, timeoutInput)
		return
	}
	if w.MaxStoreDelay > 0 {
		generation, d := c.generation, time.Duration(w.Rand.Int64N(int64(w.MaxStoreDelay)))
		w.After(d, func() {
			if c.Alive && c.generation == generation {
				c.callService(c.StoreUnreachable, timeout-d, execute, timeoutInput)
			}
		})
		return
	}
	c.callService(c.StoreUnreachable, timeout, execute, timeoutInput)
}

// handleJobEnd calls a job off at the moment of its end, now and then.
func (w *World) handleJobEnd(id protocol.JobID) {
	observed := w.Rules.job(id)
	if observed.spec == nil || len(observed.completedTasks) < observed.spec.TaskCount {
		return
	}
	if w.OnJobEnd != nil {
		w.OnJobEnd(id)
	}
	if !observed.cancelRequested && w.Rand.Float64() < w.CancelAtEndRate {
		w.Cancel(id)
	}
}

// sendUnusualRequests lets users repeat submissions of unfinished jobs, call off jobs that are done, ask
// about jobs that nobody has sent, and send jobs that can't run or lack a field.
func (w *World) sendUnusualRequests(from, to time.Duration) {
	k := 0
	w.Every(700*time.Millisecond, func() {
		if w.Now < from || w.Now > to {
			return
		}
		k++
		id := protocol.JobID(fmt.Sprintf("j-9%05d", k))
		job := &protocol.Job{ID: id, Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "high", TaskCount: 1, Cores: 1, MemoryGB: 1, Image: "b", EstimatedRunSeconds: 1}
		switch ids := slices.Sorted(maps.Keys(w.Jobs)); {
		case k%5 == 0:
			job.Cores = 1000
			w.SubmitInvalid(id, protocol.Encode(job))
		case k%5 == 1:
			job.Team = "nobody"
			w.SubmitInvalid(id, protocol.Encode(job))
		case k%5 == 2:
			w.SubmitInvalid(id, []byte(`{"uid":"`+string(id)+`","lane":"l","desk":"core"}`))
		case k%5 == 3:
			w.SendUserRequest(protocol.RequestQuery, id, nil, func(int, protocol.JobState) {})
		case len(ids) > 0:
			old := ids[w.Rand.IntN(len(ids))]
			if !w.Rules.job(old).accepted {
				return
			}
			w.SendUserRequestTo(w.Controllers[k%len(w.Controllers)], protocol.RequestSubmit, old, protocol.Encode(w.Jobs[old]), func(int, protocol.JobState) {})
			if w.FinishedJobs[old] {
				w.Cancel(old)
			}
		}
	})
}

// SubmitInvalid sends a job that can't run or lacks a field, until that is said.
func (w *World) SubmitInvalid(id protocol.JobID, body []byte) {
	w.Rules.job(id).isInvalid = true
	w.SendUserRequest(protocol.RequestSubmit, id, body, func(status int, _ protocol.JobState) {
		if status != 400 && status != 422 {
			w.After(time.Second, func() { w.SubmitInvalid(id, body) })
		}
	})
}

// checkPlaceableJobs tells the rules which jobs wait although machines that are up have room.
func (w *World) checkPlaceableJobs() {
	type freeCapacity struct {
		m          *Machine
		cores, mem float64
	}
	var free []freeCapacity
	used := map[string]float64{}
	placed := map[protocol.Task]bool{}
	for _, id := range slices.Sorted(maps.Keys(w.Machines)) {
		m := w.Machines[id]
		if m.Terminated || m.sequence == 0 {
			continue
		}
		f := freeCapacity{m: m}
		for i := range w.MachineTypes {
			if w.MachineTypes[i].Name == m.Type {
				f.cores, f.mem = w.MachineTypes[i].Cores, w.MachineTypes[i].MemoryGB
			}
		}
		for t, execution := range m.tasks {
			if execution.state != protocol.TaskExited {
				job := w.Jobs[t.Job]
				f.cores, f.mem = f.cores-job.Cores, f.mem-job.MemoryGB
				used[job.Team] += job.Cores
				placed[t] = true
			}
		}
		if m.preemptAt == 0 && !m.Faulty {
			free = append(free, f)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.Jobs)) {
		job, observed := w.Jobs[id], w.Rules.job(id)
		pending := 0
		for p := range min(job.TaskCount, 500) {
			if !observed.completedTasks[p] && !placed[protocol.Task{Job: id, Index: p}] {
				pending++
			}
		}
		need := 1
		if job.IsGang() {
			need = pending
		}
		limit := w.Rules.QuotaLimits[job.Team]
		withinQuota, capacity := limit == 0 || used[job.Team]+float64(need)*job.Cores <= limit+1e-9, 0
		for _, f := range free {
			// Spot machines depend on more than room.
			if job.AllowsPlacement(f.m.Type, f.m.Zone) && !f.m.Spot && f.cores+1e-9 >= job.Cores && f.mem+1e-9 >= job.MemoryGB {
				capacity += int(min((f.cores+1e-9)/job.Cores, (f.mem+1e-9)/job.MemoryGB))
			}
		}
		// What several tasks ask of zones together is not looked into here.
		w.Rules.RecordPlaceable(w.Now, id, pending > 0 && withinQuota && capacity >= need && (need == 1 || !job.SingleZone && !job.SpreadZones) && (!job.SpreadZones || job.TaskCount == 1))
	}
}

// StepCost is what the steps of one kind of input took.
type StepCost struct {
	Count int
	Time  time.Duration
}

// StepCosts are kept by the kind of input.
type StepCosts map[string]*StepCost

func (c StepCosts) add(input step.Input, d time.Duration) {
	kind := strings.TrimPrefix(fmt.Sprintf("%T", input), "coordination.")
	if c[kind] == nil {
		c[kind] = &StepCost{}
	}
	c[kind].Count++
	c[kind].Time += d
}

// isPartitioned tells whether a cut zone lies between a controller and a machine.
func (w *World) isPartitioned(controller *Controller, m *Machine) bool {
	for z, inside := range w.PartitionedZones {
		if (m.Zone == z) != (controller == inside) {
			return true
		}
	}
	return false
}

// TerminateMachine takes a machine away with all that is on it.
func (w *World) TerminateMachine(id protocol.MachineID) {
	if m := w.Machines[id]; m != nil && !m.Terminated {
		m.killTasks()
		m.clearLingeringTasks()
		m.Terminated = true
	}
}

// PreemptMachine takes a machine away after a notice.
func (w *World) PreemptMachine(id protocol.MachineID, notice time.Duration) {
	if m := w.Machines[id]; m != nil && !m.Terminated {
		m.preemptAt = w.Now + notice
		m.changed = true
		w.After(notice, func() { w.TerminateMachine(id) })
	}
}
