package main

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/BurntSushi/toml"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

const (
	// watchRateFraction is the part of the store's request rate that all controllers' watches take.
	watchRateFraction = 0.4

	// maxObjectiveSeconds bounds the times of objectives, which may be any number.
	maxObjectiveSeconds = 1e6

	// maxDeadlineFactor is above any factor of an estimated run time that makes sense.
	maxDeadlineFactor = 1e3
)

// Kinds of objectives in the platform's settings.
const (
	objectiveWait     = "wait"
	objectiveFinished = "finished"
	objectiveDeadline = "deadline"
)

// settings are what the daemon runs with.
type settings struct {
	listen, peerListen, cloudAddr, storeAddr string
	peerAddrs                                []string
	core                                     step.Config
	storeRPS, cloudRPS                       float64 // requests a second of all controllers together
	memoryMB                                 float64
	maxSockets                               int
	adminListen                              string // of the admin service; empty: there is none
}

// loadSettings reads the platform's settings file and, if one is named, the operators' properties.
func loadSettings(file, propertiesFile string) (*settings, error) {
	var platform platformSettings
	if _, err := toml.DecodeFile(file, &platform); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if err := platform.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	operator := operatorSettings{Tuning: step.DefaultTuning()}
	if propertiesFile != "" {
		if err := operator.loadProperties(propertiesFile); err != nil {
			return nil, fmt.Errorf("%s: %w", propertiesFile, err)
		}
	}
	s := &settings{
		listen:      platform.Listen,
		peerListen:  platform.PeerListen,
		cloudAddr:   platform.Endpoints.Cloud,
		storeAddr:   platform.Endpoints.Store,
		core:        platform.coreConfig(operator.Tuning),
		storeRPS:    platform.Params.Store.RPS,
		cloudRPS:    platform.Params.Cloud.RPS,
		memoryMB:    platform.Params.Resources.MemoryMB,
		maxSockets:  platform.Params.Resources.MaxSockets,
		adminListen: operator.adminListen,
	}
	for _, peer := range platform.Peers {
		s.peerAddrs = append(s.peerAddrs, peer.Addr)
	}
	return s, nil
}

// coreConfig is the configuration of the core.
func (p *platformSettings) coreConfig(tuning step.Tuning) step.Config {
	agents, limits := p.Params.Agents, p.currentLimits()
	controllers := float64(len(p.Peers) + 1)
	config := step.Config{
		ControllerID:      protocol.ControllerID(p.ControllerID),
		PeerCount:         len(p.Peers),
		Quotas:            p.quotas(),
		Objectives:        p.objectives(),
		HeartbeatInterval: protocol.Seconds(agents.HeartbeatSeconds),
		AgentLeaseTTL:     protocol.Seconds(agents.LeaseSeconds),
		GangPeerTimeout:   protocol.Seconds(agents.GangPeerSeconds),
		CancelTimeout:     protocol.Seconds(agents.CancelSeconds),
		WritesPerSecond:   limits.WritesPerSecond,
		TransactionOps:    limits.TransactionOps,
		ValueBytes:        limits.ValueBytes,
		AnnouncedLimits:   p.announcedLimits(),
		InstanceListLag:   protocol.Seconds(p.Params.Cloud.ListLagSeconds),
		MinWatchInterval:  time.Duration(controllers / (watchRateFraction * p.Params.Store.RPS) * float64(time.Second)),
		Seed:              newSeed(p.ControllerID),
		Tuning:            tuning,
	}
	for _, peer := range p.Peers {
		config.PeerIDs = append(config.PeerIDs, protocol.ControllerID(peer.ControllerID))
	}
	return config
}

// newSeed differs between controllers, and between the incarnations of one.
func newSeed(controllerID string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(controllerID))
	return hash.Sum64() ^ uint64(time.Now().UnixNano())
}

// quotas are the teams' quotas by the teams' names.
func (p *platformSettings) quotas() map[string]step.Quota {
	quotas := map[string]step.Quota{}
	for _, team := range p.Params.Teams {
		quotas[team.Name] = step.Quota{
			GuaranteedCores:        team.GuaranteedCores,
			MaxCores:               team.MaxCores,
			GuaranteedAccelerators: team.GuaranteedAccelerators,
			MaxAccelerators:        team.MaxAccelerators,
		}
	}
	return quotas
}

// objectives are the objectives of the classes of jobs. They only put jobs in order: a kind that
// is not known, or an odd number, is left out.
func (p *platformSettings) objectives() map[string]step.Objectives {
	byClass := map[string]step.Objectives{}
	for _, objective := range p.Params.Objectives {
		objectives := byClass[objective.Class]
		within := protocol.Seconds(min(objective.WithinSeconds, maxObjectiveSeconds))
		switch {
		case objective.Kind == objectiveWait && objective.WithinSeconds > 0:
			objectives.StartWithin = append(objectives.StartWithin, within)
		case objective.Kind == objectiveFinished && objective.WithinSeconds > 0:
			objectives.FinishWithin = append(objectives.FinishWithin, within)
		case objective.Kind == objectiveDeadline && objective.Times > 0 && objective.Times < maxDeadlineFactor:
			objectives.DeadlineFactors = append(objectives.DeadlineFactors, objective.Times)
		default:
			continue
		}
		byClass[objective.Class] = objectives
	}
	return byClass
}
