package step

import (
	"time"

	"tillerarch/internal/protocol"
)

// AttemptBlockSize is the number of attempt numbers that the owner of a job reserves with one
// write.
const AttemptBlockSize = 1 << 10

// Quota holds the cores and accelerators that a team is guaranteed and the most that the team may
// use. A zero guarantee guarantees nothing. A zero maximum sets no limit.
type Quota struct {
	GuaranteedCores, MaxCores, GuaranteedAccelerators, MaxAccelerators float64
}

// HasLimit reports whether the quota limits the cores or the accelerators of a team.
func (q Quota) HasLimit() bool { return q.MaxCores > 0 || q.MaxAccelerators > 0 }

// Objectives holds the service-level objectives of a job class, as the platform file states them.
// A class may have several objectives of each kind.
type Objectives struct {
	StartWithin     []time.Duration // from submission to the start of a task
	FinishWithin    []time.Duration // from submission to the end of the job
	DeadlineFactors []float64       // the job ends within these multiples of its deadline
}

// Config holds the settings of the platform and of the operator.
type Config struct {
	ControllerID protocol.ControllerID
	PeerCount    int                     // number of other controllers
	PeerIDs      []protocol.ControllerID // of the other controllers
	Quotas       map[string]Quota        // by team
	Objectives   map[string]Objectives   // by job class

	HeartbeatInterval time.Duration // between the heartbeats of an agent
	AgentLeaseTTL     time.Duration // from the last answered heartbeat until the agent kills its tasks
	GangWaitTimeout   time.Duration // from when a task of a gang has its image until it exits without the others
	GangPeerTimeout   time.Duration // from the loss of one task of a gang until the other tasks fail
	CancelTimeout     time.Duration // from the cancellation of a job to the end of its tasks

	WritesPerSecond  float64       // operations that the store accepts from all controllers together
	TransactionOps   int           // operations that the store accepts in a transaction
	ValueBytes       int           // largest value that the store accepts
	AnnouncedLimits  *WriteLimits  // limits that the store may begin to enforce at any time; nil if none are announced
	MinWatchInterval time.Duration // between watch requests, because each one counts against the store's limits

	InstanceListLag time.Duration // the cloud's list of instances may be out of date by this much
	Seed            uint64        // of all random decisions

	Tuning
}

// CurrentLimits returns the store's limits that apply until the announced limits do. Values stay so small that
// a transaction holds two of them, which the addition of a machine needs.
func (cfg *Config) CurrentLimits() WriteLimits {
	const maxValueBytes = 30 << 10
	return WriteLimits{
		WritesPerSecond: cfg.WritesPerSecond,
		TransactionOps:  cfg.TransactionOps,
		ValueBytes:      min(cfg.ValueBytes, maxValueBytes),
	}
}

// Tuning holds the settings that an operator may change in the properties file. The properties are
// described in docs/operations.md.
type Tuning struct {
	// The key-value store.

	LeaseTTL          time.Duration // of an incarnation; other controllers wait this long before they take over
	MinCommitInterval time.Duration // between plans, whose changes are not urgent
	WriteBudgetShare  float64       // fraction of the store's write limit that one controller uses

	// Responses.

	// MaxResponseDelay is how long the response to a heartbeat with news may wait for the resulting
	// write. It may wait longer if HeartbeatInterval is long.
	MaxResponseDelay     time.Duration
	MaxIdleResponseDelay time.Duration // the response to an idle machine may wait this long for a task
	UserRequestTimeout   time.Duration // until a user's request gets its final response

	// Scale-in.

	IdleTimeoutFactor  float64       // idle timeout, as a multiple of the time to provision a machine of the same kind
	MinMachineAge      time.Duration // an idle machine is not scaled in before this age
	BootTimeoutFactor  float64       // boot timeout, as a multiple of the machine type's boot time
	BootTimeoutMargin  time.Duration // added to that multiple
	SilentScaleInDelay time.Duration // from the expiry of the agent's lease until a silent machine is scaled in

	// Spot machines.

	SpotPriceWindow        time.Duration // over which spot prices are evaluated
	SpotPeriod             time.Duration // a spot machine's age is divided into periods, offset per machine
	SpotPeriodEndMargin    time.Duration // no task is placed on a spot machine this close to the end of a period
	PriceCheckInterval     time.Duration // between reads of the prices
	MaxSpotMachines        int           // in use at once
	SpotPreemptionsPerHour float64       // expected preemptions of a spot machine in an hour

	// Scheduling and scale-out.

	AgingThreshold       time.Duration // waiting time after which a job that has not started goes before all others
	MaxProvisionCount    int           // machines in one provision request
	NoCapacityBackoff    time.Duration // between provision requests for a type that the cloud has no capacity for
	InstanceListInterval time.Duration // between reads of the cloud's list of instances
	// SilentInstanceListInterval replaces InstanceListInterval while an owned machine is silent.
	SilentInstanceListInterval time.Duration

	// Rebalancing.

	MinRebalanceInterval  time.Duration // between transfers to controllers that own less, and between merges of shards
	RecordTransfers       bool          // shards are quiesced before a transfer, and transfers are recorded in the store
	RebalanceDemandWeight float64       // fraction of a controller's share of machines that follows its jobs' demand
}

// DefaultTuning returns the default settings. They are explained in docs/operations.md.
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
