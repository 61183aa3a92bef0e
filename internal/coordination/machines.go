package coordination

import (
	"log/slog"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// mstate is what this process remembers of a machine beyond its record.
type mstate struct {
	id protocol.MachineID

	rep         *protocol.Report // newest report
	byTask      map[protocol.Task]*protocol.TaskReport
	confirmed   protocol.FencingToken // highest token that the worker has shown
	confirmedAt protocol.Instant      // when it first did
	lastSession protocol.Session      // order of the reports
	lastTally   protocol.Tally        //
	answered    protocol.Instant      // receipt of the last report that was answered with 200
	token       protocol.FencingToken // under which it was
	heardAt     protocol.Instant      // any sign of life, or the begin of this ownership
	reportedAt  protocol.Instant      // last report that came by itself, or the begin of this ownership

	held   ReqID // a report that waits for its answer
	heldAt protocol.Instant
	adopt  bool // it waits until this node owns the machine
	shown  bool // the worker of a machine that is on no record has answered here

	// Whether what is sent to the worker arrives. Its reports may come in all
	// the while: they say nothing of the way back.
	owed        bool // the last answer had a start, or a token, that the worker must show
	owedSession protocol.Session
	doubtAt     protocol.Instant // since when it is not sure that it hears; 0: it does
	failAt      protocol.Instant // when the first of the direct commands failed that have failed in a row
	fails       int              // and how many those are
	deafAt      protocol.Instant // since when it is sure that it does not

	// Starts in the answer that the worker may not have carried out yet. A
	// report that lacks them proves nothing while they are in flight.
	inflight map[protocol.Task]protocol.Attempt
	// Attempts that are being taken back: never started from then on, since
	// the transaction that takes them back may still be applied.
	barred map[protocol.Task]protocol.Attempt
	stops  map[protocol.Task]stopOrder
	doAt   protocol.Instant
	doOut  bool

	firstSeen map[protocol.Task]protocol.Instant
	running   map[protocol.Task]protocol.Instant // since when tasks are seen to run
	unread    bool                               // no report has come under this ownership
	pace      pace                               // of the machine against others
	images    []image                            // most recently used last
	errJobs   map[protocol.JobID]bool
	restUntil protocol.Instant
	recallAt  protocol.Instant // 0: none; else when the cloud takes it
	idleSince protocol.Instant
	faulty    bool
	leave     string // why the machine is to go back
	handTo    bk.Run // a run to which the worker reports instead
	handAt    protocol.Instant
	ownedRun  bk.Run
	ownedIn   bk.Epoch
	ownedRev  protocol.Rev // the replica must be as new before a report is answered: it lacks what came before else
}

type image struct {
	name string
	gb   float64
}

type stopOrder struct {
	try   protocol.Attempt
	grace float64
}

// jstate is what this process remembers of a job beyond its record.
type jstate struct {
	next, end  protocol.Attempt // attempts set aside for this claim
	claim      bk.Run
	failedOn   map[protocol.MachineID]bool
	given      int // tasks placed so far, each time counted
	runs       int // tasks that were seen from their begin to their end
	runTime    time.Duration
	notBefore  protocol.Instant
	brokenAt   protocol.Instant
	seenTry    protocol.Attempt
	completeAt protocol.Instant // since when all its tasks are done, and it is not called done
	quickEnds  int              // replicas that ended soon after their start, in a row
	building   protocol.Attempt // of a gang whose assignment takes several transactions
}

func (c *Core) mstate(id protocol.MachineID) *mstate {
	m := c.machines[id]
	if m == nil {
		m = &mstate{id: id, heardAt: c.now.Steady}
		m.clear()
		c.machines[id] = m
	}
	return m
}

func (m *mstate) clear() {
	m.inflight = map[protocol.Task]protocol.Attempt{}
	m.barred = map[protocol.Task]protocol.Attempt{}
	m.stops = map[protocol.Task]stopOrder{}
	m.firstSeen = map[protocol.Task]protocol.Instant{}
	m.running = map[protocol.Task]protocol.Instant{}
	m.unread = true
	m.errJobs = map[protocol.JobID]bool{}
}

// pace is how long a machine's tasks run, as a multiple of what others of the same
// jobs do, smoothed over the last few.
type pace struct {
	n     int
	ratio float64
}

// slow tells whether a machine is surely slower than its like: a tenth is usual,
// and tasks differ by themselves.
func (p pace) slow() bool { return p.n >= slowSamples && p.ratio > slowRatio }

// begunBefore stands for the begin of a task that another owner saw, or nobody.
const begunBefore protocol.Instant = -1

const (
	slowSamples = 4   // one long task says nothing
	slowRatio   = 1.8 // estimates of one job's tasks, seen through reports, differ by less
)

// paced takes in a task that was done.
func (c *Core) paced(m *mstate, t protocol.Task) {
	at := m.running[t]
	if at <= 0 {
		return
	}
	j, d := c.jstate(t.Job), c.since(at)
	if j.runs >= slowSamples {
		ratio := d.Seconds() / max(j.runTime.Seconds()/float64(j.runs), 1)
		before := m.pace.slow()
		if m.pace.n++; m.pace.n == 1 {
			m.pace.ratio = ratio
		} else {
			m.pace.ratio += (ratio - m.pace.ratio) / slowSamples
		}
		if now := m.pace.slow(); now != before {
			c.log(slog.LevelInfo, "machine is slow", "machine", string(m.id), "on", now, "times", m.pace.ratio)
		}
	}
	// Slow machines do not set the measure.
	if !m.pace.slow() {
		j.runs++
		j.runTime += d
	}
}

func (c *Core) jstate(id protocol.JobID) *jstate {
	j := c.jobs[id]
	if j == nil {
		j = &jstate{failedOn: map[protocol.MachineID]bool{}}
		c.jobs[id] = j
	}
	return j
}

// mine tells whether this run owns the machine, as far as it knows.
func (c *Core) mine(r *bk.MachineRecord) bool { return c.run != "" && r.Owner == c.run }

// own begins or goes on with the ownership of a machine: what an earlier
// owner was told proves nothing under a new token.
func (c *Core) own(e *bk.Machine, id protocol.MachineID) *mstate {
	m := c.mstate(id)
	if m.ownedRun != e.Rec.Owner || m.ownedIn != e.Rec.Epoch {
		m.ownedRun, m.ownedIn = e.Rec.Owner, e.Rec.Epoch
		m.ownedRev = protocol.Rev(c.replica.Pages[e.Rec.Page].Stamp)
		m.clear()
		m.answered, m.token = 0, 0
		m.heardAt, m.reportedAt = c.now.Steady, c.now.Steady
		m.idleSince = 0
		m.handTo = ""
		m.owed, m.doubtAt, m.fails, m.deafAt = false, 0, 0, 0
	}
	return m
}

// proven is the newest report if it was sent under the current token and in
// the recorded session: only then does what it lacks prove anything.
func (m *mstate) proven(r *bk.MachineRecord) *protocol.Report {
	if m.rep == nil || bk.EpochOf(m.rep.FencingToken) != r.Epoch || m.rep.Session != r.Session {
		return nil
	}
	return m.rep
}

func (m *mstate) take(r *protocol.Report, now protocol.Instant) {
	m.rep = r
	m.heardAt = now
	if bk.EpochOf(r.FencingToken) > bk.EpochOf(m.confirmed) {
		m.confirmedAt = now
	}
	m.confirmed = max(m.confirmed, r.FencingToken)
	m.byTask = make(map[protocol.Task]*protocol.TaskReport, len(r.Tasks))
	for i := range r.Tasks {
		p := &r.Tasks[i]
		m.byTask[p.Task] = p
		if p.Stage != protocol.Ended && m.firstSeen[p.Task] == 0 {
			m.firstSeen[p.Task] = now
		}
		if p.Stage == protocol.TaskRunning && m.running[p.Task] == 0 {
			if m.running[p.Task] = now; m.unread {
				m.running[p.Task] = begunBefore
			}
		}
	}
	m.unread = false
	for t := range m.running {
		if m.byTask[t] == nil {
			delete(m.running, t)
		}
	}
	for t := range m.firstSeen {
		if p := m.byTask[t]; p == nil || p.Stage == protocol.Ended {
			delete(m.firstSeen, t)
		}
	}
	for t, s := range m.stops {
		if p := m.byTask[t]; p != nil && p.Try != s.try {
			delete(m.stops, t)
		}
	}
	if r.RecallS != nil {
		at := now.Add(protocol.Seconds(*r.RecallS))
		if m.recallAt == 0 || at < m.recallAt {
			m.recallAt = at
		}
	} else {
		m.recallAt = 0
	}
}

func older(r *protocol.Report, session protocol.Session, tally protocol.Tally) bool {
	return r.Session < session || r.Session == session && r.Tally <= tally
}

// forgetMachines drops what is remembered of machines that are on no record.
func (c *Core) forgetMachines() {
	for id, m := range c.machines {
		if c.replica.Machines[id] == nil && m.held == 0 {
			delete(c.machines, id)
		}
	}
}

// forgetJobs drops what is remembered of jobs that are over.
func (c *Core) forgetJobs() {
	for id := range c.jobs {
		if e := c.replica.Jobs[id]; e == nil || e.Rec.Stage == protocol.Done || e.Rec.Stage.Final() && len(c.replica.On(id)) == 0 {
			delete(c.jobs, id)
		}
	}
}

// forgetAssignments drops since when tasks have been on machines.
func (c *Core) forgetAssignments() { clear(c.assignedAt) }

// forgetUnrecorded forgets the machines of an earlier replica that this one does not have.
func (c *Core) forgetUnrecorded(earlier *bk.Replica) {
	for _, e := range earlier.List() {
		if id := e.ID; c.replica.Machines[id] == nil {
			if m := c.machines[id]; m != nil {
				c.dropHeld(m)
				delete(c.machines, id)
			}
		}
	}
}

// onLost forgets machines that have left the records.
func (c *Core) onLost() {
	for _, id := range c.replica.Lost() {
		c.released[id] = c.now.Steady
		if m := c.machines[id]; m != nil {
			c.dropHeld(m)
			delete(c.machines, id)
		}
	}
}

// noteAssignments keeps what rests on the machines' records: since when tasks have
// been on a machine, and which images it has.
func (c *Core) noteAssignments(id protocol.MachineID, before, after *bk.MachineRecord) {
	if before != nil {
		for i := range before.Assigned {
			a := &before.Assigned[i]
			if after == nil || !hasTry(after, a) {
				delete(c.assignedAt, assignment{id, a.Job, a.Try})
			}
		}
	}
	if after == nil {
		return
	}
	for i := range after.Assigned {
		a := &after.Assigned[i]
		k := assignment{id, a.Job, a.Try}
		if _, ok := c.assignedAt[k]; ok {
			continue
		}
		c.assignedAt[k] = c.now.Steady
		if j, fl := c.replica.Jobs[a.Job], c.flavor(after.Type); j != nil && j.Rec.Desc != nil && fl != nil {
			c.noteImage(id, fl, j.Rec.Desc)
		}
	}
}

func hasTry(r *bk.MachineRecord, a *bk.Assigned) bool {
	for i := range r.Assigned {
		if b := &r.Assigned[i]; b.Job == a.Job && b.Try == a.Try {
			return true
		}
	}
	return false
}
