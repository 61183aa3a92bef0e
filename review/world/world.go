package world

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Job is what a user submits.
type Job struct {
	UID      string   `json:"uid"`
	Lane     string   `json:"lane"`
	Desk     string   `json:"desk"`
	Shape    string   `json:"shape"`
	Rank     string   `json:"rank"`
	Pieces   int      `json:"pieces"`
	Cores    float64  `json:"cores"`
	Accel    float64  `json:"accelerators"`
	MemGB    float64  `json:"mem_gb"`
	Bundle   string   `json:"bundle"`
	PullGB   float64  `json:"pull_gb"`
	Builds   []string `json:"builds"`
	Yard     *string  `json:"yard"`
	Together bool     `json:"together"`
	Scatter  bool     `json:"scatter"`
	Loaners  bool     `json:"loaners"`
	ReckonS  float64  `json:"reckon_s"`
	Bookmark float64  `json:"bookmark_s"`
	StowS    float64  `json:"stow_s"`
	DueS     *float64 `json:"due_s"`

	// RunTime is how long a task runs, the same for all tasks unless RunTimeOf is set.
	RunTime   time.Duration                    `json:"-"`
	RunTimeOf func(piece string) time.Duration `json:"-"`
}

func (j *Job) runTime(piece string) time.Duration {
	if j.RunTimeOf != nil {
		return j.RunTimeOf(piece)
	}
	return j.RunTime
}

// Node is a controller.
type Node struct {
	Name, Area, Listen, Back, State string

	world *World
	mu    sync.Mutex
	cmd   *exec.Cmd
	exits chan struct{}
}

// Config holds the deployment.
type Config struct {
	Root        string // the repository
	Nodes       int
	Zones       []string
	Flavors     []Flavor
	Limits      StoreLimits
	Teams       string // the [[params.teams]] sections
	Objectives  string
	ReportS     float64
	LeaseS      float64
	GangWaitS   float64
	GangPeerS   float64
	CancelS     float64
	CloudRPS    float64
	ListLagS    float64
	MemoryMB    float64
	MaxSockets  int
	CoreShare   float64
	TimeBoundMS float64
}

// World is the platform around the controllers.
type World struct {
	Rec   *Recorder
	Cfg   Config
	Store *Store
	Cloud *Cloud
	Nodes []*Node
	// Next is the section [params.state.next] of the settings, empty for none. It is read at the
	// start of a node.
	Next string

	LeaseTTL, ReportEvery, GangWait, GangPeer time.Duration

	mu       sync.Mutex
	jobs     map[string]*Job
	workers  []*Worker
	places   map[string][]*place // by task: the machines it is on
	usage    map[string]float64
	Peak     map[string]float64 // largest use of a team
	PeakAt   map[string]time.Time
	Limit    map[string]float64 // limit of a team in cores, 0 for none
	problems []string
	done     map[string]map[string]bool // completed tasks by job
	gangs    map[string]*gang
	dir      string
	runWords []string
	cloudAt  string
	lb       *balancer
	stopped  bool
}

type place struct {
	worker *Worker
	task   *task
}

type gang struct {
	members map[*task]*Worker
	started bool
	endsAt  time.Time
	brokeAt time.Time
}

// New starts the state service and the cloud, without nodes.
func New(cfg Config, rec *Recorder) (*World, error) {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	w := &World{Rec: rec, Cfg: cfg, LeaseTTL: seconds(cfg.LeaseS), ReportEvery: seconds(cfg.ReportS), GangWait: seconds(cfg.GangWaitS),
		GangPeer: seconds(cfg.GangPeerS), jobs: map[string]*Job{}, places: map[string][]*place{}, usage: map[string]float64{},
		Peak: map[string]float64{}, PeakAt: map[string]time.Time{}, Limit: map[string]float64{}, done: map[string]map[string]bool{}, gangs: map[string]*gang{}}
	var err error
	if w.Cfg.Root, err = filepath.Abs(cfg.Root); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "tillerarch-review-"); err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(cfg.Root, "deploy/service.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(deploy), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			text, err := strconv.Unquote(strings.TrimSpace(value))
			if err != nil {
				return nil, err
			}
			w.runWords = strings.Fields(text)
		}
	}
	if len(w.runWords) == 0 {
		return nil, fmt.Errorf("deploy/service.toml has no run command")
	}
	if _, err := os.Stat(filepath.Join(cfg.Root, w.runWords[0])); err != nil {
		return nil, err
	}
	w.Store = NewStore(rec, cfg.Limits)
	w.Cloud = newCloud(w, cfg.Flavors, cfg.CloudRPS, seconds(cfg.ListLagS))
	if w.cloudAt, err = w.Cloud.serve(); err != nil {
		return nil, err
	}
	for i := range cfg.Nodes {
		node := &Node{world: w, Name: fmt.Sprintf("stall-%d", i), Area: cfg.Zones[i%len(cfg.Zones)]}
		for _, addr := range []*string{&node.Listen, &node.Back} {
			if *addr, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		if node.State, err = w.Store.Serve(i); err != nil {
			return nil, err
		}
		w.Nodes = append(w.Nodes, node)
	}
	w.lb = newBalancer(w)
	go w.stepLoop()
	return w, nil
}

