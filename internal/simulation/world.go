package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// World is a deployment in simulated time. Its fields may be set between events. Fault rates
// and fault switches take effect with the next message.
type World struct {
	Now          time.Duration // time since the start of the world
	Rand         *rand.Rand
	Store        *Store
	History      *HistoryChecker
	Rules        *RuleChecker
	Controllers  []*Controller
	Machines     map[protocol.MachineID]*Machine
	Jobs         map[protocol.JobID]*protocol.Job // jobs that users have submitted
	MachineTypes []protocol.MachineType
	Config       step.Config // configuration of controllers that start from now on

	HeartbeatInterval time.Duration
	AgentLeaseTTL     time.Duration
	GangStartTimeout  time.Duration
	ImagePullTime     time.Duration

	// Faults of the network and the outside systems. A rate is the fraction of the messages
	// that have the fault, from 0 to 1.
	DuplicateHeartbeatRate float64                       // heartbeats of which a copy arrives late, at any controller
	PartitionedZones       map[protocol.Zone]*Controller // partitioned zones, each with the controller inside
	MessageLossRate        float64                       // messages that are lost or delayed past the sender's timeout
	DelayedWriteRate       float64                       // transactions that get no reply and are applied 2 to 12 s later
	LostWriteReplyRate     float64                       // transactions that are applied at once and whose replies are lost
	DelayedCommandRate     float64                       // direct commands that get no reply and are executed once, 2 to 16 s late
	RepeatedCommandRate    float64                       // direct commands and replies that reach the agent once more, 0.1 to 20 s late
	MaxStoreDelay          time.Duration                 // upper bound of the additional delay of requests to the store
	MaxNetworkDelay        time.Duration                 // upper bound of the additional delay of messages
	CloudUnreachable       bool
	CloudOutOfCapacity     bool
	CancelAtEndRate        float64 // fraction of the jobs that are cancelled at the moment of their end

	// Observations.
	StartCommandCount int                     // number of start commands that agents have accepted
	FinishedJobs      map[protocol.JobID]bool // jobs whose users know that they have ended
	LogCounts         map[string]int          // number of log lines of all controllers, by message
	RepeatedCommands  int                     // number of direct commands that agents have executed once more
	SavedTaskCounts   map[protocol.JobID]int  // number of tasks that saved their progress when they were stopped
	StepCosts         StepCosts               // cost of the cores' steps, which is not measured if nil

	// Hooks. Each may be nil.
	OnJobEnd    func(protocol.JobID)                                                 // called when the last task of a job is completed
	OnProvision func(*Machine)                                                       // called for each new machine before it boots
	Trace       func(string)                                                         // called with each log line of a controller
	OnEffect    func(at time.Duration, id protocol.ControllerID, effect step.Effect) // called with each effect of a core

	queue             eventQueue
	scheduledCount    int                             // number of events scheduled so far
	machinesByRequest map[string][]protocol.MachineID // machines of each provision request, by its id
	nextMachineID     int
}

var errNoReply = errors.New("no reply")

// SmallAndLargeTypes holds two machine types that are available in two zones.
var SmallAndLargeTypes = []protocol.MachineType{
	{
		Name: "small", Cores: 4, MemoryGB: 16, LocalDiskGB: 20, ImagePullGBPerSecond: 1,
		OnDemandPrice: 0.2, SpotPrice: 0.05, BootSeconds: 3, Zones: []protocol.Zone{"a", "b"},
	},
	{
		Name: "large", Cores: 32, MemoryGB: 64, LocalDiskGB: 20, ImagePullGBPerSecond: 1,
		OnDemandPrice: 1.6, SpotPrice: 0.4, BootSeconds: 3, Zones: []protocol.Zone{"a", "b"},
	},
}

// Limits of the simulated deployment and its store.
const (
	cancelTimeout     = 30 * time.Second
	storeMaxEvents    = 500 // events that the store keeps for watches
	maxValueBytes     = 8192
	maxTransactionOps = 8
)

// NewWorld returns a deployment with the given number of running controllers and no machines.
func NewWorld(seed uint64, controllerCount int, machineTypes []protocol.MachineType, teams map[string]step.Quota) *World {
	w := &World{
		Rand:              rand.New(rand.NewPCG(seed, 11)),
		Store:             NewStore(storeMaxEvents),
		Rules:             NewRuleChecker(cancelTimeout),
		Machines:          map[protocol.MachineID]*Machine{},
		Jobs:              map[protocol.JobID]*protocol.Job{},
		MachineTypes:      machineTypes,
		HeartbeatInterval: 2 * time.Second,
		AgentLeaseTTL:     14 * time.Second,
		GangStartTimeout:  20 * time.Second,
		ImagePullTime:     time.Second,
		PartitionedZones:  map[protocol.Zone]*Controller{},
		FinishedJobs:      map[protocol.JobID]bool{},
		SavedTaskCounts:   map[protocol.JobID]int{},
		LogCounts:         map[string]int{},
		machinesByRequest: map[string][]protocol.MachineID{},
	}
	w.History = NewHistoryChecker(func(violation string) { w.Rules.recordViolation("ownership", "%s", violation) })
	w.Store.OnRevision = w.History.ApplyRevision
	for name, quota := range teams {
		w.Rules.QuotaLimits[name] = quota.MaxCores
	}
	w.Config = step.Config{
		Quotas:            teams,
		HeartbeatInterval: w.HeartbeatInterval,
		AgentLeaseTTL:     w.AgentLeaseTTL,
		GangWaitTimeout:   w.GangStartTimeout,
		GangPeerTimeout:   4 * time.Second,
		CancelTimeout:     w.Rules.CancelTimeout,
		PeerCount:         controllerCount - 1,
		WritesPerSecond:   60,
		TransactionOps:    maxTransactionOps,
		ValueBytes:        maxValueBytes,
		InstanceListLag:   4 * time.Second,
		MinWatchInterval:  40 * time.Millisecond,
		Tuning:            step.DefaultTuning(),
	}
	for i := range controllerCount {
		w.Controllers = append(w.Controllers, &Controller{world: w, ID: controllerID(i), clockDrift: 1 + float64(i)*0.0002})
	}
	for _, controller := range w.Controllers {
		controller.Start()
	}
	w.Every(100*time.Millisecond, func() {
		w.Store.ExpireLeases(w.Now)
		w.Rules.CheckTimeouts(w.Now)
	})
	w.Every(time.Second, w.checkPlaceableJobs)
	return w
}

func controllerID(index int) protocol.ControllerID {
	return protocol.ControllerID(fmt.Sprintf("stall-%d", index))
}

// CoresOfType returns the number of cores of a machine type, or 0 if the type does not exist.
func (w *World) CoresOfType(name protocol.MachineTypeName) float64 {
	for _, machineType := range w.MachineTypes {
		if machineType.Name == name {
			return machineType.Cores
		}
	}
	return 0
}
