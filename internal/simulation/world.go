package simulation

import (
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"tillerarch/internal/coordination"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

type event struct {
	at  time.Duration
	seq int
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].seq < e[k].seq
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// Node is one controller.
type Node struct {
	w        *World
	Member   protocol.ControllerID
	Core     *coordination.Core
	Alive    bool
	NoState  bool // cut from the state service alone
	Refused  bool // the state service refuses it alone
	NoWorker bool // cut from the workers alone
	NoPeers  bool // cut from the other controllers
	NoUsers  bool // cut from the users
	Old      bool // runs the version in production before the upgrade
	frozen   bool // it stands still while its clocks run on
	stuck    []coordination.Input
	life     int
	Remote   Remote // a process of its own that plays the controller; nil: Core does
	started  time.Duration
	drift    float64
	reqs     map[coordination.RequestID]func(int, []byte)
	nextReq  coordination.RequestID

	operators map[coordination.RequestID]func(coordination.Effect) // that wait for an answer
}

// World is a whole deployment in simulated time.
type World struct {
	Now      time.Duration
	Rng      *rand.Rand
	State    *State
	History  *History
	Rules    *Rules
	Nodes    []*Node
	Workers  map[protocol.MachineID]*Worker
	Jobs     map[protocol.JobID]*protocol.Job
	Flavors  []protocol.MachineType
	Config   coordination.Config
	Report   time.Duration
	Lease    time.Duration
	GangWait time.Duration
	Copies   float64                 // part of the reports of which a copy comes late, to any controller
	Zone     map[protocol.Zone]*Node // zones that are cut off, with the controller in them
	Drop     float64                 // part of the messages that are lost or held up
	Late     float64                 // part of the transactions that get no answer and are carried out 2 to 12 s later
	Unheard  float64                 // part of the transactions that are carried out at once and whose answers are lost
	Held     float64                 // part of the direct commands that get no answer and are carried out once, 2 to 16 s late
	Slow     time.Duration           // by which the state service answers later
	Fetch    time.Duration           // what an image takes
	Lag      time.Duration           // most by which messages take longer
	Ended    func(protocol.JobID)    // hears of each job's end, if it is not nil
	AtEnd    float64                 // part of the jobs that are called off at the moment of their end
	Starts   int                     // start commands that workers have taken
	Done     map[protocol.JobID]bool
	Saved    map[protocol.JobID]int // tasks that saved when they were stopped
	Trace    func(string)
	Rented   func(*Worker) // hears of each machine before it is up, if it is not nil
	Cost     Costs         // what steps take, if it is not nil

	// Observe hears of each effect of a controller as it is carried out, if it is not nil.
	Observe func(at time.Duration, member protocol.ControllerID, e coordination.Effect)

	queue   events
	seq     int
	hires   map[string][]protocol.MachineID
	nextID  int
	NoCloud bool
	NoHire  bool // the cloud has no capacity
}

var errLost = errors.New("no answer")

// SmallAndLarge are two machine types in two zones.
var SmallAndLarge = []protocol.MachineType{
	{Name: "small", Cores: 4, MemoryGB: 16, LocalDiskGB: 20, ImagePullGBPerSecond: 1, OnDemandPrice: 0.2, SpotPrice: 0.05, BootSeconds: 3, Zones: []protocol.Zone{"a", "b"}},
	{Name: "large", Cores: 32, MemoryGB: 64, LocalDiskGB: 20, ImagePullGBPerSecond: 1, OnDemandPrice: 1.6, SpotPrice: 0.4, BootSeconds: 3, Zones: []protocol.Zone{"a", "b"}},
}

// NewWorld makes a deployment with controllers in the given zones.
func NewWorld(seed uint64, nodes int, flavors []protocol.MachineType, teams map[string]coordination.Quota) *World {
	w := &World{Rng: rand.New(rand.NewPCG(seed, 11)), State: NewState(500), Rules: NewRules(30 * time.Second),
		Workers: map[protocol.MachineID]*Worker{}, Jobs: map[protocol.JobID]*protocol.Job{}, Flavors: flavors,
		Report: 2 * time.Second, Lease: 14 * time.Second, Fetch: time.Second, GangWait: 20 * time.Second, hires: map[string][]protocol.MachineID{},
		Zone: map[protocol.Zone]*Node{}, Done: map[protocol.JobID]bool{}, Saved: map[protocol.JobID]int{}}
	w.History = NewHistory(func(what string) { w.Rules.broken("ownership", "%s", what) })
	w.State.Observe = w.History.Apply
	for name, t := range teams {
		w.Rules.Limits[name] = t.MaxCores
	}
	w.Config = coordination.Config{Quotas: teams, HeartbeatInterval: w.Report, AgentLeaseTTL: w.Lease, GangPeerTimeout: 4 * time.Second,
		CancelTimeout: w.Rules.Cancel, PeerCount: nodes - 1, WritesPerSecond: 60, TransactionOps: 8, ValueBytes: 8192, InstanceListLag: 4 * time.Second, MinWatchInterval: 40 * time.Millisecond,
		Tuning: coordination.DefaultTuning()}
	for i := 0; i < nodes; i++ {
		w.Nodes = append(w.Nodes, &Node{w: w, Member: protocol.ControllerID(fmt.Sprintf("stall-%d", i)), drift: 1 + float64(i)*0.0002})
	}
	for _, n := range w.Nodes {
		n.Start()
	}
	w.Every(100*time.Millisecond, func() {
		w.State.Expire(w.Now)
		w.Rules.Watch(w.Now)
	})
	w.Every(time.Second, w.watchRoom)
	return w
}

// At plans something.
func (w *World) At(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.Now + d, w.seq, f})
}

