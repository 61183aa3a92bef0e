package simulation

import (
	"fmt"
	"net/http"
	"time"

	"tillerarch/internal/coordination/requests"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Timeouts of a controller's calls to each outside system.
const (
	storeTimeout = 1500 * time.Millisecond
	agentTimeout = 2 * time.Second
	cloudTimeout = 10 * time.Second
	watchTimeout = 3 * time.Second // timeout of a single watch request; watches are repeated
)

// performEffect performs an effect of the core.
func (c *Controller) performEffect(effect step.Effect) {
	w := c.world
	if w.OnEffect != nil {
		w.OnEffect(w.Now, c.ID, effect)
	}
	switch effect := effect.(type) {
	case step.Reply:
		c.replyToRequest(effect)
	case requests.TransferReply:
		c.replyToOperator(effect.RequestID, effect)
	case requests.DrainReply:
		c.replyToOperator(effect.RequestID, effect)
	case requests.ShardingStatusReply:
		c.replyToOperator(effect.RequestID, effect)
	case step.Log:
		c.recordLog(effect)
	case step.SendPeerStatus:
		c.sendPeerStatus(effect)
	case step.Commit:
		c.commitTransaction(effect)
	case step.LoadRecords:
		c.loadRecords()
	case step.Watch:
		c.watchStore(c.generation, effect.AfterRevision, w.Now+watchTimeout)
	case step.ReadRevision:
		c.readRevision()
	case step.GrantLease:
		c.grantLease(effect.TTL)
	case step.RenewLease:
		c.renewLease(effect.LeaseID)
	case step.ProbeAgent:
		c.probeAgent(effect)
	case step.SendCommands:
		c.sendCommands(effect)
	case step.ListMachineTypes:
		c.listMachineTypes()
	case step.ProvisionMachines:
		c.provisionMachines(effect.Request)
	case step.TerminateMachines:
		c.terminateMachines(effect.Machines)
	case step.ListInstances:
		c.listInstances()
	default:
		panic(fmt.Sprintf("simulation: unhandled effect %T", effect))
	}
}

func (c *Controller) replyToRequest(effect step.Reply) {
	reply := c.pendingReplies[effect.RequestID]
	delete(c.pendingReplies, effect.RequestID)
	if reply != nil {
		reply(effect.Status, effect.Body)
	}
}

// replyToOperator passes a reply to the operator's request with the given id.
func (c *Controller) replyToOperator(id step.RequestID, effect step.Effect) {
	if reply := c.pendingOperatorReplies[id]; reply != nil {
		delete(c.pendingOperatorReplies, id)
		reply(effect)
	}
}

func (c *Controller) recordLog(effect step.Log) {
	c.world.LogCounts[effect.Message]++
	if c.world.Trace != nil {
		c.world.Trace(fmt.Sprintf("%8.3f %s %s %v", c.world.Now.Seconds(), c.ID, effect.Message, effect.Args))
	}
}

func (c *Controller) sendPeerStatus(effect step.SendPeerStatus) {
	for _, peer := range c.world.Controllers {
		if peer == c || c.PeersUnreachable || peer.PeersUnreachable {
			continue
		}
		generation := peer.generation
		c.world.After(c.world.messageDelay(), func() { peer.stepIfAlive(generation, step.PeerStatusInput(effect)) })
	}
}

func (c *Controller) commitTransaction(effect step.Commit) {
	execute := func() step.Input {
		status, result := c.world.Store.Commit(c.transactionForVersion(effect.Transaction))
		return step.CommitResult{ID: effect.ID, Outcome: commitOutcome(status, result), Result: result}
	}
	c.callStore(execute,
		step.CommitResult{ID: effect.ID, Outcome: storage.OutcomeUnknown, Err: errNoReply},
		step.CommitResult{ID: effect.ID, Outcome: storage.OutcomeUnavailable, Err: errNoReply})
}

// commitOutcome returns the outcome that a controller's store client derives from the reply to
// a transaction.
func commitOutcome(status int, result protocol.TransactionResult) storage.Outcome {
	switch {
	case result.Error == errorTooLarge:
		return storage.OutcomeInvalid
	case status == http.StatusOK:
		return storage.OutcomeApplied
	case status == http.StatusConflict:
		return storage.OutcomeConflict
	case status == http.StatusTooManyRequests:
		return storage.OutcomeThrottled
	case status == http.StatusServiceUnavailable:
		return storage.OutcomeUnavailable
	case status == http.StatusBadRequest:
		return storage.OutcomeLeaseExpired
	}
	panic(fmt.Sprintf("simulation: unexpected status %d from the store", status))
}

// callStoreWithoutCommit sends a request to the store that commits no transaction: a read, or
// the grant or renewal of a lease. On any failure the controller gets the input failed, which
// tells it only that there was no reply.
func (c *Controller) callStoreWithoutCommit(execute func() step.Input, failed step.Input) {
	c.callStore(func() step.Input {
		if c.world.Store.Unavailable {
			return failed
		}
		return execute()
	}, failed, failed)
}

func (c *Controller) loadRecords() {
	store := c.world.Store
	c.callStoreWithoutCommit(func() step.Input {
		entries := c.readableEntries(store.List(storage.KeyPrefix))
		return step.LoadRecordsResult{Entries: entries, StartRevision: store.revision, EndRevision: store.revision}
	}, step.LoadRecordsResult{Err: errNoReply})
}

func (c *Controller) readRevision() {
	c.callStoreWithoutCommit(func() step.Input {
		return step.ReadRevisionResult{Revision: c.world.Store.revision}
	}, step.ReadRevisionResult{Err: errNoReply})
}

func (c *Controller) grantLease(ttl time.Duration) {
	c.callStoreWithoutCommit(func() step.Input {
		return step.GrantLeaseResult{LeaseID: c.world.Store.GrantLease(c.world.Now, ttl)}
	}, step.GrantLeaseResult{Err: errNoReply})
}

func (c *Controller) renewLease(id protocol.LeaseID) {
	c.callStoreWithoutCommit(func() step.Input {
		if !c.world.Store.RenewLease(c.world.Now, id) {
			return step.RenewLeaseResult{LeaseID: id, Err: storage.ErrLeaseExpired}
		}
		return step.RenewLeaseResult{LeaseID: id}
	}, step.RenewLeaseResult{LeaseID: id, Err: errNoReply})
}

// watchStore polls the store for events every few milliseconds until there are some or the
// request's deadline has passed. While the store is unreachable, an open request hangs until 2 s
// after its deadline.
func (c *Controller) watchStore(generation int, afterRevision protocol.Revision, deadline time.Duration) {
	const unreachableGrace = 2 * time.Second
	w := c.world
	w.After(time.Duration(2+w.Rand.IntN(20))*time.Millisecond, func() {
		if !c.Alive || c.generation != generation {
			return
		}
		if c.StoreUnreachable || c.RefusedByStore || w.Store.Unavailable {
			if w.Now > deadline+unreachableGrace {
				c.step(step.WatchResult{AfterRevision: afterRevision, Err: errNoReply})
				return
			}
			c.watchStore(generation, afterRevision, deadline)
			return
		}
		response, compacted := w.Store.Watch(storage.KeyPrefix, afterRevision)
		switch {
		case compacted:
			c.step(step.WatchResult{AfterRevision: afterRevision, Err: storage.ErrRevisionTooOld})
		case len(response.Events) > 0 || w.Now > deadline:
			response.Events = c.readableEvents(response.Events)
			c.step(step.WatchResult{AfterRevision: afterRevision, Response: &response})
		default:
			c.watchStore(generation, afterRevision, deadline)
		}
	})
}

func (c *Controller) probeAgent(effect step.ProbeAgent) {
	c.callService(c.AgentsUnreachable, agentTimeout, func() step.Input {
		machine := c.reachableMachine(effect.Machine)
		if machine == nil || machine.Partitioned || machine.hung {
			return nil
		}
		heartbeat, err := protocol.ParseHeartbeat(machine.nextHeartbeat())
		return step.AgentResult{Machine: effect.Machine, Heartbeat: heartbeat, Err: err}
	}, step.AgentResult{Machine: effect.Machine, Err: errNoReply})
}

// sendCommands sends direct commands to an agent. The agent of a hung machine executes them when
// the machine resumes, if the fencing token and the agent epoch still match. If the machine is
// partitioned, only the reply is lost.
func (c *Controller) sendCommands(effect step.SendCommands) {
	if rate := c.world.DelayedCommandRate; rate > 0 && c.world.Rand.Float64() < rate {
		c.delayCommands(effect)
		return
	}
	c.callService(c.AgentsUnreachable, agentTimeout, func() step.Input {
		machine := c.reachableMachine(effect.Machine)
		if machine == nil {
			return nil
		}
		if machine.hung {
			machine.deferredCommands = append(machine.deferredCommands, func() { machine.ExecuteCommands(effect.Commands) })
			return nil
		}
		_, body := machine.ExecuteCommands(effect.Commands)
		c.world.repeatCommands(machine, effect.Commands)
		if machine.Partitioned {
			return nil
		}
		heartbeat, err := protocol.ParseHeartbeat(body)
		return step.AgentResult{Machine: effect.Machine, Heartbeat: heartbeat, Err: err}
	}, step.AgentResult{Machine: effect.Machine, Err: errNoReply})
}

// delayCommands executes direct commands seconds late, also if their sender has ended meanwhile.
// There is no reply.
func (c *Controller) delayCommands(effect step.SendCommands) {
	w := c.world
	c.executeWithoutReply(time.Duration(2000+w.Rand.IntN(14000))*time.Millisecond, agentTimeout, func() {
		if machine := w.Machines[effect.Machine]; machine != nil && !machine.Terminated {
			machine.ExecuteCommands(effect.Commands)
		}
	}, step.AgentResult{Machine: effect.Machine, Err: errNoReply})
}

// reachableMachine returns a machine, or nil if the controller's calls do not reach it.
func (c *Controller) reachableMachine(id protocol.MachineID) *Machine {
	machine := c.world.Machines[id]
	if machine == nil || c.world.isPartitioned(c, machine) || machine.Terminated || machine.CommandsLost {
		return nil
	}
	return machine
}

func (c *Controller) listMachineTypes() {
	c.callCloud(func() step.Input {
		return step.ListMachineTypesResult{MachineTypes: c.world.MachineTypes}
	}, step.ListMachineTypesResult{Err: errNoReply})
}

func (c *Controller) provisionMachines(request protocol.ProvisionRequest) {
	c.callCloud(func() step.Input {
		if c.world.CloudOutOfCapacity {
			return step.ProvisionMachinesResult{Request: request, NoCapacity: true}
		}
		return step.ProvisionMachinesResult{Request: request, Machines: c.world.ProvisionMachines(request)}
	}, step.ProvisionMachinesResult{Request: request, Err: errNoReply})
}

func (c *Controller) terminateMachines(ids []protocol.MachineID) {
	c.callCloud(func() step.Input {
		for _, id := range ids {
			c.world.TerminateMachine(id)
		}
		return step.TerminateMachinesResult{Machines: ids}
	}, step.TerminateMachinesResult{Machines: ids, Err: errNoReply})
}

func (c *Controller) listInstances() {
	requestedAt := c.now().Monotonic
	c.callCloud(func() step.Input {
		return step.ListInstancesResult{RequestedAt: requestedAt, Instances: c.world.Instances()}
	}, step.ListInstancesResult{Err: errNoReply})
}
