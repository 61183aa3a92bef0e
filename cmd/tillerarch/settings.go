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

	"tillerarch/internal/coordination"
	"tillerarch/internal/protocol"
)

// platform is the settings file that the platform hands over.
type platform struct {
	Member  string `toml:"member"`
	Area    string `toml:"area"`
	Listen  string `toml:"listen"`
	Back    string `toml:"back"`
	Members []struct {
		Member string `toml:"member"`
		Addr   string `toml:"addr"`
	} `toml:"members"`
	Outside struct {
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
	listen, back, cloud, state string
	peers                      []string
	core                       coordination.Config
	stateRPS, cloudRPS         float64
	memoryMB                   float64
	maxSockets                 int
	adminListen                string // of the admin service; empty: there is none
}

func loadSettings(file, propsFile string) (*settings, error) {
	var p platform
	if _, err := toml.DecodeFile(file, &p); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	s := &settings{listen: p.Listen, back: p.Back, cloud: p.Outside.Cloud, state: p.Outside.State,
		stateRPS: p.Params.State.RPS, cloudRPS: p.Params.Cloud.RPS,
		memoryMB: p.Params.Resources.MemoryMB, maxSockets: p.Params.Resources.MaxSockets}
	if err := checkPlatform(&p); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	own := ownSettings{Tuning: coordination.DefaultTuning()}
	if propsFile != "" {
		if err := loadProperties(propsFile, &own); err != nil {
			return nil, fmt.Errorf("%s: %w", propsFile, err)
		}
	}
	s.adminListen = own.adminListen
	h := fnv.New64a()
	h.Write([]byte(p.Member))
	w := p.Params.Workers
	n := float64(len(p.Members) + 1)
	s.core = coordination.Config{
		Member: protocol.Member(p.Member), Teams: map[string]coordination.Team{},
		Report: protocol.Seconds(w.ReportS), Lease: protocol.Seconds(w.LeaseS),
		GangPeer: protocol.Seconds(w.GangPeerS), Cancel: protocol.Seconds(w.CancelS),
		Peers: len(p.Members), WriteRPS: p.Params.State.WriteRPS, TxnOps: p.Params.State.TxnOps, ValueBytes: int(p.Params.State.ValueKB * 1024),
		ListLag: protocol.Seconds(p.Params.Cloud.ListLagS), Seed: h.Sum64() ^ uint64(time.Now().UnixNano()),
		FollowGap: time.Duration(n / (0.4 * s.stateRPS) * float64(time.Second)), Tuning: own.Tuning,
	}
	for _, m := range p.Members {
		s.peers = append(s.peers, m.Addr)
		s.core.Members = append(s.core.Members, protocol.Member(m.Member))
	}
	s.core.NextLimits = p.nextLimits()
	s.core.Aims = map[string]coordination.Aims{}
	for _, o := range p.Params.Objectives {
		// What is aimed at only puts jobs in order: a kind that is not known, or an
		// odd number, is left out.
		a := s.core.Aims[o.Class]
		within := protocol.Seconds(min(o.WithinS, 1e6))
		switch {
		case o.Kind == "wait" && o.WithinS > 0:
			a.Wait = append(a.Wait, within)
		case o.Kind == "finished" && o.WithinS > 0:
			a.Finished = append(a.Finished, within)
		case o.Kind == "deadline" && o.Times > 0 && o.Times < 1e3:
			a.Times = append(a.Times, o.Times)
		default:
			continue
		}
		s.core.Aims[o.Class] = a
	}
	for _, t := range p.Params.Teams {
		s.core.Teams[t.Name] = coordination.Team{Cores: t.Cpus, CoresMax: t.CpusMax, Accels: t.Gpus, AccelsMax: t.GpusMax}
	}
	return s, nil
}

func (p *platform) todaysLimits() coordination.WriteLimits {
	st := p.Params.State
	return coordination.WriteLimits{RPS: st.WriteRPS, TxnOps: st.TxnOps, ValueBytes: int(st.ValueKB * 1024)}
}

// nextLimits are the announced limits of the state service; what they leave out stays as
// it is. nil: none are announced.
func (p *platform) nextLimits() *coordination.WriteLimits {
	st := p.Params.State
	if st.Next == nil {
		return nil
	}
	next := p.todaysLimits()
	if st.Next.WriteRPS != nil {
		next.RPS = *st.Next.WriteRPS
	}
	if st.Next.TxnOps != nil {
		next.TxnOps = *st.Next.TxnOps
	}
	if st.Next.ValueKB != nil {
		next.ValueBytes = int(*st.Next.ValueKB * 1024)
	}
	return &next
}

func checkPlatform(p *platform) error {
	addrs := map[string]string{"listen": p.Listen, "back": p.Back, "outside.cloud": p.Outside.Cloud, "outside.state": p.Outside.State}
	for _, m := range p.Members {
		if m.Member == "" || m.Member == p.Member {
			return fmt.Errorf("members: %q is no other controller's name", m.Member)
		}
		addrs["members."+m.Member+".addr"] = m.Addr
	}
	if p.Member == "" {
		return fmt.Errorf("member: is missing")
	}
	if len(p.Member) > 100 {
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
	w, st := p.Params.Workers, p.Params.State
	next := p.todaysLimits()
	if n := p.nextLimits(); n != nil {
		next = *n
	}
	for _, v := range []struct {
		key      string
		val      float64
		min, max float64
	}{
		{"params.workers.report_s", w.ReportS, 0.01, 3600}, {"params.workers.lease_s", w.LeaseS, 0.1, 86400},
		{"params.workers.gang_peer_s", w.GangPeerS, 0, 86400},
		{"params.workers.cancel_s", w.CancelS, 0.1, 86400},
		{"params.state.rps", st.RPS, 1, 1e6}, {"params.state.write_rps", st.WriteRPS, 1, 1e6},
		{"params.state.value_kb", st.ValueKB, 2, 1024}, {"params.state.txn_ops", float64(st.TxnOps), 2, 10000},
		{"params.state.next.write_rps", next.RPS, 1, 1e6}, {"params.state.next.txn_ops", float64(next.TxnOps), 2, 10000},
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

// ownSettings are those that an operator may set in the properties file.
type ownSettings struct {
	coordination.Tuning
	adminListen string
}

// loadProperties reads the operators' own settings over the defaults.
func loadProperties(file string, t *ownSettings) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	l := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	p, err := l.LoadBytes(b)
	if err != nil {
		return err
	}
	dur := map[string]*time.Duration{
		"hold.ttl": &t.HoldTTL, "flush.gap": &t.FlushGap, "beat.hold": &t.ReportHold, "idle.hold": &t.IdleHold, "user.wait": &t.UserWait,
		"paid.minimum": &t.MinPaid, "boot.extra": &t.BootExtra, "silent.return": &t.SilentReturn,
		"spot.window": &t.SpotWindow, "spot.period": &t.SpotPeriod, "spot.margin": &t.SpotMargin, "spot.check": &t.SpotCheck,
		"capacity.pause": &t.NoCapacity, "list.every": &t.ListEvery, "list.silent": &t.ListSilent,
		"age.after": &t.AgeAfter, "balance.gap": &t.BalanceGap,
	}
	num := map[string]*float64{"write.share": &t.WriteShare, "boot.factor": &t.BootFactor, "spot.loss": &t.SpotLoss, "idle.factor": &t.IdleFactor}
	part := map[string]*float64{"moves.by-demand": &t.MoveByDemand}
	toggle := map[string]*bool{"moves.recorded": &t.RecordMoves}
	count := map[string]*int{"spot.cap": &t.SpotCap, "hire.cap": &t.RentalCap}
	for _, k := range p.Keys() {
		v, _ := p.Get(k)
		var err error
		if k == "admin.listen" {
			t.adminListen, err = v, checkLoopback(v)
		} else if d := dur[k]; d != nil {
			if *d, err = time.ParseDuration(v); err == nil && (*d < 0 || *d == 0 && k != "spot.margin") {
				err = fmt.Errorf("%q is not above zero", v)
			}
		} else if f := num[k]; f != nil {
			if *f, err = strconv.ParseFloat(v, 64); err == nil && !(*f > 0 && *f <= 100) {
				err = fmt.Errorf("%q is not within 0 to 100", v)
			}
		} else if f := part[k]; f != nil {
			if *f, err = strconv.ParseFloat(v, 64); err == nil && !(*f >= 0 && *f <= 1) {
				err = fmt.Errorf("%q is not within 0 to 1", v)
			}
		} else if on := toggle[k]; on != nil {
			if *on, err = strconv.ParseBool(v); err != nil {
				err = fmt.Errorf("%q is neither true nor false", v)
			}
		} else if n := count[k]; n != nil {
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

// checkLoopback refuses an address that others than this machine's users could reach: the
// admin service knows no users.
func checkLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%q is no address of the form IP:PORT", address)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%q is no loopback address", address)
	}
	return nil
}