// Every repeats something.
func (w *World) Every(d time.Duration, f func()) {
	w.At(d, func() { f(); w.Every(d, f) })
}

// Run lets time pass.
func (w *World) Run(d time.Duration) {
	end := w.Now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.f()
	}
	w.Now = end
}

func (w *World) delay() time.Duration {
	d := time.Duration(1+w.Rng.IntN(8)) * time.Millisecond
	if w.Lag > 0 {
		d += time.Duration(w.Rng.Int64N(int64(w.Lag)))
	}
	if w.Rng.Float64() < 0.02 {
		d += time.Duration(w.Rng.IntN(300)) * time.Millisecond
	}
	return d
}

// Cores of a machine type.
func (w *World) Cores(s protocol.MachineTypeName) float64 {
	for _, f := range w.Flavors {
		if f.Name == s {
			return f.Cores
		}
	}
	return 0
}

// Start begins a new life of the controller.
func (n *Node) Start() {
	n.Alive, n.frozen, n.stuck = true, false, nil
	n.life++
	n.started = n.w.Now
	n.reqs = map[coordination.RequestID]func(int, []byte){}
	n.operators = map[coordination.RequestID]func(coordination.Effect){}
	cfg := n.w.Config
	cfg.ControllerID = n.Member
	for _, o := range n.w.Nodes {
		if o != n {
			cfg.PeerIDs = append(cfg.PeerIDs, o.Member)
		}
	}
	if n.Old {
		cfg.AnnouncedLimits = nil
		cfg.RecordTransfers = false
	}
	cfg.Seed = uint64(n.life)
	n.Core = coordination.New(cfg, n.time())
	n.tick(n.life)
}

func (n *Node) tick(life int) {
	n.w.At(50*time.Millisecond, func() {
		if n.Alive && n.life == life {
			n.step(coordination.Tick{})
			n.tick(life)
		}
	})
}

// Kill ends the controller with all it holds in memory.
func (n *Node) Kill() { n.Alive = false }

func (n *Node) time() coordination.Now {
	return coordination.Now{Monotonic: protocol.Instant(float64(n.w.Now-n.started)*n.drift) + 1, Wall: protocol.Millis(1e12 + n.w.Now.Milliseconds())}
}

func (n *Node) step(in coordination.Input) {
	if n.frozen {
		if _, tick := in.(coordination.Tick); !tick {
			n.stuck = append(n.stuck, in)
		}
		return
	}
	began := time.Now()
	out := n.Core.Step(n.time(), in)
	if n.w.Cost != nil {
		n.w.Cost.add(in, time.Since(began))
	}
	for _, e := range out {
		n.effect(e)
	}
}

