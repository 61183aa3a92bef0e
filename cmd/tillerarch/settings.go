package main

import (
	"fmt"
	"hash/fnv"
	"math"
	"net"
	"os"
	"sort"
	"strconv"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/magiconair/properties"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// platformSettings is the settings file that the platform hands over.
type platformSettings struct {
	ControllerID string `toml:"member"`
	Zone         string `toml:"area"`
	Listen       string `toml:"listen"`
	PeerListen   string `toml:"back"`
	Peers        []struct {
		Member string `toml:"member"`
		Addr   string `toml:"addr"`
	} `toml:"members"`
	Endpoints struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"outside"`
	Params struct {
		Teams []struct {
			Name    string  `toml:"name"`
			Cpus    float64 `toml:"cpus"`
			CpusMax float64 `toml:"cpus_max"`
			Gpus    float64 `toml:"gpus"`
			GpusMax float64 `toml:"gpus_max"`
		} `toml:"teams"`
		Workers struct {
			ReportS   float64 `toml:"report_s"`
			LeaseS    float64 `toml:"lease_s"`
			GangPeerS float64 `toml:"gang_peer_s"`
			CancelS   float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			RPS      float64 `toml:"rps"`
			WriteRPS float64 `toml:"write_rps"`
			ValueKB  float64 `toml:"value_kb"`
			TxnOps   int     `toml:"txn_ops"`
			Next     *struct {
				WriteRPS *float64 `toml:"write_rps"`
				ValueKB  *float64 `toml:"value_kb"`
				TxnOps   *int     `toml:"txn_ops"`
			} `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Objectives []struct {
			Kind    string  `toml:"kind"`
			Class   string  `toml:"class"`
			WithinS float64 `toml:"within_s"`
			Times   float64 `toml:"times"`
		} `toml:"objectives"`
		Resources struct {
			MemoryMB   float64 `toml:"memory_mb"`
			MaxSockets int     `toml:"max_sockets"`
		} `toml:"resources"`
	} `toml:"params"`
}

type settings struct {
	listen, peerListen, cloudAddr, storeAddr string
	peerAddrs                                []string
	core                                     step.Config
	storeRPS, cloudRPS                       float64
	memoryMB                                 float64
	maxSockets                               int
	adminListen                              string // of the admin service; empty: there is none
}

func loadSettings(file, propertiesFile string) (*settings, error) {
	var p platformSettings
	if _, err := toml.DecodeFile(file, &p); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	s := &settings{listen: p.Listen, peerListen: p.PeerListen, cloudAddr: p.Endpoints.Cloud, storeAddr: p.Endpoints.State,
		storeRPS: p.Params.State.RPS, cloudRPS: p.Params.Cloud.RPS,
		memoryMB: p.Params.Resources.MemoryMB, maxSockets: p.Params.Resources.MaxSockets}
	if err := validatePlatform(&p); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	operator := operatorSettings{Tuning: step.DefaultTuning()}
	if propertiesFile != "" {
		if err := loadProperties(propertiesFile, &operator); err != nil {
			return nil, fmt.Errorf("%s: %w", propertiesFile, err)
		}
	}
	s.adminListen = operator.adminListen
	hash := fnv.New64a()
	hash.Write([]byte(p.ControllerID))
	agents := p.Params.Workers
	controllers := float64(len(p.Peers) + 1)
	s.core = step.Config{
		ControllerID: protocol.ControllerID(p.ControllerID), Quotas: map[string]step.Quota{},
		HeartbeatInterval: protocol.Seconds(agents.ReportS), AgentLeaseTTL: protocol.Seconds(agents.LeaseS),
		GangPeerTimeout: protocol.Seconds(agents.GangPeerS), CancelTimeout: protocol.Seconds(agents.CancelS),
		PeerCount: len(p.Peers), WritesPerSecond: p.Params.State.WriteRPS, TransactionOps: p.Params.State.TxnOps, ValueBytes: int(p.Params.State.ValueKB * 1024),
		InstanceListLag: protocol.Seconds(p.Params.Cloud.ListLagS), Seed: hash.Sum64() ^ uint64(time.Now().UnixNano()),
		MinWatchInterval: time.Duration(controllers / (0.4 * s.storeRPS) * float64(time.Second)), Tuning: operator.Tuning,
	}
	for _, m := range p.Peers {
		s.peerAddrs = append(s.peerAddrs, m.Addr)
		s.core.PeerIDs = append(s.core.PeerIDs, protocol.ControllerID(m.Member))
	}
	s.core.AnnouncedLimits = p.announcedLimits()
	s.core.Objectives = map[string]step.Objectives{}
	for _, objective := range p.Params.Objectives {
		// What is aimed at only puts jobs in order: a kind that is not known, or an
		// odd number, is left out.
		objectives := s.core.Objectives[objective.Class]
		within := protocol.Seconds(min(objective.WithinS, 1e6))
		switch {
		case objective.Kind == "wait" && objective.WithinS > 0:
			objectives.StartWithin = append(objectives.StartWithin, within)
		case objective.Kind == "finished" && objective.WithinS > 0:
			objectives.FinishWithin = append(objectives.FinishWithin, within)
		case objective.Kind == "deadline" && objective.Times > 0 && objective.Times < 1e3:
			objectives.DeadlineFactors = append(objectives.DeadlineFactors, objective.Times)
		default:
			continue
		}
		s.core.Objectives[objective.Class] = objectives
	}
	for _, team := range p.Params.Teams {
		s.core.Quotas[team.Name] = step.Quota{GuaranteedCores: team.Cpus, MaxCores: team.CpusMax, GuaranteedAccelerators: team.Gpus, MaxAccelerators: team.GpusMax}
	}
	return s, nil
}

