package coordination

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Core is the state machine of one controller. It wires the parts, each of which owns its
// state, and passes inputs and time to them.
type Core struct {
	*stepContext

	store         *storeHealth
	lease         *incarnationLease
	replication   *replicaSync
	limits        *writeLimiter
	upgrade       *formatUpgrade
	commits       *committer
	shards        *shardWriter
	peers         *peerTable
	overload      *overloadDetector
	agents        *agentTable
	misdirected   *misdirectedHeartbeats
	heartbeats    *heartbeatHandler
	calls         *agentCaller
	reconciler    *reconciler
	stopper       *taskStopper
	monitor       *agentMonitor
	jobs          *jobTable
	cancellations *canceller
	ownership     *shardOwnership
	transfers     *transferManager
	operators     *operatorRequests
	catalog       *machineCatalog
	spot          *spotPricing
	inventory     *instanceInventory
	provisioner   *machineProvisioner
	terminator    *machineTerminator
	queue         *jobQueue
	capacity      *candidateLister
	contention    *contentionTracker
	backfill      *backfillPlanner
	plan          *placementPlan
	acquirer      *jobAcquirer
	scheduler     *scheduler
	gangs         *gangScheduler
	services      *serviceScheduler
	preemption    *preemptor
	users         *userRequestHandler

	nextFullTickAt protocol.Instant
	nextCleanupAt  protocol.Instant // when what is remembered of machines and jobs that are gone is dropped next
}

