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
	// watchRateFraction is the fraction of the store's request rate that the watches of all
	// controllers use together.
	watchRateFraction = 0.4

	// maxObjectiveSeconds replaces any longer time of an objective, because the settings file may
	// contain any number.
	maxObjectiveSeconds = 1e6

	// maxDeadlineFactor is greater than any reasonable multiple of a job's deadline. An objective
	// with this multiple or a greater one is ignored.
	maxDeadlineFactor = 1e3
)

// Kinds of objectives in the platform's settings.
const (
	objectiveWait     = "wait"
	objectiveFinished = "finished"
	objectiveDeadline = "deadline"
)

// daemonSettings holds the settings of the daemon and of its core.
type daemonSettings struct {
	listen, peerListen, cloudAddr, storeAddr string
	peerAddrs                                []string
	core                                     step.Config
	storeRPS, cloudRPS                       float64 // requests per second of all controllers together
	memoryMB                                 float64
	maxSockets                               int
	adminListen                              string // address of the admin service; empty if there is none
}

// loadSettings reads the platform's settings file and, if propertiesFile is not empty, the
// operators' properties. Its errors name the file and, for an invalid setting, the key.
func loadSettings(file, propertiesFile string) (*daemonSettings, error) {
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
	settings := &daemonSettings{
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
		settings.peerAddrs = append(settings.peerAddrs, peer.Addr)
	}
	return settings, nil
}

// coreConfig returns the configuration of the core.
func (p *platformSettings) coreConfig(tuning step.Tuning) step.Config {
	agents, limits := p.Params.Agents, p.currentLimits()
	controllerCount := float64(len(p.Peers) + 1)
	config := step.Config{
		ControllerID:      protocol.ControllerID(p.ControllerID),
		PeerCount:         len(p.Peers),
		Quotas:            p.quotas(),
		Objectives:        p.objectives(),
		HeartbeatInterval: protocol.Seconds(agents.HeartbeatSeconds),
		AgentLeaseTTL:     protocol.Seconds(agents.LeaseSeconds),
		GangWaitTimeout:   protocol.Seconds(agents.GangWaitSeconds),
		GangPeerTimeout:   protocol.Seconds(agents.GangPeerSeconds),
		CancelTimeout:     protocol.Seconds(agents.CancelSeconds),
		WritesPerSecond:   limits.WritesPerSecond,
		TransactionOps:    limits.TransactionOps,
		ValueBytes:        limits.ValueBytes,
		AnnouncedLimits:   p.announcedLimits(),
		InstanceListLag:   protocol.Seconds(p.Params.Cloud.ListLagSeconds),
		MinWatchInterval:  time.Duration(controllerCount / (watchRateFraction * p.Params.Store.RPS) * float64(time.Second)),
		Seed:              newSeed(p.ControllerID),
		Tuning:            tuning,
	}
	for _, peer := range p.Peers {
		config.PeerIDs = append(config.PeerIDs, protocol.ControllerID(peer.ControllerID))
	}
	return config
}

// newSeed returns a seed of random decisions. It differs between controllers and between the
// incarnations of a controller.
func newSeed(controllerID string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(controllerID))
	return hash.Sum64() ^ uint64(time.Now().UnixNano())
}

// quotas returns the quotas of the teams by team name.
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

// objectives returns the objectives by job class. It omits objectives of an unknown kind or with a
// number out of range, because objectives only determine the order of jobs.
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
