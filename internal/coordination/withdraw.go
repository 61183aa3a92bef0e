package coordination

import (
	"log/slog"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// A job is withdrawn in two steps, both on record. The intent comes first: from then
// on its claimant assigns nothing, and owners start nothing and stop its tasks. The
// job is called withdrawn once nobody who could keep or begin a task of it is unaware:
// a controller whose watch stands still would else go on answering its workers for as
// long as an outage lasts. An intent is never taken back.
//
// For each machine that has an attempt of the job on record behind the intent, its
// owner answers for it: this controller by what it knows itself (settled), another one
// by an acknowledgement, which binds its process. A run that has ended answers for
// nothing, as its process may be cut off with its workers and go on: its heir must have
// been shown the token by the worker. Who takes a page over, or begins, knows the
// intent by then: it answers no worker before its replica has its own write.

// Intent is the fact that a job is being withdrawn, for controllers whose replicas do
// not have it yet.
type Intent struct {
	Job protocol.JobID
	Rev protocol.Rev // at which it is on record
}

// told is an intent that another controller told of.
type told struct {
	rev protocol.Rev
	at  protocol.Instant
}

// cancellations is what this process knows of jobs that are being withdrawn.
type cancellations struct {
	wanted   map[protocol.JobID]protocol.Instant        // since when this run withdraws them
	told     map[protocol.JobID]told                    // intents that the replica does not have yet
	acks     map[protocol.JobID]map[bk.Run]protocol.Rev // runs that answer for one, and their replicas' revisions
	acked    map[protocol.JobID]bool                    // intents that this run answers for
	aware    map[protocol.JobID]bool                    // intents of which nobody who matters is unaware
	intentAt map[protocol.JobID]protocol.Instant        // intents in the last message to the others

	intentTurn, ackTurn rotation // which of them the next message begins with
}

func newCancellations() cancellations {
	return cancellations{wanted: map[protocol.JobID]protocol.Instant{}, told: map[protocol.JobID]told{},
		acks: map[protocol.JobID]map[bk.Run]protocol.Rev{}, aware: map[protocol.JobID]bool{}, intentAt: map[protocol.JobID]protocol.Instant{}}
}

// Bounds of what controllers tell each other of withdrawals in one message, and of
// what is kept of it.
const (
	maxIntents = 150
	maxAcks    = 200
	maxTold    = 2000
)

// calledOff tells whether a job is withdrawn, or about to be: none of its tasks may
// begin or go on.
func (c *Core) calledOff(id protocol.JobID) bool {
	if e := c.replica.Jobs[id]; e != nil && e.Rec.CalledOff() {
		return true
	}
	_, ok := c.cancellations.told[id]
	return ok
}

// calledOffFor is for how long that has been so: counted from the confirmation as far
// as it is on record.
func (c *Core) calledOffFor(id protocol.JobID) time.Duration {
	d := time.Duration(0)
	if e := c.replica.Jobs[id]; e != nil && e.Rec.CalledOff() {
		d = millis(c.now.Wall - e.Rec.OffAt)
	}
	if k, ok := c.cancellations.told[id]; ok {
		d = max(d, c.since(k.at))
	}
	return d
}

// settled tells whether on an owned machine no task of a job that is called off can
// begin any more, and no earlier owner can keep one: the worker has shown this
// ownership's token, and what its newest report shows is past its image or gone.
func (c *Core) settled(id protocol.MachineID, job protocol.JobID) bool {
	e, m := c.replica.Machines[id], c.machines[id]
	if c.returned(id) {
		return true
	}
	if m == nil || m.rep == nil || bk.EpochOf(m.confirmed) < e.Rec.Epoch {
		return false
	}
	if m.rep.Session > e.Rec.Session || c.surelyExpired(m, &e.Rec) {
		return true // killed
	}
	if m.proven(&e.Rec) == nil {
		return false
	}
	for a := range e.Rec.Of(job) {
		if !m.each(a, func(p *protocol.TaskReport) bool { return p.Stage != protocol.Fetching }) {
			return false
		}
	}
	return true
}

// each tells whether no start of the assigned tasks is in flight, and the newest report
// either lacks each of them or shows it as it should be.
func (m *mstate) each(a *bk.Assigned, ok func(*protocol.TaskReport) bool) bool {
	all := true
	a.Tasks.Each(func(n int) bool {
		t := protocol.Task{Job: a.Job, Index: n}
		_, sent := m.inflight[t]
		p := m.byTask[t]
		all = !sent && (p == nil || ok(p))
		return all
	})
	return all
}

// returned tells whether the cloud has answered a release of the machine.
func (c *Core) returned(id protocol.MachineID) bool {
	r := c.releasing[id]
	return r != nil && r.done
}

// ownSettled tells whether all owned machines are settled for a job.
func (c *Core) ownSettled(id protocol.JobID) bool {
	for mid := range c.replica.On(id) {
		if e := c.replica.Machines[mid]; c.mine(&e.Rec) && !c.settled(mid, id) {
			return false
		}
	}
	return true
}

// allAware tells whether nobody who could keep or begin a task of the job is unaware
// of its intent.
func (c *Core) allAware(id protocol.JobID) bool {
	if c.replica.Rev < protocol.Rev(c.replica.Jobs[id].Stamp) {
		return false // what was assigned before the intent may be missing here
	}
	for mid := range c.replica.On(id) {
		r := &c.replica.Machines[mid].Rec
		if c.mine(r) {
			if !c.settled(mid, id) {
				return false
			}
			continue
		}
		if c.returned(mid) {
			continue
		}
		// An acknowledgement covers what its sender knew that it owns.
		rev, ok := c.cancellations.acks[id][r.Owner]
		if !ok || !c.replica.Alive(r.Owner) || rev < protocol.Rev(c.replica.Pages[r.Page].Since) {
			return false
		}
	}
	return true
}

// inOneWrite tells whether a job can be called withdrawn with no intent before:
// nothing of it is assigned but on settled machines of this run, and nothing can be,
// as only this run assigns its tasks. The write rests on the pages of these machines:
// one that is being given away goes first or not at all.
func (c *Core) inOneWrite(b *batch, id protocol.JobID) bool {
	e := c.replica.Jobs[id]
	if e.Rec.Claim != c.run || c.replica.Rev < protocol.Rev(e.Stamp) || c.pendingRestsOn(bk.JobKey(id)) ||
		len(b.when)+len(c.replica.On(id)) > 3*c.limits().TxnOps {
		return false
	}
	for mid := range c.replica.On(id) {
		if r := &c.replica.Machines[mid].Rec; !c.mine(r) || !c.settled(mid, id) {
			return false
		}
	}
	for mid := range c.replica.On(id) {
		b.on(bk.PageKey(c.replica.Machines[mid].Rec.Page))
	}
	return true
}

// forgetWanted gives up on withdrawals that could not be put on record for long.
func (c *Core) forgetWanted() {
	for id, at := range c.cancellations.wanted {
		// The user is told to come back; withdrawing goes on all the same
		// for a while, as it was asked for.
		if c.replica.Withdrawing[id] == nil && c.since(at) > 30*time.Second {
			delete(c.cancellations.wanted, id)
		}
	}
}

// writeWithdrawals puts the next step of each withdrawal into the transaction.
func (c *Core) writeWithdrawals(b *batch) {
	for _, id := range sorted(c.cancellations.wanted) {
		e := c.replica.Jobs[id]
		switch {
		case e == nil || e.Rec.Stage.Final():
			delete(c.cancellations.wanted, id)
		case !b.hasRoom(1) || e.Rec.Withdrawing && (!c.cancellations.aware[id] || c.replica.Done(id).Len() >= e.Rec.Desc.Tasks):
			// Not yet; or all its tasks turned out done first: its claimant says so.
		case e.Rec.Withdrawing || c.inOneWrite(b, id):
			r := b.job(id)
			r.Stage, r.Withdrawing, r.OffAt = protocol.Withdrawn, false, c.now.Wall
		default:
			r := b.job(id)
			r.Withdrawing, r.OffAt = true, c.now.Wall
		}
	}
}

// tickWithdrawals finds out which withdrawals can be told, and what others are told.
func (c *Core) tickWithdrawals() {
	if !c.replication.loaded {
		return
	}
	for id, k := range c.cancellations.told {
		if c.replica.Rev >= k.rev {
			delete(c.cancellations.told, id) // the replica has it, or it is over
		}
	}
	for id := range c.cancellations.aware {
		if c.replica.Withdrawing[id] == nil {
			delete(c.cancellations.aware, id)
		}
	}
	for id := range c.cancellations.acks {
		if c.replica.Withdrawing[id] == nil {
			delete(c.cancellations.acks, id)
		}
	}
	before := c.cancellations.acked
	c.cancellations.acked = map[protocol.JobID]bool{}
	ack := func(id protocol.JobID) {
		if c.ownSettled(id) {
			c.cancellations.acked[id] = true
			c.hintSoon = c.hintSoon || !before[id]
		}
	}
	for id := range c.cancellations.told {
		ack(id)
	}
	for id := range c.replica.Withdrawing {
		ack(id)
		if _, asked := c.cancellations.wanted[id]; !asked && c.calledOffFor(id) > 4*time.Second && c.heir(bk.JobKey(id)) {
			c.wantAbort(id) // whoever began it may be gone
		}
		if !c.cancellations.aware[id] {
			c.cancellations.aware[id] = c.allAware(id)
			// Only who drives it tells of it: the others have nothing to send at once.
			_, sent := c.cancellations.intentAt[id]
			_, driven := c.cancellations.wanted[id]
			c.hintSoon = c.hintSoon || driven && !sent && !c.cancellations.aware[id]
		}
	}
}

// withdrawalHint adds to what the other controllers are told: the intents that some of
// them do not seem to know, and those that this one answers for. Both are repeated until
// they are over; if there are too many for one message, they take turns.
func (c *Core) withdrawalHint(h *Hint) {
	h.Rev = c.replica.Rev
	var open []protocol.JobID
	for _, id := range sorted(c.cancellations.wanted) {
		if e := c.replica.Withdrawing[id]; e != nil && !c.cancellations.aware[id] {
			open = append(open, id)
		}
	}
	clear(c.cancellations.intentAt)
	for _, id := range c.cancellations.intentTurn.take(open, maxIntents) {
		c.cancellations.intentAt[id] = c.now.Steady
		h.Intents = append(h.Intents, Intent{id, protocol.Rev(c.replica.Withdrawing[id].Stamp)})
	}
	h.Acks = c.cancellations.ackTurn.take(sorted(c.cancellations.acked), maxAcks)
}

// rotation takes parts of a list in turn, so that each entry comes within as many takes as
// the list has parts.
type rotation struct{ next int }

// take gives the next entries, and goes on behind them the next time.
func (r *rotation) take(ids []protocol.JobID, most int) []protocol.JobID {
	if len(ids) <= most {
		return ids
	}
	at := r.next % len(ids)
	r.next = at + most
	return append(append([]protocol.JobID(nil), ids[at:]...), ids[:at]...)[:most]
}

// onWithdrawals takes in what another controller says of withdrawals.
func (c *Core) onWithdrawals(h *Hint) {
	for _, in := range h.Intents[:min(len(h.Intents), maxIntents)] {
		if _, ok := c.cancellations.told[in.Job]; !ok && in.Job.Valid() && c.replica.Rev < in.Rev && len(c.cancellations.told) < maxTold {
			c.cancellations.told[in.Job] = told{in.Rev, c.now.Steady}
			c.stirred = true
		}
	}
	if !c.replica.Alive(h.Run) {
		return // of an unknown or ended run
	}
	for _, id := range h.Acks[:min(len(h.Acks), maxAcks)] {
		if c.replica.Withdrawing[id] == nil {
			continue
		}
		if c.cancellations.acks[id] == nil {
			c.cancellations.acks[id] = map[bk.Run]protocol.Rev{}
		}
		c.cancellations.acks[id][h.Run] = max(c.cancellations.acks[id][h.Run], h.Rev)
	}
}

// holdsCalledOff tells whether a task of a job that is called off may still be on the
// machine, and for how long that job has been.
func (c *Core) holdsCalledOff(m *mstate, r *bk.MachineRecord) (longest time.Duration, holds bool) {
	if m.rep != nil && m.rep.Session > r.Session {
		return 0, false // killed
	}
	known := m.rep != nil && m.rep.Session == r.Session && bk.EpochOf(m.rep.FencingToken) >= r.Epoch
	for i := range r.Assigned {
		a := &r.Assigned[i]
		if !c.calledOff(a.Job) {
			continue
		}
		gone := known && m.each(a, func(p *protocol.TaskReport) bool { return p.Stage == protocol.Ended })
		if !gone {
			longest, holds = max(longest, c.calledOffFor(a.Job)), true
		}
	}
	return longest, holds
}

// wouldNotGo tells whether a machine must go back because a task of a job that is
// called off is still there: it hangs, or cannot be reached. Early enough for a slow
// cloud, and late enough for what only needs a moment. cutOff: it is this node rather
// that is not reached.
func (c *Core) wouldNotGo(m *mstate, r *bk.MachineRecord, cutOff bool) bool {
	d, holds := c.holdsCalledOff(m, r)
	return holds && d > c.cfg.Cancel*2/5 && (c.silent(m) && !cutOff || d > c.cfg.Cancel*3/5)
}

// outForAll tells whether the state service is down, and not for this controller alone
// as far as the others say.
func (c *Core) outForAll() bool {
	return c.stateDown() && c.peersLackState(5*time.Second)
}

// returnUnmarked sends a machine back with no mark on record: while the state service
// is down for all, none can be written, and the task that is still there would break
// its rule meanwhile. To others it is a machine that died, which they know to meet; the
// mark keeps them from placing tasks there, which costs time only.
func (c *Core) returnUnmarked(id protocol.MachineID) {
	if c.releasing[id] != nil {
		return
	}
	c.releasing[id] = &release{unmarked: true}
	c.log(slog.LevelWarn, "machine goes back unrecorded", "machine", string(id), "why", "withdrawn task would not go")
}

// lastResort looks after machines whose owner is not heard of while the state service is
// down for all, so that nobody can take them over. If a task of a job that is called off
// may be there, the worker is asked; one that does not answer goes back.
func (c *Core) lastResort() {
	if !c.replication.loaded || !c.outForAll() {
		return
	}
	ids := pick(c.replica.Machines, func(e *bk.Machine) bool { return !c.mine(&e.Rec) && len(e.Rec.Assigned) > 0 })
	for _, id := range ids {
		e := c.replica.Machines[id]
		if p, ok := c.peers[e.Rec.Owner.Member()]; ok && p.hint.Run == e.Rec.Owner && c.since(p.at) < 5*time.Second {
			continue // its owner lives, and sees to it
		}
		m := c.mstate(id)
		d, holds := c.holdsCalledOff(m, &e.Rec)
		switch {
		case !holds || d < c.cfg.Cancel*2/5:
		case d > c.cfg.Cancel*3/5:
			c.returnUnmarked(id)
		case !m.doOut && c.since(m.doAt) > 2*time.Second && e.Rec.Addr != "" && c.doing < c.maxDoing():
			m.doOut, m.doAt = true, c.now.Steady
			c.doing++
			c.emit(SendShow{id, e.Rec.Addr})
		}
	}
}
