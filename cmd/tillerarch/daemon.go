package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"tillerarch/internal/coordination"
	"tillerarch/internal/coordination/requests"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
	"tillerarch/internal/transport"
)

const (
	tickInterval      = 50 * time.Millisecond
	storeTimeout      = 1500 * time.Millisecond
	cloudTimeout      = 10 * time.Second
	agentTimeout      = 2 * time.Second
	watchTimeout      = 3 * time.Second // below hold.ttl: the replica's age tells whether it may be acted on
	minQueueLength    = 1024            // of inputs; it grows with the sockets, each of which may have a request in it
	cloudRateFraction = 0.6
)

// queuedInput is an input with the request it came from, if any.
type queuedInput struct {
	input        step.Input
	exchange     *transport.Exchange
	adminRequest *adminRequest
}

// adminRequest is a request of an operator's tool: the input is made once it has its
// number, and the answer is sent to who waits for it.
type adminRequest struct {
	makeInput func(step.RequestID) step.Input
	reply     chan<- step.Effect
}

// daemon ties the core to the world: it feeds the core inputs one at a time
// and carries its effects out.
type daemon struct {
	settings *settings
	core     *coordination.Core
	inputs   chan queuedInput
	server   *transport.Server
	store    *storage.Client
	cloud    *transport.Client
	peers    []*transport.PeerClient
	agents   struct {
		sync.Mutex
		clients map[string]*transport.Client
	}
	startedAt            time.Time
	pendingExchanges     map[step.RequestID]*transport.Exchange
	pendingAdminRequests map[step.RequestID]chan<- step.Effect // operators' tools that wait
	lastRequestID        step.RequestID
	healthy              atomic.Bool
	lastStepNanos        atomic.Int64 // unix nanoseconds of the last step
}

func serve(s *settings) error {
	runtime.GOMAXPROCS(2)
	debug.SetMemoryLimit(int64(s.memoryMB * 0.6 * (1 << 20)))
	// What lives is 10 to 20 MB, and most of what a report leaves behind does not: a
	// larger heap costs memory that is there, and halves the collector's work.
	debug.SetGCPercent(400)
	controllers := float64(len(s.peerAddrs) + 1)
	perController := func(rps float64) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(rps/controllers), max(int(rps/controllers), 2))
	}
	d := &daemon{settings: s, inputs: make(chan queuedInput, max(minQueueLength, s.maxSockets)), startedAt: time.Now(), pendingExchanges: map[step.RequestID]*transport.Exchange{}, pendingAdminRequests: map[step.RequestID]chan<- step.Effect{}}
	d.agents.clients = map[string]*transport.Client{}
	storeLimiter := perController(s.storeRPS)
	d.store = &storage.Client{
		RequestCaller: transport.NewClient(s.storeAddr, 6, storeLimiter),
		WatchCaller:   transport.NewClient(s.storeAddr, 1, storeLimiter),
		Timeout:       storeTimeout,
	}
	// The cloud's calls come in bursts at one controller, the one whose jobs need
	// machines: each may use more than its even part. A 429 is only a delay.
	d.cloud = transport.NewClient(s.cloudAddr, 4, rate.NewLimiter(rate.Limit(s.cloudRPS*cloudRateFraction), max(int(s.cloudRPS), 2)))
	for _, addr := range s.peerAddrs {
		d.peers = append(d.peers, transport.NewPeerClient(addr))
	}
	d.core = coordination.New(s.core, d.now())
	// Sockets for calls of this process's own are kept back.
	d.server = transport.NewServer(transport.ServerConfig{Addr: s.listen, PeerAddr: s.peerListen,
		MaxConns: max(s.maxSockets-s.maxSockets/8-24, 8), IdleTimeout: 120 * time.Second, ReadTimeout: 10 * time.Second}, d.handleRequest)
	d.server.PeerHandler = func(frame []byte) {
		var status step.PeerStatusWire
		if err := transport.DecodeFrame(frame, &status); err != nil {
			slog.Error("malformed peer status", "error", err)
			return
		}
		d.tryEnqueue(queuedInput{input: step.PeerStatusInput{Status: status.Status()}})
	}
	failed := make(chan error, 1)
	go func() { failed <- d.server.Run() }()
	go d.runLoop()
	if s.adminListen != "" {
		go d.serveAdmin(s.adminListen)
	}
	slog.Info("controller started", "version", version, "controller", string(s.core.ControllerID), "listen", s.listen)
	return fmt.Errorf("listen %s: %w", s.listen, <-failed)
}

func (d *daemon) now() step.Now {
	t := time.Now()
	return step.Now{Monotonic: protocol.Instant(t.Sub(d.startedAt)) + 1, Wall: protocol.Millis(t.UnixMilli())}
}

// tryEnqueue queues an input unless the queue is full.
func (d *daemon) tryEnqueue(queued queuedInput) bool {
	select {
	case d.inputs <- queued:
		return true
	default:
		return false
	}
}

// enqueue queues an input that must not be lost.
func (d *daemon) enqueue(in step.Input) { d.inputs <- queuedInput{input: in} }

