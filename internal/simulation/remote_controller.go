package simulation

import (
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// RemoteController is a controller that runs as a separate process. Its methods call reply at
// most once, with the world's lock held.
type RemoteController interface {
	DeliverHeartbeat(body []byte, reply func(status int, body []byte))
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
