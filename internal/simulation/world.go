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
	"tillerarch/internal/coordination/requests"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

type scheduledEvent struct {
	at     time.Duration
	seq    int
	action func()
}

type eventQueue []scheduledEvent

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].seq < e[k].seq
}
func (e eventQueue) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(scheduledEvent)) }
func (e *eventQueue) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// Controller is one controller.
type Controller struct {
	world                 *World
	ID                    protocol.ControllerID
	Core                  *coordination.Core
	Alive                 bool
	StoreUnreachable      bool // cut from the state service alone
	RefusedByStore        bool // the state service refuses it alone
	AgentsUnreachable     bool // cut from the workers alone
	PeersUnreachable      bool // cut from the other controllers
	UsersUnreachable      bool // cut from the users
	RunsProductionVersion bool // runs the version in production before the upgrade
	paused                bool // it stands still while its clocks run on
	pendingInputs         []step.Input
	generation            int
	Remote                RemoteController // a process of its own that plays the controller; nil: Core does
	startedAt             time.Duration
	clockDrift            float64
	pendingReplies        map[step.RequestID]func(int, []byte)
	nextRequestID         step.RequestID

	pendingOperatorReplies map[step.RequestID]func(step.Effect) // that wait for an answer
}

// World is a whole deployment in simulated time.
type World struct {
	Now                    time.Duration
	Rand                   *rand.Rand
	Store                  *Store
	History                *HistoryChecker
	Rules                  *RuleChecker
	Controllers            []*Controller
	Machines               map[protocol.MachineID]*Machine
	Jobs                   map[protocol.JobID]*protocol.Job
	MachineTypes           []protocol.MachineType
	Config                 step.Config
	HeartbeatInterval      time.Duration
	AgentLeaseTTL          time.Duration
	GangStartTimeout       time.Duration
	DuplicateHeartbeatRate float64                       // part of the reports of which a copy comes late, to any controller
	PartitionedZones       map[protocol.Zone]*Controller // zones that are cut off, with the controller in them
	MessageLossRate        float64                       // part of the messages that are lost or held up
	DelayedWriteRate       float64                       // part of the transactions that get no answer and are carried out 2 to 12 s later
	LostWriteReplyRate     float64                       // part of the transactions that are carried out at once and whose answers are lost
	DelayedCommandRate     float64                       // part of the direct commands that get no answer and are carried out once, 2 to 16 s late
	MaxStoreDelay          time.Duration                 // by which the state service answers later
	ImagePullTime          time.Duration                 // what an image takes
	MaxNetworkDelay        time.Duration                 // most by which messages take longer
	OnJobEnd               func(protocol.JobID)          // hears of each job's end, if it is not nil
	CancelAtEndRate        float64                       // part of the jobs that are called off at the moment of their end
	StartCommands          int                           // start commands that workers have taken
	FinishedJobs           map[protocol.JobID]bool
	SavedTasks             map[protocol.JobID]int // tasks that saved when they were stopped
	Trace                  func(string)
	OnProvision            func(*Machine) // hears of each machine before it is up, if it is not nil
	StepCosts              StepCosts      // what steps take, if it is not nil

	// Observe hears of each effect of a controller as it is carried out, if it is not nil.
	Observe func(at time.Duration, member protocol.ControllerID, e step.Effect)

	queue              eventQueue
	seq                int
	provisioned        map[string][]protocol.MachineID
	nextMachineID      int
	CloudUnreachable   bool
	CloudOutOfCapacity bool // the cloud has no capacity
}

var errNoReply = errors.New("no answer")

// SmallAndLargeTypes are two machine types in two zones.
var SmallAndLargeTypes = []protocol.MachineType{
	{Name: "small", Cores: 4, MemoryGB: 16, LocalDiskGB: 20, ImagePullGBPerSecond: 1, OnDemandPrice: 0.2, SpotPrice: 0.05, BootSeconds: 3, Zones: []protocol.Zone{"a", "b"}},
	{Name: "large", Cores: 32, MemoryGB: 64, LocalDiskGB: 20, ImagePullGBPerSecond: 1, OnDemandPrice: 1.6, SpotPrice: 0.4, BootSeconds: 3, Zones: []protocol.Zone{"a", "b"}},
}