// handleRequest routes one HTTP request. It runs in the server's loop.
func (d *daemon) handleRequest(exchange *transport.Exchange) {
	httpRequest := exchange.Request
	switch httpRequest.Path {
	case protocol.PathHealth:
		if httpRequest.Method != "GET" {
			d.replyError(exchange, 405, "method not allowed")
		} else if d.healthy.Load() && time.Now().UnixNano()-d.lastStepNanos.Load() < int64(2*time.Second) {
			d.server.Reply(exchange, 200, 0, []byte(`{}`))
		} else {
			d.server.Reply(exchange, 503, 0, []byte(`{"error":"not ready"}`))
		}
		return
	case protocol.PathHeartbeat:
		if httpRequest.Method != "POST" {
			d.replyError(exchange, 405, "method not allowed")
		} else if !d.tryEnqueue(queuedInput{input: step.HeartbeatInput{Body: httpRequest.Body}, exchange: exchange}) {
			d.replyError(exchange, 503, "overloaded")
		}
		return
	}
	requestType, jobID, pathExists, methodAllowed := protocol.RouteJobRequest(httpRequest.Method, httpRequest.Path)
	switch {
	case !pathExists:
		d.replyError(exchange, 404, "no such path")
	case !methodAllowed:
		d.replyError(exchange, 405, "method not allowed")
	case !d.tryEnqueue(queuedInput{input: step.UserInput{Type: requestType, Job: jobID, Body: httpRequest.Body}, exchange: exchange}):
		d.server.Reply(exchange, 503, 2, []byte(`{"error":"overloaded"}`))
	}
}

func (d *daemon) replyError(exchange *transport.Exchange, status int, detail string) {
	d.server.Reply(exchange, status, 0, []byte(`{"error":"`+detail+`"}`))
}

func (d *daemon) runLoop() {
	ticker := time.NewTicker(tickInterval)
	for {
		var queued queuedInput
		select {
		case queued = <-d.inputs:
		case <-ticker.C:
			queued = queuedInput{input: step.Tick{}}
		}
		if queued.exchange != nil {
			d.lastRequestID++
			d.pendingExchanges[d.lastRequestID] = queued.exchange
			switch v := queued.input.(type) {
			case step.UserInput:
				v.RequestID = d.lastRequestID
				queued.input = v
			case step.HeartbeatInput:
				v.RequestID = d.lastRequestID
				queued.input = v
			}
		}
		if queued.adminRequest != nil {
			d.lastRequestID++
			d.pendingAdminRequests[d.lastRequestID] = queued.adminRequest.reply
			queued.input = queued.adminRequest.makeInput(d.lastRequestID)
		}
		for _, effect := range d.core.Step(d.now(), queued.input) {
			d.executeEffect(effect)
		}
		d.healthy.Store(d.core.Healthy())
		d.lastStepNanos.Store(time.Now().UnixNano())
	}
}

func (d *daemon) executeEffect(effect step.Effect) {
	switch v := effect.(type) {
	case step.Reply:
		if exchange := d.pendingExchanges[v.RequestID]; exchange != nil {
			delete(d.pendingExchanges, v.RequestID)
			d.server.Reply(exchange, v.Status, v.RetryAfterSeconds, v.Body)
		}
	case requests.TransferReply:
		d.replyToAdmin(v.Req, v)
	case requests.DrainReply:
		d.replyToAdmin(v.Req, v)
	case requests.ShardingStatusReply:
		d.replyToAdmin(v.Req, v)
	case step.Log:
		slog.Log(context.Background(), v.Level, v.Message, v.Args...)
	case step.SendPeerStatus:
		wire := v.Status.Wire()
		for _, peer := range d.peers {
			if err := peer.Send(wire); err != nil {
				slog.Error("peer status not sent", "error", err)
			}
		}
	default:
		go d.executeCall(effect)
	}
}

// replyToAdmin sends an answer to the tool that waits for it, which may have gone.
func (d *daemon) replyToAdmin(id step.RequestID, effect step.Effect) {
	if reply := d.pendingAdminRequests[id]; reply != nil {
		delete(d.pendingAdminRequests, id)
		reply <- effect // it has room for the one answer
	}
}