// connect gives each part the other parts that it works with.
func (c *Core) connect() {
	c.lease.store = c.store
	c.replication.agents = c.agents
	c.replication.lease = c.lease
	c.replication.limits = c.limits
	c.replication.peers = c.peers
	c.replication.store = c.store
	c.upgrade.commits = c.commits
	c.upgrade.lease = c.lease
	c.upgrade.limits = c.limits
	c.upgrade.ownership = c.ownership
	c.commits.agents = c.agents
	c.commits.lease = c.lease
	c.commits.limits = c.limits
	c.commits.replication = c.replication
	c.commits.shards = c.shards
	c.commits.store = c.store
	c.commits.upgrade = c.upgrade
	c.shards.catalog = c.catalog
	c.shards.commits = c.commits
	c.shards.lease = c.lease
	c.shards.limits = c.limits
	c.shards.transfers = c.transfers
	c.peers.cancellations = c.cancellations
	c.peers.lease = c.lease
	c.peers.misdirected = c.misdirected
	c.peers.ownership = c.ownership
	c.peers.replication = c.replication
	c.peers.store = c.store
	c.agents.catalog = c.catalog
	c.agents.terminator = c.terminator
	c.misdirected.calls = c.calls
	c.heartbeats.agents = c.agents
	c.heartbeats.calls = c.calls
	c.heartbeats.cancellations = c.cancellations
	c.heartbeats.catalog = c.catalog
	c.heartbeats.jobs = c.jobs
	c.heartbeats.lease = c.lease
	c.heartbeats.misdirected = c.misdirected
	c.heartbeats.plan = c.plan
	c.heartbeats.replication = c.replication
	c.heartbeats.transfers = c.transfers
	c.calls.agents = c.agents
	c.calls.lease = c.lease
	c.calls.misdirected = c.misdirected
	c.reconciler.agents = c.agents
	c.reconciler.commits = c.commits
	c.reconciler.cancellations = c.cancellations
	c.reconciler.jobs = c.jobs
	c.reconciler.lease = c.lease
	c.reconciler.shards = c.shards
	c.reconciler.stopper = c.stopper
	c.reconciler.terminator = c.terminator
	c.stopper.calls = c.calls
	c.stopper.cancellations = c.cancellations
	c.stopper.heartbeats = c.heartbeats
	c.stopper.jobs = c.jobs
	c.monitor.agents = c.agents
	c.monitor.calls = c.calls
	c.monitor.jobs = c.jobs
	c.monitor.shards = c.shards
	c.monitor.stopper = c.stopper
	c.monitor.terminator = c.terminator
	c.cancellations.agents = c.agents
	c.cancellations.calls = c.calls
	c.cancellations.commits = c.commits
	c.cancellations.lease = c.lease
	c.cancellations.limits = c.limits
	c.cancellations.ownership = c.ownership
	c.cancellations.peers = c.peers
	c.cancellations.replication = c.replication
	c.cancellations.terminator = c.terminator
	c.ownership.agents = c.agents
	c.ownership.lease = c.lease
	c.ownership.limits = c.limits
	c.ownership.overload = c.overload
	c.ownership.shards = c.shards
	c.ownership.transfers = c.transfers
	c.transfers.agents = c.agents
	c.transfers.cancellations = c.cancellations
	c.transfers.lease = c.lease
	c.transfers.overload = c.overload
	c.transfers.ownership = c.ownership
	c.transfers.peers = c.peers
	c.transfers.shards = c.shards
	c.operators.lease = c.lease
	c.operators.overload = c.overload
	c.operators.replication = c.replication
	c.operators.transfers = c.transfers
	c.catalog.spot = c.spot
	c.inventory.ownership = c.ownership
	c.inventory.provisioner = c.provisioner
	c.inventory.replication = c.replication
	c.inventory.terminator = c.terminator
	c.provisioner.catalog = c.catalog
	c.provisioner.lease = c.lease
	c.provisioner.plan = c.plan
	c.provisioner.replication = c.replication
	c.provisioner.spot = c.spot
	c.provisioner.terminator = c.terminator
	c.terminator.agents = c.agents
	c.terminator.cancellations = c.cancellations
	c.terminator.catalog = c.catalog
	c.terminator.inventory = c.inventory
	c.terminator.lease = c.lease
	c.terminator.plan = c.plan
	c.terminator.replication = c.replication
	c.terminator.scheduler = c.scheduler
	c.queue.catalog = c.catalog
	c.capacity.agents = c.agents
	c.capacity.catalog = c.catalog
	c.capacity.lease = c.lease
	c.capacity.provisioner = c.provisioner
	c.capacity.queue = c.queue
	c.capacity.spot = c.spot
	c.capacity.terminator = c.terminator
	c.capacity.transfers = c.transfers
	c.contention.catalog = c.catalog
	c.contention.plan = c.plan
	c.contention.provisioner = c.provisioner
	c.contention.spot = c.spot
	c.backfill.agents = c.agents
	c.backfill.capacity = c.capacity
	c.backfill.catalog = c.catalog
	c.backfill.jobs = c.jobs
	c.acquirer.jobs = c.jobs
	c.acquirer.lease = c.lease
	c.acquirer.limits = c.limits
	c.acquirer.ownership = c.ownership
	c.scheduler.acquirer = c.acquirer
	c.scheduler.backfill = c.backfill
	c.scheduler.capacity = c.capacity
	c.scheduler.catalog = c.catalog
	c.scheduler.contention = c.contention
	c.scheduler.gangs = c.gangs
	c.scheduler.jobs = c.jobs
	c.scheduler.lease = c.lease
	c.scheduler.plan = c.plan
	c.scheduler.queue = c.queue
	c.scheduler.commits = c.commits
	c.scheduler.services = c.services
	c.gangs.acquirer = c.acquirer
	c.gangs.capacity = c.capacity
	c.gangs.catalog = c.catalog
	c.gangs.jobs = c.jobs
	c.gangs.limits = c.limits
	c.gangs.plan = c.plan
	c.gangs.preemption = c.preemption
	c.gangs.queue = c.queue
	c.gangs.scheduler = c.scheduler
	c.services.acquirer = c.acquirer
	c.services.capacity = c.capacity
	c.services.agents = c.agents
	c.services.catalog = c.catalog
	c.services.jobs = c.jobs
	c.services.lease = c.lease
	c.services.plan = c.plan
	c.services.preemption = c.preemption
	c.services.queue = c.queue
	c.services.scheduler = c.scheduler
	c.preemption.agents = c.agents
	c.preemption.gangs = c.gangs
	c.preemption.lease = c.lease
	c.preemption.limits = c.limits
	c.preemption.stopper = c.stopper
	c.users.cancellations = c.cancellations
	c.users.catalog = c.catalog
	c.users.lease = c.lease
	c.users.limits = c.limits
	c.users.replication = c.replication
	c.users.store = c.store
}

// misdirectedHeartbeat is a report that came to a node that does not own its machine.
type misdirectedHeartbeat struct {
	receivedAt        protocol.Instant
	agentEpoch        protocol.AgentEpoch
	sequence          protocol.Sequence
	hasAgentResponded bool // its worker has answered here since
	isAnnounced       bool // its owner has been told, in this turn of the hints
}

// pauseThreshold is a pause between steps that is this process's own doing: its timer
// alone brings one every 50 ms.
const pauseThreshold = 2 * time.Second

type peer struct {
	status     PeerStatus
	receivedAt protocol.Instant
}