// NewWorld makes a deployment with controllers in the given zones.
func NewWorld(seed uint64, controllers int, machineTypes []protocol.MachineType, teams map[string]step.Quota) *World {
	w := &World{Rand: rand.New(rand.NewPCG(seed, 11)), Store: NewStore(500), Rules: NewRuleChecker(30 * time.Second),
		Machines: map[protocol.MachineID]*Machine{}, Jobs: map[protocol.JobID]*protocol.Job{}, MachineTypes: machineTypes,
		HeartbeatInterval: 2 * time.Second, AgentLeaseTTL: 14 * time.Second, ImagePullTime: time.Second, GangStartTimeout: 20 * time.Second, provisioned: map[string][]protocol.MachineID{},
		PartitionedZones: map[protocol.Zone]*Controller{}, FinishedJobs: map[protocol.JobID]bool{}, SavedTasks: map[protocol.JobID]int{}}
	w.History = NewHistoryChecker(func(violation string) { w.Rules.recordViolation("ownership", "%s", violation) })
	w.Store.OnRevision = w.History.Apply
	for name, t := range teams {
		w.Rules.QuotaLimits[name] = t.MaxCores
	}
	w.Config = step.Config{Quotas: teams, HeartbeatInterval: w.HeartbeatInterval, AgentLeaseTTL: w.AgentLeaseTTL, GangPeerTimeout: 4 * time.Second,
		CancelTimeout: w.Rules.CancelTimeout, PeerCount: controllers - 1, WritesPerSecond: 60, TransactionOps: 8, ValueBytes: 8192, InstanceListLag: 4 * time.Second, MinWatchInterval: 40 * time.Millisecond,
		Tuning: step.DefaultTuning()}
	for i := 0; i < controllers; i++ {
		w.Controllers = append(w.Controllers, &Controller{world: w, ID: protocol.ControllerID(fmt.Sprintf("stall-%d", i)), clockDrift: 1 + float64(i)*0.0002})
	}
	for _, controller := range w.Controllers {
		controller.Start()
	}
	w.Every(100*time.Millisecond, func() {
		w.Store.ExpireLeases(w.Now)
		w.Rules.CheckTimeouts(w.Now)
	})
	w.Every(time.Second, w.checkPlaceableJobs)
	return w
}

// After plans something.
func (w *World) After(delay time.Duration, action func()) {
	w.seq++
	heap.Push(&w.queue, scheduledEvent{at: w.Now + delay, seq: w.seq, action: action})
}

// Every repeats something.
func (w *World) Every(interval time.Duration, action func()) {
	w.After(interval, func() { action(); w.Every(interval, action) })
}

// Advance lets time pass.
func (w *World) Advance(d time.Duration) {
	end := w.Now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(scheduledEvent)
		w.Now = e.at
		e.action()
	}
	w.Now = end
}

func (w *World) messageDelay() time.Duration {
	d := time.Duration(1+w.Rand.IntN(8)) * time.Millisecond
	if w.MaxNetworkDelay > 0 {
		d += time.Duration(w.Rand.Int64N(int64(w.MaxNetworkDelay)))
	}
	if w.Rand.Float64() < 0.02 {
		d += time.Duration(w.Rand.IntN(300)) * time.Millisecond
	}
	return d
}

// CoresOf of a machine type.
func (w *World) CoresOf(s protocol.MachineTypeName) float64 {
	for _, f := range w.MachineTypes {
		if f.Name == s {
			return f.Cores
		}
	}
	return 0
}

// Start begins a new life of the controller.
func (c *Controller) Start() {
	c.Alive, c.paused, c.pendingInputs = true, false, nil
	c.generation++
	c.startedAt = c.world.Now
	c.pendingReplies = map[step.RequestID]func(int, []byte){}
	c.pendingOperatorReplies = map[step.RequestID]func(step.Effect){}
	config := c.world.Config
	config.ControllerID = c.ID
	for _, other := range c.world.Controllers {
		if other != c {
			config.PeerIDs = append(config.PeerIDs, other.ID)
		}
	}
	if c.RunsProductionVersion {
		config.AnnouncedLimits = nil
		config.RecordTransfers = false
	}
	config.Seed = uint64(c.generation)
	c.Core = coordination.New(config, c.now())
	c.scheduleTick(c.generation)
}

