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

	"tillerarch/internal/bookkeeping"
	"tillerarch/internal/coordination"
	"tillerarch/internal/protocol"
	"tillerarch/internal/transport"
)

const (
	tickEvery     = 50 * time.Millisecond
	stateWait     = 1500 * time.Millisecond
	cloudWait     = 10 * time.Second
	workerWait    = 2 * time.Second
	followWait    = 3 * time.Second // below hold.ttl: the replica's age tells whether it may be acted on
	shortestQueue = 1024            // of inputs; it grows with the sockets, each of which may have a request in it
	cloudShare    = 0.6
)

// message is an input with the request it came from, if any.
type message struct {
	in       coordination.Input
	x        *transport.Exchange
	operator *operatorRequest
}

// operatorRequest is a request of an operator's tool: the input is made once it has its
// number, and the answer is sent to who waits for it.
type operatorRequest struct {
	input  func(coordination.ReqID) coordination.Input
	answer chan<- coordination.Effect
}

// daemon ties the core to the world: it feeds the core inputs one at a time
// and carries its effects out.
type daemon struct {
	s       *settings
	core    *coordination.Core
	in      chan message
	server  *transport.Server
	state   *bookkeeping.State
	cloud   *transport.Client
	peers   []*transport.PeerLink
	workers struct {
		sync.Mutex
		clients map[string]*transport.Client
	}
	start   time.Time
	waiting map[coordination.ReqID]*transport.Exchange
	asking  map[coordination.ReqID]chan<- coordination.Effect // operators' tools that wait
	nextReq coordination.ReqID
	healthy atomic.Bool
	stepped atomic.Int64 // unix nanoseconds of the last step
}

func serve(s *settings) error {
	runtime.GOMAXPROCS(2)
	debug.SetMemoryLimit(int64(s.memoryMB * 0.6 * (1 << 20)))
	// What lives is 10 to 20 MB, and most of what a report leaves behind does not: a
	// larger heap costs memory that is there, and halves the collector's work.
	debug.SetGCPercent(400)
	nodes := float64(len(s.peers) + 1)
	perNode := func(rps float64) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(rps/nodes), max(int(rps/nodes), 2))
	}
	d := &daemon{s: s, in: make(chan message, max(shortestQueue, s.maxSockets)), start: time.Now(), waiting: map[coordination.ReqID]*transport.Exchange{}, asking: map[coordination.ReqID]chan<- coordination.Effect{}}
	d.workers.clients = map[string]*transport.Client{}
	stateTokens := perNode(s.stateRPS)
	d.state = &bookkeeping.State{
		Calls:   transport.NewClient(s.state, 6, stateTokens),
		Watch:   transport.NewClient(s.state, 1, stateTokens),
		Timeout: stateWait,
	}
	// The cloud's calls come in bursts at one controller, the one whose jobs need
	// machines: each may use more than its even part. A 429 is only a delay.
	d.cloud = transport.NewClient(s.cloud, 4, rate.NewLimiter(rate.Limit(s.cloudRPS*cloudShare), max(int(s.cloudRPS), 2)))
	for _, a := range s.peers {
		d.peers = append(d.peers, transport.NewPeerLink(a))
	}
	d.core = coordination.New(s.core, d.now())
	// Sockets for calls of this process's own are kept back.
	d.server = transport.NewServer(transport.ServerConfig{Addr: s.listen, Back: s.back,
		MaxConns: max(s.maxSockets-s.maxSockets/8-24, 8), Idle: 120 * time.Second, Slow: 10 * time.Second}, d.request)
	d.server.Peer = func(frame []byte) {
		var h coordination.PeerStatusWire
		if err := transport.ReadFrame(frame, &h); err != nil {
			slog.Error("unreadable hint", "err", err)
			return
		}
		d.offer(message{in: coordination.HintInput{Hint: h.Status()}})
	}
	failed := make(chan error, 1)
	go func() { failed <- d.server.Run() }()
	go d.loop()
	if s.adminListen != "" {
		go d.serveOperators(s.adminListen)
	}
	slog.Info("started", "version", version, "member", string(s.core.Member), "listen", s.listen)
	return fmt.Errorf("listen %s: %w", s.listen, <-failed)
}

func (d *daemon) now() coordination.Now {
	t := time.Now()
	return coordination.Now{Steady: protocol.Instant(t.Sub(d.start)) + 1, Wall: protocol.Millis(t.UnixMilli())}
}

