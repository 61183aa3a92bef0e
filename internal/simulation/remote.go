package simulation

import (
	"fmt"

	"tillerarch/internal/coordination"
	"tillerarch/internal/protocol"
)

// Remote is a controller that is a process of its own. It calls back with the world's lock
// held, or never.
type Remote interface {
	Report(body []byte, back func(status int, body []byte))
	Ask(verb protocol.RequestType, id protocol.JobID, body []byte, back func(status int, body []byte))
}

// NewRemoteWorld is a deployment whose controllers are processes of their own.
func NewRemoteWorld(seed uint64, remotes []Remote, flavors []protocol.MachineType, teams map[string]coordination.Quota) *World {
	w := NewWorld(seed, 0, flavors, teams)
	for i, r := range remotes {
		w.Nodes = append(w.Nodes, &Node{w: w, Member: protocol.ControllerID(fmt.Sprintf("stall-%d", i)), Remote: r, Alive: true})
	}
	return w
}

// ask hands a user's request to the controller.
func (n *Node) ask(verb protocol.RequestType, id protocol.JobID, body []byte, back func(int, []byte)) {
	if n.Remote != nil {
		n.Remote.Ask(verb, id, body, back)
		return
	}
	n.request(back, func(r coordination.RequestID) coordination.Input {
		return coordination.UserInput{RequestID: r, Type: verb, Job: id, Body: body}
	})
}

// healthy tells whether the load balancer passes users on to the controller. Of a process
// it goes by whether it is up.
func (n *Node) healthy() bool { return n.Remote != nil || n.Core.Healthy() }

// name tells which process it is that answers; of one outside the controller is all that is
// known.
func (n *Node) name() string {
	if n.Remote != nil {
		return string(n.Member)
	}
	return fmt.Sprintf("%s, life %d", n.Member, n.life)
}