func (c *Controller) scheduleTick(generation int) {
	c.world.After(50*time.Millisecond, func() {
		if c.Alive && c.generation == generation {
			c.step(step.Tick{})
			c.scheduleTick(generation)
		}
	})
}

// Kill ends the controller with all it holds in memory.
func (c *Controller) Kill() { c.Alive = false }

func (c *Controller) now() step.Now {
	return step.Now{Monotonic: protocol.Instant(float64(c.world.Now-c.startedAt)*c.clockDrift) + 1, Wall: protocol.Millis(1e12 + c.world.Now.Milliseconds())}
}

func (c *Controller) step(input step.Input) {
	if c.paused {
		if _, tick := input.(step.Tick); !tick {
			c.pendingInputs = append(c.pendingInputs, input)
		}
		return
	}
	startedAt := time.Now()
	effects := c.Core.Step(c.now(), input)
	if c.world.StepCosts != nil {
		c.world.StepCosts.add(input, time.Since(startedAt))
	}
	for _, e := range effects {
		c.perform(e)
	}
}

// callService sends something to an outside system and brings the answer back. Either
// way may be lost, or the request may be carried out late; the controller then
// hears nothing until its time is up.
func (c *Controller) callService(unreachable bool, timeout time.Duration, execute func() step.Input, timeoutInput step.Input) {
	w, generation := c.world, c.generation
	answered := false
	deliver := func(input step.Input) {
		if !answered && c.Alive && c.generation == generation {
			answered = true
			c.step(input)
		}
	}
	w.After(timeout, func() { deliver(timeoutInput) })
	d := w.messageDelay()
	if unreachable || w.Rand.Float64() < w.MessageLossRate {
		if w.Rand.IntN(2) == 0 {
			return // never arrives
		}
		d = timeout + time.Duration(w.Rand.IntN(8000))*time.Millisecond // held up, arrives late
	}
	w.After(d, func() {
		input := execute()
		if input != nil && !unreachable && w.Rand.Float64() >= w.MessageLossRate {
			w.After(w.messageDelay(), func() { deliver(input) })
		}
	})
}

