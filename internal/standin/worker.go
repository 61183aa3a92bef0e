package standin

import (
	"encoding/json"
	"sort"
	"time"

	"tillerarch/internal/protocol"
)

type task struct {
	try   protocol.Attempt
	stage protocol.TaskStage
	cause protocol.Cause
	saved bool
	next  time.Duration // when its stage ends
}

// Classes whose tasks fail everywhere, and whose replicas end by themselves at once.
const (
	laneFails = "bad"
	laneEnds  = "ends"
)

// never is when the stage of a task ends that has no end of its own.
const never = time.Duration(1<<63 - 1)

// Worker is a machine with its worker.
type Worker struct {
	w       *World
	ID      protocol.MachineID
	Addr    string
	Type    protocol.Sku
	Zone    protocol.Zone
	Spot    bool
	Gone    bool
	Faulty  bool // every task fails here
	Cut     bool // reaches no controller
	Mute    bool // reaches no controller, while direct commands reach it
	Deaf    bool // its reports arrive, answers and commands do not reach it
	hung    bool // it stands still, and may go on
	late    []func()
	shift   protocol.Session
	tally   protocol.Tally
	token   protocol.FencingToken
	tasks   map[protocol.Task]*task
	leased  time.Duration // when the last answered report was sent
	node    int
	images  map[string]bool
	ordered time.Duration // when it last took a start
	seq     int           // of the report that waits for its answer
	waiting bool
	sentAt  time.Duration
	dueAt   time.Duration
	changed bool
	recall  time.Duration // when the cloud takes it; 0: not known
}

func (m *Worker) body() []byte {
	m.tally++
	r := protocol.Report{Machine: m.ID, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Session: m.shift, Tally: m.tally, FencingToken: m.token, Tasks: []protocol.TaskReport{}}
	if m.recall > 0 {
		left := (m.recall - m.w.Now).Seconds()
		r.RecallS = &left
	}
	for _, t := range m.order() {
		k := m.tasks[t]
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: t, Try: k.try, Stage: k.stage, Cause: k.cause, Saved: k.saved})
	}
	return protocol.Encode(r)
}

func (m *Worker) order() []protocol.Task {
	out := make([]protocol.Task, 0, len(m.tasks))
	for t := range m.tasks {
		out = append(out, t)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].String() < out[k].String() })
	return out
}

func (m *Worker) set(t protocol.Task, k *task, s protocol.TaskStage) {
	on := k.stage != protocol.Fetching && k.stage != protocol.Ended
	k.stage = s
	m.changed = true
	now := s != protocol.Fetching && s != protocol.Ended
	if now && !on {
		m.w.Rules.Began(m.w.Now, t, m.ID, m.Type, m.Zone, m.Spot)
	}
	if on && !now {
		m.w.Rules.Left(t, k.cause == protocol.CauseDone)
		if k.cause == protocol.CauseDone {
			m.w.ended(t.Job)
		}
		if d := m.w.Jobs[t.Job]; d.Gang() && k.cause == protocol.CauseDone {
			for p := range d.Tasks { // if one task of a gang is done, all are
				m.w.Rules.job(t.Job).done[p] = true
			}
		}
	}
}

func (m *Worker) end(t protocol.Task, k *task, cause protocol.Cause) {
	k.cause = cause
	m.set(t, k, protocol.Ended)
}

// kill ends and forgets all tasks.
func (m *Worker) kill() {
	for _, t := range m.order() {
		k := m.tasks[t]
		if k.stage != protocol.Ended {
			m.end(t, k, "killed")
		}
	}
	m.tasks = map[protocol.Task]*task{}
}

// Reboot ends all that is on the machine; it is back at once with a new session.
func (m *Worker) Reboot() {
	m.kill()
	m.shift++
	m.leased = m.w.Now
	m.waiting, m.changed = false, true
}

// haunt notes which tasks are killed while the machine hangs. Whether they count as gone
// before it goes on is not for the worker to say: for moving them they do, for a
// cancellation they do not.
func (m *Worker) haunt() {
	for t, k := range m.tasks {
		if k.stage != protocol.Fetching && k.stage != protocol.Ended {
			m.w.Rules.hung[t] = place{m.ID, m.Zone}
		}
	}
}

// lay ends what haunt noted: the machine goes on, or is gone.
func (m *Worker) lay() {
	for t, p := range m.w.Rules.hung {
		if p.machine == m.ID {
			delete(m.w.Rules.hung, t)
		}
	}
}

// Hang lets the machine stand still for a while: nothing on it goes on, what is
// sent to it waits. Its lease runs out all the same.
func (m *Worker) Hang(d time.Duration) {
	m.hung = true
	m.w.At(d, func() {
		m.hung = false
		m.lay()
		late := m.late
		m.late = nil
		for _, f := range late {
			f()
		}
	})
}

