package main

import (
	"fmt"
	"net/http"
	"sync"

	"tillerarch/internal/protocol"
	"tillerarch/internal/transport"
)

const (
	// maxAgentClients is the number of agents whose connections are kept.
	maxAgentClients = 200

	connectionsPerAgent = 1
)

// agentClients are the clients of the machines' agents, by their addresses.
type agentClients struct {
	mu      sync.Mutex
	clients map[string]*transport.Client
}

func newAgentClients() *agentClients {
	return &agentClients{clients: map[string]*transport.Client{}}
}

// call calls an agent at its own address; it answers with its heartbeat, also where it refuses
// the commands.
func (a *agentClients) call(method, addr, path string, body []byte) (*protocol.Heartbeat, error) {
	response, err := a.client(addr).Call(method, path, body, agentTimeout)
	if err != nil {
		return nil, fmt.Errorf("%s %s at agent %s: %w", method, path, addr, err)
	}
	if response.Status != http.StatusOK && response.Status != http.StatusConflict {
		return nil, fmt.Errorf("%s %s: agent %s answered %d", method, path, addr, response.Status)
	}
	heartbeat, err := protocol.ParseHeartbeat(response.Body)
	if err != nil {
		return heartbeat, fmt.Errorf("parse heartbeat of agent %s: %w", addr, err)
	}
	return heartbeat, nil
}

// client gives the client of an address. Once there are too many, all are dropped: what is used
// comes back.
func (a *agentClients) client(addr string) *transport.Client {
	a.mu.Lock()
	defer a.mu.Unlock()
	if client := a.clients[addr]; client != nil {
		return client
	}
	if len(a.clients) > maxAgentClients {
		for _, old := range a.clients {
			old.CloseIdleConns()
		}
		clear(a.clients)
	}
	client := transport.NewClient(addr, connectionsPerAgent, nil)
	a.clients[addr] = client
	return client
}
