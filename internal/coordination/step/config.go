package step

import (
	"time"

	"tillerarch/internal/protocol"
)

// AttemptBlockSize is how many attempt numbers the owner of a job reserves with one write.
const AttemptBlockSize = 1 << 10

// Quota is what a team is guaranteed and what it may use at most, in cores and accelerators;
// 0 means none.
type Quota struct {
	GuaranteedCores, MaxCores, GuaranteedAccelerators, MaxAccelerators float64
}

// HasLimit tells whether the use of a team is limited at all.
func (q Quota) HasLimit() bool { return q.MaxCores > 0 || q.MaxAccelerators > 0 }

// Objectives are the service-level objectives of a class of jobs, as the platform states them.
// A class may have several of each kind.
type Objectives struct {
	StartWithin     []time.Duration // from submission to the start of a task
	FinishWithin    []time.Duration // from submission to the end of the job
	DeadlineFactors []float64       // multiples of a job's deadline within which it is to end
}

// Config is what the platform and the operator set.
type Config struct {
	ControllerID protocol.ControllerID
	PeerCount    int                     // number of other controllers
	PeerIDs      []protocol.ControllerID // of the other controllers
	Quotas       map[string]Quota        // by team
	Objectives   map[string]Objectives   // by class of jobs

	HeartbeatInterval time.Duration // between the heartbeats of an agent
	AgentLeaseTTL     time.Duration // from the last answered heartbeat until the agent kills its tasks
	GangPeerTimeout   time.Duration // tasks of a gang fail this long after they lost one of their peers
	CancelTimeout     time.Duration // from the cancellation of a job to the end of its tasks

	WritesPerSecond  float64       // operations that the store accepts from all controllers together
	TransactionOps   int           // operations that the store accepts in a transaction
	ValueBytes       int           // size of a value that the store accepts
	AnnouncedLimits  *WriteLimits  // limits of the store that may hold at any time from now on; nil: none
	MinWatchInterval time.Duration // between watch requests, as each counts against the store's limits

	InstanceListLag time.Duration // by which the cloud's list of instances may be behind
	Seed            uint64        // of all random decisions

	Tuning
}

// CurrentLimits are the store's limits before any that are announced.
func (cfg *Config) CurrentLimits() WriteLimits {
	return WriteLimits{
		WritesPerSecond: cfg.WritesPerSecond,
		TransactionOps:  cfg.TransactionOps,
		ValueBytes:      cfg.ValueBytes,
	}
}

// Tuning is what an operator may change in the properties file; docs/operations.md has the
// properties.
type Tuning struct {
	// The key-value store.

	LeaseTTL          time.Duration // of an incarnation: how long others wait before they take over
	MinCommitInterval time.Duration // between plans, whose changes can wait
	WriteBudgetShare  float64       // fraction of the store's write limit that one controller uses

	// Responses.

	MaxResponseDelay     time.Duration // for which the response to a heartbeat with news waits for the write
	MaxIdleResponseDelay time.Duration // for which the response to an idle machine waits for a task
	UserRequestTimeout   time.Duration // until a user's request gets its final response

	// Scale-in.

	IdleTimeoutFactor  float64       // idle timeout, as a multiple of the time to provision a like machine
	MinMachineAge      time.Duration // before which an idle machine is not scaled in
	BootTimeoutFactor  float64       // boot timeout, as a multiple of the machine type's boot time
	BootTimeoutMargin  time.Duration // added to that multiple
	SilentScaleInDelay time.Duration // from the expiry of the agent's lease until a silent machine is scaled in

	// Spot machines.

	SpotPriceWindow        time.Duration // over which spot prices are judged
	SpotPeriod             time.Duration // periods of a spot machine's age, with an offset of its own
	SpotPeriodEndMargin    time.Duration // before the end of such a period, in which no task is placed there
	PriceCheckInterval     time.Duration // between reads of the prices
	MaxSpotMachines        int           // in use at once
	SpotPreemptionsPerHour float64       // expected preemptions of a spot machine in an hour

	// Scheduling and scale-out.

	AgingThreshold       time.Duration // waiting time after which a job that has not started goes before all others
	MaxProvisionCount    int           // machines in one provision request
	NoCapacityBackoff    time.Duration // between provision requests of a type that the cloud has no capacity for
	InstanceListInterval time.Duration // between reads of the cloud's list of instances
	// SilentInstanceListInterval replaces InstanceListInterval while an owned machine is silent.
	SilentInstanceListInterval time.Duration

	// Rebalancing.

	MinRebalanceInterval  time.Duration // between transfers to controllers that own less, and between merges of shards
	RecordTransfers       bool          // shards are quiesced before a transfer, and transfers are on record
	RebalanceDemandWeight float64       // fraction of a controller's share of machines that follows its jobs' demand
}

// DefaultTuning holds the values chosen by measurement; docs/operations.md says how.
func DefaultTuning() Tuning {
	return Tuning{
		LeaseTTL:          6 * time.Second,
		MinCommitInterval: 250 * time.Millisecond,
		WriteBudgetShare:  0.6,

		MaxResponseDelay:     700 * time.Millisecond,
		MaxIdleResponseDelay: 2500 * time.Millisecond,
		UserRequestTimeout:   1500 * time.Millisecond,

		IdleTimeoutFactor:  2,
		MinMachineAge:      60 * time.Second,
		BootTimeoutFactor:  2,
		BootTimeoutMargin:  15 * time.Second,
		SilentScaleInDelay: 15 * time.Second,

		SpotPriceWindow:        60 * time.Second,
		SpotPeriod:             300 * time.Second,
		SpotPeriodEndMargin:    10 * time.Second,
		PriceCheckInterval:     10 * time.Second,
		MaxSpotMachines:        5000,
		SpotPreemptionsPerHour: 4,

		AgingThreshold:             120 * time.Second,
		MaxProvisionCount:          50,
		NoCapacityBackoff:          12 * time.Second,
		InstanceListInterval:       10 * time.Second,
		SilentInstanceListInterval: 2500 * time.Millisecond,

		MinRebalanceInterval: 3 * time.Second,
	}
}