// step lets the machine's time pass.
func (m *Worker) step() {
	now := m.w.Now
	if m.Gone {
		return
	}
	if now-m.leased > m.w.Lease {
		if m.hung {
			m.haunt()
		}
		m.kill()
		m.shift++
		m.leased = now
		m.waiting = false
		m.changed = true
	}
	for _, t := range m.order() {
		k := m.tasks[t]
		d := m.w.Jobs[t.Job]
		if m.hung || k.stage == protocol.Ended || now < k.next {
			continue
		}
		switch k.stage {
		case protocol.Fetching:
			m.images[d.Image] = true
			if m.w.Rules.job(t.Job).done[t.Index] {
				m.end(t, k, protocol.CauseDone) // the result is kept
			} else if d.Gang() {
				k.next = now + m.w.GangWait
				m.set(t, k, protocol.Gathering)
			} else {
				m.run(t, k, d)
			}
		case protocol.Gathering:
			m.end(t, k, "alone")
		case protocol.TaskRunning:
			if m.Faulty || d.Class == laneFails {
				m.end(t, k, protocol.CauseError)
			} else {
				m.end(t, k, protocol.CauseDone)
			}
		case protocol.Flushing:
			k.saved = true
			m.w.Saved[d.UID]++
			m.end(t, k, "stopped")
		}
	}
	if m.hung {
		return
	}
	if m.waiting && now-m.sentAt > 4*time.Second {
		m.waiting = false
		m.node++
		m.dueAt = now + time.Second
	}
	if !m.waiting && (now >= m.dueAt || m.changed && now-m.sentAt >= 500*time.Millisecond) {
		m.send()
	}
}

func (m *Worker) run(t protocol.Task, k *task, d *protocol.Job) {
	k.next = m.w.Now + time.Duration(d.EstimateS*(0.5+m.w.Rng.Float64())*float64(time.Second))
	if d.Daemon() && d.Class != laneFails && d.Class != laneEnds && !m.Faulty {
		k.next = never
	}
	m.set(t, k, protocol.TaskRunning)
}

func (m *Worker) send() {
	w := m.w
	m.changed = false
	m.waiting, m.sentAt = true, w.Now
	m.dueAt = w.Now + time.Duration((0.75+w.Rng.Float64()/2)*float64(w.Report))
	m.seq++
	seq, sent, shift := m.seq, w.Now, m.shift
	n := w.Nodes[m.node%len(w.Nodes)]
	body := m.body()
	w.toNode(n, m, body, func(a answer) {
		if m.hung && w.Now-sent < 4*time.Second {
			m.dueAt = w.Now + time.Second // a worker drops what it reads too late
		}
		if m.Gone || m.hung || !m.waiting || m.seq != seq || m.shift != shift {
			return
		}
		m.waiting = false
		m.answer(n, sent, a)
	})
}

func (m *Worker) answer(n *Node, sent time.Duration, a answer) {
	w := m.w
	switch a.status {
	case 200:
		var o protocol.Orders
		if json.Unmarshal(a.body, &o) != nil || o.FencingToken == 0 || o.FencingToken < m.token {
			return
		}
		w.Rules.Commanded(m.ID, o.FencingToken, a.by)
		w.History.Commanded(m.ID, o.FencingToken, n.Member)
		m.raise(o.FencingToken)
		m.leased = max(m.leased, sent)
		m.obey(o.Orders)
	case 421:
		var f protocol.Redirect
		json.Unmarshal(a.body, &f)
		for i, o := range w.Nodes {
			if o.Member == f.Redirect && o != n {
				m.node = i
				m.dueAt = w.Now + time.Duration(w.Rng.IntN(500))*time.Millisecond
				return
			}
		}
		fallthrough
	default:
		m.node++
		m.dueAt = w.Now + time.Second
	}
}

func (m *Worker) raise(b protocol.FencingToken) {
	if b > m.token {
		m.token = b
		m.changed = true
	}
}

// Show is the worker's report when it is asked for it.
func (m *Worker) Show() []byte { return m.body() }

// Do carries out a direct command.
func (m *Worker) Do(o protocol.Orders) (int, []byte) {
	if o.FencingToken < m.token || o.Session != m.shift {
		return 409, m.body()
	}
	m.raise(o.FencingToken)
	m.obey(o.Orders)
	return 200, m.body()
}

func (m *Worker) obey(orders []protocol.Order) {
	w := m.w
	for _, o := range orders {
		k := m.tasks[o.Task]
		d := w.Jobs[o.Task.Job]
		switch o.Verb {
		case protocol.Start:
			if k != nil && k.try == o.Try {
				continue
			}
			if k != nil && k.stage != protocol.Ended {
				continue // busy
			}
			m.changed = true
			nk := &task{try: o.Try, stage: protocol.Fetching}
			m.tasks[o.Task] = nk
			w.Starts++
			m.ordered = w.Now
			switch used := m.used(o.Task); {
			case d == nil:
				nk.stage, nk.cause = protocol.Ended, protocol.CauseNoSuch
			case used+d.Cores > w.Cores(m.Type)+1e-9:
				nk.stage, nk.cause = protocol.Ended, protocol.CauseNoRoom
			case !m.images[d.Image]:
				nk.next = w.Now + w.Fetch
			default:
				nk.next = w.Now
			}
		case protocol.Stop:
			if k == nil || k.try != o.Try || k.stage == protocol.Ended {
				continue
			}
			if o.WindDownS != nil && d.Saves() && *o.WindDownS >= d.SaveS && k.stage == protocol.TaskRunning {
				k.next = w.Now + protocol.Seconds(d.SaveS)
				m.set(o.Task, k, protocol.Flushing)
			} else if k.stage != protocol.Flushing || o.WindDownS != nil && *o.WindDownS == 0 {
				m.end(o.Task, k, "stopped")
			}
		case protocol.Reap:
			if k != nil && k.try == o.Try && k.stage == protocol.Ended {
				delete(m.tasks, o.Task)
				m.changed = true
			}
		}
	}
}

func (m *Worker) used(but protocol.Task) float64 {
	sum := 0.0
	for t, k := range m.tasks {
		if t != but && k.stage != protocol.Ended {
			sum += m.w.Jobs[t.Job].Cores
		}
	}
	return sum
}
