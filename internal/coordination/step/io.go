package step

import (
	"log/slog"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Now is the time as one step sees it.
type Now struct {
	Monotonic protocol.Instant
	Wall      protocol.Millis
}

// RequestID ties an answer to its request.
type RequestID uint64

// Inputs of the core.
type (
	// UserInput is a request on /work.
	UserInput struct {
		RequestID RequestID
		Type      protocol.RequestType
		Job       protocol.JobID
		Body      []byte
	}
	// HeartbeatInput is a worker's report.
	HeartbeatInput struct {
		RequestID RequestID
		Body      []byte
	}
	// CommitResult is the outcome of a transaction.
	CommitResult struct {
		ID      uint64
		Outcome storage.Outcome
		Result  protocol.TransactionResult
		Err     error
	}
	// LoadRecordsResult has all records.
	LoadRecordsResult struct {
		Entries                    []protocol.Entry
		StartRevision, EndRevision protocol.Revision
		Err                        error
	}
	// WatchResult has changes.
	WatchResult struct {
		AfterRevision protocol.Revision
		Response      *protocol.WatchResponse
		Err           error
	}
	// ReadRevisionResult is the revision of the state service.
	ReadRevisionResult struct {
		Revision protocol.Revision
		Err      error
	}
	// GrantLeaseResult is a new lease.
	GrantLeaseResult struct {
		LeaseID protocol.LeaseID
		Err     error
	}
	// RenewLeaseResult is a renewed lease.
	RenewLeaseResult struct {
		LeaseID protocol.LeaseID
		Err     error
	}
	// ListMachineTypesResult has the machine types.
	ListMachineTypesResult struct {
		MachineTypes []protocol.MachineType
		Err          error
	}
	// ProvisionMachinesResult answers a rental. NoCapacityBackoff: the cloud has none.
	ProvisionMachinesResult struct {
		Request    protocol.ProvisionRequest
		Machines   []protocol.MachineID
		NoCapacity bool
		Invalid    bool
		Err        error
	}
	// TerminateMachinesResult answers a release.
	TerminateMachinesResult struct {
		Machines []protocol.MachineID
		Err      error
	}
	// ListInstancesResult is the cloud's list.
	ListInstancesResult struct {
		RequestedAt protocol.Instant
		Instances   []protocol.Instance
		Err         error
	}
	// AgentResult answers a direct command.
	AgentResult struct {
		Machine   protocol.MachineID
		Heartbeat *protocol.Heartbeat
		Err       error
	}
	// PeerStatusInput is what another controller says of itself.
	PeerStatusInput struct{ Status PeerStatus }
	// Tick lets time pass.
	Tick struct{}
)

// PeerStatus is all that controllers tell each other. Losing one costs time only.
type PeerStatus struct {
	ControllerID   protocol.ControllerID
	StoreReachable bool // the sender reaches the state service
	Incarnation    storage.Incarnation
	// The sender can look after more machines: its workers reach it.
	AcceptsShards bool
	// Machines of other owners whose workers report to the sender: their owners
	// may be cut off from them.
	MisdirectedHeartbeats []MisdirectedHeartbeat
	// How far the sender's replica is, withdrawals that some may not know of, and those
	// that the sender answers for.
	Revision      protocol.Revision
	CancelIntents []CancelIntent
	CancelAcks    []protocol.JobID
}

// MisdirectedHeartbeat is a report of another owner's machine, with its place among all of them.
type MisdirectedHeartbeat struct {
	Machine    protocol.MachineID
	AgentEpoch protocol.AgentEpoch
	Sequence   protocol.Sequence
}

// Effects of the core.
type (
	// Reply answers a request.
	Reply struct {
		RequestID         RequestID
		Status            int
		RetryAfterSeconds int
		Body              []byte
	}
	// Commit sends a transaction.
	Commit struct {
		ID          uint64
		Transaction protocol.Transaction
	}
	// LoadRecords reads all records.
	LoadRecords struct{}
	// Watch waits for changes.
	Watch struct{ AfterRevision protocol.Revision }
	// ReadRevision reads the state service's revision.
	ReadRevision struct{}
	// GrantLease asks for a lease.
	GrantLease struct{ TTL time.Duration }
	// RenewLease renews a lease.
	RenewLease struct{ LeaseID protocol.LeaseID }
	// ListMachineTypes reads the machine types and prices.
	ListMachineTypes struct{}
	// ProvisionMachines rents machines.
	ProvisionMachines struct{ Request protocol.ProvisionRequest }
	// TerminateMachines gives machines back.
	TerminateMachines struct{ Machines []protocol.MachineID }
	// ListInstances reads the machine list.
	ListInstances struct{}
	// SendCommands commands a worker directly.
	SendCommands struct {
		Machine  protocol.MachineID
		Addr     string
		Commands protocol.Commands
	}
	// ProbeAgent asks a worker for its report; a AgentResult answers.
	ProbeAgent struct {
		Machine protocol.MachineID
		Addr    string
	}
	// SendPeerStatus tells the other controllers.
	SendPeerStatus struct{ Status PeerStatus }
	// Log is a line for the operator.
	Log struct {
		Level   slog.Level
		Message string
		Args    []any
	}
)

// Input and Effect are one of the types above.
type (
	Input  any
	Effect any
)

// Quota has a guarantee and a limit; 0 means none.
type Quota struct {
	GuaranteedCores, MaxCores, GuaranteedAccelerators, MaxAccelerators float64
}

func (t Quota) HasLimit() bool { return t.MaxCores > 0 || t.MaxAccelerators > 0 }

// Objectives of a class of jobs, as the platform states them: how soon its tasks
// begin, how soon its jobs are done, and by which multiple of their deadlines.
type Objectives struct {
	StartWithin, FinishWithin []time.Duration
	DeadlineFactors           []float64
}

// Config is what the platform and the operator set.
type Config struct {
	ControllerID protocol.ControllerID
	Quotas       map[string]Quota
	Objectives   map[string]Objectives // by class

	HeartbeatInterval, AgentLeaseTTL, GangPeerTimeout, CancelTimeout time.Duration
	WritesPerSecond                                                  float64
	PeerCount                                                        int                     // how many other controllers there are
	PeerIDs                                                          []protocol.ControllerID // and their names
	TransactionOps                                                   int
	ValueBytes                                                       int
	AnnouncedLimits                                                  *WriteLimits // announced limits of the state service, if there are any
	InstanceListLag                                                  time.Duration
	MinWatchInterval                                                 time.Duration
	Seed                                                             uint64

	Tuning
}

// Tuning is what an operator may change in the properties file.
type Tuning struct {
	LeaseTTL                   time.Duration // lease of a process run
	MinCommitInterval          time.Duration // least time between transactions that can wait
	MaxResponseDelay           time.Duration // a report with news waits this long for the write
	MaxIdleResponseDelay       time.Duration // a report of a machine with nothing to do waits this long for something
	WriteBudgetShare           float64       // part of the write budget that one controller uses
	UserRequestTimeout         time.Duration // a request gets its final answer by then
	IdleTimeoutFactor          float64       // of the time it takes to have an idle machine's like again
	MinMachineAge              time.Duration
	BootTimeoutFactor          float64
	BootTimeoutMargin          time.Duration
	SilentScaleInDelay         time.Duration // behind the lease's end
	SpotPriceWindow            time.Duration
	SpotPeriod                 time.Duration
	SpotPeriodEndMargin        time.Duration
	PriceCheckInterval         time.Duration
	MaxSpotMachines            int
	MinRebalanceInterval       time.Duration // least time between pages given to controllers that have fewer
	RecordTransfers            bool          // pages come to rest before they are given, and moves are on record
	RebalanceDemandWeight      float64       // part of a controller's share of the machines that follows the demand of its jobs
	AgingThreshold             time.Duration // a job that has not begun by then goes before all others
	SpotPreemptionsPerHour     float64       // reclaims an hour that a machine is reckoned with
	MaxProvisionCount          int
	NoCapacityBackoff          time.Duration // pause after the cloud had none
	InstanceListInterval       time.Duration
	SilentInstanceListInterval time.Duration // and while an owned machine is silent
}

// DefaultTuning holds the values chosen by measurement; docs/operations.md says how.
func DefaultTuning() Tuning {
	return Tuning{
		LeaseTTL: 6 * time.Second, MinCommitInterval: 250 * time.Millisecond, MaxResponseDelay: 700 * time.Millisecond,
		MaxIdleResponseDelay: 2500 * time.Millisecond, WriteBudgetShare: 0.6, UserRequestTimeout: 1500 * time.Millisecond,
		IdleTimeoutFactor: 2, MinMachineAge: 60 * time.Second,
		BootTimeoutFactor: 2, BootTimeoutMargin: 15 * time.Second, SilentScaleInDelay: 15 * time.Second,
		SpotPriceWindow: 60 * time.Second, SpotPeriod: 300 * time.Second, SpotPeriodEndMargin: 10 * time.Second,
		PriceCheckInterval: 10 * time.Second, MaxSpotMachines: 5000, SpotPreemptionsPerHour: 4, MaxProvisionCount: 50, MinRebalanceInterval: 3 * time.Second, AgingThreshold: 120 * time.Second, NoCapacityBackoff: 12 * time.Second,
		InstanceListInterval: 10 * time.Second, SilentInstanceListInterval: 2500 * time.Millisecond,
	}
}