// call sends something to an outside system and brings the answer back. Either
// way may be lost, or the request may be carried out late; the controller then
// hears nothing until its time is up.
func (n *Node) call(cut bool, wait time.Duration, do func() coordination.Input, lost coordination.Input) {
	w, life := n.w, n.life
	answered := false
	back := func(in coordination.Input) {
		if !answered && n.Alive && n.life == life {
			answered = true
			n.step(in)
		}
	}
	w.At(wait, func() { back(lost) })
	d := w.delay()
	if cut || w.Rng.Float64() < w.Drop {
		if w.Rng.IntN(2) == 0 {
			return // never arrives
		}
		d = wait + time.Duration(w.Rng.IntN(8000))*time.Millisecond // held up, arrives late
	}
	w.At(d, func() {
		in := do()
		if in != nil && !cut && w.Rng.Float64() >= w.Drop {
			w.At(w.delay(), func() { back(in) })
		}
	})
}

func (n *Node) effect(e coordination.Effect) {
	w := n.w
	if w.Observe != nil {
		w.Observe(w.Now, n.Member, e)
	}
	const wait = 1500 * time.Millisecond
	switch v := e.(type) {
	case coordination.Reply:
		f := n.reqs[v.RequestID]
		delete(n.reqs, v.RequestID)
		if f != nil {
			f(v.Status, v.Body)
		}
	case coordination.TransferReply:
		n.answerOperator(v.Req, v)
	case coordination.DrainReply:
		n.answerOperator(v.Req, v)
	case coordination.ShardingStatusReply:
		n.answerOperator(v.Req, v)
	case coordination.Log:
		if w.Trace != nil {
			w.Trace(fmt.Sprintf("%8.3f %s %s %v", w.Now.Seconds(), n.Member, v.Message, v.Args))
		}
	case coordination.SendPeerStatus:
		for _, o := range w.Nodes {
			if o != n && !n.NoPeers && !o.NoPeers {
				life := o.life
				w.At(w.delay(), func() {
					if o.Alive && o.life == life {
						o.step(coordination.PeerStatusInput(v))
					}
				})
			}
		}
	case coordination.Commit:
		n.state(wait, func() coordination.Input {
			status, a := w.State.Multi(n.asWritten(v.Transaction))
			o := map[int]storage.Outcome{200: storage.OutcomeApplied, 409: storage.OutcomeConflict, 429: storage.OutcomeThrottled, 503: storage.OutcomeUnavailable, 400: storage.OutcomeLeaseExpired}[status]
			if a.Error == "too large" {
				o = storage.OutcomeInvalid
			}
			return coordination.CommitResult{ID: v.ID, Outcome: o, Result: a}
		}, coordination.CommitResult{ID: v.ID, Outcome: storage.OutcomeUnknown, Err: errLost}, coordination.CommitResult{ID: v.ID, Outcome: storage.OutcomeUnavailable, Err: errLost})
	case coordination.LoadRecords:
		n.state(wait, func() coordination.Input {
			if w.State.Down {
				return coordination.LoadRecordsResult{Err: errLost}
			}
			return coordination.LoadRecordsResult{Entries: n.asRead(w.State.Items(storage.KeyPrefix)), StartRevision: w.State.rev, EndRevision: w.State.rev}
		}, coordination.LoadRecordsResult{Err: errLost}, coordination.LoadRecordsResult{Err: errLost})
	case coordination.Watch:
		w.follow(n, n.life, v.AfterRevision, w.Now+3*time.Second)
	case coordination.ReadRevision:
		n.state(wait, func() coordination.Input {
			if w.State.Down {
				return coordination.ReadRevisionResult{Err: errLost}
			}
			return coordination.ReadRevisionResult{Revision: w.State.rev}
		}, coordination.ReadRevisionResult{Err: errLost}, coordination.ReadRevisionResult{Err: errLost})
	case coordination.GrantLease:
		n.state(wait, func() coordination.Input {
			if w.State.Down {
				return coordination.GrantLeaseResult{Err: errLost}
			}
			return coordination.GrantLeaseResult{LeaseID: w.State.Grant(w.Now, v.TTL)}
		}, coordination.GrantLeaseResult{Err: errLost}, coordination.GrantLeaseResult{Err: errLost})
	case coordination.RenewLease:
		n.state(wait, func() coordination.Input {
			if w.State.Down {
				return coordination.RenewLeaseResult{LeaseID: v.LeaseID, Err: errLost}
			}
			if !w.State.Extend(w.Now, v.LeaseID) {
				return coordination.RenewLeaseResult{LeaseID: v.LeaseID, Err: storage.ErrLeaseExpired}
			}
			return coordination.RenewLeaseResult{LeaseID: v.LeaseID}
		}, coordination.RenewLeaseResult{LeaseID: v.LeaseID, Err: errLost}, coordination.RenewLeaseResult{LeaseID: v.LeaseID, Err: errLost})
	case coordination.ProbeAgent:
		n.call(n.NoWorker, 2*time.Second, func() coordination.Input {
			m := w.Workers[v.Machine]
			if m == nil || w.apart(n, m) || m.Gone || m.Cut || m.Deaf || m.hung {
				return nil
			}
			r, err := protocol.ParseHeartbeat(m.body())
			return coordination.AgentResult{Machine: v.Machine, Heartbeat: r, Err: err}
		}, coordination.AgentResult{Machine: v.Machine, Err: errLost})
	case coordination.SendCommands:
		if w.Held > 0 && w.Rng.Float64() < w.Held {
			n.holdCommand(v)
			return
		}
		n.call(n.NoWorker, 2*time.Second, func() coordination.Input {
			m := w.Workers[v.Machine]
			if m == nil || w.apart(n, m) || m.Gone || m.Deaf {
				return nil
			}
			if m.hung { // carried out late, if token and session still match
				m.late = append(m.late, func() { m.Do(v.Commands) })
				return nil
			}
			_, body := m.Do(v.Commands)
			if m.Cut {
				return nil
			}
			r, err := protocol.ParseHeartbeat(body)
			return coordination.AgentResult{Machine: v.Machine, Heartbeat: r, Err: err}
		}, coordination.AgentResult{Machine: v.Machine, Err: errLost})
	default:
		w.cloudCall(n, e)
	}
}

