package main

import (
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"

	"tillerarch/internal/coordination/step"
)

// bytesPerKB turns the platform's kilobytes into bytes.
const bytesPerKB = 1024

// maxControllerIDLength is in bytes: the name is part of stored keys.
const maxControllerIDLength = 100

// platformSettings is the settings file that the platform hands over.
type platformSettings struct {
	ControllerID string           `toml:"member"`
	Zone         string           `toml:"area"`
	Listen       string           `toml:"listen"`
	PeerListen   string           `toml:"back"`
	Peers        []peerSettings   `toml:"members"`
	Endpoints    endpointSettings `toml:"outside"`
	Params       paramSettings    `toml:"params"`
}

// peerSettings is another controller of the deployment.
type peerSettings struct {
	ControllerID string `toml:"member"`
	Addr         string `toml:"addr"`
}

// endpointSettings are the addresses of the services that a controller uses.
type endpointSettings struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"`
}

// paramSettings are the rules of the deployment.
type paramSettings struct {
	Teams      []teamSettings      `toml:"teams"`
	Agents     agentSettings       `toml:"workers"`
	Store      storeSettings       `toml:"state"`
	Cloud      cloudSettings       `toml:"cloud"`
	Objectives []objectiveSettings `toml:"objectives"`
	Resources  resourceSettings    `toml:"resources"`
}

// teamSettings is the quota of a team.
type teamSettings struct {
	Name                   string  `toml:"name"`
	GuaranteedCores        float64 `toml:"cpus"`
	MaxCores               float64 `toml:"cpus_max"`
	GuaranteedAccelerators float64 `toml:"gpus"`
	MaxAccelerators        float64 `toml:"gpus_max"`
}

// agentSettings are the times that the machines' agents keep to.
type agentSettings struct {
	HeartbeatSeconds float64 `toml:"report_s"`
	LeaseSeconds     float64 `toml:"lease_s"`
	GangPeerSeconds  float64 `toml:"gang_peer_s"`
	CancelSeconds    float64 `toml:"cancel_s"`
}

// storeSettings are the limits of the key-value store.
type storeSettings struct {
	RPS      float64               `toml:"rps"`
	WriteRPS float64               `toml:"write_rps"`
	ValueKB  float64               `toml:"value_kb"`
	TxnOps   int                   `toml:"txn_ops"`
	Next     *announcedStoreLimits `toml:"next"`
}