// executeCall carries out an effect that waits for an answer.
func (d *daemon) executeCall(effect step.Effect) {
	switch v := effect.(type) {
	case step.Commit:
		outcome, result, err := d.store.Commit(v.Transaction)
		d.enqueue(step.CommitResult{ID: v.ID, Outcome: outcome, Result: result, Err: err})
	case step.LoadRecords:
		entries, from, until, err := d.store.LoadRecords()
		d.enqueue(step.LoadRecordsResult{Entries: entries, StartRevision: from, EndRevision: until, Err: err})
	case step.Watch:
		f, err := d.store.Watch(v.AfterRevision, watchTimeout)
		d.enqueue(step.WatchResult{AfterRevision: v.AfterRevision, Response: f, Err: err})
	case step.ReadRevision:
		revision, err := d.store.Revision()
		d.enqueue(step.ReadRevisionResult{Revision: revision, Err: err})
	case step.GrantLease:
		lease, err := d.store.GrantLease(v.TTL)
		d.enqueue(step.GrantLeaseResult{LeaseID: lease, Err: err})
	case step.RenewLease:
		d.enqueue(step.RenewLeaseResult{LeaseID: v.LeaseID, Err: d.store.RenewLease(v.LeaseID)})
	case step.ListMachineTypes:
		var f []protocol.MachineType
		body, err := d.callCloud("GET", protocol.PathMachineTypes, nil)
		if err == nil {
			f, err = protocol.ParseMachineTypes(body)
		}
		d.enqueue(step.ListMachineTypesResult{MachineTypes: f, Err: err})
	case step.ProvisionMachines:
		d.enqueue(d.provisionMachines(v.Request))
	case step.TerminateMachines:
		_, err := d.callCloud("POST", protocol.PathTerminate, protocol.MachineList{Machines: v.Machines})
		d.enqueue(step.TerminateMachinesResult{Machines: v.Machines, Err: err})
	case step.ListInstances:
		requestedAt := d.now().Monotonic
		instances, err := d.listInstances()
		d.enqueue(step.ListInstancesResult{RequestedAt: requestedAt, Instances: instances, Err: err})
	case step.ProbeAgent:
		heartbeat, err := d.callAgent("GET", protocol.PathAgentStatus, v.Addr, nil)
		d.enqueue(step.AgentResult{Machine: v.Machine, Heartbeat: heartbeat, Err: err})
	case step.SendCommands:
		heartbeat, err := d.callAgent("POST", protocol.PathAgentCommands, v.Addr, v.Commands.Encode())
		d.enqueue(step.AgentResult{Machine: v.Machine, Heartbeat: heartbeat, Err: err})
	default:
		slog.Error("unhandled effect", "type", fmt.Sprintf("%T", effect))
	}
}

// callCloud calls the cloud and wants a 200.
func (d *daemon) callCloud(method, target string, payload any) ([]byte, error) {
	var body []byte
	if payload != nil {
		body = protocol.Encode(payload)
	}
	response, err := d.cloud.Call(method, target, body, cloudTimeout)
	if err != nil {
		return nil, err
	}
	if response.Status != 200 {
		return nil, fmt.Errorf("cloud answered %d", response.Status)
	}
	return response.Body, nil
}

func (d *daemon) provisionMachines(request protocol.ProvisionRequest) step.ProvisionMachinesResult {
	result := step.ProvisionMachinesResult{Request: request}
	response, err := d.cloud.Call("POST", protocol.PathInstances, protocol.Encode(request), cloudTimeout)
	if err != nil {
		result.Err = err
		return result
	}
	var provisioned protocol.MachineList
	var errorBody struct{ Error string }
	switch response.Status {
	case 200:
		if err := json.Unmarshal(response.Body, &provisioned); err != nil {
			result.Err = err
			return result
		}
		for _, id := range provisioned.Machines {
			if !id.IsValid() {
				result.Err = fmt.Errorf("cloud names a machine %q", id)
				return result
			}
		}
		result.Machines = provisioned.Machines
	case 400:
		result.Invalid = true
	case 503:
		if json.Unmarshal(response.Body, &errorBody) == nil && errorBody.Error == "no capacity" {
			result.NoCapacity = true
			break
		}
		result.Err = fmt.Errorf("cloud answered 503 %s", errorBody.Error)
	default:
		result.Err = fmt.Errorf("cloud answered %d", response.Status)
	}
	return result
}

func (d *daemon) listInstances() ([]protocol.Instance, error) {
	var instances []protocol.Instance
	after := protocol.MachineID("")
	for {
		body, err := d.callCloud("GET", protocol.ListInstancesPath(after), nil)
		if err != nil {
			return nil, err
		}
		var page protocol.InstancePage
		if err := json.Unmarshal(body, &page); err != nil {
			return nil, err
		}
		instances = append(instances, page.Instances...)
		if !page.HasMore || len(page.Instances) == 0 || len(instances) > 100_000 {
			return instances, nil
		}
		after = page.Instances[len(page.Instances)-1].ID
	}
}

// callAgent calls a worker's own address; the answer is its report.
func (d *daemon) callAgent(method, path, addr string, body []byte) (*protocol.Heartbeat, error) {
	d.agents.Lock()
	client := d.agents.clients[addr]
	if client == nil {
		if len(d.agents.clients) > 200 {
			for a, old := range d.agents.clients {
				old.CloseIdleConns()
				delete(d.agents.clients, a)
			}
		}
		client = transport.NewClient(addr, 1, nil)
		d.agents.clients[addr] = client
	}
	d.agents.Unlock()
	a, err := client.Call(method, path, body, agentTimeout)
	if err != nil {
		return nil, err
	}
	if a.Status != 200 && a.Status != 409 {
		return nil, fmt.Errorf("worker answered %d", a.Status)
	}
	return protocol.ParseHeartbeat(a.Body)
}
