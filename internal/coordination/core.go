package coordination

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Core is the state machine of one controller.
type Core struct {
	cfg     Config
	now     Now
	effects []Effect
	rng     *rand.Rand

	// What the state service holds, as far as it is known here.
	replica     *storage.Replica
	replication replication
	store       storeHealth

	resumedAt  protocol.Instant // when this process last went on after it had stood still
	lastStepAt protocol.Instant // last step

	// This process run.
	incarnation          storage.Incarnation
	lease                leaseState
	registrationRevision protocol.ModRevision // stamp of this member's key while run is registered

	// Transactions: one at a time, and one beside it for what users ask for, which
	// would else wait for all that ends and starts.
	writeLimiter           *rate.Limiter
	lastTransactionID      uint64
	pendingTransaction     *pendingTransaction
	pendingUserTransaction *pendingTransaction
	nextUserCommitAt       protocol.Instant  // next one of those
	outcomeUnknown         bool              // a transaction had an unknown outcome
	minRevision            protocol.Revision // the replica must be as new before the next one
	minRevisionSince       protocol.Instant
	nextCommitAt           protocol.Instant
	consecutiveBusy        int
	writeRate              float64 // writes a second that this node allows itself
	maxTransactionOps      int     // changes that a transaction may have now
	pendingGangOps         int     // changes that a gang needs which found no room in the last one
	shardSequence          int
	nextShardMergeAt       protocol.Instant // when pages may next be joined
	nextShardIndex         int              // of own pages, the one to go on with
	lastCommitWasPartial   bool             // the last transaction could not take the news of all

	formatUpgrade formatUpgrade
	ownership     ownership

	transferObservations map[storage.TransferSlot]transferObservation
	lastRebalanceAt      protocol.Instant // when moves were last planned
	lastTransferNumber   int              // of the last move that was named

	pendingOperatorRequests []*operatorRequest // that are not on record yet

	// Users and workers that wait.
	submissions           map[protocol.JobID]*submission
	cancellations         cancellations
	gracefulStops         map[protocol.JobID]protocol.Attempt // attempts of gangs that are to stop in order
	deferredRequests      []*deferredRequest
	revisionRead          revisionRead
	machineStates         map[protocol.MachineID]*machineState
	scaleInQueue          []protocol.MachineID        // owned ones that are to go back
	deferredHeartbeats    map[protocol.MachineID]bool // whose reports wait for their answers
	awaitingOwner         map[protocol.MachineID]bool // those of them that wait for an owner
	shouldRecheckDeferred bool                        // something has changed that they may wait for
	agentCallsInFlight    int                         // direct commands under way

	// Jobs, as far as this process remembers more than the records.
	jobStates map[protocol.JobID]*jobState

	// Cloud.
	machineTypes          []protocol.MachineType
	isListingMachineTypes bool
	nextMachineTypesAt    protocol.Instant
	provisioning          provisioningState
	terminations          map[protocol.MachineID]*termination
	isTerminating         bool
	isListingInstances    bool
	nextInstanceListAt    protocol.Instant // next read of the list
	lastInstanceListAt    protocol.Instant // last one
	silentOwnedMachines   int              // owned machines that are silent
	listedInstances       map[protocol.MachineID]*listedInstance
	terminatedAt          map[protocol.MachineID]protocol.Instant
	spotThresholds        map[priceKey]*SpotPriceThreshold
	unmetDemands          []unmetDemand
	warmPool              warmPool
	lastContendedAt       map[protocol.MachineTypeName]protocol.Instant // when tasks last found no machine of a type

	peers                 map[protocol.ControllerID]peer
	misdirectedHeartbeats map[protocol.MachineID]misdirectedHeartbeat // reported here though another run owns them
	nextPeerStatusAt      protocol.Instant
	isPeerStatusUrgent    bool // there is something that the others should hear at once
	lastPlan              placementPlan
	assignedAt            map[assignmentKey]protocol.Instant
	nextFleetLogAt        protocol.Instant
	nextFullTickAt        protocol.Instant
	lastTickAt            protocol.Instant // last tick
	meanTickInterval      time.Duration    // mean distance of ticks
	overloadedSince       protocol.Instant // since when it is too long; 0: it is not
	nextCleanupAt         protocol.Instant // when what is remembered of machines and jobs that are gone is dropped next
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

// New makes the core of a controller that knows nothing yet.
func New(cfg Config, now Now) *Core {
	c := &Core{
		cfg: cfg, now: now, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), replica: storage.NewReplica(),
		submissions: map[protocol.JobID]*submission{}, cancellations: newCancellations(),
		gracefulStops: map[protocol.JobID]protocol.Attempt{}, machineStates: map[protocol.MachineID]*machineState{}, jobStates: map[protocol.JobID]*jobState{},
		provisioning: newProvisioningState(), warmPool: newWarmPool(), lastContendedAt: map[protocol.MachineTypeName]protocol.Instant{}, terminations: map[protocol.MachineID]*termination{},
		listedInstances: map[protocol.MachineID]*listedInstance{}, terminatedAt: map[protocol.MachineID]protocol.Instant{},
		spotThresholds: map[priceKey]*SpotPriceThreshold{}, peers: map[protocol.ControllerID]peer{}, misdirectedHeartbeats: map[protocol.MachineID]misdirectedHeartbeat{},
		ownership: newOwnership(), transferObservations: map[storage.TransferSlot]transferObservation{}, deferredHeartbeats: map[protocol.MachineID]bool{}, awaitingOwner: map[protocol.MachineID]bool{}, assignedAt: map[assignmentKey]protocol.Instant{},
	}
	c.replica.OnMachineChange = c.onMachineChanged
	c.formatUpgrade.packedReaders = map[protocol.ControllerID]bool{}
	c.updateWriteLimiter()
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

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) log(l slog.Level, msg string, args ...any) { c.emit(Log{l, msg, args}) }

