package coordination

import (
	"errors"
	"log/slog"
	"slices"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

var errOutcome = errors.New("no usable answer")

const (
	attemptBlock = 1 << 10 // attempts that a claim sets aside at once
	maxWaiting   = 2000    // users that may wait at once; the rest are told to come back
)

// submit is a job that is not written yet.
type submit struct {
	job  *protocol.Job
	at   protocol.Instant
	wall protocol.Millis
	reqs []ReqID
}

// waiter is a request whose answer needs the replica at least as new as a
// revision read after the request arrived.
type waiter struct {
	req   ReqID
	verb  protocol.Verb
	id    protocol.JobID
	job   *protocol.Job // of a submission
	at    protocol.Instant
	asked bool         // the read that counts has begun
	rev   protocol.Rev // and gave this
	abort bool         // waits for the job to be withdrawn
}

// revisionRead is the read of the state service's revision that waiters share.
type revisionRead struct {
	asking  bool
	askedAt protocol.Instant
}

func (c *Core) reply(req ReqID, status int, v any) {
	c.emit(Reply{Req: req, Status: status, Body: protocol.Encode(v)})
}

type errorBody struct {
	Error string `json:"error"`
}

func (c *Core) sorry(req ReqID) {
	c.emit(Reply{Req: req, Status: 503, RetryAfter: 1, Body: protocol.Encode(errorBody{"cannot decide now"})})
}

// jobAnswer is what the replica says of a job.
func (c *Core) jobAnswer(id protocol.JobID, r *bk.JobRecord, counts bool) protocol.JobAnswer {
	a := protocol.JobAnswer{UID: id, Stage: r.Stage}
	running := 0
	if !r.Stage.Final() {
		for mid := range c.replica.On(id) {
			for as := range c.replica.Machines[mid].Rec.Of(id) {
				running += as.Tasks.Len()
			}
		}
		a.Stage = protocol.Queued
		if running > 0 {
			a.Stage = protocol.Running
		}
	}
	if counts {
		done := c.replica.Done(id).Len()
		if r.Stage == protocol.Done {
			done = r.Count
		}
		a.Done, a.Running = &done, &running
	}
	return a
}

func (c *Core) user(v UserInput) {
	if v.Verb == protocol.Submit {
		j, err := protocol.ParseJob(v.Body)
		if err != nil {
			c.log(slog.LevelInfo, "submission refused", "err", err.Error(), "body", string(v.Body[:min(len(v.Body), 600)]))
			c.reply(v.Req, 400, errorBody{err.Error()})
			return
		}
		if !c.recordFits(j) {
			c.reply(v.Req, 400, errorBody{"description is too long"})
			return
		}
		c.onSubmit(v.Req, j)
		return
	}
	if !v.Job.Valid() {
		c.reply(v.Req, 404, errorBody{"no such job"})
		return
	}
	if c.answerFinal(v.Req, v.Verb, v.Job) {
		return
	}
	if v.Verb == protocol.Abort && c.replica.Jobs[v.Job] != nil && !c.stateDown() {
		c.wantAbort(v.Job)
	}
	c.wait(&waiter{req: v.Req, verb: v.Verb, id: v.Job, at: c.now.Steady})
}

// answerFinal answers from the replica alone: a final state never changes.
func (c *Core) answerFinal(req ReqID, verb protocol.Verb, id protocol.JobID) bool {
	e := c.replica.Jobs[id]
	if e == nil || !e.Rec.Stage.Final() {
		return false
	}
	c.reply(req, 200, c.jobAnswer(id, &e.Rec, verb == protocol.Query))
	return true
}

func (c *Core) wait(w *waiter) {
	if c.stateDown() || len(c.waiters) >= maxWaiting {
		c.sorry(w.req)
		return
	}
	c.waiters = append(c.waiters, w)
	c.askRev()
}

// askRev reads the revision once for all that wait.
func (c *Core) askRev() {
	if c.revision.asking {
		return
	}
	for _, w := range c.waiters {
		if !w.asked {
			c.revision.asking = true
		}
	}
	if !c.revision.asking {
		return
	}
	for _, w := range c.waiters {
		w.asked = true
	}
	c.revision.askedAt = c.now.Steady
	c.emit(ReadRev{})
}

func (c *Core) onRev(v RevResult) {
	c.revision.asking = false
	ok := c.heard(c.revision.askedAt, v.Err)
	c.waiters = slices.DeleteFunc(c.waiters, func(w *waiter) bool {
		if !w.asked || w.rev != 0 {
			return false
		}
		if !ok {
			c.sorry(w.req)
		}
		w.rev = v.Rev
		return !ok
	})
}

func (c *Core) onSubmit(req ReqID, j *protocol.Job) {
	if c.answerFinal(req, protocol.Submit, j.UID) {
		return
	}
	if c.replica.Jobs[j.UID] != nil {
		c.wait(&waiter{req: req, verb: protocol.Submit, id: j.UID, job: j, at: c.now.Steady})
		return
	}
	if c.stateDown() || len(c.flavors) == 0 || len(c.submits) >= maxWaiting {
		c.sorry(req)
		return
	}
	if !c.canRun(j) {
		// Only sure once it is certain that no other node has accepted it.
		c.wait(&waiter{req: req, verb: protocol.Submit, id: j.UID, job: j, at: c.now.Steady})
		return
	}
	s := c.submits[j.UID]
	if s == nil {
		s = &submit{job: j, at: c.now.Steady, wall: c.now.Wall}
		c.submits[j.UID] = s
	}
	s.reqs = append(s.reqs, req)
}

// recordFits tells whether a job's record stays within a value of the state service,
// whatever is to be noted of it, also under the limits that are announced.
func (c *Core) recordFits(j *protocol.Job) bool {
	format := bk.FormatPlain
	if c.cfg.NextLimits != nil {
		format = bk.FormatPacked
	}
	size := len(bk.EncodeJob(format, &bk.JobRecord{Desc: j, Claim: c.run, Next: attemptBlock, Sent: c.now.Wall}))
	return size <= c.acceptable().ValueBytes*recordShare/100
}

// recordShare is the part of a value, in hundredths, that a new job's record may take.
const recordShare = 85

// canRun tells whether the job could ever run here.
func (c *Core) canRun(j *protocol.Job) bool {
	team, ok := c.cfg.Teams[j.Team]
	if !ok {
		return false
	}
	need := 1.0
	if j.Gang() || j.Daemon() {
		need = float64(j.Tasks)
	}
	if team.CoresMax > 0 && need*j.Cores > team.CoresMax+1e-9 || team.AccelsMax > 0 && need*j.Accelerators > team.AccelsMax+1e-9 {
		return false
	}
	for i := range c.flavors {
		f := &c.flavors[i]
		for _, z := range f.Zones {
			if j.Allowed(f.Sku, z) && f.Fits(j) {
				return true
			}
		}
	}
	return false
}

func (c *Core) wantAbort(id protocol.JobID) {
	if _, ok := c.cancellations.wanted[id]; !ok {
		c.cancellations.wanted[id] = c.now.Steady
	}
}

// writeUsers puts new and withdrawn jobs into the transaction.
func (c *Core) writeUsers(b *batch) {
	c.writeWithdrawals(b)
	for _, id := range sorted(c.submits) {
		s := c.submits[id]
		if c.replica.Jobs[id] != nil || !b.hasRoom(1) {
			continue
		}
		b.open(bk.JobKey(id), 700)
		b.jobs[id] = &bk.JobRecord{Desc: s.job, Claim: c.run, Next: attemptBlock, Sent: s.wall}
	}
}

// settle answers whoever can be answered now.
func (c *Core) settle() {
	for _, id := range sorted(c.submits) {
		s := c.submits[id]
		e := c.replica.Jobs[id]
		if e == nil {
			continue
		}
		delete(c.submits, id)
		for _, req := range s.reqs {
			if e.Rec.Stage.Final() {
				c.reply(req, 200, c.jobAnswer(id, &e.Rec, false))
				continue
			}
			// Written just now or by another node; at least queued.
			if e.Rec.Claim == c.run {
				c.log(slog.LevelDebug, "job accepted", "job", string(id), "lane", s.job.Class, "tasks", s.job.Tasks)
				c.reply(req, 201, c.jobAnswer(id, &e.Rec, false))
			} else {
				c.wait(&waiter{req: req, verb: protocol.Submit, id: id, job: s.job, at: s.at})
			}
		}
	}
	c.waiters = slices.DeleteFunc(c.waiters, c.answer)
	c.askRev()
}

func (c *Core) answer(w *waiter) bool {
	if c.answerFinal(w.req, w.verb, w.id) {
		return true
	}
	if w.abort || w.rev == 0 || c.replica.Rev < w.rev || !c.replication.loaded {
		return false
	}
	e := c.replica.Jobs[w.id]
	switch {
	case e == nil && w.verb == protocol.Submit:
		if len(c.flavors) == 0 {
			c.sorry(w.req)
		} else if c.canRun(w.job) {
			c.onSubmit(w.req, w.job)
		} else {
			c.log(slog.LevelInfo, "job refused, it can never run", "job", string(w.id), "team", w.job.Team)
			c.reply(w.req, 422, errorBody{"can never run"})
		}
	case e == nil:
		c.reply(w.req, 404, errorBody{"no such job"})
	case w.verb == protocol.Abort:
		c.wantAbort(w.id)
		w.abort = true
		return false
	default:
		c.reply(w.req, 200, c.jobAnswer(w.id, &e.Rec, w.verb == protocol.Query))
	}
	return true
}

// tickUsers gives up on requests whose user would not wait any longer.
func (c *Core) tickUsers() {
	down := c.stateDown()
	for _, id := range sorted(c.submits) {
		s := c.submits[id]
		if down || c.since(s.at) > c.cfg.UserWait {
			delete(c.submits, id)
			for _, r := range s.reqs {
				c.sorry(r)
			}
		}
	}
	c.waiters = slices.DeleteFunc(c.waiters, func(w *waiter) bool {
		late := down || c.since(w.at) > c.cfg.UserWait
		if late {
			c.sorry(w.req)
		}
		return late
	})
}