// loopbackIP is the loopback address of the controllers, another one in each run, so that no other
// program takes a port between its choice and its use.
var loopbackIP = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", loopbackIP+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Settings returns the settings file of a node.
func (n *Node) Settings() string {
	cfg := &n.world.Cfg
	var b strings.Builder
	fmt.Fprintf(&b, "member = %q\narea = %q\nlisten = %q\nback = %q\n\n", n.Name, n.Area, n.Listen, n.Back)
	for _, other := range n.world.Nodes {
		if other != n {
			fmt.Fprintf(&b, "[[members]]\nmember = %q\narea = %q\naddr = %q\n\n", other.Name, other.Area, other.Back)
		}
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n\n", n.world.cloudAt, n.State)
	zones, _ := json.Marshal(cfg.Zones)
	fmt.Fprintf(&b, "[params]\ncount = %d\nzones = %s\ntime_bound_ms = %.1f\n\n%s\n%s\n", cfg.Nodes, zones, cfg.TimeBoundMS, cfg.Teams, cfg.Objectives)
	fmt.Fprintf(&b, "[params.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f\n\n", cfg.ReportS, cfg.LeaseS, cfg.GangWaitS, cfg.GangPeerS, cfg.CancelS)
	fmt.Fprintf(&b, "[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n\n", cfg.Limits.RPS, cfg.Limits.WriteRPS, cfg.Limits.ValueKB, cfg.Limits.TxnOps)
	if n.world.Next != "" {
		fmt.Fprintf(&b, "[params.state.next]\n%s\n\n", n.world.Next)
	}
	fmt.Fprintf(&b, "[params.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n[params.resources]\ncore_share = %.2f\nmemory_mb = %.1f\nmax_sockets = %d\n", cfg.CloudRPS, cfg.ListLagS, cfg.CoreShare, cfg.MemoryMB, cfg.MaxSockets)
	return b.String()
}

// Start starts the process of a node with the deploy file's command.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	path := filepath.Join(n.world.dir, n.Name+".toml")
	if err := os.WriteFile(path, []byte(n.Settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.world.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	words := append(append([]string(nil), n.world.runWords[1:]...), path)
	cmd := exec.Command(filepath.Join(n.world.Cfg.Root, n.world.runWords[0]), words...)
	cmd.Dir, cmd.Stderr, cmd.Stdout = n.world.Cfg.Root, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = os.Environ()
	if err := cmd.Start(); err != nil {
		return err
	}
	exits := make(chan struct{})
	n.cmd, n.exits = cmd, exits
	n.world.Rec.Printf("%s: starts, process %d", n.Name, cmd.Process.Pid)
	go func() {
		cmd.Wait()
		n.world.Rec.Printf("%s: process %d has ended: %v", n.Name, cmd.Process.Pid, cmd.ProcessState)
		close(exits)
	}()
	return nil
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	n.cmd.Process.Kill()
	<-n.exits
	n.cmd = nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.cmd.Process.Signal(signal)
		n.world.Rec.Printf("%s: gets signal %v", n.Name, signal)
	}
}

// HasEnded reports whether the process has ended by itself.
func (n *Node) HasEnded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return false
	}
	select {
	case <-n.exits:
		return true
	default:
		return false
	}
}

// Close ends all processes and copies the end of their logs to the record.
func (w *World) Close() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	for _, node := range w.Nodes {
		node.Kill()
	}
	for _, node := range w.Nodes {
		log, _ := os.ReadFile(filepath.Join(w.dir, node.Name+".log"))
		lines := strings.Split(strings.TrimSpace(string(log)), "\n")
		for _, line := range lines[max(len(lines)-400, 0):] {
			w.Rec.Printf("log of %s: %s", node.Name, line)
		}
	}
	os.RemoveAll(w.dir)
}

