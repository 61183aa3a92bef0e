package coordination

import (
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// tickMachines looks after owned machines: stops that are due, silence, release.
func (c *Core) tickMachines() {
	c.watchGangs()
	type ownedMachine struct {
		e *bk.Machine
		m *mstate
	}
	var owned []ownedMachine
	total, quiet := 0, 0
	for _, p := range c.ownPages() {
		for _, id := range c.replica.Pages[p].Machines {
			e := c.replica.Machines[id]
			if e == nil || e.Rec.Page != p {
				continue
			}
			m := c.own(e, id)
			owned = append(owned, ownedMachine{e, m})
			if e.Rec.Session > 0 && !e.Rec.Releasing {
				total++
				if c.silent(m) {
					quiet++
					c.doubt(m)
				}
			}
		}
	}
	// If nearly all fall silent, it is this node that is cut off.
	cutOff := quiet > 3 && quiet*3 > total*2
	c.beginReview(quiet)
	for _, o := range owned {
		e, m := o.e, o.m
		c.tickStops(e, m)
		c.tickRelease(e, m, cutOff)
		if newer := m.confirmed < e.Rec.FencingToken; e.Rec.Session > 0 && (newer && bk.EpochOf(m.confirmed) == e.Rec.Epoch && m.held == 0 ||
			newer && c.since(m.heardAt) > 500*time.Millisecond || m.doubtAt != 0 && m.heardAt >= m.doubtAt) {
			// The worker may still report to an owner that was cut off: the
			// higher token makes that one's answers worthless. One that may not
			// hear is asked.
			c.do(e, m, nil, 2*time.Second)
		}
	}
}

// lastTry is the highest attempt with which tasks of the job are assigned.
func (c *Core) lastTry(id protocol.JobID, b *batch) (try protocol.Attempt) {
	for mid := range c.replica.On(id) {
		r := &c.replica.Machines[mid].Rec
		if b != nil {
			r = b.viewMachine(mid)
		}
		for a := range r.Of(id) {
			try = max(try, a.Try)
		}
	}
	return try
}

func (c *Core) watchGangs() {
	for id, e := range c.replica.Open {
		if !e.Rec.Desc.Gang() || e.Rec.Desc.Tasks < 2 {
			continue
		}
		try := c.lastTry(id, nil)
		j := c.jstate(id)
		if try == 0 || c.gangWhole(id, &e.Rec, try) {
			j.brokenAt = 0
		} else if j.brokenAt == 0 || j.seenTry != try {
			j.brokenAt = c.now.Steady
		}
		j.seenTry = try
	}
}

// tickStops decides which tasks of an owned machine must stop, and sends the
// stops directly: the next report may be seconds away.
func (c *Core) tickStops(e *bk.Machine, m *mstate) {
	if m.rep == nil {
		return
	}
	urgent := false
	var left time.Duration
	if m.recallAt != 0 {
		left = m.recallAt.Sub(c.now.Steady)
	}
	for i := range m.rep.Tasks {
		p := &m.rep.Tasks[i]
		if p.Stage == protocol.Ended {
			continue
		}
		je := c.replica.Jobs[p.Task.Job]
		if je == nil || je.Rec.Desc == nil {
			continue
		}
		d := je.Rec.Desc
		if c.calledOff(p.Task.Job) {
			c.stop(m, p.Task, p.Try, 0, "withdrawn")
			urgent = true
			continue
		}
		if d.Gang() && c.gangBroken(p.Task.Job, p.Try) {
			c.stop(m, p.Task, p.Try, 0, "gang lost a task")
			urgent = true
		}
		if h := je.Rec.Halt; h > 0 && h >= p.Try {
			c.stop(m, p.Task, p.Try, d.SaveS+1, "gang stops in order")
			urgent = true
		}
		if d.Daemon() && p.Stage != protocol.Flushing && c.mustMove(m, d) {
			c.stop(m, p.Task, p.Try, d.SaveS, "its machine goes")
			urgent = true
		}
		if m.recallAt != 0 && !d.Daemon() && d.Saves() && (!d.Gang() || d.Tasks == 1) && p.Stage == protocol.TaskRunning &&
			left < protocol.Seconds(d.SaveS)+2*c.cfg.Report+time.Second && left > protocol.Seconds(d.SaveS) {
			c.stop(m, p.Task, p.Try, d.SaveS, "recall")
			urgent = true
		}
		if m.recallAt != 0 && d.Saves() && d.Gang() && d.Tasks > 1 && p.Stage == protocol.TaskRunning && je.Rec.Halt < p.Try &&
			left < protocol.Seconds(d.SaveS)+2*c.cfg.Report+c.cfg.GangPeer+time.Second && left > protocol.Seconds(d.SaveS) {
			c.halts[p.Task.Job] = p.Try
		}
		if s, ok := m.stops[p.Task]; ok && s.try == p.Try && p.Stage != protocol.Flushing {
			urgent = true
		}
	}
	if !urgent {
		return
	}
	if orders := c.orders(e, m, false); len(orders) > 0 {
		c.do(e, m, orders, time.Second)
	}
}
