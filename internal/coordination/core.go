package coordination

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/provisioning"
	"tillerarch/internal/coordination/requests"
	"tillerarch/internal/coordination/scheduling"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Core is the state machine of one controller. It wires the parts, each of which owns its
// state, and passes inputs and time to them.
type Core struct {
	*step.Context

	catalog      *catalog.Parts
	commit       *commit.Parts
	agents       *agents.Parts
	cancellation *cancellation.Parts
	ownership    *ownership.Parts
	provisioning *provisioning.Parts
	scheduling   *scheduling.Parts
	requests     *requests.Parts

	nextFullTickAt protocol.Instant
	nextCleanupAt  protocol.Instant // when what is remembered of machines and jobs that are gone is dropped next
}

// connect gives each package what it needs of the others.
func (c *Core) connect() {
	c.commit.Connect(commit.Dependencies{
		MachineTracker:    c.agents.Table,
		StoreReports:      c.ownership.Peers,
		SuccessorElection: c.ownership.Manager,
		Catalog:           c.catalog.Catalog,
		TransferTracker:   c.ownership.Transfers,
	})
	c.agents.Connect(agents.Dependencies{
		Catalog:             c.catalog.Catalog,
		RemovalRecorder:     c.provisioning.Terminator,
		CancellationChecker: c.cancellation.Canceller,
		Lease:               c.commit.Lease,
		PlacementForecast:   c.scheduling.Plan,
		Replication:         c.commit.Replication,
		QuiesceChecker:      c.ownership.Transfers,
		Commits:             c.commit.Commits,
		Shards:              c.commit.Shards,
		TerminationChecker:  c.provisioning.Terminator,
		ScaleInEvaluator:    c.provisioning.Terminator,
	})
	c.cancellation.Connect(cancellation.Dependencies{
		Agents:           c.agents.Table,
		Calls:            c.agents.Calls,
		Commits:          c.commit.Commits,
		Lease:            c.commit.Lease,
		Limits:           c.commit.Limits,
		OwnerElection:    c.ownership.Manager,
		PeerNotifier:     c.ownership.Peers,
		Replication:      c.commit.Replication,
		ForcedTerminator: c.provisioning.Terminator,
	})
	c.ownership.Connect(ownership.Dependencies{
		Cancellations: c.cancellation.Canceller,
		Lease:         c.commit.Lease,
		Misdirected:   c.agents.Misdirected,
		Replication:   c.commit.Replication,
		Store:         c.commit.Store,
		Agents:        c.agents.Table,
		Limits:        c.commit.Limits,
		Shards:        c.commit.Shards,
	})
	c.provisioning.Connect(provisioning.Dependencies{
		Ownership:     c.ownership.Manager,
		Replication:   c.commit.Replication,
		Catalog:       c.catalog.Catalog,
		Lease:         c.commit.Lease,
		DemandSource:  c.scheduling.Plan,
		Spot:          c.catalog.Spot,
		Agents:        c.agents.Table,
		Cancellations: c.cancellation.Canceller,
		PlanUse:       c.scheduling.Plan,
		IdlePolicy:    c.scheduling.Scheduler,
	})
	c.scheduling.Connect(scheduling.Dependencies{
		Catalog:     c.catalog.Catalog,
		Agents:      c.agents.Table,
		Lease:       c.commit.Lease,
		Provisioner: c.provisioning.Provisioner,
		Spot:        c.catalog.Spot,
		Terminator:  c.provisioning.Terminator,
		Transfers:   c.ownership.Transfers,
		Jobs:        c.agents.Jobs,
		Limits:      c.commit.Limits,
		Ownership:   c.ownership.Manager,
		Commits:     c.commit.Commits,
		Stopper:     c.agents.Stopper,
	})
	c.requests.Connect(requests.Dependencies{
		Lease:         c.commit.Lease,
		Overload:      c.ownership.Overload,
		Replication:   c.commit.Replication,
		Transfers:     c.ownership.Transfers,
		Cancellations: c.cancellation.Canceller,
		Catalog:       c.catalog.Catalog,
		Limits:        c.commit.Limits,
		Store:         c.commit.Store,
	})
}

// pauseThreshold is a pause between steps that is this process's own doing: its timer
// alone brings one every 50 ms.
const pauseThreshold = 2 * time.Second

// rngStream selects the random sequence of the core.
const rngStream = 7

// New makes the core of a controller that knows nothing yet.
func New(cfg step.Config, now step.Now) *Core {
	ctx := &step.Context{Config: cfg, Now: now, Rand: rand.New(rand.NewPCG(cfg.Seed, rngStream)), Replica: storage.NewReplica()}
	c := &Core{
		Context:      ctx,
		catalog:      catalog.New(ctx),
		commit:       commit.New(ctx),
		agents:       agents.New(ctx),
		cancellation: cancellation.New(ctx),
		ownership:    ownership.New(ctx),
		provisioning: provisioning.New(ctx),
		scheduling:   scheduling.New(ctx),
		requests:     requests.New(ctx),
	}
	c.connect()
	c.Replica.OnMachineChange = c.onMachineChanged
	c.commit.Limits.UpdateWriteLimiter()
	return c
}