func (c *Controller) perform(e step.Effect) {
	w := c.world
	if w.Observe != nil {
		w.Observe(w.Now, c.ID, e)
	}
	const timeout = 1500 * time.Millisecond
	switch v := e.(type) {
	case step.Reply:
		reply := c.pendingReplies[v.RequestID]
		delete(c.pendingReplies, v.RequestID)
		if reply != nil {
			reply(v.Status, v.Body)
		}
	case requests.TransferReply:
		c.replyToOperator(v.Req, v)
	case requests.DrainReply:
		c.replyToOperator(v.Req, v)
	case requests.ShardingStatusReply:
		c.replyToOperator(v.Req, v)
	case step.Log:
		if w.Trace != nil {
			w.Trace(fmt.Sprintf("%8.3f %s %s %v", w.Now.Seconds(), c.ID, v.Message, v.Args))
		}
	case step.SendPeerStatus:
		for _, o := range w.Controllers {
			if o != c && !c.PeersUnreachable && !o.PeersUnreachable {
				generation := o.generation
				w.After(w.messageDelay(), func() {
					if o.Alive && o.generation == generation {
						o.step(step.PeerStatusInput(v))
					}
				})
			}
		}
	case step.Commit:
		c.callStore(timeout, func() step.Input {
			status, result := w.Store.Commit(c.transactionForVersion(v.Transaction))
			o := map[int]storage.Outcome{200: storage.OutcomeApplied, 409: storage.OutcomeConflict, 429: storage.OutcomeThrottled, 503: storage.OutcomeUnavailable, 400: storage.OutcomeLeaseExpired}[status]
			if result.Error == "too large" {
				o = storage.OutcomeInvalid
			}
			return step.CommitResult{ID: v.ID, Outcome: o, Result: result}
		}, step.CommitResult{ID: v.ID, Outcome: storage.OutcomeUnknown, Err: errNoReply}, step.CommitResult{ID: v.ID, Outcome: storage.OutcomeUnavailable, Err: errNoReply})
	case step.LoadRecords:
		c.callStore(timeout, func() step.Input {
			if w.Store.Unavailable {
				return step.LoadRecordsResult{Err: errNoReply}
			}
			return step.LoadRecordsResult{Entries: c.readableEntries(w.Store.List(storage.KeyPrefix)), StartRevision: w.Store.revision, EndRevision: w.Store.revision}
		}, step.LoadRecordsResult{Err: errNoReply}, step.LoadRecordsResult{Err: errNoReply})
	case step.Watch:
		w.watchStore(c, c.generation, v.AfterRevision, w.Now+3*time.Second)
	case step.ReadRevision:
		c.callStore(timeout, func() step.Input {
			if w.Store.Unavailable {
				return step.ReadRevisionResult{Err: errNoReply}
			}
			return step.ReadRevisionResult{Revision: w.Store.revision}
		}, step.ReadRevisionResult{Err: errNoReply}, step.ReadRevisionResult{Err: errNoReply})
	case step.GrantLease:
		c.callStore(timeout, func() step.Input {
			if w.Store.Unavailable {
				return step.GrantLeaseResult{Err: errNoReply}
			}
			return step.GrantLeaseResult{LeaseID: w.Store.GrantLease(w.Now, v.TTL)}
		}, step.GrantLeaseResult{Err: errNoReply}, step.GrantLeaseResult{Err: errNoReply})
	case step.RenewLease:
		c.callStore(timeout, func() step.Input {
			if w.Store.Unavailable {
				return step.RenewLeaseResult{LeaseID: v.LeaseID, Err: errNoReply}
			}
			if !w.Store.RenewLease(w.Now, v.LeaseID) {
				return step.RenewLeaseResult{LeaseID: v.LeaseID, Err: storage.ErrLeaseExpired}
			}
			return step.RenewLeaseResult{LeaseID: v.LeaseID}
		}, step.RenewLeaseResult{LeaseID: v.LeaseID, Err: errNoReply}, step.RenewLeaseResult{LeaseID: v.LeaseID, Err: errNoReply})
	case step.ProbeAgent:
		c.callService(c.AgentsUnreachable, 2*time.Second, func() step.Input {
			m := w.Machines[v.Machine]
			if m == nil || w.isPartitioned(c, m) || m.Terminated || m.Partitioned || m.CommandsLost || m.hung {
				return nil
			}
			heartbeat, err := protocol.ParseHeartbeat(m.nextHeartbeat())
			return step.AgentResult{Machine: v.Machine, Heartbeat: heartbeat, Err: err}
		}, step.AgentResult{Machine: v.Machine, Err: errNoReply})
	case step.SendCommands:
		if w.DelayedCommandRate > 0 && w.Rand.Float64() < w.DelayedCommandRate {
			c.delayCommand(v)
			return
		}
		c.callService(c.AgentsUnreachable, 2*time.Second, func() step.Input {
			m := w.Machines[v.Machine]
			if m == nil || w.isPartitioned(c, m) || m.Terminated || m.CommandsLost {
				return nil
			}
			if m.hung { // carried out late, if token and session still match
				m.deferredCommands = append(m.deferredCommands, func() { m.ExecuteCommands(v.Commands) })
				return nil
			}
			_, body := m.ExecuteCommands(v.Commands)
			if m.Partitioned {
				return nil
			}
			heartbeat, err := protocol.ParseHeartbeat(body)
			return step.AgentResult{Machine: v.Machine, Heartbeat: heartbeat, Err: err}
		}, step.AgentResult{Machine: v.Machine, Err: errNoReply})
	default:
		w.callCloud(c, e)
	}
}

