package simulation

import (
	"net/http"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// messageDelay returns the delay of a message. One message in fifty takes up to 0.3 s longer.
func (w *World) messageDelay() time.Duration {
	delay := time.Duration(1+w.Rand.IntN(8)) * time.Millisecond
	if w.MaxNetworkDelay > 0 {
		delay += time.Duration(w.Rand.Int64N(int64(w.MaxNetworkDelay)))
	}
	if w.Rand.Float64() < 0.02 {
		delay += time.Duration(w.Rand.IntN(300)) * time.Millisecond
	}
	return delay
}

// isPartitioned reports whether the partition of a zone separates a controller from a machine.
func (w *World) isPartitioned(controller *Controller, machine *Machine) bool {
	for zone, inside := range w.PartitionedZones {
		if (machine.Zone == zone) != (controller == inside) {
			return true
		}
	}
	return false
}

// callService sends a request to an outside system and delivers the reply to the controller.
// The request or the reply may be lost, or the request may be executed late. The controller
// then gets timeoutInput instead. It gets exactly one of the two inputs, or none if its process
// has ended. execute returns nil for no reply.
func (c *Controller) callService(unreachable bool, timeout time.Duration, execute func() step.Input, timeoutInput step.Input) {
	w, generation := c.world, c.generation
	isDelivered := false
	deliver := func(input step.Input) {
		if !isDelivered && c.Alive && c.generation == generation {
			isDelivered = true
			c.step(input)
		}
	}
	w.After(timeout, func() { deliver(timeoutInput) })
	delay := w.messageDelay()
	if unreachable || w.Rand.Float64() < w.MessageLossRate {
		if w.Rand.IntN(2) == 0 {
			return // the request never arrives
		}
		delay = timeout + time.Duration(w.Rand.IntN(8000))*time.Millisecond // arrives after the caller's timeout
	}
	w.After(delay, func() {
		input := execute()
		if input != nil && !unreachable && w.Rand.Float64() >= w.MessageLossRate {
			w.After(w.messageDelay(), func() { deliver(input) })
		}
	})
}

// executeWithoutReply executes a request after a delay. The controller gets timeoutInput instead
// of a reply.
func (c *Controller) executeWithoutReply(delay, timeout time.Duration, execute func(), timeoutInput step.Input) {
	generation := c.generation
	c.world.After(delay, execute)
	c.world.After(timeout, func() { c.stepIfAlive(generation, timeoutInput) })
}

// callStore sends a request to the store. The store may be unreachable, refuse the requests of
// this controller only (which then gets refusedInput), reply slowly, or apply a transaction late
// or without a reply.
func (c *Controller) callStore(execute func() step.Input, timeoutInput, refusedInput step.Input) {
	w := c.world
	if c.RefusedByStore {
		c.callService(false, storeTimeout, func() step.Input { return refusedInput }, timeoutInput)
		return
	}
	_, isCommit := timeoutInput.(step.CommitResult)
	if isCommit && w.Rand.Float64() < w.DelayedWriteRate {
		delay := time.Duration(2000+w.Rand.IntN(10000)) * time.Millisecond
		c.executeWithoutReply(delay, storeTimeout, func() { execute() }, timeoutInput)
		return
	}
	if isCommit && w.LostWriteReplyRate > 0 && w.Rand.Float64() < w.LostWriteReplyRate {
		c.executeWithoutReply(w.messageDelay(), storeTimeout, func() { execute() }, timeoutInput)
		return
	}
	if w.MaxStoreDelay > 0 {
		generation, storeDelay := c.generation, time.Duration(w.Rand.Int64N(int64(w.MaxStoreDelay)))
		w.After(storeDelay, func() {
			if c.Alive && c.generation == generation {
				c.callService(c.StoreUnreachable, storeTimeout-storeDelay, execute, timeoutInput)
			}
		})
		return
	}
	c.callService(c.StoreUnreachable, storeTimeout, execute, timeoutInput)
}

func (c *Controller) callCloud(execute func() step.Input, timeoutInput step.Input) {
	c.callService(c.world.CloudUnreachable, cloudTimeout, execute, timeoutInput)
}

// heartbeatReply is a controller's reply to a heartbeat. A status of 0 means that the connection
// was refused.
type heartbeatReply struct {
	status int
	body   []byte
	sender string // name of the process that replied
}

// transmitHeartbeat delivers an agent's heartbeat to a controller and the reply to the agent. If
// a message is lost, reply is not called and the agent has to detect the timeout itself.
func (w *World) transmitHeartbeat(controller *Controller, machine *Machine, body []byte, reply func(heartbeatReply)) {
	w.duplicateHeartbeat(body)
	delay := w.messageDelay()
	if machine.HeartbeatsLost {
		return // the agent cannot connect
	}
	unreachable := func() bool {
		return machine.Partitioned || controller.AgentsUnreachable || w.isPartitioned(controller, machine)
	}
	if unreachable() || w.Rand.Float64() < w.MessageLossRate {
		if w.Rand.IntN(2) == 0 {
			return
		}
		delay = 5*time.Second + time.Duration(w.Rand.IntN(20000))*time.Millisecond // arrives after the agent's timeout
	}
	w.After(delay, func() {
		if !controller.Alive {
			w.After(w.messageDelay(), func() { reply(heartbeatReply{}) })
			return
		}
		controller.DeliverHeartbeat(body, func(status int, replyBody []byte) {
			if machine.HeartbeatsLost || machine.CommandsLost || unreachable() || w.Rand.Float64() < w.MessageLossRate {
				return
			}
			response := heartbeatReply{status: status, body: replyBody, sender: controller.processName()}
			w.After(w.messageDelay(), func() { reply(response) })
			w.repeatLater(func() { reply(response) })
		})
	})
}

// repeatLater performs a delivery once more for some messages, 0.1 to 20 s later.
func (w *World) repeatLater(deliver func()) {
	if w.RepeatedCommandRate > 0 && w.Rand.Float64() < w.RepeatedCommandRate {
		w.After(time.Duration(100+w.Rand.IntN(20000))*time.Millisecond, deliver)
	}
}

// repeatCommands delivers some direct commands, which the agent has executed, once more. The agent executes them
// again if the fencing token and the agent epoch still match.
func (w *World) repeatCommands(machine *Machine, commands protocol.Commands) {
	w.repeatLater(func() {
		if machine.Terminated || machine.hung {
			return
		}
		if status, _ := machine.ExecuteCommands(commands); status == http.StatusOK {
			w.RepeatedCommands += len(commands.Commands)
		}
	})
}

// duplicateHeartbeat delivers a copy of some heartbeats to any controller, 0.5 to 40.5 s later,
// which may be well after the expiry of an agent's lease.
func (w *World) duplicateHeartbeat(body []byte) {
	if w.DuplicateHeartbeatRate == 0 || w.Rand.Float64() >= w.DuplicateHeartbeatRate {
		return
	}
	receiver := w.Controllers[w.Rand.IntN(len(w.Controllers))]
	w.After(time.Duration(500+w.Rand.IntN(40000))*time.Millisecond, func() {
		if receiver.Alive {
			receiver.DeliverHeartbeat(body, func(int, []byte) {})
		}
	})
}