// Log returns the log of a node.
func (w *World) Log(node *Node) string {
	log, _ := os.ReadFile(filepath.Join(w.dir, node.Name+".log"))
	return string(log)
}

// Problem records that a rule was broken.
func (w *World) Problem(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.problems = append(w.problems, text)
	w.Rec.Printf("RULE BROKEN: %s", text)
}

// Problems returns the broken rules so far.
func (w *World) Problems() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.problems...)
}

// enter and leave follow the tasks that are on machines. The caller holds World.mu.
func (w *World) enter(worker *Worker, t *task) {
	w.Rec.Printf("worker %s: %s try %d has its image, %s", worker.id, t.id, t.attempt, t.stage)
	for _, other := range w.places[t.id] {
		if other.worker != worker {
			w.Problem("ran_twice: %s starts on %s while it is on %s", t.id, worker.id, other.worker.id)
		}
	}
	w.places[t.id] = append(w.places[t.id], &place{worker, t})
	team := t.job.Desk
	w.usage[team] += t.job.Cores
	if w.usage[team] > w.Peak[team] {
		w.Peak[team], w.PeakAt[team] = w.usage[team], time.Now()
	}
	if limit := w.Limit[team]; limit > 0 && w.usage[team] > limit+1e-6 {
		w.Problem("quota: the tasks of %s use %.1f cores on the machines, the limit is %.1f (%s on %s)", team, w.usage[team], limit, t.id, worker.id)
	}
	if t.job.Shape == "group" {
		key := fmt.Sprintf("%s#%d", t.job.UID, t.attempt)
		if w.gangs[key] == nil {
			w.gangs[key] = &gang{members: map[*task]*Worker{}}
		}
		w.gangs[key].members[t] = worker
	}
}

func (w *World) leave(worker *Worker, t *task) {
	w.Rec.Printf("worker %s: %s try %d ends: %s", worker.id, t.id, t.attempt, t.cause)
	var rest []*place
	for _, other := range w.places[t.id] {
		if other.task != t {
			rest = append(rest, other)
		}
	}
	w.places[t.id] = rest
	w.usage[t.job.Desk] -= t.job.Cores
	if t.job.Shape == "group" {
		g := w.gangs[fmt.Sprintf("%s#%d", t.job.UID, t.attempt)]
		if g != nil {
			delete(g.members, t)
			if g.started && t.cause != "done" && g.brokeAt.IsZero() {
				g.brokeAt = time.Now()
			}
		}
	}
}

func (w *World) finish(t *task) {
	if w.done[t.job.UID] == nil {
		w.done[t.job.UID] = map[string]bool{}
	}
	w.done[t.job.UID][t.id] = true
}

// Done returns how many tasks of a job have completed on machines.
func (w *World) Done(uid string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.done[uid])
}

// On returns how many tasks of a job are on machines now.
func (w *World) On(uid string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, places := range w.places {
		if strings.HasPrefix(id, uid+"/") {
			n += len(places)
		}
	}
	return n
}

// FreeFor returns how many machines of a flavor that are up have room for a task.
func (w *World) FreeFor(flavor string, cores, mem float64) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range w.workers {
		if !worker.alive || worker.flavor.Name != flavor {
			continue
		}
		freeCores, freeMem := worker.flavor.Cores, worker.flavor.MemGB
		for _, t := range worker.tasks {
			if t.stage != "ended" {
				freeCores, freeMem = freeCores-t.job.Cores, freeMem-t.job.MemGB
			}
		}
		if freeCores >= cores && freeMem >= mem {
			n++
		}
	}
	return n
}