func (w *World) watchStore(controller *Controller, generation int, from protocol.Revision, until time.Duration) {
	w.After(time.Duration(2+w.Rand.IntN(20))*time.Millisecond, func() {
		if !controller.Alive || controller.generation != generation {
			return
		}
		if controller.StoreUnreachable || controller.RefusedByStore || w.Store.Unavailable { // open watches wait
			if w.Now > until+2*time.Second {
				controller.step(step.WatchResult{AfterRevision: from, Err: errNoReply})
				return
			}
			w.watchStore(controller, generation, from, until)
			return
		}
		response, compacted := w.Store.Watch(storage.KeyPrefix, from)
		switch {
		case compacted:
			controller.step(step.WatchResult{AfterRevision: from, Err: storage.ErrRevisionTooOld})
		case len(response.Events) > 0 || w.Now > until:
			response.Events = controller.readableEvents(response.Events)
			controller.step(step.WatchResult{AfterRevision: from, Response: &response})
		default:
			w.watchStore(controller, generation, from, until)
		}
	})
}

func (w *World) callCloud(controller *Controller, e step.Effect) {
	const timeout = 10 * time.Second
	switch v := e.(type) {
	case step.ListMachineTypes:
		controller.callService(w.CloudUnreachable, timeout, func() step.Input { return step.ListMachineTypesResult{MachineTypes: w.MachineTypes} },
			step.ListMachineTypesResult{Err: errNoReply})
	case step.ProvisionMachines:
		controller.callService(w.CloudUnreachable, timeout, func() step.Input {
			if w.CloudOutOfCapacity {
				return step.ProvisionMachinesResult{Request: v.Request, NoCapacity: true}
			}
			return step.ProvisionMachinesResult{Request: v.Request, Machines: w.Provision(v.Request)}
		}, step.ProvisionMachinesResult{Request: v.Request, Err: errNoReply})
	case step.TerminateMachines:
		controller.callService(w.CloudUnreachable, timeout, func() step.Input {
			for _, id := range v.Machines {
				w.TerminateMachine(id)
			}
			return step.TerminateMachinesResult{Machines: v.Machines}
		}, step.TerminateMachinesResult{Machines: v.Machines, Err: errNoReply})
	case step.ListInstances:
		requestedAt := controller.now().Monotonic
		controller.callService(w.CloudUnreachable, timeout, func() step.Input {
			return step.ListInstancesResult{RequestedAt: requestedAt, Instances: w.Instances()}
		}, step.ListInstancesResult{Err: errNoReply})
	default:
		panic(fmt.Sprintf("simulation: effect %T", e))
	}
}

// Provision carries out a rental request, once.
func (w *World) Provision(request protocol.ProvisionRequest) []protocol.MachineID {
	if _, ok := w.provisioned[request.RequestID]; !ok {
		w.provisioned[request.RequestID] = nil
		for i := 0; i < request.Count && len(w.Machines) < maxProvisioned; i++ {
			id := w.AddMachine(request.Type, request.Zone, request.Spot, time.Duration(500+w.Rand.IntN(4000))*time.Millisecond)
			w.provisioned[request.RequestID] = append(w.provisioned[request.RequestID], id)
		}
	}
	return w.provisioned[request.RequestID]
}

// maxProvisioned is how many machines the cloud rents in all.
const maxProvisioned = 400

// Instances is the cloud's list, in the order of the names.
func (w *World) Instances() (instances []protocol.Instance) {
	for id, m := range w.Machines {
		if !m.Terminated {
			instances = append(instances, protocol.Instance{ID: id, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, State: "running", AgeSeconds: 60})
		}
	}
	sort.Slice(instances, func(i, k int) bool { return instances[i].ID < instances[k].ID })
	return instances
}

// AddMachine brings a machine up after a while.
func (w *World) AddMachine(s protocol.MachineTypeName, z protocol.Zone, spot bool, boot time.Duration) protocol.MachineID {
	w.nextMachineID++
	id := protocol.MachineID(fmt.Sprintf("m-%06d", w.nextMachineID))
	m := &Machine{world: w, ID: id, Type: s, Zone: z, Spot: spot, epoch: 1, tasks: map[protocol.Task]*taskExecution{},
		cachedImages: map[string]bool{}, controllerIndex: w.Rand.IntN(len(w.Controllers)), leaseRenewedAt: w.Now + boot, Addr: "10.1.0.1:1"}
	w.Machines[id] = m
	if w.OnProvision != nil {
		w.OnProvision(m)
	}
	w.After(boot, func() {
		m.nextHeartbeatAt = w.Now
		m.loop()
	})
	return id
}