// offer queues an input unless the queue is full.
func (d *daemon) offer(m message) bool {
	select {
	case d.in <- m:
		return true
	default:
		return false
	}
}

// tell queues an input that must not be lost.
func (d *daemon) tell(in coordination.Input) { d.in <- message{in: in} }

// request routes one HTTP request. It runs in the server's loop.
func (d *daemon) request(x *transport.Exchange) {
	r := x.Req
	switch r.Path {
	case protocol.PathHealth:
		if r.Method != "GET" {
			d.refuse(x, 405, "method not allowed")
		} else if d.healthy.Load() && time.Now().UnixNano()-d.stepped.Load() < int64(2*time.Second) {
			d.server.Reply(x, 200, 0, []byte(`{}`))
		} else {
			d.server.Reply(x, 503, 0, []byte(`{"error":"not ready"}`))
		}
		return
	case protocol.PathReport:
		if r.Method != "POST" {
			d.refuse(x, 405, "method not allowed")
		} else if !d.offer(message{in: coordination.ReportInput{Body: r.Body}, x: x}) {
			d.refuse(x, 503, "overloaded")
		}
		return
	}
	verb, id, known, allowed := protocol.Route(r.Method, r.Path)
	switch {
	case !known:
		d.refuse(x, 404, "no such path")
	case !allowed:
		d.refuse(x, 405, "method not allowed")
	case !d.offer(message{in: coordination.UserInput{Verb: verb, Job: id, Body: r.Body}, x: x}):
		d.server.Reply(x, 503, 2, []byte(`{"error":"overloaded"}`))
	}
}

func (d *daemon) refuse(x *transport.Exchange, status int, what string) {
	d.server.Reply(x, status, 0, []byte(`{"error":"`+what+`"}`))
}

func (d *daemon) loop() {
	tick := time.NewTicker(tickEvery)
	for {
		var m message
		select {
		case m = <-d.in:
		case <-tick.C:
			m = message{in: coordination.Tick{}}
		}
		if m.x != nil {
			d.nextReq++
			d.waiting[d.nextReq] = m.x
			switch v := m.in.(type) {
			case coordination.UserInput:
				v.Req = d.nextReq
				m.in = v
			case coordination.ReportInput:
				v.Req = d.nextReq
				m.in = v
			}
		}
		if m.operator != nil {
			d.nextReq++
			d.asking[d.nextReq] = m.operator.answer
			m.in = m.operator.input(d.nextReq)
		}
		for _, e := range d.core.Step(d.now(), m.in) {
			d.carryOut(e)
		}
		d.healthy.Store(d.core.Healthy())
		d.stepped.Store(time.Now().UnixNano())
	}
}

func (d *daemon) carryOut(e coordination.Effect) {
	switch v := e.(type) {
	case coordination.Reply:
		if x := d.waiting[v.Req]; x != nil {
			delete(d.waiting, v.Req)
			d.server.Reply(x, v.Status, v.RetryAfter, v.Body)
		}
	case coordination.MoveReply:
		d.answerOperator(v.Req, v)
	case coordination.DrainReply:
		d.answerOperator(v.Req, v)
	case coordination.SharesReply:
		d.answerOperator(v.Req, v)
	case coordination.Log:
		slog.Log(context.Background(), v.Level, v.Msg, v.Args...)
	case coordination.SendHint:
		wire := v.Hint.Wire()
		for _, p := range d.peers {
			if err := p.Send(wire); err != nil {
				slog.Error("hint not sent", "err", err)
			}
		}
	default:
		go d.call(e)
	}
}

// answerOperator sends an answer to the tool that waits for it, which may have gone.
func (d *daemon) answerOperator(id coordination.ReqID, e coordination.Effect) {
	if answer := d.asking[id]; answer != nil {
		delete(d.asking, id)
		answer <- e // it has room for the one answer
	}
}

