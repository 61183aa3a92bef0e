package simulation

import (
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// RemoteController is a controller that runs as a separate process. Its methods call reply at
// most once, with the world's lock held.
type RemoteController interface {
	// DeliverHeartbeat delivers an agent's encoded heartbeat to the controller.
	DeliverHeartbeat(body []byte, reply func(status int, body []byte))
	// DeliverUserRequest delivers a user's request about a job to the controller.
	DeliverUserRequest(requestType protocol.RequestType, id protocol.JobID, body []byte, reply func(status int, body []byte))
}

// NewRemoteWorld returns a deployment whose controllers run as separate processes.
func NewRemoteWorld(seed uint64, remotes []RemoteController, machineTypes []protocol.MachineType, teams map[string]step.Quota) *World {
	w := NewWorld(seed, 0, machineTypes, teams)
	for i, remote := range remotes {
		w.Controllers = append(w.Controllers, &Controller{world: w, ID: controllerID(i), Remote: remote, Alive: true})
	}
	return w
}
