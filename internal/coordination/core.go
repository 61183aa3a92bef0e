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

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// Core is the state machine of one controller.
type Core struct {
	cfg Config
	now Now
	out []Effect
	rng *rand.Rand

	// What the state service holds, as far as it is known here.
	replica     *bk.Replica
	replication replication
	service     serviceHealth

	wokeAt protocol.Instant // when this process last went on after it had stood still
	stepAt protocol.Instant // last step

	// This process run.
	run   bk.Run
	lease lease
	self  protocol.Stamp // stamp of this member's key while run is registered

	// Transactions: one at a time, and one beside it for what users ask for, which
	// would else wait for all that ends and starts.
	tokens    *rate.Limiter
	txID      uint64
	tx        *txn
	userTx    *txn
	userAt    protocol.Instant // next one of those
	fence     bool             // a transaction had an unknown outcome
	minRev    protocol.Rev     // the replica must be as new before the next one
	minRevAt  protocol.Instant
	flushAt   protocol.Instant
	busyCount int
	rate      float64 // writes a second that this node allows itself
	txCap     int     // changes that a transaction may have now
	gangNeeds int     // changes that a gang needs which found no room in the last one
	pageSeq   int
	joinAt    protocol.Instant // when pages may next be joined
	turn      int              // of own pages, the one to go on with
	partial   bool             // the last transaction could not take the news of all

	upgrade   upgrade
	ownership ownership

	transferObservations map[bk.MoveSlot]moveWatch
	lastRebalanceAt      protocol.Instant // when moves were last planned
	lastTransferNumber   int              // of the last move that was named

	pendingOperatorRequests []*pendingRequest // that are not on record yet

	// Users and workers that wait.
	submits       map[protocol.JobID]*submit
	cancellations cancellations
	halts         map[protocol.JobID]protocol.Attempt // attempts of gangs that are to stop in order
	waiters       []*waiter
	revision      revisionRead
	machines      map[protocol.MachineID]*mstate
	leaving       []protocol.MachineID        // owned ones that are to go back
	holding       map[protocol.MachineID]bool // whose reports wait for their answers
	adopting      map[protocol.MachineID]bool // those of them that wait for an owner
	stirred       bool                        // something has changed that they may wait for
	doing         int                         // direct commands under way

	// Jobs, as far as this process remembers more than the records.
	jobs map[protocol.JobID]*jstate

	// Cloud.
	flavors    []protocol.Flavor
	flavorOut  bool
	flavorAt   protocol.Instant
	rentals    rentals
	releasing  map[protocol.MachineID]*release
	releaseOut bool
	listOut    bool
	listAt     protocol.Instant // next read of the list
	listedAt   protocol.Instant // last one
	silentOwn  int              // owned machines that are silent
	listed     map[protocol.MachineID]*listing
	released   map[protocol.MachineID]protocol.Instant
	spot       map[priceKey]*Threshold
	demand     []unmetDemand
	warm       warmPool
	waitedFor  map[protocol.Sku]protocol.Instant // when tasks last found no machine of a type

	peers      map[protocol.Member]peer
	strayed    map[protocol.MachineID]stray // reported here though another run owns them
	hintAt     protocol.Instant
	hintSoon   bool // there is something that the others should hear at once
	planned    plan
	assignedAt map[assignment]protocol.Instant
	fleetAt    protocol.Instant
	tickAt     protocol.Instant
	tickedAt   protocol.Instant // last tick
	lag        time.Duration    // mean distance of ticks
	strainAt   protocol.Instant // since when it is too long; 0: it is not
	forgetAt   protocol.Instant // when what is remembered of machines and jobs that are gone is dropped next
}

// stray is a report that came to a node that does not own its machine.
type stray struct {
	at      protocol.Instant
	session protocol.Session
	tally   protocol.Tally
	shown   bool // its worker has answered here since
	told    bool // its owner has been told, in this turn of the hints
}

// stoodStill is a pause between steps that is this process's own doing: its timer
// alone brings one every 50 ms.
const stoodStill = 2 * time.Second

type peer struct {
	hint Hint
	at   protocol.Instant
}

type txn struct {
	id    uint64
	sent  protocol.Instant
	multi protocol.Multi
	fence bool
	reg   bool // registers this run
	user  bool // holds what users asked for
	logs  []Effect
}

// New makes the core of a controller that knows nothing yet.
func New(cfg Config, now Now) *Core {
	c := &Core{
		cfg: cfg, now: now, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), replica: bk.NewReplica(),
		submits: map[protocol.JobID]*submit{}, cancellations: newCancellations(),
		halts: map[protocol.JobID]protocol.Attempt{}, machines: map[protocol.MachineID]*mstate{}, jobs: map[protocol.JobID]*jstate{},
		rentals: newRentals(), warm: newWarmPool(), waitedFor: map[protocol.Sku]protocol.Instant{}, releasing: map[protocol.MachineID]*release{},
		listed: map[protocol.MachineID]*listing{}, released: map[protocol.MachineID]protocol.Instant{},
		spot: map[priceKey]*Threshold{}, peers: map[protocol.Member]peer{}, strayed: map[protocol.MachineID]stray{},
		ownership: newOwnership(), transferObservations: map[bk.MoveSlot]moveWatch{}, holding: map[protocol.MachineID]bool{}, adopting: map[protocol.MachineID]bool{}, assignedAt: map[assignment]protocol.Instant{},
	}
	c.replica.Changed = c.onChanged
	c.upgrade.readers = map[protocol.Member]bool{}
	c.applyLimits()
	return c
}