func (p *platformSettings) currentLimits() step.WriteLimits {
	store := p.Params.State
	return step.WriteLimits{WritesPerSecond: store.WriteRPS, TransactionOps: store.TxnOps, ValueBytes: int(store.ValueKB * 1024)}
}

// announcedLimits are the announced limits of the state service; what they leave out stays as
// it is. nil: none are announced.
func (p *platformSettings) announcedLimits() *step.WriteLimits {
	store := p.Params.State
	if store.Next == nil {
		return nil
	}
	next := p.currentLimits()
	if store.Next.WriteRPS != nil {
		next.WritesPerSecond = *store.Next.WriteRPS
	}
	if store.Next.TxnOps != nil {
		next.TransactionOps = *store.Next.TxnOps
	}
	if store.Next.ValueKB != nil {
		next.ValueBytes = int(*store.Next.ValueKB * 1024)
	}
	return &next
}

func validatePlatform(p *platformSettings) error {
	addrs := map[string]string{"listen": p.Listen, "back": p.PeerListen, "outside.cloud": p.Endpoints.Cloud, "outside.state": p.Endpoints.State}
	for _, m := range p.Peers {
		if m.Member == "" || m.Member == p.ControllerID {
			return fmt.Errorf("members: %q is no other controller's name", m.Member)
		}
		addrs["members."+m.Member+".addr"] = m.Addr
	}
	if p.ControllerID == "" {
		return fmt.Errorf("member: is missing")
	}
	if len(p.ControllerID) > 100 {
		return fmt.Errorf("member: is too long")
	}
	keys := make([]string, 0, len(addrs))
	for k := range addrs {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		host, port, err := net.SplitHostPort(addrs[k])
		if n, perr := strconv.Atoi(port); err != nil || perr != nil || n < 0 || n > 65535 || host != "" && net.ParseIP(host) == nil {
			return fmt.Errorf("%s: %q is no address of the form IP:PORT", k, addrs[k])
		}
	}
	agents, store := p.Params.Workers, p.Params.State
	next := p.currentLimits()
	if n := p.announcedLimits(); n != nil {
		next = *n
	}
	for _, v := range []struct {
		key      string
		val      float64
		min, max float64
	}{
		{"params.workers.report_s", agents.ReportS, 0.01, 3600}, {"params.workers.lease_s", agents.LeaseS, 0.1, 86400},
		{"params.workers.gang_peer_s", agents.GangPeerS, 0, 86400},
		{"params.workers.cancel_s", agents.CancelS, 0.1, 86400},
		{"params.state.rps", store.RPS, 1, 1e6}, {"params.state.write_rps", store.WriteRPS, 1, 1e6},
		{"params.state.value_kb", store.ValueKB, 2, 1024}, {"params.state.txn_ops", float64(store.TxnOps), 2, 10000},
		{"params.state.next.write_rps", next.WritesPerSecond, 1, 1e6}, {"params.state.next.txn_ops", float64(next.TransactionOps), 2, 10000},
		{"params.state.next.value_kb", float64(next.ValueBytes) / 1024, 1, 1024},
		{"params.cloud.rps", p.Params.Cloud.RPS, 0.01, 1e6}, {"params.cloud.list_lag_s", p.Params.Cloud.ListLagS, 0, 3600},
		{"params.resources.memory_mb", p.Params.Resources.MemoryMB, 16, 1e7},
		{"params.resources.max_sockets", float64(p.Params.Resources.MaxSockets), 32, 1e7},
	} {
		if math.IsNaN(v.val) || v.val < v.min || v.val > v.max {
			return fmt.Errorf("%s: %v is missing or not within %v to %v", v.key, v.val, v.min, v.max)
		}
	}
	if len(p.Params.Teams) == 0 {
		return fmt.Errorf("params.teams: is missing")
	}
	for _, t := range p.Params.Teams {
		for _, v := range []float64{t.Cpus, t.CpusMax, t.Gpus, t.GpusMax} {
			if t.Name == "" || math.IsNaN(v) || v < 0 {
				return fmt.Errorf("params.teams: %q has a bad name or amount", t.Name)
			}
		}
	}
	return nil
}