func (w *World) follow(n *Node, life int, from protocol.Revision, until time.Duration) {
	w.At(time.Duration(2+w.Rng.IntN(20))*time.Millisecond, func() {
		if !n.Alive || n.life != life {
			return
		}
		if n.NoState || n.Refused || w.State.Down { // open watches wait
			if w.Now > until+2*time.Second {
				n.step(coordination.WatchResult{AfterRevision: from, Err: errLost})
				return
			}
			w.follow(n, life, from, until)
			return
		}
		f, old := w.State.Follow(storage.KeyPrefix, from)
		switch {
		case old:
			n.step(coordination.WatchResult{AfterRevision: from, Err: storage.ErrRevisionTooOld})
		case len(f.Events) > 0 || w.Now > until:
			f.Events = n.newsAsRead(f.Events)
			n.step(coordination.WatchResult{AfterRevision: from, Response: &f})
		default:
			w.follow(n, life, from, until)
		}
	})
}

func (w *World) cloudCall(n *Node, e coordination.Effect) {
	const wait = 10 * time.Second
	switch v := e.(type) {
	case coordination.ListMachineTypes:
		n.call(w.NoCloud, wait, func() coordination.Input { return coordination.ListMachineTypesResult{MachineTypes: w.Flavors} },
			coordination.ListMachineTypesResult{Err: errLost})
	case coordination.ProvisionMachines:
		n.call(w.NoCloud, wait, func() coordination.Input {
			if w.NoHire {
				return coordination.ProvisionMachinesResult{Request: v.Request, NoCapacity: true}
			}
			return coordination.ProvisionMachinesResult{Request: v.Request, Machines: w.Rent(v.Request)}
		}, coordination.ProvisionMachinesResult{Request: v.Request, Err: errLost})
	case coordination.TerminateMachines:
		n.call(w.NoCloud, wait, func() coordination.Input {
			for _, id := range v.Machines {
				w.Lose(id)
			}
			return coordination.TerminateMachinesResult{Machines: v.Machines}
		}, coordination.TerminateMachinesResult{Machines: v.Machines, Err: errLost})
	case coordination.ListInstances:
		asked := n.time().Monotonic
		n.call(w.NoCloud, wait, func() coordination.Input {
			return coordination.ListInstancesResult{RequestedAt: asked, Instances: w.Hosts()}
		}, coordination.ListInstancesResult{Err: errLost})
	default:
		panic(fmt.Sprintf("simulation: effect %T", e))
	}
}