// limiterTime is the wall-free time as x/time/rate wants it.
func (c *Core) limiterTime() time.Time { return time.Unix(0, int64(c.now.Monotonic)) }

func millisToDuration(m protocol.Millis) time.Duration { return time.Duration(m) * time.Millisecond }

func (c *Core) since(t protocol.Instant) time.Duration { return c.now.Monotonic.Sub(t) }

// jitter gives d, give or take a quarter.
func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + c.rng.Float64()/2))
}

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
		c.onUserInput(v)
	case HeartbeatInput:
		c.onHeartbeat(v)
	case CommitResult:
		c.onCommitResult(v)
	case LoadRecordsResult:
		c.onLoadRecordsResult(v)
	case WatchResult:
		c.onWatchResult(v)
	case ReadRevisionResult:
		c.onReadRevisionResult(v)
	case GrantLeaseResult:
		c.onGrantLeaseResult(v)
	case RenewLeaseResult:
		c.onRenewLeaseResult(v)
	case ListMachineTypesResult:
		c.onMachineTypes(v)
	case ProvisionMachinesResult:
		c.onProvisionResult(v)
	case TerminateMachinesResult:
		c.onTerminateResult(v)
	case ListInstancesResult:
		c.onInstanceList(v)
	case AgentResult:
		c.shouldRecheckDeferred = true
		c.onAgentResult(v)
	case TransferRequest:
		c.onTransferRequest(v)
	case DrainRequest:
		c.onDrainRequest(v)
	case ShardingStatusRequest:
		c.onShardingStatusRequest(v)
	case PeerStatusInput:
		c.onPeerStatus(v.Status)
	case Tick:
		c.shouldRecheckDeferred = true
		c.tick()
	default:
		panic(fmt.Sprintf("coordination: unknown input %T", in))
	}
	c.replyPending()
	c.resolveDeferredHeartbeats()
	c.commitBatch()
	c.watchRecords(len(c.deferredRequests) > 0)
	return c.effects
}

// onPeerStatus takes in what another controller says of itself. A machine that is
// silent here but reports there is handed over: the way between its worker and
// this node is broken, and waiting would only let its lease run out.
func (c *Core) onPeerStatus(status PeerStatus) {
	c.peers[status.ControllerID] = peer{status, c.now.Monotonic}
	c.onPeerCancellations(&status)
	c.recordHeartbeatsElsewhere(&status)
}