// operatorSettings are those that an operator may set in the properties file.
type operatorSettings struct {
	step.Tuning
	adminListen string
}

// loadProperties reads the operators' own settings over the defaults.
func loadProperties(file string, operator *operatorSettings) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	l := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	p, err := l.LoadBytes(b)
	if err != nil {
		return err
	}
	durations := map[string]*time.Duration{
		"hold.ttl": &operator.LeaseTTL, "flush.gap": &operator.MinCommitInterval, "beat.hold": &operator.MaxResponseDelay, "idle.hold": &operator.MaxIdleResponseDelay, "user.wait": &operator.UserRequestTimeout,
		"paid.minimum": &operator.MinMachineAge, "boot.extra": &operator.BootTimeoutMargin, "silent.return": &operator.SilentScaleInDelay,
		"spot.window": &operator.SpotPriceWindow, "spot.period": &operator.SpotPeriod, "spot.margin": &operator.SpotPeriodEndMargin, "spot.check": &operator.PriceCheckInterval,
		"capacity.pause": &operator.NoCapacityBackoff, "list.every": &operator.InstanceListInterval, "list.silent": &operator.SilentInstanceListInterval,
		"age.after": &operator.AgingThreshold, "balance.gap": &operator.MinRebalanceInterval,
	}
	numbers := map[string]*float64{"write.share": &operator.WriteBudgetShare, "boot.factor": &operator.BootTimeoutFactor, "spot.loss": &operator.SpotPreemptionsPerHour, "idle.factor": &operator.IdleTimeoutFactor}
	fractions := map[string]*float64{"moves.by-demand": &operator.RebalanceDemandWeight}
	switches := map[string]*bool{"moves.recorded": &operator.RecordTransfers}
	counts := map[string]*int{"spot.cap": &operator.MaxSpotMachines, "hire.cap": &operator.MaxProvisionCount}
	for _, k := range p.Keys() {
		v, _ := p.Get(k)
		var err error
		if k == "admin.listen" {
			operator.adminListen, err = v, validateLoopback(v)
		} else if d := durations[k]; d != nil {
			if *d, err = time.ParseDuration(v); err == nil && (*d < 0 || *d == 0 && k != "spot.margin") {
				err = fmt.Errorf("%q is not above zero", v)
			}
		} else if f := numbers[k]; f != nil {
			if *f, err = strconv.ParseFloat(v, 64); err == nil && !(*f > 0 && *f <= 100) {
				err = fmt.Errorf("%q is not within 0 to 100", v)
			}
		} else if f := fractions[k]; f != nil {
			if *f, err = strconv.ParseFloat(v, 64); err == nil && !(*f >= 0 && *f <= 1) {
				err = fmt.Errorf("%q is not within 0 to 1", v)
			}
		} else if enabled := switches[k]; enabled != nil {
			if *enabled, err = strconv.ParseBool(v); err != nil {
				err = fmt.Errorf("%q is neither true nor false", v)
			}
		} else if n := counts[k]; n != nil {
			if *n, err = strconv.Atoi(v); err == nil && *n < 0 {
				err = fmt.Errorf("%q is below zero", v)
			}
		} else {
			err = fmt.Errorf("no such setting")
		}
		if err != nil {
			return fmt.Errorf("%s: %w", k, err)
		}
	}
	return nil
}

// validateLoopback refuses an address that others than this machine's users could reach: the
// admin service knows no users.
func validateLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%q is no address of the form IP:PORT", address)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%q is no loopback address", address)
	}
	return nil
}
