package simulation

import (
	"encoding/json"
	"sort"
	"time"

	"tillerarch/internal/protocol"
)

type task struct {
	try   protocol.Attempt
	stage protocol.TaskState
	cause protocol.Reason
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
	Type    protocol.MachineTypeName
	Zone    protocol.Zone
	Spot    bool
	Gone    bool
	Faulty  bool // every task fails here
	Cut     bool // reaches no controller
	Mute    bool // reaches no controller, while direct commands reach it
	Deaf    bool // its reports arrive, answers and commands do not reach it
	hung    bool // it stands still, and may go on
	late    []func()
	shift   protocol.AgentEpoch
	tally   protocol.Sequence
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
	r := protocol.Heartbeat{Machine: m.ID, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		AgentEpoch: m.shift, Sequence: m.tally, FencingToken: m.token, Tasks: []protocol.TaskStatus{}}
	if m.recall > 0 {
		left := (m.recall - m.w.Now).Seconds()
		r.PreemptionNoticeSeconds = &left
	}
	for _, t := range m.order() {
		k := m.tasks[t]
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: t, Attempt: k.try, State: k.stage, Reason: k.cause, ProgressSaved: k.saved})
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

func (m *Worker) set(t protocol.Task, k *task, s protocol.TaskState) {
	on := k.stage != protocol.TaskPullingImage && k.stage != protocol.TaskExited
	k.stage = s
	m.changed = true
	now := s != protocol.TaskPullingImage && s != protocol.TaskExited
	if now && !on {
		m.w.Rules.Began(m.w.Now, t, m.ID, m.Type, m.Zone, m.Spot)
	}
	if on && !now {
		m.w.Rules.Left(t, k.cause == protocol.ReasonDone)
		if k.cause == protocol.ReasonDone {
			m.w.ended(t.Job)
		}
		if d := m.w.Jobs[t.Job]; d.IsGang() && k.cause == protocol.ReasonDone {
			for p := range d.TaskCount { // if one task of a gang is done, all are
				m.w.Rules.job(t.Job).done[p] = true
			}
		}
	}
}

func (m *Worker) end(t protocol.Task, k *task, cause protocol.Reason) {
	k.cause = cause
	m.set(t, k, protocol.TaskExited)
}

// kill ends and forgets all tasks.
func (m *Worker) kill() {
	for _, t := range m.order() {
		k := m.tasks[t]
		if k.stage != protocol.TaskExited {
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
		if k.stage != protocol.TaskPullingImage && k.stage != protocol.TaskExited {
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
		if m.hung || k.stage == protocol.TaskExited || now < k.next {
			continue
		}
		switch k.stage {
		case protocol.TaskPullingImage:
			m.images[d.Image] = true
			if m.w.Rules.job(t.Job).done[t.Index] {
				m.end(t, k, protocol.ReasonDone) // the result is kept
			} else if d.IsGang() {
				k.next = now + m.w.GangWait
				m.set(t, k, protocol.TaskAwaitingGang)
			} else {
				m.run(t, k, d)
			}
		case protocol.TaskAwaitingGang:
			m.end(t, k, "alone")
		case protocol.TaskRunning:
			if m.Faulty || d.Class == laneFails {
				m.end(t, k, protocol.ReasonError)
			} else {
				m.end(t, k, protocol.ReasonDone)
			}
		case protocol.TaskSaving:
			k.saved = true
			m.w.Saved[d.ID]++
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
	k.next = m.w.Now + time.Duration(d.EstimatedRunSeconds*(0.5+m.w.Rng.Float64())*float64(time.Second))
	if d.IsService() && d.Class != laneFails && d.Class != laneEnds && !m.Faulty {
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
		var o protocol.Commands
		if json.Unmarshal(a.body, &o) != nil || o.FencingToken == 0 || o.FencingToken < m.token {
			return
		}
		w.Rules.Commanded(m.ID, o.FencingToken, a.by)
		w.History.Commanded(m.ID, o.FencingToken, n.Member)
		m.raise(o.FencingToken)
		m.leased = max(m.leased, sent)
		m.obey(o.Commands)
	case 421:
		var f protocol.Redirect
		json.Unmarshal(a.body, &f)
		for i, o := range w.Nodes {
			if o.Member == f.Controller && o != n {
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
func (m *Worker) Do(o protocol.Commands) (int, []byte) {
	if o.FencingToken < m.token || o.AgentEpoch != m.shift {
		return 409, m.body()
	}
	m.raise(o.FencingToken)
	m.obey(o.Commands)
	return 200, m.body()
}

func (m *Worker) obey(orders []protocol.Command) {
	w := m.w
	for _, o := range orders {
		k := m.tasks[o.Task]
		d := w.Jobs[o.Task.Job]
		switch o.Type {
		case protocol.CommandStart:
			if k != nil && k.try == o.Attempt {
				continue
			}
			if k != nil && k.stage != protocol.TaskExited {
				continue // busy
			}
			m.changed = true
			nk := &task{try: o.Attempt, stage: protocol.TaskPullingImage}
			m.tasks[o.Task] = nk
			w.Starts++
			m.ordered = w.Now
			switch used := m.used(o.Task); {
			case d == nil:
				nk.stage, nk.cause = protocol.TaskExited, protocol.ReasonNotFound
			case used+d.Cores > w.Cores(m.Type)+1e-9:
				nk.stage, nk.cause = protocol.TaskExited, protocol.ReasonInsufficientResources
			case !m.images[d.Image]:
				nk.next = w.Now + w.Fetch
			default:
				nk.next = w.Now
			}
		case protocol.CommandStop:
			if k == nil || k.try != o.Attempt || k.stage == protocol.TaskExited {
				continue
			}
			if o.GracePeriodSeconds != nil && d.CanCheckpoint() && *o.GracePeriodSeconds >= d.CheckpointSaveSeconds && k.stage == protocol.TaskRunning {
				k.next = w.Now + protocol.Seconds(d.CheckpointSaveSeconds)
				m.set(o.Task, k, protocol.TaskSaving)
			} else if k.stage != protocol.TaskSaving || o.GracePeriodSeconds != nil && *o.GracePeriodSeconds == 0 {
				m.end(o.Task, k, "stopped")
			}
		case protocol.CommandForget:
			if k != nil && k.try == o.Attempt && k.stage == protocol.TaskExited {
				delete(m.tasks, o.Task)
				m.changed = true
			}
		}
	}
}

func (m *Worker) used(but protocol.Task) float64 {
	sum := 0.0
	for t, k := range m.tasks {
		if t != but && k.stage != protocol.TaskExited {
			sum += m.w.Jobs[t.Job].Cores
		}
	}
	return sum
}
