package simulation

import (
	"fmt"
	"time"

	"tillerarch/internal/coordination"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// Controller is one controller of the deployment: a core, or a separate process.
type Controller struct {
	ID                    protocol.ControllerID
	Core                  *coordination.Core
	Remote                RemoteController // process that is used instead of Core, or nil
	Alive                 bool
	StoreUnreachable      bool // the store is unreachable from this controller only
	RefusedByStore        bool // the store refuses the requests of this controller only
	AgentsUnreachable     bool // the agents are unreachable from this controller only
	PeersUnreachable      bool // no messages pass between this controller and the others
	UsersUnreachable      bool // users do not reach this controller
	RunsProductionVersion bool // the controller behaves like the version in production before the upgrade

	world                  *World
	paused                 bool // the process is stopped while its clocks run
	pendingInputs          []step.Input
	generation             int // number of the current process; callbacks of earlier processes are dropped
	startedAt              time.Duration
	clockDrift             float64 // seconds of the controller's clock for each second of the world
	nextRequestID          step.RequestID
	pendingReplies         map[step.RequestID]func(int, []byte)
	pendingOperatorReplies map[step.RequestID]func(step.Effect)
}

const (
	tickInterval    = 50 * time.Millisecond
	epochWallMillis = 1e12 // wall clock at the start of the world
)

// Start starts a new process of the controller and replaces a running one.
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
		// The production version never raises the storage format. A peer that is never seen prevents it.
		config.PeerIDs = append(config.PeerIDs, "never-seen")
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

// Kill ends the controller's process. Everything in its memory is lost.
func (c *Controller) Kill() { c.Alive = false }

// ScheduleRestart kills the controller after the given time and starts it after the downtime,
// also if it has been restarted or killed meanwhile.
func (c *Controller) ScheduleRestart(at, downtime time.Duration) {
	c.world.After(at, c.Kill)
	c.world.After(at+downtime, c.Start)
}

// Upgrade restarts the controller with the new version, at the times of ScheduleRestart.
func (c *Controller) Upgrade(at, downtime time.Duration) {
	c.ScheduleRestart(at, downtime)
	c.world.After(at, func() { c.RunsProductionVersion = false })
}

// Pause stops the process for a duration, as a long garbage collection or the migration of a
// virtual machine does. Inputs are queued, and handled all at once when the process resumes.
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

// step passes an input to the core and performs the core's effects. A paused process drops
// ticks and queues all other inputs.
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

// stepIfAlive passes an input to the core if the process that the input is for is still alive.
func (c *Controller) stepIfAlive(generation int, input step.Input) {
	if c.Alive && c.generation == generation {
		c.step(input)
	}
}

// DeliverHeartbeat delivers a heartbeat to the controller. reply is called with the status and
// the body of the controller's reply.
func (c *Controller) DeliverHeartbeat(body []byte, reply func(int, []byte)) {
	if c.Remote != nil {
		c.Remote.DeliverHeartbeat(body, reply)
		return
	}
	c.deliverRequest(reply, func(id step.RequestID) step.Input {
		return step.HeartbeatInput{RequestID: id, Body: body}
	})
}

// deliverUserRequest delivers a user's request to the controller.
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

// DeliverOperatorRequest delivers a request of the operator's tool to the controller. A
// controller that is down never replies.
func (c *Controller) DeliverOperatorRequest(request func(step.RequestID) step.Input, reply func(step.Effect)) {
	if !c.Alive {
		return
	}
	c.nextRequestID++
	c.pendingOperatorReplies[c.nextRequestID] = reply
	c.step(request(c.nextRequestID))
}

// isHealthy reports whether the load balancer may send users to the controller. A remote
// controller counts as healthy, because the simulated load balancer cannot query its health.
func (c *Controller) isHealthy() bool { return c.Remote != nil || c.Core.Healthy() }

// processName returns a name for the current process of the controller. For a remote controller
// it is the controller's id, because its processes are not known.
func (c *Controller) processName() string {
	if c.Remote != nil {
		return string(c.ID)
	}
	return fmt.Sprintf("%s, process %d", c.ID, c.generation)
}