// Rent carries out a rental request, once.
func (w *World) Rent(h protocol.ProvisionRequest) []protocol.MachineID {
	if _, ok := w.hires[h.RequestID]; !ok {
		w.hires[h.RequestID] = nil
		for i := 0; i < h.Count && len(w.Workers) < maxMachines; i++ {
			id := w.Machine(h.Type, h.Zone, h.Spot, time.Duration(500+w.Rng.IntN(4000))*time.Millisecond)
			w.hires[h.RequestID] = append(w.hires[h.RequestID], id)
		}
	}
	return w.hires[h.RequestID]
}

// maxMachines is how many machines the cloud rents in all.
const maxMachines = 400

// Hosts is the cloud's list, in the order of the names.
func (w *World) Hosts() (hosts []protocol.Instance) {
	for id, m := range w.Workers {
		if !m.Gone {
			hosts = append(hosts, protocol.Instance{ID: id, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, State: "running", AgeSeconds: 60})
		}
	}
	sort.Slice(hosts, func(i, k int) bool { return hosts[i].ID < hosts[k].ID })
	return hosts
}

// Machine brings a machine up after a while.
func (w *World) Machine(s protocol.MachineTypeName, z protocol.Zone, loaner bool, boot time.Duration) protocol.MachineID {
	w.nextID++
	id := protocol.MachineID(fmt.Sprintf("m-%06d", w.nextID))
	m := &Worker{w: w, ID: id, Type: s, Zone: z, Spot: loaner, shift: 1, tasks: map[protocol.Task]*task{},
		images: map[string]bool{}, node: w.Rng.IntN(len(w.Nodes)), leased: w.Now + boot, Addr: "10.1.0.1:1"}
	w.Workers[id] = m
	if w.Rented != nil {
		w.Rented(m)
	}
	w.At(boot, func() {
		m.dueAt = w.Now
		m.loop()
	})
	return id
}

func (m *Worker) loop() {
	if m.Gone {
		return
	}
	m.step()
	m.gather()
	m.w.At(100*time.Millisecond, m.loop)
}

// gather starts a gang whose tasks are all here, and ends one that lost a task.
func (m *Worker) gather() {
	w := m.w
	for _, t := range m.order() {
		k := m.tasks[t]
		d := w.Jobs[t.Job]
		if d == nil || !d.IsGang() || k.stage != protocol.TaskAwaitingGang && k.stage != protocol.TaskRunning {
			continue
		}
		mates := w.mates(t.Job, k.try)
		if k.stage == protocol.TaskAwaitingGang && len(mates) == d.TaskCount {
			all := true
			for _, x := range mates {
				all = all && x.k.stage == protocol.TaskAwaitingGang
			}
			if all {
				end := w.Now + protocol.Seconds(d.EstimatedRunSeconds)
				for _, x := range mates {
					x.k.next = end
					x.m.set(x.t, x.k, protocol.TaskRunning)
				}
			}
		} else if k.stage == protocol.TaskRunning && len(mates) < d.TaskCount {
			m.end(t, k, "mates_gone")
		}
	}
}

type mate struct {
	m *Worker
	t protocol.Task
	k *task
}

func (w *World) mates(id protocol.JobID, try protocol.Attempt) []mate {
	var out []mate
	for _, name := range slices.Sorted(maps.Keys(w.Workers)) {
		m := w.Workers[name]
		for _, t := range m.order() {
			k := m.tasks[t]
			if t.Job == id && k.try == try && (k.stage != protocol.TaskExited || k.cause == protocol.ReasonDone) && !m.Gone {
				out = append(out, mate{m, t, k})
			}
		}
	}
	return out
}

// answer is what a controller answers a report; by says which process it was.
type answer struct {
	status int
	body   []byte
	by     string
}

// toNode brings a worker's report to a controller and the answer back.
func (w *World) toNode(n *Node, m *Worker, body []byte, back func(answer)) {
	if w.Copies > 0 && w.Rng.Float64() < w.Copies {
		o := w.Nodes[w.Rng.IntN(len(w.Nodes))]
		w.At(time.Duration(500+w.Rng.IntN(40000))*time.Millisecond, func() { // from seconds to well over a lease
			if o.Alive {
				o.Report(body, func(int, []byte) {})
			}
		})
	}
	d := w.delay()
	if m.Mute {
		return // it can't even connect
	}
	if m.Cut || n.NoWorker || w.apart(n, m) || w.Rng.Float64() < w.Drop {
		if w.Rng.IntN(2) == 0 {
			return
		}
		d = 5*time.Second + time.Duration(w.Rng.IntN(20000))*time.Millisecond // held up, arrives late
	}
	w.At(d, func() {
		if !n.Alive {
			w.At(w.delay(), func() { back(answer{}) })
			return
		}
		n.Report(body, func(status int, b []byte) {
			if m.Cut || m.Mute || m.Deaf || n.NoWorker || w.apart(n, m) || w.Rng.Float64() < w.Drop {
				return
			}
			a := answer{status, b, n.name()}
			w.At(w.delay(), func() { back(a) })
		})
	})
}