type pendingTransaction struct {
	id             uint64
	sentAt         protocol.Instant
	transaction    protocol.Transaction
	isWriteBarrier bool
	registers      bool // registers this run
	isUserBatch    bool // holds what users asked for
	logsOnApply    []Effect
}

// rngStream selects the random sequence of the core.
const rngStream = 7

// New makes the core of a controller that knows nothing yet.
func New(cfg Config, now Now) *Core {
	ctx := &stepContext{cfg: cfg, now: now, rng: rand.New(rand.NewPCG(cfg.Seed, rngStream)), replica: storage.NewReplica()}
	c := &Core{
		stepContext:   ctx,
		store:         &storeHealth{stepContext: ctx},
		lease:         &incarnationLease{stepContext: ctx},
		replication:   &replicaSync{stepContext: ctx},
		limits:        &writeLimiter{stepContext: ctx},
		upgrade:       newFormatUpgrade(ctx),
		commits:       &committer{stepContext: ctx},
		shards:        newShardWriter(ctx),
		peers:         newPeerTable(ctx),
		overload:      &overloadDetector{stepContext: ctx},
		agents:        newAgentTable(ctx),
		misdirected:   newMisdirectedHeartbeats(ctx),
		heartbeats:    &heartbeatHandler{stepContext: ctx},
		calls:         &agentCaller{stepContext: ctx},
		reconciler:    &reconciler{stepContext: ctx},
		stopper:       newTaskStopper(ctx),
		monitor:       &agentMonitor{stepContext: ctx},
		jobs:          newJobTable(ctx),
		cancellations: newCanceller(ctx),
		ownership:     newShardOwnership(ctx),
		transfers:     newTransferManager(ctx),
		operators:     &operatorRequests{stepContext: ctx},
		catalog:       &machineCatalog{stepContext: ctx},
		spot:          newSpotPricing(ctx),
		inventory:     newInstanceInventory(ctx),
		provisioner:   newMachineProvisioner(ctx),
		terminator:    newMachineTerminator(ctx),
		queue:         &jobQueue{stepContext: ctx},
		capacity:      &candidateLister{stepContext: ctx},
		contention:    newContentionTracker(ctx),
		backfill:      &backfillPlanner{stepContext: ctx},
		plan:          &placementPlan{stepContext: ctx},
		acquirer:      &jobAcquirer{stepContext: ctx},
		scheduler:     newScheduler(ctx),
		gangs:         &gangScheduler{stepContext: ctx},
		services:      &serviceScheduler{stepContext: ctx},
		preemption:    &preemptor{stepContext: ctx},
		users:         newUserRequestHandler(ctx),
	}
	c.connect()
	c.replica.OnMachineChange = c.onMachineChanged
	c.limits.updateWriteLimiter()
	return c
}