func (m *Machine) loop() {
	if m.Terminated {
		return
	}
	m.advance()
	m.updateGangs()
	m.world.After(100*time.Millisecond, m.loop)
}

// updateGangs starts a gang whose tasks are all here, and ends one that lost a task.
func (m *Machine) updateGangs() {
	w := m.world
	for _, t := range m.sortedTasks() {
		execution := m.tasks[t]
		job := w.Jobs[t.Job]
		if job == nil || !job.IsGang() || execution.state != protocol.TaskAwaitingGang && execution.state != protocol.TaskRunning {
			continue
		}
		members := w.gangMembers(t.Job, execution.attempt)
		if execution.state == protocol.TaskAwaitingGang && len(members) == job.TaskCount {
			all := true
			for _, member := range members {
				all = all && member.execution.state == protocol.TaskAwaitingGang
			}
			if all {
				end := w.Now + protocol.Seconds(job.EstimatedRunSeconds)
				for _, member := range members {
					member.execution.stateEndsAt = end
					member.machine.setState(member.task, member.execution, protocol.TaskRunning)
				}
			}
		} else if execution.state == protocol.TaskRunning && len(members) < job.TaskCount {
			m.endTask(t, execution, "mates_gone")
		}
	}
}

type gangMember struct {
	machine   *Machine
	task      protocol.Task
	execution *taskExecution
}

func (w *World) gangMembers(id protocol.JobID, attempt protocol.Attempt) []gangMember {
	var out []gangMember
	for _, name := range slices.Sorted(maps.Keys(w.Machines)) {
		m := w.Machines[name]
		for _, t := range m.sortedTasks() {
			execution := m.tasks[t]
			if t.Job == id && execution.attempt == attempt && (execution.state != protocol.TaskExited || execution.reason == protocol.ReasonDone) && !m.Terminated {
				out = append(out, gangMember{machine: m, task: t, execution: execution})
			}
		}
	}
	return out
}

// heartbeatReply is what a controller answers a report; by says which process it was.
type heartbeatReply struct {
	status int
	body   []byte
	sender string
}

// transmitHeartbeat brings a worker's report to a controller and the answer back.
func (w *World) transmitHeartbeat(controller *Controller, m *Machine, body []byte, reply func(heartbeatReply)) {
	if w.DuplicateHeartbeatRate > 0 && w.Rand.Float64() < w.DuplicateHeartbeatRate {
		other := w.Controllers[w.Rand.IntN(len(w.Controllers))]
		w.After(time.Duration(500+w.Rand.IntN(40000))*time.Millisecond, func() { // from seconds to well over a lease
			if other.Alive {
				other.DeliverHeartbeat(body, func(int, []byte) {})
			}
		})
	}
	d := w.messageDelay()
	if m.HeartbeatsLost {
		return // it can't even connect
	}
	if m.Partitioned || controller.AgentsUnreachable || w.isPartitioned(controller, m) || w.Rand.Float64() < w.MessageLossRate {
		if w.Rand.IntN(2) == 0 {
			return
		}
		d = 5*time.Second + time.Duration(w.Rand.IntN(20000))*time.Millisecond // held up, arrives late
	}
	w.After(d, func() {
		if !controller.Alive {
			w.After(w.messageDelay(), func() { reply(heartbeatReply{}) })
			return
		}
		controller.DeliverHeartbeat(body, func(status int, b []byte) {
			if m.Partitioned || m.HeartbeatsLost || m.CommandsLost || controller.AgentsUnreachable || w.isPartitioned(controller, m) || w.Rand.Float64() < w.MessageLossRate {
				return
			}
			response := heartbeatReply{status: status, body: b, sender: controller.processName()}
			w.After(w.messageDelay(), func() { reply(response) })
		})
	})
}

// DeliverHeartbeat hands a report to the controller.
func (c *Controller) DeliverHeartbeat(body []byte, reply func(int, []byte)) {
	if c.Remote != nil {
		c.Remote.DeliverHeartbeat(body, reply)
		return
	}
	c.deliverRequest(reply, func(id step.RequestID) step.Input {
		return step.HeartbeatInput{RequestID: id, Body: body}
	})
}

