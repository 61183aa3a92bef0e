package simulation

import (
	"fmt"
	"time"

	"tillerarch/internal/coordination"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// Controller is one controller: a core with its place in the network, or a process that plays
// it.
type Controller struct {
	ID                    protocol.ControllerID
	Core                  *coordination.Core
	Remote                RemoteController // a process that plays the controller; nil: Core does
	Alive                 bool
	StoreUnreachable      bool // from this controller alone
	RefusedByStore        bool // the store refuses this controller alone
	AgentsUnreachable     bool // from this controller alone
	PeersUnreachable      bool // it exchanges nothing with the other controllers
	UsersUnreachable      bool // users do not reach it
	RunsProductionVersion bool // it behaves like the version in production before the upgrade

	world                  *World
	paused                 bool // the process stands still while its clocks run on
	pendingInputs          []step.Input
	generation             int // of its process; callbacks of an earlier one are dropped
	startedAt              time.Duration
	clockDrift             float64 // seconds of its clock for each second of the world
	nextRequestID          step.RequestID
	pendingReplies         map[step.RequestID]func(int, []byte)
	pendingOperatorReplies map[step.RequestID]func(step.Effect)
}

const (
	tickInterval    = 50 * time.Millisecond
	epochWallMillis = 1e12 // wall clock at the beginning of the world
)

// Start starts a new process of the controller. One that is alive is replaced.
func (c *Controller) Start() {
	c.Alive, c.paused, c.pendingInputs = true, false, nil
	c.generation++
	c.startedAt = c.world.Now
	c.pendingReplies = map[step.RequestID]func(int, []byte){}
	c.pendingOperatorReplies = map[step.RequestID]func(step.Effect){}
	config := c.world.Config
	config.ControllerID = c.ID
	for _, other := range c.world.Controllers {
		if other != c {
			config.PeerIDs = append(config.PeerIDs, other.ID)
		}
	}
	if c.RunsProductionVersion {
		config.AnnouncedLimits = nil
		config.RecordTransfers = false
	}
	config.Seed = uint64(c.generation)
	c.Core = coordination.New(config, c.now())
	c.scheduleTick(c.generation)
}

func (c *Controller) scheduleTick(generation int) {
	c.world.After(tickInterval, func() {
		if c.Alive && c.generation == generation {
			c.step(step.Tick{})
			c.scheduleTick(generation)
		}
	})
}

// Kill ends the controller with all it holds in memory.
func (c *Controller) Kill() { c.Alive = false }

// ScheduleRestart kills the controller at a time from now and starts it again after the
// downtime, whatever has become of it meanwhile.
func (c *Controller) ScheduleRestart(at, downtime time.Duration) {
	c.world.After(at, c.Kill)
	c.world.After(at+downtime, c.Start)
}

// Upgrade restarts the controller as ScheduleRestart does, with the new version.
func (c *Controller) Upgrade(at, downtime time.Duration) {
	c.ScheduleRestart(at, downtime)
	c.world.After(at, func() { c.RunsProductionVersion = false })
}

// Pause stops the process for a while, as a long garbage collection or a virtual machine's
// migration does: inputs are kept and handled in one go when it resumes.
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

func (c *Controller) now() step.Now {
	return step.Now{
		Monotonic: protocol.Instant(float64(c.world.Now-c.startedAt)*c.clockDrift) + 1,
		Wall:      protocol.Millis(epochWallMillis + c.world.Now.Milliseconds()),
	}
}

// step gives the core an input and performs its effects. A paused process skips its ticks and
// keeps all other inputs.
func (c *Controller) step(input step.Input) {
	if c.paused {
		if _, isTick := input.(step.Tick); !isTick {
			c.pendingInputs = append(c.pendingInputs, input)
		}
		return
	}
	startedAt := time.Now()
	effects := c.Core.Step(c.now(), input)
	if c.world.StepCosts != nil {
		c.world.StepCosts.add(input, time.Since(startedAt))
	}
	for _, effect := range effects {
		c.performEffect(effect)
	}
}

// stepIfAlive gives the core an input that is meant for one process of the controller.
func (c *Controller) stepIfAlive(generation int, input step.Input) {
	if c.Alive && c.generation == generation {
		c.step(input)
	}
}

// DeliverHeartbeat gives the controller a heartbeat.
func (c *Controller) DeliverHeartbeat(body []byte, reply func(int, []byte)) {
	if c.Remote != nil {
		c.Remote.DeliverHeartbeat(body, reply)
		return
	}
	c.deliverRequest(reply, func(id step.RequestID) step.Input {
		return step.HeartbeatInput{RequestID: id, Body: body}
	})
}

// deliverUserRequest gives the controller a user's request.
func (c *Controller) deliverUserRequest(requestType protocol.RequestType, id protocol.JobID, body []byte, reply func(int, []byte)) {
	if c.Remote != nil {
		c.Remote.DeliverUserRequest(requestType, id, body, reply)
		return
	}
	c.deliverRequest(reply, func(requestID step.RequestID) step.Input {
		return step.UserInput{RequestID: requestID, Type: requestType, Job: id, Body: body}
	})
}

func (c *Controller) deliverRequest(reply func(int, []byte), input func(step.RequestID) step.Input) {
	c.nextRequestID++
	c.pendingReplies[c.nextRequestID] = reply
	c.step(input(c.nextRequestID))
}

// DeliverOperatorRequest gives the controller a request of the operator's tool. A controller
// that is down never replies.
func (c *Controller) DeliverOperatorRequest(request func(step.RequestID) step.Input, reply func(step.Effect)) {
	if !c.Alive {
		return
	}
	c.nextRequestID++
	c.pendingOperatorReplies[c.nextRequestID] = reply
	c.step(request(c.nextRequestID))
}

// isHealthy reports whether the load balancer sends users to the controller. A process is
// taken for healthy: whether it is, only its own load balancer could ask.
func (c *Controller) isHealthy() bool { return c.Remote != nil || c.Core.Healthy() }

// processName names the process that replies. Of a remote one only the controller is known.
func (c *Controller) processName() string {
	if c.Remote != nil {
		return string(c.ID)
	}
	return fmt.Sprintf("%s, life %d", c.ID, c.generation)
}