// Report hands a report to the controller.
func (n *Node) Report(body []byte, back func(int, []byte)) {
	if n.Remote != nil {
		n.Remote.Report(body, back)
		return
	}
	n.request(back, func(id coordination.RequestID) coordination.Input {
		return coordination.HeartbeatInput{RequestID: id, Body: body}
	})
}

func (n *Node) request(back func(int, []byte), in func(coordination.RequestID) coordination.Input) {
	n.nextReq++
	n.reqs[n.nextReq] = back
	n.step(in(n.nextReq))
}

// Operator asks a controller something, as an operator's tool does.
func (n *Node) Operator(request func(coordination.RequestID) coordination.Input, tell func(coordination.Effect)) {
	if !n.Alive {
		return
	}
	n.nextReq++
	n.operators[n.nextReq] = tell
	n.step(request(n.nextReq))
}

// replyToAdmin hands an answer to the operator who waits for it.
func (n *Node) answerOperator(id coordination.RequestID, e coordination.Effect) {
	if tell := n.operators[id]; tell != nil {
		delete(n.operators, id)
		tell(e)
	}
}

// balance picks a controller as the load balancer does: a healthy one if there is one.
func (w *World) balance() *Node {
	var healthy []*Node
	for _, n := range w.Nodes {
		if n.Alive && !n.frozen && !n.NoUsers && n.healthy() {
			healthy = append(healthy, n)
		}
	}
	if len(healthy) == 0 {
		healthy = w.Nodes
	}
	return healthy[w.Rng.IntN(len(healthy))]
}

// User sends a user's request to a node; tell gets the answer unless it is lost.
func (w *World) User(verb protocol.RequestType, id protocol.JobID, body []byte, tell func(int, protocol.JobState)) {
	w.Ask(w.balance(), verb, id, body, tell)
}

// Ask sends a user's request to one controller.
func (w *World) Ask(n *Node, verb protocol.RequestType, id protocol.JobID, body []byte, tell func(int, protocol.JobState)) {
	w.Rules.Asked(w.Now, id)
	asked := w.Now
	over := false
	once := tell
	tell = func(status int, s protocol.JobState) {
		if !over {
			over = true
			once(status, s)
		}
	}
	w.At(5*time.Second, func() { tell(0, "") })
	w.At(w.delay(), func() {
		if !n.Alive || n.NoUsers {
			tell(0, "")
			return
		}
		n.ask(verb, id, body, func(status int, b []byte) {
			var a protocol.JobStatus
			if status < 300 {
				json.Unmarshal(b, &a)
			}
			w.Rules.Told(w.Now, asked, verb, id, status, a.State)
			tell(status, a.State)
		})
	})
}

// Submit sends a job until it is accepted or refused for good, then polls it.
func (w *World) Submit(d *protocol.Job) {
	w.Jobs[d.ID] = d
	w.Rules.Submitted(w.Now, d)
	body := protocol.Encode(d)
	var try, poll func()
	poll = func() {
		w.User(protocol.RequestQuery, d.ID, nil, func(status int, s protocol.JobState) {
			if status == 200 && s.IsTerminal() {
				w.Done[d.ID] = true
				return
			}
			w.At(3*time.Second, poll)
		})
	}
	try = func() {
		w.User(protocol.RequestSubmit, d.ID, body, func(status int, _ protocol.JobState) {
			if status >= 200 && status < 300 {
				w.At(time.Second, poll)
			} else if status != 422 && status != 400 {
				w.At(time.Second, try)
			}
		})
	}
	try()
}

// Abort asks to cancel a job until that is answered.
func (w *World) Abort(id protocol.JobID) {
	w.Rules.CancelWanted(id)
	w.User(protocol.RequestCancel, id, nil, func(status int, _ protocol.JobState) {
		if status != 200 {
			w.At(time.Second, func() { w.Abort(id) })
		}
	})
}
