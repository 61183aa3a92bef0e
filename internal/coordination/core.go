package coordination

import (
	"fmt"
	"math/rand/v2"
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
	"time"
)

// Core is the state machine of one controller. It wires the parts, each of which owns its
// state, and passes inputs and time to them.
type Core struct {
	*step.Context

	store         *commit.StoreHealth
	lease         *commit.Lease
	replication   *commit.Replication
	limits        *commit.WriteLimiter
	upgrade       *commit.FormatUpgrade
	commits       *commit.Committer
	shards        *commit.ShardWriter
	peers         *ownership.Peers
	overload      *ownership.OverloadDetector
	agents        *agents.Table
	misdirected   *agents.MisdirectedHeartbeats
	heartbeats    *agents.HeartbeatHandler
	calls         *agents.Caller
	reconciler    *agents.Reconciler
	stopper       *agents.TaskStopper
	monitor       *agents.Monitor
	jobs          *agents.JobTable
	cancellations *cancellation.Canceller
	ownership     *ownership.Manager
	transfers     *ownership.Transfers
	operators     *requests.OperatorRequests
	catalog       *catalog.Catalog
	spot          *catalog.SpotPricing
	inventory     *provisioning.Inventory
	provisioner   *provisioning.Provisioner
	terminator    *provisioning.Terminator
	queue         *scheduling.Queue
	capacity      *scheduling.CandidateLister
	contention    *scheduling.ContentionTracker
	backfill      *scheduling.Backfill
	plan          *scheduling.Plan
	acquirer      *scheduling.JobAcquirer
	scheduler     *scheduling.Scheduler
	gangs         *scheduling.GangScheduler
	services      *scheduling.ServiceScheduler
	preemption    *scheduling.Preemptor
	users         *requests.UserRequests

	nextFullTickAt protocol.Instant
	nextCleanupAt  protocol.Instant // when what is remembered of machines and jobs that are gone is dropped next
}

