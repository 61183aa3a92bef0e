// Package coordination decides. Core is a state machine: Step takes an input
// and the time, and returns what to send, write and answer. It does no I/O,
// reads no clock and starts no goroutine.
package coordination

import (
	"log/slog"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// Now is the time as one step sees it.
type Now struct {
	Steady protocol.Instant
	Wall   protocol.Millis
}

// ReqID ties an answer to its request.
type ReqID uint64

// Inputs of the core.
type (
	// UserInput is a request on /work.
	UserInput struct {
		Req  ReqID
		Verb protocol.Verb
		Job  protocol.JobID
		Body []byte
	}
	// ReportInput is a worker's report.
	ReportInput struct {
		Req  ReqID
		Body []byte
	}
	// CommitResult is the outcome of a transaction.
	CommitResult struct {
		ID      uint64
		Outcome bk.Outcome
		Answer  protocol.MultiAnswer
		Err     error
	}
	// LoadResult has all records.
	LoadResult struct {
		Items       []protocol.Item
		From, Until protocol.Rev
		Err         error
	}
	// FollowResult has changes.
	FollowResult struct {
		From protocol.Rev
		News *protocol.Followed
		Err  error
	}
	// RevResult is the revision of the state service.
	RevResult struct {
		Rev protocol.Rev
		Err error
	}
	// GrantResult is a new lease.
	GrantResult struct {
		Hold protocol.LeaseID
		Err  error
	}
	// ExtendResult is a renewed lease.
	ExtendResult struct {
		Hold protocol.LeaseID
		Err  error
	}
	// FlavorsResult has the machine types.
	FlavorsResult struct {
		Flavors []protocol.Flavor
		Err     error
	}
	// RentalResult answers a rental. NoCapacity: the cloud has none.
	RentalResult struct {
		Hire       protocol.Hire
		Machines   []protocol.MachineID
		NoCapacity bool
		Invalid    bool
		Err        error
	}
	// ReleaseResult answers a release.
	ReleaseResult struct {
		Machines []protocol.MachineID
		Err      error
	}
	// ListResult is the cloud's list.
	ListResult struct {
		Asked protocol.Instant
		Hosts []protocol.Host
		Err   error
	}
	// DoResult answers a direct command.
	DoResult struct {
		Machine protocol.MachineID
		Report  *protocol.Report
		Err     error
	}
	// HintInput is what another controller says of itself.
	HintInput struct{ Hint Hint }
	// Tick lets time pass.
	Tick struct{}
)

// Hint is all that controllers tell each other. Losing one costs time only.
type Hint struct {
	Member  protocol.Member
	StateOK bool // the sender reaches the state service
	Run     bk.Run
	// The sender can look after more machines: its workers reach it.
	Fit bool
	// Machines of other owners whose workers report to the sender: their owners
	// may be cut off from them.
	Seen []Seen
	// How far the sender's replica is, withdrawals that some may not know of, and those
	// that the sender answers for.
	Rev     protocol.Rev
	Intents []Intent
	Acks    []protocol.JobID
}

// Seen is a report of another owner's machine, with its place among all of them.
type Seen struct {
	Machine protocol.MachineID
	Session protocol.Session
	Tally   protocol.Tally
}

// Effects of the core.
type (
	// Reply answers a request.
	Reply struct {
		Req        ReqID
		Status     int
		RetryAfter int
		Body       []byte
	}
	// Commit sends a transaction.
	Commit struct {
		ID    uint64
		Multi protocol.Multi
	}
	// Load reads all records.
	Load struct{}
	// Follow waits for changes.
	Follow struct{ From protocol.Rev }
	// ReadRev reads the state service's revision.
	ReadRev struct{}
	// Grant asks for a lease.
	Grant struct{ TTL time.Duration }
	// Extend renews a lease.
	Extend struct{ Hold protocol.LeaseID }
	// AskFlavors reads the machine types and prices.
	AskFlavors struct{}
	// SendRental rents machines.
	SendRental struct{ Hire protocol.Hire }
	// SendRelease gives machines back.
	SendRelease struct{ Machines []protocol.MachineID }
	// AskList reads the machine list.
	AskList struct{}
	// SendDo commands a worker directly.
	SendDo struct {
		Machine protocol.MachineID
		Addr    string
		Orders  protocol.Orders
	}
	// SendShow asks a worker for its report; a DoResult answers.
	SendShow struct {
		Machine protocol.MachineID
		Addr    string
	}
	// SendHint tells the other controllers.
	SendHint struct{ Hint Hint }
	// Log is a line for the operator.
	Log struct {
		Level slog.Level
		Msg   string
		Args  []any
	}
)

// Input and Effect are one of the types above.
type (
	Input  any
	Effect any
)

// Team has a guarantee and a limit; 0 means none.
type Team struct {
	Cores, CoresMax, Accels, AccelsMax float64
}

func (t Team) limited() bool { return t.CoresMax > 0 || t.AccelsMax > 0 }

// Aims of a class of jobs, as the platform states them: how soon its tasks
// begin, how soon its jobs are done, and by which multiple of their deadlines.
type Aims struct {
	Wait, Finished []time.Duration
	Times          []float64
}

// Config is what the platform and the operator set.
type Config struct {
	Member protocol.Member
	Teams  map[string]Team
	Aims   map[string]Aims // by class

	Report, Lease, GangPeer, Cancel time.Duration
	WriteRPS                        float64
	Peers                           int               // how many other controllers there are
	Members                         []protocol.Member // and their names
	TxnOps                          int
	ValueBytes                      int
	NextLimits                      *WriteLimits // announced limits of the state service, if there are any
	ListLag                         time.Duration
	FollowGap                       time.Duration
	Seed                            uint64

	Tuning
}

// Tuning is what an operator may change in the properties file.
type Tuning struct {
	HoldTTL      time.Duration // lease of a process run
	FlushGap     time.Duration // least time between transactions that can wait
	ReportHold   time.Duration // a report with news waits this long for the write
	IdleHold     time.Duration // a report of a machine with nothing to do waits this long for something
	WriteShare   float64       // part of the write budget that one controller uses
	UserWait     time.Duration // a request gets its final answer by then
	IdleFactor   float64       // of the time it takes to have an idle machine's like again
	MinPaid      time.Duration
	BootFactor   float64
	BootExtra    time.Duration
	SilentReturn time.Duration // behind the lease's end
	SpotWindow   time.Duration
	SpotPeriod   time.Duration
	SpotMargin   time.Duration
	SpotCheck    time.Duration
	SpotCap      int
	BalanceGap   time.Duration // least time between pages given to controllers that have fewer
	RecordMoves  bool          // pages come to rest before they are given, and moves are on record
	MoveByDemand float64       // part of a controller's share of the machines that follows the demand of its jobs
	AgeAfter     time.Duration // a job that has not begun by then goes before all others
	SpotLoss     float64       // reclaims an hour that a machine is reckoned with
	RentalCap    int
	NoCapacity   time.Duration // pause after the cloud had none
	ListEvery    time.Duration
	ListSilent   time.Duration // and while an owned machine is silent
}

// DefaultTuning holds the values chosen by measurement; docs/operations.md says how.
func DefaultTuning() Tuning {
	return Tuning{
		HoldTTL: 6 * time.Second, FlushGap: 250 * time.Millisecond, ReportHold: 700 * time.Millisecond,
		IdleHold: 2500 * time.Millisecond, WriteShare: 0.6, UserWait: 1500 * time.Millisecond,
		IdleFactor: 2, MinPaid: 60 * time.Second,
		BootFactor: 2, BootExtra: 15 * time.Second, SilentReturn: 15 * time.Second,
		SpotWindow: 60 * time.Second, SpotPeriod: 300 * time.Second, SpotMargin: 10 * time.Second,
		SpotCheck: 10 * time.Second, SpotCap: 5000, SpotLoss: 4, RentalCap: 50, BalanceGap: 3 * time.Second, AgeAfter: 120 * time.Second, NoCapacity: 12 * time.Second,
		ListEvery: 10 * time.Second, ListSilent: 2500 * time.Millisecond,
	}
}