// sorted lists a map's keys in order: what a step does depends on its inputs
// only, never on the order in which a map happens to be walked.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// pick lists, in order, the keys whose values are to be looked at.
func pick[K cmp.Ordered, V any](m map[K]V, keep func(V) bool) []K {
	var out []K
	for k, v := range m {
		if keep(v) {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) log(l slog.Level, msg string, args ...any) { c.emit(Log{l, msg, args}) }

// steady is the wall-free time as x/time/rate wants it.
func (c *Core) steady() time.Time { return time.Unix(0, int64(c.now.Steady)) }

func millis(m protocol.Millis) time.Duration { return time.Duration(m) * time.Millisecond }

func (c *Core) since(t protocol.Instant) time.Duration { return c.now.Steady.Sub(t) }

// jitter gives d, give or take a quarter.
func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + c.rng.Float64()/2))
}

// Step takes one input and gives the effects it has.
func (c *Core) Step(now Now, in Input) []Effect {
	if c.stepAt != 0 && now.Steady.Sub(c.stepAt) > stoodStill {
		// What has come in meanwhile lies in queues, in no order that tells who was
		// silent: silence counts from now on.
		c.wokeAt = now.Steady
	}
	c.now, c.stepAt = now, now.Steady
	c.out = nil
	switch v := in.(type) {
	case UserInput:
		c.user(v)
	case ReportInput:
		c.report(v)
	case CommitResult:
		c.committed(v)
	case LoadResult:
		c.onLoad(v)
	case FollowResult:
		c.onFollow(v)
	case RevResult:
		c.onRev(v)
	case GrantResult:
		c.onGrant(v)
	case ExtendResult:
		c.onExtend(v)
	case FlavorsResult:
		c.onFlavors(v)
	case RentalResult:
		c.onRental(v)
	case ReleaseResult:
		c.onRelease(v)
	case ListResult:
		c.onList(v)
	case DoResult:
		c.stirred = true
		c.onDo(v)
	case MoveRequest:
		c.onMoveRequest(v)
	case DrainRequest:
		c.onDrainRequest(v)
	case SharesRequest:
		c.onSharesRequest(v)
	case HintInput:
		c.onHint(v.Hint)
	case Tick:
		c.stirred = true
		c.tick()
	default:
		panic(fmt.Sprintf("coordination: unknown input %T", in))
	}
	c.settle()
	c.settleReports()
	c.flush()
	c.follow(len(c.waiters) > 0)
	return c.out
}

// onHint takes in what another controller says of itself. A machine that is
// silent here but reports there is handed over: the way between its worker and
// this node is broken, and waiting would only let its lease run out.
func (c *Core) onHint(h Hint) {
	c.peers[h.Member] = peer{h, c.now.Steady}
	c.onWithdrawals(&h)
	c.noteReportsElsewhere(&h)
}

// onChanged takes in that a machine's record has changed.
func (c *Core) onChanged(id protocol.MachineID, before, after *bk.MachineRecord) {
	c.stirred = true
	if before != nil && after != nil {
		c.noteEndedReplicas(id, before, after)
	}
	c.noteAssignments(id, before, after)
}

// noteReportsElsewhere marks the owned machines whose workers report to the sender of a
// hint, to be handed over.
func (c *Core) noteReportsElsewhere(h *Hint) {
	for _, s := range h.Seen[:min(len(h.Seen), maxSeen)] {
		if e := c.replica.Machines[s.Machine]; e != nil && c.mine(&e.Rec) && c.replica.Alive(h.Run) {
			m := c.own(e, s.Machine)
			if s.Session < m.lastSession || s.Session == m.lastSession && s.Tally <= m.lastTally {
				continue // a late copy of a report that has been here
			}
			// What was sent before and comes here late is no sign that the worker reaches
			// this node.
			m.lastSession, m.lastTally = s.Session, s.Tally
			m.handTo, m.handAt = h.Run, c.now.Steady
			c.ownership.handing[s.Machine] = true
		}
	}
}

func (c *Core) registered() bool { return c.self != 0 }