// connect gives each part the other parts that it works with.
func (c *Core) connect() {
	c.lease.Store = c.store
	c.replication.Agents = c.agents
	c.replication.Lease = c.lease
	c.replication.Limits = c.limits
	c.replication.Peers = c.peers
	c.replication.Store = c.store
	c.upgrade.Commits = c.commits
	c.upgrade.Lease = c.lease
	c.upgrade.Limits = c.limits
	c.upgrade.Ownership = c.ownership
	c.commits.Agents = c.agents
	c.commits.Lease = c.lease
	c.commits.Limits = c.limits
	c.commits.Replication = c.replication
	c.commits.Shards = c.shards
	c.commits.Store = c.store
	c.commits.Upgrade = c.upgrade
	c.shards.Catalog = c.catalog
	c.shards.Commits = c.commits
	c.shards.Lease = c.lease
	c.shards.Limits = c.limits
	c.shards.Transfers = c.transfers
	c.peers.Cancellations = c.cancellations
	c.peers.Lease = c.lease
	c.peers.Misdirected = c.misdirected
	c.peers.Ownership = c.ownership
	c.peers.Replication = c.replication
	c.peers.Store = c.store
	c.agents.Catalog = c.catalog
	c.agents.Terminator = c.terminator
	c.misdirected.Calls = c.calls
	c.heartbeats.Agents = c.agents
	c.heartbeats.Calls = c.calls
	c.heartbeats.Cancellations = c.cancellations
	c.heartbeats.Catalog = c.catalog
	c.heartbeats.Jobs = c.jobs
	c.heartbeats.Lease = c.lease
	c.heartbeats.Misdirected = c.misdirected
	c.heartbeats.Plan = c.plan
	c.heartbeats.Replication = c.replication
	c.heartbeats.Transfers = c.transfers
	c.calls.Agents = c.agents
	c.calls.Lease = c.lease
	c.calls.Misdirected = c.misdirected
	c.reconciler.Agents = c.agents
	c.reconciler.Commits = c.commits
	c.reconciler.Cancellations = c.cancellations
	c.reconciler.Jobs = c.jobs
	c.reconciler.Lease = c.lease
	c.reconciler.Shards = c.shards
	c.reconciler.Stopper = c.stopper
	c.reconciler.Terminator = c.terminator
	c.stopper.Calls = c.calls
	c.stopper.Cancellations = c.cancellations
	c.stopper.Heartbeats = c.heartbeats
	c.stopper.Jobs = c.jobs
	c.monitor.Agents = c.agents
	c.monitor.Calls = c.calls
	c.monitor.Jobs = c.jobs
	c.monitor.Shards = c.shards
	c.monitor.Stopper = c.stopper
	c.monitor.Terminator = c.terminator
	c.cancellations.Agents = c.agents
	c.cancellations.Calls = c.calls
	c.cancellations.Commits = c.commits
	c.cancellations.Lease = c.lease
	c.cancellations.Limits = c.limits
	c.cancellations.Ownership = c.ownership
	c.cancellations.Peers = c.peers
	c.cancellations.Replication = c.replication
	c.cancellations.Terminator = c.terminator
	c.ownership.Agents = c.agents
	c.ownership.Lease = c.lease
	c.ownership.Limits = c.limits
	c.ownership.Overload = c.overload
	c.ownership.Shards = c.shards
	c.ownership.Transfers = c.transfers
	c.transfers.Agents = c.agents
	c.transfers.Cancellations = c.cancellations
	c.transfers.Lease = c.lease
	c.transfers.Overload = c.overload
	c.transfers.Ownership = c.ownership
	c.transfers.Peers = c.peers
	c.transfers.Shards = c.shards
	c.operators.Lease = c.lease
	c.operators.Overload = c.overload
	c.operators.Replication = c.replication
	c.operators.Transfers = c.transfers
	c.catalog.Spot = c.spot
	c.inventory.Ownership = c.ownership
	c.inventory.Provisioner = c.provisioner
	c.inventory.Replication = c.replication
	c.inventory.Terminator = c.terminator
	c.provisioner.Catalog = c.catalog
	c.provisioner.Lease = c.lease
	c.provisioner.Plan = c.plan
	c.provisioner.Replication = c.replication
	c.provisioner.Spot = c.spot
	c.provisioner.Terminator = c.terminator
	c.terminator.Agents = c.agents
	c.terminator.Cancellations = c.cancellations
	c.terminator.Catalog = c.catalog
	c.terminator.Inventory = c.inventory
	c.terminator.Lease = c.lease
	c.terminator.Plan = c.plan
	c.terminator.Replication = c.replication
	c.terminator.Scheduler = c.scheduler
	c.queue.Catalog = c.catalog
	c.capacity.Agents = c.agents
	c.capacity.Catalog = c.catalog
	c.capacity.Lease = c.lease
	c.capacity.Provisioner = c.provisioner
	c.capacity.Queue = c.queue
	c.capacity.Spot = c.spot
	c.capacity.Terminator = c.terminator
	c.capacity.Transfers = c.transfers
	c.contention.Catalog = c.catalog
	c.contention.Plan = c.plan
	c.contention.Provisioner = c.provisioner
	c.contention.Spot = c.spot
	c.backfill.Agents = c.agents
	c.backfill.Capacity = c.capacity
	c.backfill.Catalog = c.catalog
	c.backfill.Jobs = c.jobs
	c.acquirer.Jobs = c.jobs
	c.acquirer.Lease = c.lease
	c.acquirer.Limits = c.limits
	c.acquirer.Ownership = c.ownership
	c.scheduler.Acquirer = c.acquirer
	c.scheduler.Backfill = c.backfill
	c.scheduler.Capacity = c.capacity
	c.scheduler.Catalog = c.catalog
	c.scheduler.Contention = c.contention
	c.scheduler.Gangs = c.gangs
	c.scheduler.Jobs = c.jobs
	c.scheduler.Lease = c.lease
	c.scheduler.Plan = c.plan
	c.scheduler.Queue = c.queue
	c.scheduler.Commits = c.commits
	c.scheduler.Services = c.services
	c.gangs.Acquirer = c.acquirer
	c.gangs.Capacity = c.capacity
	c.gangs.Catalog = c.catalog
	c.gangs.Jobs = c.jobs
	c.gangs.Limits = c.limits
	c.gangs.Plan = c.plan
	c.gangs.Preemption = c.preemption
	c.gangs.Queue = c.queue
	c.gangs.Scheduler = c.scheduler
	c.services.Acquirer = c.acquirer
	c.services.Capacity = c.capacity
	c.services.Agents = c.agents
	c.services.Catalog = c.catalog
	c.services.Jobs = c.jobs
	c.services.Lease = c.lease
	c.services.Plan = c.plan
	c.services.Preemption = c.preemption
	c.services.Queue = c.queue
	c.services.Scheduler = c.scheduler
	c.preemption.Agents = c.agents
	c.preemption.Gangs = c.gangs
	c.preemption.Lease = c.lease
	c.preemption.Limits = c.limits
	c.preemption.Stopper = c.stopper
	c.users.Cancellations = c.cancellations
	c.users.Catalog = c.catalog
	c.users.Lease = c.lease
	c.users.Limits = c.limits
	c.users.Replication = c.replication
	c.users.Store = c.store
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
		Context:       ctx,
		store:         &commit.StoreHealth{Context: ctx},
		lease:         &commit.Lease{Context: ctx},
		replication:   &commit.Replication{Context: ctx},
		limits:        &commit.WriteLimiter{Context: ctx},
		upgrade:       commit.NewFormatUpgrade(ctx),
		commits:       &commit.Committer{Context: ctx},
		shards:        commit.NewShardWriter(ctx),
		peers:         ownership.NewPeers(ctx),
		overload:      &ownership.OverloadDetector{Context: ctx},
		agents:        agents.NewTable(ctx),
		misdirected:   agents.NewMisdirectedHeartbeats(ctx),
		heartbeats:    &agents.HeartbeatHandler{Context: ctx},
		calls:         &agents.Caller{Context: ctx},
		reconciler:    &agents.Reconciler{Context: ctx},
		stopper:       agents.NewTaskStopper(ctx),
		monitor:       &agents.Monitor{Context: ctx},
		jobs:          agents.NewJobTable(ctx),
		cancellations: cancellation.NewCanceller(ctx),
		ownership:     ownership.NewManager(ctx),
		transfers:     ownership.NewTransfers(ctx),
		operators:     &requests.OperatorRequests{Context: ctx},
		catalog:       &catalog.Catalog{Context: ctx},
		spot:          catalog.NewSpotPricing(ctx),
		inventory:     provisioning.NewInventory(ctx),
		provisioner:   provisioning.NewProvisioner(ctx),
		terminator:    provisioning.NewTerminator(ctx),
		queue:         &scheduling.Queue{Context: ctx},
		capacity:      &scheduling.CandidateLister{Context: ctx},
		contention:    scheduling.NewContentionTracker(ctx),
		backfill:      &scheduling.Backfill{Context: ctx},
		plan:          &scheduling.Plan{Context: ctx},
		acquirer:      &scheduling.JobAcquirer{Context: ctx},
		scheduler:     scheduling.NewScheduler(ctx),
		gangs:         &scheduling.GangScheduler{Context: ctx},
		services:      &scheduling.ServiceScheduler{Context: ctx},
		preemption:    &scheduling.Preemptor{Context: ctx},
		users:         requests.NewUserRequests(ctx),
	}
	c.connect()
	c.Replica.OnMachineChange = c.onMachineChanged
	c.limits.UpdateWriteLimiter()
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
		c.users.OnUserInput(v)
	case step.HeartbeatInput:
		c.heartbeats.OnHeartbeat(v)
	case step.CommitResult:
		c.commits.OnCommitResult(v)
	case step.LoadRecordsResult:
		c.replication.OnLoadRecordsResult(v)
	case step.WatchResult:
		c.replication.OnWatchResult(v)
	case step.ReadRevisionResult:
		c.users.OnReadRevisionResult(v)
	case step.GrantLeaseResult:
		c.lease.OnGrantLeaseResult(v)
	case step.RenewLeaseResult:
		c.lease.OnRenewLeaseResult(v)
	case step.ListMachineTypesResult:
		c.catalog.OnMachineTypes(v)
	case step.ProvisionMachinesResult:
		c.provisioner.OnProvisionResult(v)
	case step.TerminateMachinesResult:
		c.terminator.OnTerminateResult(v)
	case step.ListInstancesResult:
		c.inventory.OnInstanceList(v)
	case step.AgentResult:
		c.ShouldRecheckDeferred = true
		c.calls.OnAgentResult(v)
	case requests.TransferRequest:
		c.operators.OnTransferRequest(v)
	case requests.DrainRequest:
		c.operators.OnDrainRequest(v)
	case requests.ShardingStatusRequest:
		c.operators.OnShardingStatusRequest(v)
	case step.PeerStatusInput:
		c.onPeerStatus(v.Status)
	case step.Tick:
		c.ShouldRecheckDeferred = true
		c.tick()
	default:
		panic(fmt.Sprintf("coordination: unknown input %T", in))
	}
	c.users.ReplyPending()
	c.heartbeats.ResolveDeferredHeartbeats()
	c.commitBatch()
	c.replication.WatchRecords(len(c.users.DeferredRequests) > 0)
	return c.Effects
}