// call carries out an effect that waits for an answer.
func (d *daemon) call(e coordination.Effect) {
	switch v := e.(type) {
	case coordination.Commit:
		o, a, err := d.state.Commit(v.Multi)
		d.tell(coordination.CommitResult{ID: v.ID, Outcome: o, Answer: a, Err: err})
	case coordination.Load:
		items, from, until, err := d.state.Load()
		d.tell(coordination.LoadResult{Items: items, From: from, Until: until, Err: err})
	case coordination.Follow:
		f, err := d.state.Follow(v.From, followWait)
		d.tell(coordination.FollowResult{From: v.From, News: f, Err: err})
	case coordination.ReadRev:
		rev, err := d.state.Rev()
		d.tell(coordination.RevResult{Rev: rev, Err: err})
	case coordination.Grant:
		h, err := d.state.Grant(v.TTL)
		d.tell(coordination.GrantResult{Hold: h, Err: err})
	case coordination.Extend:
		d.tell(coordination.ExtendResult{Hold: v.Hold, Err: d.state.Extend(v.Hold)})
	case coordination.AskFlavors:
		var f []protocol.Flavor
		body, err := d.ask("GET", protocol.PathFlavors, nil)
		if err == nil {
			f, err = protocol.ParseFlavors(body)
		}
		d.tell(coordination.FlavorsResult{Flavors: f, Err: err})
	case coordination.SendRental:
		d.tell(d.hire(v.Hire))
	case coordination.SendRelease:
		_, err := d.ask("POST", protocol.PathRelease, protocol.Machines{Machines: v.Machines})
		d.tell(coordination.ReleaseResult{Machines: v.Machines, Err: err})
	case coordination.AskList:
		asked := d.now().Steady
		hosts, err := d.list()
		d.tell(coordination.ListResult{Asked: asked, Hosts: hosts, Err: err})
	case coordination.SendShow:
		r, err := d.worker("GET", protocol.PathShow, v.Addr, nil)
		d.tell(coordination.DoResult{Machine: v.Machine, Report: r, Err: err})
	case coordination.SendDo:
		r, err := d.worker("POST", protocol.PathDo, v.Addr, v.Orders.Encode())
		d.tell(coordination.DoResult{Machine: v.Machine, Report: r, Err: err})
	default:
		slog.Error("effect without a hand", "type", fmt.Sprintf("%T", e))
	}
}

// ask calls the cloud and wants a 200.
func (d *daemon) ask(method, target string, v any) ([]byte, error) {
	var body []byte
	if v != nil {
		body = protocol.Encode(v)
	}
	a, err := d.cloud.Call(method, target, body, cloudWait)
	if err != nil {
		return nil, err
	}
	if a.Status != 200 {
		return nil, fmt.Errorf("cloud answered %d", a.Status)
	}
	return a.Body, nil
}

func (d *daemon) hire(h protocol.Hire) coordination.RentalResult {
	r := coordination.RentalResult{Hire: h}
	a, err := d.cloud.Call("POST", protocol.PathHosts, protocol.Encode(h), cloudWait)
	if err != nil {
		r.Err = err
		return r
	}
	var ans protocol.Machines
	var no struct{ Error string }
	switch a.Status {
	case 200:
		if err := json.Unmarshal(a.Body, &ans); err != nil {
			r.Err = err
			return r
		}
		for _, id := range ans.Machines {
			if !id.Valid() {
				r.Err = fmt.Errorf("cloud names a machine %q", id)
				return r
			}
		}
		r.Machines = ans.Machines
	case 400:
		r.Invalid = true
	case 503:
		if json.Unmarshal(a.Body, &no) == nil && no.Error == "no capacity" {
			r.NoCapacity = true
			break
		}
		r.Err = fmt.Errorf("cloud answered 503 %s", no.Error)
	default:
		r.Err = fmt.Errorf("cloud answered %d", a.Status)
	}
	return r
}

func (d *daemon) list() ([]protocol.Host, error) {
	var all []protocol.Host
	from := protocol.MachineID("")
	for {
		body, err := d.ask("GET", protocol.HostsPath(from), nil)
		if err != nil {
			return nil, err
		}
		var page protocol.Hosts
		if err := json.Unmarshal(body, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 || len(all) > 100_000 {
			return all, nil
		}
		from = page.Machines[len(page.Machines)-1].UID
	}
}

// worker calls a worker's own address; the answer is its report.
func (d *daemon) worker(method, path, addr string, body []byte) (*protocol.Report, error) {
	d.workers.Lock()
	c := d.workers.clients[addr]
	if c == nil {
		if len(d.workers.clients) > 200 {
			for a, old := range d.workers.clients {
				old.CloseIdle()
				delete(d.workers.clients, a)
			}
		}
		c = transport.NewClient(addr, 1, nil)
		d.workers.clients[addr] = c
	}
	d.workers.Unlock()
	a, err := c.Call(method, path, body, workerWait)
	if err != nil {
		return nil, err
	}
	if a.Status != 200 && a.Status != 409 {
		return nil, fmt.Errorf("worker answered %d", a.Status)
	}
	return protocol.ParseReport(a.Body)
}