// Healthy tells whether the node can take requests. In an outage that all see
// it stays healthy: it can answer, if only that the user must come back.
func (c *Core) Healthy() bool {
	if !c.replication.loaded || c.run == "" {
		// A process that begins in an outage has read nothing, and is no worse than
		// the others: it says so at once, and serves as soon as it can, while a node
		// that was called unhealthy would be passed over for a while behind the outage.
		if c.service.failures == 0 || c.since(c.service.downAt) < 2*time.Second {
			return false
		}
	} else if !c.stateDown() || c.since(c.service.answeredAt) < 3*time.Second {
		return true
	}
	// If another one reaches the state service, it is this node alone that is cut off. A
	// node that hears neither the state service nor any other node must take it that it
	// is the one that is cut off: users do better elsewhere.
	return c.peersLackState(3 * time.Second)
}

// peersLackState tells whether other controllers have been heard of within a time, and
// all of those say that they do not reach the state service.
func (c *Core) peersLackState(within time.Duration) bool {
	heard := c.cfg.Peers == 0
	for _, p := range c.peers {
		if c.since(p.at) >= within {
			continue
		}
		if p.hint.StateOK {
			return false
		}
		heard = true
	}
	return heard
}

func (c *Core) tick() {
	now := c.now.Steady
	c.strain()
	if !c.replication.loaded && !c.replication.loading && !c.replication.following && now >= c.replication.retryAt {
		c.replication.loading, c.replication.loadAsk = true, now
		c.emit(Load{})
	}
	c.tickLease()
	c.tickWithdrawals()
	c.tickHint()
	c.tickUsers()
	c.forgetWanted()
	if now < c.tickAt {
		return
	}
	c.tickAt = now.Add(200 * time.Millisecond)
	if c.replication.loaded {
		c.observeVersions()
		c.tickRuns()
	}
	c.tickRequests()
	if c.replication.loaded {
		c.tickMachines()
		c.forgetGone()
	}
	c.lastResort()
	c.tickCloud()
}

// forgetInterval is the distance at which what is remembered of machines and jobs that are
// gone is dropped.
const forgetInterval = 2 * time.Second

// forgetGone drops what is remembered of machines and jobs that are gone.
func (c *Core) forgetGone() {
	if c.now.Steady < c.forgetAt {
		return
	}
	c.forgetAt = c.now.Steady.Add(forgetInterval)
	c.forgetMachines()
	c.forgetJobs()
}

// tickCloud asks the cloud for what is due.
func (c *Core) tickCloud() {
	c.tickFlavors()
	if !c.replication.loaded || !c.registered() {
		return
	}
	c.forgetReleased()
	c.rent()
	c.sendReleases()
	c.tickList()
}

// tickHint tells the other controllers of this one when that is due.
func (c *Core) tickHint() {
	now := c.now.Steady
	if now < c.hintAt && !c.hintSoon {
		return
	}
	c.hintSoon = false
	c.hintAt = now.Add(c.jitter(time.Second))
	h := Hint{Member: c.cfg.Member, StateOK: c.replication.loaded && c.since(c.service.answeredAt) < 2*time.Second && c.service.failures == 0}
	if c.registered() {
		h.Run = c.run
		c.withdrawalHint(&h)
		h.Fit = c.fit()
		if c.seenHint(&h) {
			c.hintAt = now.Add(c.jitter(moreHints))
		}
	}
	maps.DeleteFunc(c.strayed, func(_ protocol.MachineID, s stray) bool { return c.since(s.at) > 3*time.Second })
	c.emit(SendHint{h})
}

// maxSeen is how many machines of others one hint names: what fits into a frame beside
// the withdrawals, for all versions.
const maxSeen = 200

// moreHints is the distance of hints while there is more to tell than fits into one.
const moreHints = 200 * time.Millisecond

// seenHint adds to a hint the machines of others whose workers report here, in turn, and
// tells whether there are more.
func (c *Core) seenHint(h *Hint) (more bool) {
	shown := pick(c.strayed, func(s stray) bool { return s.shown && !s.told })
	for _, id := range shown[:min(len(shown), maxSeen)] {
		s := c.strayed[id]
		h.Seen = append(h.Seen, Seen{id, s.session, s.tally})
		s.told = true
		c.strayed[id] = s
	}
	if len(shown) > maxSeen {
		return true
	}
	for id, s := range c.strayed {
		s.told = false // a hint may have been lost: they are told once more
		c.strayed[id] = s
	}
	return false
}

// strain notes whether this process falls behind: its ticks, which are due every 50
// ms, come late for seconds on end. One that computes several times slower than the
// others gives pages away, before their workers lose patience and their leases.
func (c *Core) strain() {
	gap := min(c.since(c.tickedAt), time.Second)
	if c.tickedAt != 0 {
		c.lag += (gap - c.lag) / 16
	}
	c.tickedAt = c.now.Steady
	if c.lag < lateTicks {
		c.strainAt = 0
	} else if c.strainAt == 0 {
		c.strainAt = c.now.Steady
	}
}

// strained tells whether it has fallen behind for so long that it is no passing peak.
func (c *Core) strained() bool { return c.strainAt != 0 && c.since(c.strainAt) > 3*time.Second }

// lateTicks is a mean distance of ticks that shows a process short of time: five
// times what it should be.
const lateTicks = 250 * time.Millisecond