// onPeerStatus takes in what another controller says of itself. A machine that is
// silent here but reports there is handed over: the way between its worker and
// this node is broken, and waiting would only let its lease run out.
func (c *Core) onPeerStatus(status step.PeerStatus) {
	c.peers.RecordStatus(&status)
	c.cancellations.OnPeerCancellations(&status)
	c.ownership.RecordHeartbeatsElsewhere(&status)
}

// onMachineChanged takes in that a machine's record has changed.
func (c *Core) onMachineChanged(id protocol.MachineID, before, after *storage.MachineRecord) {
	c.ShouldRecheckDeferred = true
	if before != nil && after != nil {
		c.services.RecordExitedReplicas(id, before, after)
	}
	c.agents.RecordAssignments(id, before, after)
}

// Healthy tells whether the node can take requests. In an outage that all see
// it stays healthy: it can answer, if only that the user must come back.
func (c *Core) Healthy() bool {
	if !c.replication.IsLoaded || c.lease.Incarnation == "" {
		// A process that begins in an outage has read nothing, and is no worse than
		// the others: it says so at once, and serves as soon as it can, while a node
		// that was called unhealthy would be passed over for a while behind the outage.
		if c.store.ConsecutiveFailures == 0 || c.Since(c.store.FirstFailureAt) < 2*time.Second {
			return false
		}
	} else if !c.replication.StoreUnavailable() || c.Since(c.store.LastResponseAt) < 3*time.Second {
		return true
	}
	// If another one reaches the state service, it is this node alone that is cut off. A
	// node that hears neither the state service nor any other node must take it that it
	// is the one that is cut off: users do better elsewhere.
	return c.peers.PeersReportStoreUnavailable(3 * time.Second)
}

func (c *Core) tick() {
	now := c.Now.Monotonic
	c.overload.MeasureOverload()
	c.replication.TickLoad()
	c.lease.TickLease()
	c.cancellations.TickCancellations()
	c.peers.TickPeerStatus()
	c.users.ExpireUserRequests()
	c.cancellations.ExpireCancellations()
	if now < c.nextFullTickAt {
		return
	}
	c.nextFullTickAt = now.Add(200 * time.Millisecond)
	if c.replication.IsLoaded {
		c.upgrade.RecordFormatSupport()
		c.ownership.TrackExpiredIncarnations()
	}
	c.operators.ExpireOperatorRequests()
	if c.replication.IsLoaded {
		c.monitor.TickMachines()
		c.forgetGone()
	}
	c.cancellations.ForceScaleIn()
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
	c.agents.ForgetMachines()
	c.jobs.ForgetJobs()
}

// pollCloud asks the cloud for what is due.
func (c *Core) pollCloud() {
	c.catalog.PollMachineTypes()
	if !c.replication.IsLoaded || !c.lease.IsRegistered() {
		return
	}
	c.terminator.ForgetTerminated()
	c.provisioner.ScaleOut()
	c.terminator.SendTerminations()
	c.inventory.PollInstances()
}
