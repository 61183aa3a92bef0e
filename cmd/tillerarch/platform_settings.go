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

// bytesPerKB is the number of bytes in a kilobyte of the platform's settings.
const bytesPerKB = 1024

// maxControllerIDLength is the maximum length of a controller's ID in bytes. It is limited because
// the ID is part of stored keys.
const maxControllerIDLength = 100

// platformSettings is the content of the settings file that the platform provides.
type platformSettings struct {
	ControllerID string           `toml:"member"`
	Zone         string           `toml:"area"`
	Listen       string           `toml:"listen"`
	PeerListen   string           `toml:"back"` // address for other controllers
	Peers        []peerSettings   `toml:"members"`
	Endpoints    endpointSettings `toml:"outside"`
	Params       paramSettings    `toml:"params"`
}

// peerSettings describes another controller of the deployment.
type peerSettings struct {
	ControllerID string `toml:"member"`
	Addr         string `toml:"addr"`
}

// endpointSettings holds the addresses of the services that a controller uses.
type endpointSettings struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"`
}

// paramSettings holds the limits, times and quotas of the deployment.
type paramSettings struct {
	Teams      []teamSettings      `toml:"teams"`
	Agents     agentSettings       `toml:"workers"`
	Store      storeSettings       `toml:"state"`
	Cloud      cloudSettings       `toml:"cloud"`
	Objectives []objectiveSettings `toml:"objectives"`
	Resources  resourceSettings    `toml:"resources"`
}

// teamSettings holds the quota of a team.
type teamSettings struct {
	Name                   string  `toml:"name"`
	GuaranteedCores        float64 `toml:"cpus"`
	MaxCores               float64 `toml:"cpus_max"`
	GuaranteedAccelerators float64 `toml:"gpus"`
	MaxAccelerators        float64 `toml:"gpus_max"`
}

// agentSettings holds the intervals and timeouts of the machines' agents.
type agentSettings struct {
	HeartbeatSeconds float64 `toml:"report_s"`
	LeaseSeconds     float64 `toml:"lease_s"`
	GangWaitSeconds  float64 `toml:"gang_wait_s"`
	GangPeerSeconds  float64 `toml:"gang_peer_s"`
	CancelSeconds    float64 `toml:"cancel_s"`
}

// storeSettings holds the limits of the key-value store.
type storeSettings struct {
	RPS      float64               `toml:"rps"`
	WriteRPS float64               `toml:"write_rps"`
	ValueKB  float64               `toml:"value_kb"`
	TxnOps   int                   `toml:"txn_ops"`
	Next     *announcedStoreLimits `toml:"next"`
}

// announcedStoreLimits holds limits that the store will have. The current limit stays in force for
// a field that is nil.
type announcedStoreLimits struct {
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// cloudSettings holds the rate limit of the cloud's API and the delay of its list of instances.
type cloudSettings struct {
	RPS            float64 `toml:"rps"`
	ListLagSeconds float64 `toml:"list_lag_s"`
}

// objectiveSettings describes an objective of a job class.
type objectiveSettings struct {
	Kind          string  `toml:"kind"`
	Class         string  `toml:"class"`
	WithinSeconds float64 `toml:"within_s"`
	Times         float64 `toml:"times"` // multiple of the job's deadline
}

// resourceSettings holds the limits of the resources that this process may use.
type resourceSettings struct {
	MemoryMB   float64 `toml:"memory_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// currentLimits returns the limits that the store enforces now.
func (p *platformSettings) currentLimits() step.WriteLimits {
	store := p.Params.Store
	return step.WriteLimits{
		WritesPerSecond: store.WriteRPS,
		TransactionOps:  store.TxnOps,
		ValueBytes:      int(store.ValueKB * bytesPerKB),
	}
}

// announcedLimits returns the announced limits of the store, completed with the current limits. It
// returns nil if no limits are announced.
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

// validate returns an error that names the key of the first setting that is missing or invalid, or
// nil if all settings are valid.
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

// validateNames checks the names of this controller and of the other controllers.
func (p *platformSettings) validateNames() error {
	for _, peer := range p.Peers {
		if peer.ControllerID == "" || peer.ControllerID == p.ControllerID {
			return fmt.Errorf("members: %q is empty or the name of this controller", peer.ControllerID)
		}
	}
	if p.ControllerID == "" {
		return errors.New("member: is missing")
	}
	if len(p.ControllerID) > maxControllerIDLength {
		return fmt.Errorf("member: %q is longer than %d bytes", p.ControllerID, maxControllerIDLength)
	}
	return nil
}

// validateAddresses checks the form of all addresses.
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
			return fmt.Errorf("%s: %q is not an address of the form IP:PORT", key, addrs[key])
		}
	}
	return nil
}

// isAddress reports whether addr consists of a host, which is an IP address or empty, and a port
// number.
func isAddress(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host != "" && net.ParseIP(host) == nil {
		return false
	}
	portNumber, err := strconv.Atoi(port)
	return err == nil && portNumber >= 0 && portNumber <= math.MaxUint16
}

// validateRanges checks that the numbers that the controller depends on are within their bounds.
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
		{"params.workers.gang_wait_s", agents.GangWaitSeconds, 0, 86400},
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

// validateTeams checks that there are teams and that each has a name and valid amounts.
func (p *platformSettings) validateTeams() error {
	if len(p.Params.Teams) == 0 {
		return errors.New("params.teams: is missing")
	}
	for _, team := range p.Params.Teams {
		amounts := []float64{team.GuaranteedCores, team.MaxCores, team.GuaranteedAccelerators, team.MaxAccelerators}
		isInvalid := func(amount float64) bool { return math.IsNaN(amount) || amount < 0 }
		if team.Name == "" || slices.ContainsFunc(amounts, isInvalid) {
			return fmt.Errorf("params.teams: team %q has an empty name, or an amount that is negative or not a number", team.Name)
		}
	}
	return nil
}