// sortedKeys lists a map's keys in order: what a step does depends on its inputs
// only, never on the order in which a map happens to be walked.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// selectKeys lists, in order, the keys whose values are to be looked at.
func selectKeys[K cmp.Ordered, V any](m map[K]V, matches func(V) bool) []K {
	var out []K
	for k, v := range m {
		if matches(v) {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

func millisToDuration(m protocol.Millis) time.Duration { return time.Duration(m) * time.Millisecond }

// Step takes one input and gives the effects it has.
func (c *Core) Step(now Now, in Input) []Effect {
	if c.lastStepAt != 0 && now.Monotonic.Sub(c.lastStepAt) > pauseThreshold {
		// What has come in meanwhile lies in queues, in no order that tells who was
		// silent: silence counts from now on.
		c.resumedAt = now.Monotonic
	}
	c.now, c.lastStepAt = now, now.Monotonic
	c.effects = nil
	switch v := in.(type) {
	case UserInput:
		c.users.onUserInput(v)
	case HeartbeatInput:
		c.heartbeats.onHeartbeat(v)
	case CommitResult:
		c.commits.onCommitResult(v)
	case LoadRecordsResult:
		c.replication.onLoadRecordsResult(v)
	case WatchResult:
		c.replication.onWatchResult(v)
	case ReadRevisionResult:
		c.users.onReadRevisionResult(v)
	case GrantLeaseResult:
		c.lease.onGrantLeaseResult(v)
	case RenewLeaseResult:
		c.lease.onRenewLeaseResult(v)
	case ListMachineTypesResult:
		c.catalog.onMachineTypes(v)
	case ProvisionMachinesResult:
		c.provisioner.onProvisionResult(v)
	case TerminateMachinesResult:
		c.terminator.onTerminateResult(v)
	case ListInstancesResult:
		c.inventory.onInstanceList(v)
	case AgentResult:
		c.shouldRecheckDeferred = true
		c.calls.onAgentResult(v)
	case TransferRequest:
		c.operators.onTransferRequest(v)
	case DrainRequest:
		c.operators.onDrainRequest(v)
	case ShardingStatusRequest:
		c.operators.onShardingStatusRequest(v)
	case PeerStatusInput:
		c.onPeerStatus(v.Status)
	case Tick:
		c.shouldRecheckDeferred = true
		c.tick()
	default:
		panic(fmt.Sprintf("coordination: unknown input %T", in))
	}
	c.users.replyPending()
	c.heartbeats.resolveDeferredHeartbeats()
	c.commitBatch()
	c.replication.watchRecords(len(c.users.deferredRequests) > 0)
	return c.effects
}

// onPeerStatus takes in what another controller says of itself. A machine that is
// silent here but reports there is handed over: the way between its worker and
// this node is broken, and waiting would only let its lease run out.
func (c *Core) onPeerStatus(status PeerStatus) {
	c.peers.recordStatus(&status)
	c.cancellations.onPeerCancellations(&status)
	c.ownership.recordHeartbeatsElsewhere(&status)
}

// onMachineChanged takes in that a machine's record has changed.
func (c *Core) onMachineChanged(id protocol.MachineID, before, after *storage.MachineRecord) {
	c.shouldRecheckDeferred = true
	if before != nil && after != nil {
		c.services.recordExitedReplicas(id, before, after)
	}
	c.agents.recordAssignments(id, before, after)
}

// Healthy tells whether the node can take requests. In an outage that all see
// it stays healthy: it can answer, if only that the user must come back.
func (c *Core) Healthy() bool {
	if !c.replication.isLoaded || c.lease.incarnation == "" {
		// A process that begins in an outage has read nothing, and is no worse than
		// the others: it says so at once, and serves as soon as it can, while a node
		// that was called unhealthy would be passed over for a while behind the outage.
		if c.store.consecutiveFailures == 0 || c.since(c.store.firstFailureAt) < 2*time.Second {
			return false
		}
	} else if !c.replication.storeUnavailable() || c.since(c.store.lastResponseAt) < 3*time.Second {
		return true
	}
	// If another one reaches the state service, it is this node alone that is cut off. A
	// node that hears neither the state service nor any other node must take it that it
	// is the one that is cut off: users do better elsewhere.
	return c.peers.PeersReportStoreUnavailable(3 * time.Second)
}

func (c *Core) tick() {
	now := c.now.Monotonic
	c.overload.measureOverload()
	c.replication.tickLoad()
	c.lease.tickLease()
	c.cancellations.tickCancellations()
	c.peers.tickPeerStatus()
	c.users.expireUserRequests()
	c.cancellations.expireCancellations()
	if now < c.nextFullTickAt {
		return
	}
	c.nextFullTickAt = now.Add(200 * time.Millisecond)
	if c.replication.isLoaded {
		c.upgrade.recordFormatSupport()
		c.ownership.trackExpiredIncarnations()
	}
	c.operators.expireOperatorRequests()
	if c.replication.isLoaded {
		c.monitor.tickMachines()
		c.forgetGone()
	}
	c.cancellations.forceScaleIn()
	c.pollCloud()
}

// forgetInterval is the distance at which what is remembered of machines and jobs that are
// gone is dropped.
const forgetInterval = 2 * time.Second

// forgetGone drops what is remembered of machines and jobs that are gone.
func (c *Core) forgetGone() {
	if c.now.Monotonic < c.nextCleanupAt {
		return
	}
	c.nextCleanupAt = c.now.Monotonic.Add(forgetInterval)
	c.agents.forgetMachines()
	c.jobs.forgetJobs()
}

// pollCloud asks the cloud for what is due.
func (c *Core) pollCloud() {
	c.catalog.pollMachineTypes()
	if !c.replication.isLoaded || !c.lease.isRegistered() {
		return
	}
	c.terminator.forgetTerminated()
	c.provisioner.scaleOut()
	c.terminator.sendTerminations()
	c.inventory.pollInstances()
}

// maxMisdirectedPerStatus is how many machines of others one hint names: what fits into a frame beside
// the withdrawals, for all versions.
const maxMisdirectedPerStatus = 200

// peerStatusBacklogInterval is the distance of hints while there is more to tell than fits into one.
const peerStatusBacklogInterval = 200 * time.Millisecond

// overloadTickInterval is a mean distance of ticks that shows a process short of time: five
// times what it should be.
const overloadTickInterval = 250 * time.Millisecond