// Step takes one input and gives the effects it has.
func (c *Core) Step(now step.Now, in step.Input) []step.Effect {
	if c.LastStepAt != 0 && now.Monotonic.Sub(c.LastStepAt) > pauseThreshold {
		// What has come in meanwhile lies in queues, in no order that tells who was
		// silent: silence counts from now on.
		c.ResumedAt = now.Monotonic
	}
	c.Now, c.LastStepAt = now, now.Monotonic
	c.Effects = nil
	switch v := in.(type) {
	case step.UserInput:
		c.requests.Users.OnUserInput(v)
	case step.HeartbeatInput:
		c.agents.Heartbeats.OnHeartbeat(v)
	case step.CommitResult:
		c.commit.Commits.OnCommitResult(v)
	case step.LoadRecordsResult:
		c.commit.Replication.OnLoadRecordsResult(v)
	case step.WatchResult:
		c.commit.Replication.OnWatchResult(v)
	case step.ReadRevisionResult:
		c.requests.Users.OnReadRevisionResult(v)
	case step.GrantLeaseResult:
		c.commit.Lease.OnGrantLeaseResult(v)
	case step.RenewLeaseResult:
		c.commit.Lease.OnRenewLeaseResult(v)
	case step.ListMachineTypesResult:
		c.catalog.Catalog.OnMachineTypes(v)
	case step.ProvisionMachinesResult:
		c.provisioning.Provisioner.OnProvisionResult(v)
	case step.TerminateMachinesResult:
		c.provisioning.Terminator.OnTerminateResult(v)
	case step.ListInstancesResult:
		c.provisioning.Inventory.OnInstanceList(v)
	case step.AgentResult:
		c.ShouldRecheckDeferred = true
		c.agents.Calls.OnAgentResult(v)
	case requests.TransferRequest:
		c.requests.Operators.OnTransferRequest(v)
	case requests.DrainRequest:
		c.requests.Operators.OnDrainRequest(v)
	case requests.ShardingStatusRequest:
		c.requests.Operators.OnShardingStatusRequest(v)
	case step.PeerStatusInput:
		c.onPeerStatus(v.Status)
	case step.Tick:
		c.ShouldRecheckDeferred = true
		c.tick()
	default:
		panic(fmt.Sprintf("coordination: unknown input %T", in))
	}
	c.requests.Users.ReplyPending()
	c.agents.Heartbeats.ResolveDeferredHeartbeats()
	c.commitBatches()
	c.commit.Replication.WatchRecords(c.requests.Users.HasDeferred())
	return c.Effects
}

// onPeerStatus takes in what another controller says of itself. A machine that is
// silent here but reports there is handed over: the way between its worker and
// this node is broken, and waiting would only let its lease run out.
func (c *Core) onPeerStatus(status step.PeerStatus) {
	c.ownership.Peers.RecordStatus(&status)
	c.cancellation.Canceller.OnPeerCancellations(&status)
	c.ownership.Manager.RecordHeartbeatsElsewhere(&status)
}

// onMachineChanged takes in that a machine's record has changed.
func (c *Core) onMachineChanged(id protocol.MachineID, before, after *storage.MachineRecord) {
	c.ShouldRecheckDeferred = true
	if before != nil && after != nil {
		c.scheduling.Services.RecordExitedReplicas(id, before, after)
	}
	c.agents.Table.RecordAssignments(id, before, after)
}

// Healthy tells whether the node can take requests. In an outage that all see
// it stays healthy: it can answer, if only that the user must come back.
func (c *Core) Healthy() bool {
	if !c.commit.Replication.IsLoaded() || c.commit.Lease.Incarnation() == "" {
		// A process that begins in an outage has read nothing, and is no worse than
		// the others: it says so at once, and serves as soon as it can, while a node
		// that was called unhealthy would be passed over for a while behind the outage.
		if !c.commit.Store.HasFailedFor(2 * time.Second) {
			return false
		}
	} else if !c.commit.Replication.StoreUnavailable() || c.commit.Store.SinceResponse() < 3*time.Second {
		return true
	}
	// If another one reaches the state service, it is this node alone that is cut off. A
	// node that hears neither the state service nor any other node must take it that it
	// is the one that is cut off: users do better elsewhere.
	return c.ownership.Peers.PeersReportStoreUnavailable(3 * time.Second)
}

func (c *Core) tick() {
	now := c.Now.Monotonic
	c.ownership.Overload.MeasureOverload()
	c.commit.Replication.TickLoad()
	c.commit.Lease.TickLease()
	c.cancellation.Canceller.TickCancellations()
	c.ownership.Peers.TickPeerStatus()
	c.requests.Users.ExpireUserRequests()
	c.cancellation.Canceller.ExpireCancellations()
	if now < c.nextFullTickAt {
		return
	}
	c.nextFullTickAt = now.Add(200 * time.Millisecond)
	if c.commit.Replication.IsLoaded() {
		c.commit.Upgrade.RecordFormatSupport()
		c.ownership.Manager.TrackExpiredIncarnations()
	}
	c.requests.Operators.ExpireOperatorRequests()
	if c.commit.Replication.IsLoaded() {
		c.agents.Monitor.TickMachines()
		c.forgetGone()
	}
	c.cancellation.Canceller.ForceScaleIn()
	c.pollCloud()
}

// forgetInterval is the distance at which what is remembered of machines and jobs that are
// gone is dropped.
const forgetInterval = 2 * time.Second

// forgetGone drops what is remembered of machines and jobs that are gone.
func (c *Core) forgetGone() {
	if c.Now.Monotonic < c.nextCleanupAt {
		return
	}
	c.nextCleanupAt = c.Now.Monotonic.Add(forgetInterval)
	c.agents.Table.ForgetMachines()
	c.agents.Jobs.ForgetJobs()
}

// pollCloud asks the cloud for what is due.
func (c *Core) pollCloud() {
	c.catalog.Catalog.PollMachineTypes()
	if !c.commit.Replication.IsLoaded() || !c.commit.Lease.IsRegistered() {
		return
	}
	c.provisioning.Terminator.ForgetTerminated()
	c.provisioning.Provisioner.ScaleOut()
	c.provisioning.Terminator.SendTerminations()
	c.provisioning.Inventory.PollInstances()
}