// onMachineChanged takes in that a machine's record has changed.
func (c *Core) onMachineChanged(id protocol.MachineID, before, after *storage.MachineRecord) {
	c.shouldRecheckDeferred = true
	if before != nil && after != nil {
		c.recordExitedReplicas(id, before, after)
	}
	c.recordAssignments(id, before, after)
}

// recordHeartbeatsElsewhere marks the owned machines whose workers report to the sender of a
// hint, to be handed over.
func (c *Core) recordHeartbeatsElsewhere(h *PeerStatus) {
	for _, misdirected := range h.MisdirectedHeartbeats[:min(len(h.MisdirectedHeartbeats), maxMisdirectedPerStatus)] {
		if e := c.replica.Machines[misdirected.Machine]; e != nil && c.ownsMachine(&e.Record) && c.replica.IsAlive(h.Incarnation) {
			m := c.trackOwnedMachine(e, misdirected.Machine)
			if misdirected.AgentEpoch < m.lastAgentEpoch || misdirected.AgentEpoch == m.lastAgentEpoch && misdirected.Sequence <= m.lastSequence {
				continue // a late copy of a report that has been here
			}
			// What was sent before and comes here late is no sign that the worker reaches
			// this node.
			m.lastAgentEpoch, m.lastSequence = misdirected.AgentEpoch, misdirected.Sequence
			m.handOffTarget, m.handOffRequestedAt = h.Incarnation, c.now.Monotonic
			c.ownership.pendingHandOffs[misdirected.Machine] = true
		}
	}
}

func (c *Core) isRegistered() bool { return c.registrationRevision != 0 }

// Healthy tells whether the node can take requests. In an outage that all see
// it stays healthy: it can answer, if only that the user must come back.
func (c *Core) Healthy() bool {
	if !c.replication.isLoaded || c.incarnation == "" {
		// A process that begins in an outage has read nothing, and is no worse than
		// the others: it says so at once, and serves as soon as it can, while a node
		// that was called unhealthy would be passed over for a while behind the outage.
		if c.store.consecutiveFailures == 0 || c.since(c.store.firstFailureAt) < 2*time.Second {
			return false
		}
	} else if !c.storeUnavailable() || c.since(c.store.lastResponseAt) < 3*time.Second {
		return true
	}
	// If another one reaches the state service, it is this node alone that is cut off. A
	// node that hears neither the state service nor any other node must take it that it
	// is the one that is cut off: users do better elsewhere.
	return c.peersReportStoreUnavailable(3 * time.Second)
}

// peersReportStoreUnavailable tells whether other controllers have been heard of within a time, and
// all of those say that they do not reach the state service.
func (c *Core) peersReportStoreUnavailable(within time.Duration) bool {
	anyHeard := c.cfg.PeerCount == 0
	for _, p := range c.peers {
		if c.since(p.receivedAt) >= within {
			continue
		}
		if p.status.StoreReachable {
			return false
		}
		anyHeard = true
	}
	return anyHeard
}

func (c *Core) tick() {
	now := c.now.Monotonic
	c.measureOverload()
	if !c.replication.isLoaded && !c.replication.isLoading && !c.replication.isWatching && now >= c.replication.retryAt {
		c.replication.isLoading, c.replication.loadRequestedAt = true, now
		c.emit(LoadRecords{})
	}
	c.tickLease()
	c.tickCancellations()
	c.tickPeerStatus()
	c.expireUserRequests()
	c.expireCancellations()
	if now < c.nextFullTickAt {
		return
	}
	c.nextFullTickAt = now.Add(200 * time.Millisecond)
	if c.replication.isLoaded {
		c.recordFormatSupport()
		c.trackExpiredIncarnations()
	}
	c.expireOperatorRequests()
	if c.replication.isLoaded {
		c.tickMachines()
		c.forgetGone()
	}
	c.forceScaleIn()
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
	c.forgetMachines()
	c.forgetJobs()
}