// announcedStoreLimits are limits that the store will have; what is left out stays as it is.
type announcedStoreLimits struct {
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// cloudSettings are the limits of the cloud's service.
type cloudSettings struct {
	RPS            float64 `toml:"rps"`
	ListLagSeconds float64 `toml:"list_lag_s"`
}

// objectiveSettings is an objective of a class of jobs.
type objectiveSettings struct {
	Kind          string  `toml:"kind"`
	Class         string  `toml:"class"`
	WithinSeconds float64 `toml:"within_s"`
	Times         float64 `toml:"times"` // of the estimated run time
}

// resourceSettings are what this process may take of its machine.
type resourceSettings struct {
	MemoryMB   float64 `toml:"memory_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// currentLimits are the store's limits of today.
func (p *platformSettings) currentLimits() step.WriteLimits {
	store := p.Params.Store
	return step.WriteLimits{
		WritesPerSecond: store.WriteRPS,
		TransactionOps:  store.TxnOps,
		ValueBytes:      int(store.ValueKB * bytesPerKB),
	}
}

// announcedLimits are the announced limits of the store; what they leave out stays as it is. nil:
// none are announced.
func (p *platformSettings) announcedLimits() *step.WriteLimits {
	next := p.Params.Store.Next
	if next == nil {
		return nil
	}
	limits := p.currentLimits()
	if next.WriteRPS != nil {
		limits.WritesPerSecond = *next.WriteRPS
	}
	if next.TxnOps != nil {
		limits.TransactionOps = *next.TxnOps
	}
	if next.ValueKB != nil {
		limits.ValueBytes = int(*next.ValueKB * bytesPerKB)
	}
	return &limits
}

// validate gives the first setting that is missing or out of bounds, by its key.
func (p *platformSettings) validate() error {
	for _, check := range []func() error{
		p.validateNames,
		p.validateAddresses,
		p.validateRanges,
		p.validateTeams,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (p *platformSettings) validateNames() error {
	for _, peer := range p.Peers {
		if peer.ControllerID == "" || peer.ControllerID == p.ControllerID {
			return fmt.Errorf("members: %q is no other controller's name", peer.ControllerID)
		}
	}
	if p.ControllerID == "" {
		return errors.New("member: is missing")
	}
	if len(p.ControllerID) > maxControllerIDLength {
		return errors.New("member: is too long")
	}
	return nil
}

func (p *platformSettings) validateAddresses() error {
	addrs := map[string]string{
		"listen":        p.Listen,
		"back":          p.PeerListen,
		"outside.cloud": p.Endpoints.Cloud,
		"outside.state": p.Endpoints.Store,
	}
	for _, peer := range p.Peers {
		addrs["members."+peer.ControllerID+".addr"] = peer.Addr
	}
	for _, key := range step.SortedKeys(addrs) {
		if !isAddress(addrs[key]) {
			return fmt.Errorf("%s: %q is no address of the form IP:PORT", key, addrs[key])
		}
	}
	return nil
}

// isAddress tells whether an address has a port, and an IP address or nothing for its host.
func isAddress(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host != "" && net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 0 && n <= math.MaxUint16
}

func (p *platformSettings) validateRanges() error {
	agents, store, cloud, resources := p.Params.Agents, p.Params.Store, p.Params.Cloud, p.Params.Resources
	next := p.currentLimits()
	if announced := p.announcedLimits(); announced != nil {
		next = *announced
	}
	for _, setting := range []struct {
		key      string
		value    float64
		min, max float64
	}{
		{"params.workers.report_s", agents.HeartbeatSeconds, 0.01, 3600},
		{"params.workers.lease_s", agents.LeaseSeconds, 0.1, 86400},
		{"params.workers.gang_peer_s", agents.GangPeerSeconds, 0, 86400},
		{"params.workers.cancel_s", agents.CancelSeconds, 0.1, 86400},
		{"params.state.rps", store.RPS, 1, 1e6},
		{"params.state.write_rps", store.WriteRPS, 1, 1e6},
		{"params.state.value_kb", store.ValueKB, 2, 1024},
		{"params.state.txn_ops", float64(store.TxnOps), 2, 10000},
		{"params.state.next.write_rps", next.WritesPerSecond, 1, 1e6},
		{"params.state.next.txn_ops", float64(next.TransactionOps), 2, 10000},
		{"params.state.next.value_kb", float64(next.ValueBytes) / bytesPerKB, 1, 1024},
		{"params.cloud.rps", cloud.RPS, 0.01, 1e6},
		{"params.cloud.list_lag_s", cloud.ListLagSeconds, 0, 3600},
		{"params.resources.memory_mb", resources.MemoryMB, 16, 1e7},
		{"params.resources.max_sockets", float64(resources.MaxSockets), 32, 1e7},
	} {
		if math.IsNaN(setting.value) || setting.value < setting.min || setting.value > setting.max {
			return fmt.Errorf("%s: %v is missing or not within %v to %v", setting.key, setting.value, setting.min, setting.max)
		}
	}
	return nil
}

func (p *platformSettings) validateTeams() error {
	if len(p.Params.Teams) == 0 {
		return errors.New("params.teams: is missing")
	}
	for _, team := range p.Params.Teams {
		amounts := []float64{team.GuaranteedCores, team.MaxCores, team.GuaranteedAccelerators, team.MaxAccelerators}
		isBad := func(amount float64) bool { return math.IsNaN(amount) || amount < 0 }
		if team.Name == "" || slices.ContainsFunc(amounts, isBad) {
			return fmt.Errorf("params.teams: %q has a bad name or amount", team.Name)
		}
	}
	return nil
}
