package simulation

import (
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// RemoteController is a controller that is a process of its own. It calls back with the
// world's lock held, or never.
type RemoteController interface {
	DeliverHeartbeat(body []byte, back func(status int, body []byte))
	DeliverUserRequest(verb protocol.RequestType, id protocol.JobID, body []byte, back func(status int, body []byte))
}

// NewRemoteWorld makes a deployment whose controllers are processes of their own.
func NewRemoteWorld(seed uint64, remotes []RemoteController, machineTypes []protocol.MachineType, teams map[string]step.Quota) *World {
	w := NewWorld(seed, 0, machineTypes, teams)
	for i, remote := range remotes {
		w.Controllers = append(w.Controllers, &Controller{world: w, ID: controllerID(i), Remote: remote, Alive: true})
	}
	return w
}