// pollCloud asks the cloud for what is due.
func (c *Core) pollCloud() {
	c.pollMachineTypes()
	if !c.replication.isLoaded || !c.isRegistered() {
		return
	}
	c.forgetTerminated()
	c.scaleOut()
	c.sendTerminations()
	c.pollInstances()
}

// tickPeerStatus tells the other controllers of this one when that is due.
func (c *Core) tickPeerStatus() {
	now := c.now.Monotonic
	if now < c.nextPeerStatusAt && !c.isPeerStatusUrgent {
		return
	}
	c.isPeerStatusUrgent = false
	c.nextPeerStatusAt = now.Add(c.jitter(time.Second))
	status := PeerStatus{ControllerID: c.cfg.ControllerID, StoreReachable: c.replication.isLoaded && c.since(c.store.lastResponseAt) < 2*time.Second && c.store.consecutiveFailures == 0}
	if c.isRegistered() {
		status.Incarnation = c.incarnation
		c.addCancellationStatus(&status)
		status.AcceptsShards = c.canAcceptMachines()
		if c.addMisdirectedHeartbeats(&status) {
			c.nextPeerStatusAt = now.Add(c.jitter(peerStatusBacklogInterval))
		}
	}
	maps.DeleteFunc(c.misdirectedHeartbeats, func(_ protocol.MachineID, heartbeat misdirectedHeartbeat) bool {
		return c.since(heartbeat.receivedAt) > 3*time.Second
	})
	c.emit(SendPeerStatus{status})
}

// maxMisdirectedPerStatus is how many machines of others one hint names: what fits into a frame beside
// the withdrawals, for all versions.
const maxMisdirectedPerStatus = 200

// peerStatusBacklogInterval is the distance of hints while there is more to tell than fits into one.
const peerStatusBacklogInterval = 200 * time.Millisecond

// addMisdirectedHeartbeats adds to a hint the machines of others whose workers report here, in turn, and
// tells whether there are more.
func (c *Core) addMisdirectedHeartbeats(status *PeerStatus) (hasMore bool) {
	responded := selectKeys(c.misdirectedHeartbeats, func(heartbeat misdirectedHeartbeat) bool {
		return heartbeat.hasAgentResponded && !heartbeat.isAnnounced
	})
	for _, id := range responded[:min(len(responded), maxMisdirectedPerStatus)] {
		heartbeat := c.misdirectedHeartbeats[id]
		status.MisdirectedHeartbeats = append(status.MisdirectedHeartbeats, MisdirectedHeartbeat{id, heartbeat.agentEpoch, heartbeat.sequence})
		heartbeat.isAnnounced = true
		c.misdirectedHeartbeats[id] = heartbeat
	}
	if len(responded) > maxMisdirectedPerStatus {
		return true
	}
	for id, heartbeat := range c.misdirectedHeartbeats {
		heartbeat.isAnnounced = false // a hint may have been lost: they are told once more
		c.misdirectedHeartbeats[id] = heartbeat
	}
	return false
}

// measureOverload notes whether this process falls behind: its ticks, which are due every 50
// ms, come late for seconds on end. One that computes several times slower than the
// others gives pages away, before their workers lose patience and their leases.
func (c *Core) measureOverload() {
	gap := min(c.since(c.lastTickAt), time.Second)
	if c.lastTickAt != 0 {
		c.meanTickInterval += (gap - c.meanTickInterval) / 16
	}
	c.lastTickAt = c.now.Monotonic
	if c.meanTickInterval < overloadTickInterval {
		c.overloadedSince = 0
	} else if c.overloadedSince == 0 {
		c.overloadedSince = c.now.Monotonic
	}
}

// isOverloaded tells whether it has fallen behind for so long that it is no passing peak.
func (c *Core) isOverloaded() bool {
	return c.overloadedSince != 0 && c.since(c.overloadedSince) > 3*time.Second
}

// overloadTickInterval is a mean distance of ticks that shows a process short of time: five
// times what it should be.
const overloadTickInterval = 250 * time.Millisecond
