package simulation

import (
	"fmt"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// RemoteController is a controller that is a process of its own. It calls back with the world's lock
// held, or never.
type RemoteController interface {
	DeliverHeartbeat(body []byte, back func(status int, body []byte))
	DeliverUserRequest(verb protocol.RequestType, id protocol.JobID, body []byte, back func(status int, body []byte))
}

// NewRemoteWorld is a deployment whose controllers are processes of their own.
func NewRemoteWorld(seed uint64, remotes []RemoteController, machineTypes []protocol.MachineType, teams map[string]step.Quota) *World {
	w := NewWorld(seed, 0, machineTypes, teams)
	for i, remote := range remotes {
		w.Controllers = append(w.Controllers, &Controller{world: w, ID: protocol.ControllerID(fmt.Sprintf("stall-%d", i)), Remote: remote, Alive: true})
	}
	return w
}

// deliverUserRequest hands a user's request to the controller.
func (c *Controller) deliverUserRequest(requestType protocol.RequestType, id protocol.JobID, body []byte, reply func(int, []byte)) {
	if c.Remote != nil {
		c.Remote.DeliverUserRequest(requestType, id, body, reply)
		return
	}
	c.deliverRequest(reply, func(r step.RequestID) step.Input {
		return step.UserInput{RequestID: r, Type: requestType, Job: id, Body: body}
	})
}

// isHealthy tells whether the load balancer passes users on to the controller. Of a process
// it goes by whether it is up.
func (c *Controller) isHealthy() bool { return c.Remote != nil || c.Core.Healthy() }

// processName tells which process it is that answers; of one outside the controller is all that is
// known.
func (c *Controller) processName() string {
	if c.Remote != nil {
		return string(c.ID)
	}
	return fmt.Sprintf("%s, life %d", c.ID, c.generation)
}