func (w *World) stepLoop() {
	for range time.Tick(20 * time.Millisecond) {
		w.mu.Lock()
		if w.stopped {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		for _, worker := range w.workers {
			worker.step(now)
		}
		for _, g := range w.gangs {
			w.stepGang(g, now)
		}
		w.mu.Unlock()
	}
}

func (w *World) stepGang(g *gang, now time.Time) {
	var job *Job
	for t := range g.members {
		job = t.job
	}
	if job == nil {
		return
	}
	switch {
	case !g.started && len(g.members)+len(w.done[job.UID]) >= job.Pieces:
		g.started, g.endsAt = true, now.Add(job.runTime(job.UID))
		for t, worker := range g.members {
			t.stage, worker.dirty = "running", true
		}
		w.Rec.Printf("gang %s runs", job.UID)
	case g.started && !g.brokeAt.IsZero() && now.Sub(g.brokeAt) > w.GangPeer/2:
		for t, worker := range g.members {
			worker.end(t, "mates_gone")
		}
	case g.started && g.brokeAt.IsZero() && !now.Before(g.endsAt):
		for t, worker := range g.members {
			w.finish(t)
			worker.end(t, "done")
		}
	}
}

// balancer is the load balancer: it probes the nodes and picks a healthy one for each connection.
type balancer struct {
	world  *World
	mu     sync.Mutex
	health []bool
}

func newBalancer(w *World) *balancer {
	b := &balancer{world: w, health: make([]bool, w.Cfg.Nodes)}
	for i := range w.Cfg.Nodes {
		go b.probe(i)
	}
	return b
}

func (b *balancer) probe(i int) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	fails, successes := 0, 0
	for range time.Tick(time.Second) {
		response, err := client.Get("http://" + b.world.Nodes[i].Listen + "/healthz")
		ok := err == nil && response.StatusCode == 200
		if err == nil {
			response.Body.Close()
		}
		b.mu.Lock()
		if ok {
			fails, successes = 0, successes+1
			if successes >= 2 {
				b.health[i] = true
			}
		} else {
			fails, successes = fails+1, 0
			if fails >= 2 {
				b.health[i] = false
			}
		}
		b.mu.Unlock()
	}
}

// Healthy returns the healthy nodes.
func (w *World) Healthy() (healthy []int) {
	w.lb.mu.Lock()
	defer w.lb.mu.Unlock()
	for i, ok := range w.lb.health {
		if ok {
			healthy = append(healthy, i)
		}
	}
	return healthy
}

// WaitHealthy waits until all nodes are healthy.
func (w *World) WaitHealthy(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if len(w.Healthy()) == len(w.Nodes) {
			return true
		}
	}
	return false
}

// Answer is the answer to a user's request. Status 0 means none.
type Answer struct {
	Status     int
	RetryAfter int
	Body       string
	Stage      string
	Node       int
}

// Ask sends one request of a user to a node.
func (w *World) Ask(node int, method, path string, body any, timeout time.Duration) Answer {
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+w.Nodes[node].Listen+path, bytes.NewReader(encoded))
	answer := Answer{Node: node}
	response, err := userClient.Do(request)
	if err == nil {
		text, readErr := io.ReadAll(response.Body)
		response.Body.Close()
		if readErr == nil {
			answer.Status, answer.Body = response.StatusCode, string(text)
			answer.RetryAfter, _ = strconv.Atoi(response.Header.Get("Retry-After"))
			var state struct{ Stage string }
			json.Unmarshal(text, &state)
			answer.Stage = state.Stage
		}
	}
	w.Rec.Printf("user -> stall-%d: %s %s: %d %s", node, method, path, answer.Status, strings.TrimSpace(answer.Body))
	return answer
}

var userClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// pick returns a healthy node, or any if none is healthy.
func (w *World) pick() int {
	if healthy := w.Healthy(); len(healthy) > 0 {
		return healthy[rand.IntN(len(healthy))]
	}
	return rand.IntN(len(w.Nodes))
}

// repeat sends a request as users do: again after 1 s or Retry-After, for up to 60 s in total.
func (w *World) repeat(node int, method, path string, body any, isFinal func(Answer) bool) Answer {
	deadline := time.Now().Add(60 * time.Second)
	for {
		at := node
		if at < 0 {
			at = w.pick()
		}
		answer := w.Ask(at, method, path, body, 5*time.Second)
		if isFinal(answer) || time.Now().After(deadline) {
			return answer
		}
		time.Sleep(max(time.Second, time.Duration(min(answer.RetryAfter, 30))*time.Second))
	}
}

// Know uploads a job's description for the workers without submitting it to the controllers.
func (w *World) Know(job *Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[job.UID] = job
}

// Submit submits a job as a user does, through the load balancer, or first at the given node if it
// is not negative.
func (w *World) Submit(node int, job *Job) Answer {
	w.Know(job)
	return w.repeat(node, "POST", "/work", job, func(a Answer) bool {
		return a.Status == 200 || a.Status == 201 || a.Status == 400 || a.Status == 422
	})
}

// Cancel cancels a job as a user does.
func (w *World) Cancel(uid string) Answer {
	return w.repeat(-1, "POST", "/work/"+uid+"/abort", object{}, func(a Answer) bool { return a.Status == 200 || a.Status == 404 })
}

// Poll asks once about a job, through the load balancer.
func (w *World) Poll(uid string) Answer {
	return w.Ask(w.pick(), "GET", "/work/"+uid, nil, 2*time.Second)
}