func (c *Controller) deliverRequest(reply func(int, []byte), input func(step.RequestID) step.Input) {
	c.nextRequestID++
	c.pendingReplies[c.nextRequestID] = reply
	c.step(input(c.nextRequestID))
}

// DeliverOperatorRequest asks a controller something, as an operator's tool does.
func (c *Controller) DeliverOperatorRequest(request func(step.RequestID) step.Input, reply func(step.Effect)) {
	if !c.Alive {
		return
	}
	c.nextRequestID++
	c.pendingOperatorReplies[c.nextRequestID] = reply
	c.step(request(c.nextRequestID))
}

// replyToAdmin hands an answer to the operator who waits for it.
func (c *Controller) replyToOperator(id step.RequestID, e step.Effect) {
	if reply := c.pendingOperatorReplies[id]; reply != nil {
		delete(c.pendingOperatorReplies, id)
		reply(e)
	}
}

// pickController picks a controller as the load balancer does: a healthy one if there is one.
func (w *World) pickController() *Controller {
	var healthy []*Controller
	for _, controller := range w.Controllers {
		if controller.Alive && !controller.paused && !controller.UsersUnreachable && controller.isHealthy() {
			healthy = append(healthy, controller)
		}
	}
	if len(healthy) == 0 {
		healthy = w.Controllers
	}
	return healthy[w.Rand.IntN(len(healthy))]
}

// SendUserRequest sends a user's request to a node; tell gets the answer unless it is lost.
func (w *World) SendUserRequest(requestType protocol.RequestType, id protocol.JobID, body []byte, reply func(int, protocol.JobState)) {
	w.SendUserRequestTo(w.pickController(), requestType, id, body, reply)
}

// SendUserRequestTo sends a user's request to one controller.
func (w *World) SendUserRequestTo(controller *Controller, requestType protocol.RequestType, id protocol.JobID, body []byte, reply func(int, protocol.JobState)) {
	w.Rules.RecordRequest(w.Now, id)
	sentAt := w.Now
	replied := false
	deliver := reply
	reply = func(status int, s protocol.JobState) {
		if !replied {
			replied = true
			deliver(status, s)
		}
	}
	w.After(5*time.Second, func() { reply(0, "") })
	w.After(w.messageDelay(), func() {
		if !controller.Alive || controller.UsersUnreachable {
			reply(0, "")
			return
		}
		controller.deliverUserRequest(requestType, id, body, func(status int, b []byte) {
			var jobAnswer protocol.JobStatus
			if status < 300 {
				json.Unmarshal(b, &jobAnswer)
			}
			w.Rules.RecordReply(w.Now, sentAt, requestType, id, status, jobAnswer.State)
			reply(status, jobAnswer.State)
		})
	})
}

// Submit sends a job until it is accepted or refused for good, then polls it.
func (w *World) Submit(job *protocol.Job) {
	w.Jobs[job.ID] = job
	w.Rules.RecordSubmission(w.Now, job)
	body := protocol.Encode(job)
	var submit, poll func()
	poll = func() {
		w.SendUserRequest(protocol.RequestQuery, job.ID, nil, func(status int, s protocol.JobState) {
			if status == 200 && s.IsTerminal() {
				w.FinishedJobs[job.ID] = true
				return
			}
			w.After(3*time.Second, poll)
		})
	}
	submit = func() {
		w.SendUserRequest(protocol.RequestSubmit, job.ID, body, func(status int, _ protocol.JobState) {
			if status >= 200 && status < 300 {
				w.After(time.Second, poll)
			} else if status != 422 && status != 400 {
				w.After(time.Second, submit)
			}
		})
	}
	submit()
}

// Cancel asks to cancel a job until that is answered.
func (w *World) Cancel(id protocol.JobID) {
	w.Rules.RecordCancelRequest(id)
	w.SendUserRequest(protocol.RequestCancel, id, nil, func(status int, _ protocol.JobState) {
		if status != 200 {
			w.After(time.Second, func() { w.Cancel(id) })
		}
	})
}
