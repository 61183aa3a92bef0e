package main

import (
	"fmt"
	"net/http"
	"sync"

	"tillerarch/internal/protocol"
	"tillerarch/internal/transport"
)

const (
	// maxAgentClients is the number of clients above which the next new client replaces all others.
	maxAgentClients = 200

	connectionsPerAgent = 1
)

// agentClients holds the HTTP clients of the machines' agents. It is safe for concurrent use.
type agentClients struct {
	mu      sync.Mutex
	clients map[string]*transport.Client // by agent address
}

func newAgentClients() *agentClients {
	return &agentClients{clients: map[string]*transport.Client{}}
}

// sendRequest sends a request to the agent at addr and returns the heartbeat in the response. An
// agent that refuses the commands responds with 409 Conflict and also sends its heartbeat.
func (a *agentClients) sendRequest(method, addr, path string, body []byte) (*protocol.Heartbeat, error) {
	response, err := a.clientFor(addr).Call(method, path, body, agentTimeout)
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

// clientFor returns the client of an agent's address and creates it if needed. Once there are more
// than maxAgentClients, all of them are dropped, because those in use are created again.
func (a *agentClients) clientFor(addr string) *transport.Client {
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
