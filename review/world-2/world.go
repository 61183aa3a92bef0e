// Command world plays the outside systems of a small deployment on loopback addresses, starts the
// project's own program as the controllers, and checks one rule in each case of the review.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Team is a team of the settings.
type Team struct {
	Name         string
	CPUs, CPUMax float64
}

// Config holds the settings of the deployment.
type Config struct {
	Nodes                                                int
	OwnZoneFirst                                         bool // workers report to the node of their zone first, not to any
	Areas                                                []string
	Zones                                                []string
	ReportS, LeaseS, GangWaitS, GangPeerS, CancelS       float64
	StateRPS, StateWriteRPS, ValueKB, CloudRPS, ListLagS float64
	TxnOps                                               int
	MemoryMB                                             float64
	Sockets                                              int
	Teams                                                []Team
	Types                                                []MachineType
	Objectives                                           string // TOML
}

// Job is a job of a user. The fields with wire names are those that are submitted.
type Job struct {
	UID          string   `json:"uid"`
	Lane         string   `json:"lane"`
	Desk         string   `json:"desk"`
	Shape        string   `json:"shape"`
	Rank         string   `json:"rank"`
	Pieces       int      `json:"pieces"`
	Cores        float64  `json:"cores"`
	Accelerators float64  `json:"accelerators"`
	MemGB        float64  `json:"mem_gb"`
	Bundle       string   `json:"bundle"`
	PullGB       float64  `json:"pull_gb"`
	Builds       []string `json:"builds"`
	Yard         *string  `json:"yard"`
	Together     bool     `json:"together"`
	Scatter      bool     `json:"scatter"`
	Loaners      bool     `json:"loaners"`
	Reckon       float64  `json:"reckon_s"`
	Bookmark     float64  `json:"bookmark_s"`
	Stow         float64  `json:"stow_s"`
	Due          *float64 `json:"due_s"`

	user     *http.Client // that submits the job, nil: any
	runS     float64      // true run time of a task
	fails    bool         // submitted with a mistake
	accepted time.Time
	called   time.Time // when its user was told that it is cancelled
}

type onMachine struct {
	piece  *Piece
	worker *Worker
}

// Node is a controller, a process of the project's own program.
type Node struct {
	w            *World
	name, area   string
	listen, back string
	storeAddr    string
	dir          string
	cmd          *exec.Cmd
	exited       chan struct{}
	healthy      bool
	mu           sync.Mutex
}

// World is the whole deployment.
type World struct {
	cfg     *Config
	root    string // the repository
	dir     string // temporary folder
	command []string
	began   time.Time
	record  *os.File
	recMu   sync.Mutex
	mu      sync.Mutex
	jobs    map[string]*Job
	on      map[string][]onMachine // by task
	doneBy  map[string]bool        // tasks that have completed
	broken  []string
	nodes   []*Node
	store   *Store
	cloud   *Cloud
	client  *http.Client
	next    int
	built   chan struct{} // closed once the list of nodes is complete
}

func (w *World) log(format string, args ...any) {
	w.recMu.Lock()
	defer w.recMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

// fatal ends a case that can't run.
func (w *World) fatal(format string, args ...any) {
	w.log("cannot run: "+format, args...)
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	w.close()
	os.Exit(2)
}

// breaks notes that a rule was broken.
func (w *World) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.mu.Lock()
	w.broken = append(w.broken, text)
	w.mu.Unlock()
	w.log("BROKEN: %s", text)
}

func newWorld(cfg *Config, root, recordPath string) *World {
	w := &World{cfg: cfg, root: root, began: time.Now(), jobs: map[string]*Job{}, on: map[string][]onMachine{},
		doneBy: map[string]bool{}, built: make(chan struct{}), client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200}}}
	var err error
	if w.record, err = os.Create(recordPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if w.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		w.fatal("%v", err)
	}
	w.command = deployCommand(w)
	w.store = newStore(cfg)
	w.cloud = newCloud(w)
	return w
}

// deployCommand returns the run command of the deploy file.
func deployCommand(w *World) []string {
	text, err := os.ReadFile(filepath.Join(w.root, "deploy", "service.toml"))
	if err != nil {
		w.fatal("%v", err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`))
		}
	}
	w.fatal("deploy/service.toml names no run command")
	return nil
}

func (w *World) listenOn(h http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		w.fatal("%v", err)
	}
	go http.Serve(l, h)
	return l.Addr().String()
}

// freeAddr returns a free address. Its port lies below those that the system gives to outgoing connections.
func freeAddr(w *World) string {
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", 15000+rand.Intn(15000))
		if l, err := net.Listen("tcp4", addr); err == nil {
			l.Close()
			return addr
		}
	}
	w.fatal("no free port")
	return ""
}

// startNodes writes the settings of all controllers and starts them.
func (w *World) startNodes() {
	for i := range w.cfg.Nodes {
		w.nodes = append(w.nodes, &Node{w: w, name: fmt.Sprintf("stall-%d", i), area: w.cfg.Areas[i%len(w.cfg.Areas)],
			listen: freeAddr(w), back: freeAddr(w), storeAddr: w.listenOn(w.store.handler())})
	}
	close(w.built)
	cloudAddr := w.listenOn(w.cloud.handler())
	for _, n := range w.nodes {
		path := filepath.Join(w.dir, n.name+".toml")
		if err := os.WriteFile(path, []byte(w.settings(n, cloudAddr)), 0o600); err != nil {
			w.fatal("%v", err)
		}
		n.start()
	}
	go w.probe()
}

func (w *World) settings(n *Node, cloudAddr string) string {
	c := w.cfg
	var t strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&t, format+"\n", args...) }
	p("member = %q\narea = %q\nlisten = %q\nback = %q", n.name, n.area, n.listen, n.back)
	for _, o := range w.nodes {
		if o != n {
			p("[[members]]\nmember = %q\narea = %q\naddr = %q", o.name, o.area, o.back)
		}
	}
	p("[outside]\ncloud = %q\nstate = %q", cloudAddr, n.storeAddr)
	p("[params]\ncount = %d\nzones = [%q]\ntime_bound_ms = 25.0", c.Nodes, strings.Join(c.Zones, `", "`))
	for _, team := range c.Teams {
		p("[[params.teams]]\nname = %q\ncpus = %f\ncpus_max = %f\ngpus = 0.0\ngpus_max = 0.0", team.Name, team.CPUs, team.CPUMax)
	}
	p("%s", c.Objectives)
	p("[params.workers]\nreport_s = %f\nlease_s = %f\ngang_wait_s = %f\ngang_peer_s = %f\ncancel_s = %f",
		c.ReportS, c.LeaseS, c.GangWaitS, c.GangPeerS, c.CancelS)
	p("[params.state]\nrps = %f\nwrite_rps = %f\nvalue_kb = %f\ntxn_ops = %d", c.StateRPS, c.StateWriteRPS, c.ValueKB, c.TxnOps)
	p("[params.cloud]\nrps = %f\nlist_lag_s = %f", c.CloudRPS, c.ListLagS)
	p("[params.resources]\ncore_share = 0.12\nmemory_mb = %f\nmax_sockets = %d", c.MemoryMB, c.Sockets)
	return strings.ReplaceAll(t.String(), `\"`, `"`)
}

// start starts the controller's process.
func (n *Node) start() {
	args := append(append([]string{}, n.w.command[1:]...), filepath.Join(n.w.dir, n.name+".toml"))
	n.cmd = exec.Command(filepath.Join(n.w.root, n.w.command[0]), args...)
	n.cmd.Dir = n.w.root
	n.cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	logFile, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.w.fatal("%v", err)
	}
	n.cmd.Stderr = logFile
	started := make(chan error)
	n.exited = make(chan struct{})
	exited, cmd := n.exited, n.cmd
	go func() {
		runtime.LockOSThread() // the signal at the parent's death depends on the thread that starts the process
		err := cmd.Start()
		started <- err
		if err == nil {
			cmd.Wait()
		}
		logFile.Close()
		close(exited)
	}()
	if err := <-started; err != nil {
		n.w.fatal("%v", err)
	}
	n.w.log("controller %s started (pid %d)", n.name, n.cmd.Process.Pid)
}

// probe marks nodes as healthy, like the load balancer. A node counts as unhealthy after two failures.
func (w *World) probe() {
	client := &http.Client{Timeout: time.Second}
	for range time.Tick(time.Second) {
		for _, n := range w.nodes {
			go func() {
				resp, err := client.Get("http://" + n.listen + "/healthz")
				ok := err == nil && resp.StatusCode == 200
				if err == nil {
					resp.Body.Close()
				}
				n.mu.Lock()
				if n.healthy != ok {
					w.log("node %s healthy: %v", n.name, ok)
				}
				n.healthy = ok
				n.mu.Unlock()
			}()
		}
	}
}

func (n *Node) isHealthy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.healthy
}

// pick returns a healthy node, one after the other.
func (w *World) pick() *Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range w.nodes {
		w.next = (w.next + 1) % len(w.nodes)
		if n := w.nodes[w.next]; n.isHealthy() {
			return n
		}
	}
	return nil
}

// waitReady waits until all nodes are healthy.
func (w *World) waitReady(limit time.Duration) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if n.isHealthy() {
				ready++
			}
		}
		if ready == len(w.nodes) {
			return
		}
	}
	w.fatal("the controllers are not healthy after %v", limit)
}

// call sends a user's request to a node.
func (w *World) call(n *Node, method, path string, body []byte, timeout time.Duration) (int, map[string]any) {
	return w.callBy(w.client, n, method, path, body, timeout)
}

// callBy sends a user's request to a node through a client of its own.
func (w *World) callBy(user *http.Client, n *Node, method, path string, body []byte, timeout time.Duration) (int, map[string]any) {
	client := *user
	client.Timeout = timeout
	req, _ := http.NewRequest(method, "http://"+n.listen+path, bytes.NewReader(body))
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	var v map[string]any
	json.Unmarshal(text, &v)
	return resp.StatusCode, v
}

func (w *World) uploaded(uid string) *Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[uid]
}

// submit submits a job like a user: it retries for up to 60 s. With a node it tries that node first.
func (w *World) submit(j *Job, first *Node) bool {
	if j.Bundle == "" {
		j.Bundle = "img-1"
	}
	w.mu.Lock()
	w.jobs[j.UID] = j
	w.mu.Unlock()
	body, _ := json.Marshal(j)
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(time.Second) {
		n := first
		if first = nil; n == nil {
			n = w.pick()
		}
		if n == nil {
			continue
		}
		user := w.client
		if j.user != nil {
			user = j.user
		}
		status, v := w.callBy(user, n, "POST", "/work", body, 5*time.Second)
		w.log("user: POST /work %s at %s -> %d %v", j.UID, n.name, status, v)
		switch status {
		case 200, 201:
			j.accepted = time.Now()
			return true
		case 400, 422:
			return false
		}
	}
	return false
}

// ask asks once for a job's state.
func (w *World) ask(n *Node, uid string) (int, map[string]any) {
	if n == nil {
		return 0, nil
	}
	status, v := w.call(n, "GET", "/work/"+uid, nil, 2*time.Second)
	w.log("user: GET /work/%s at %s -> %d %v", uid, n.name, status, v)
	return status, v
}

// cancel cancels a job like a user and reports whether it was told so.
func (w *World) cancel(uid string) bool {
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(time.Second) {
		n := w.pick()
		if n == nil {
			continue
		}
		status, v := w.call(n, "POST", "/work/"+uid+"/abort", []byte("{}"), 5*time.Second)
		w.log("user: POST /work/%s/abort at %s -> %d %v", uid, n.name, status, v)
		if status == 200 {
			if v["stage"] == "withdrawn" {
				w.uploaded(uid).called = time.Now()
			}
			return true
		}
	}
	return false
}

// onMachine notes that a task is on a machine, which it is from the moment it has its image.
func (w *World) onMachine(p *Piece, k *Worker) {
	w.mu.Lock()
	others := w.on[p.Name]
	w.on[p.Name] = append(others, onMachine{p, k})
	w.mu.Unlock()
	for _, o := range others {
		w.breaks("ran_twice: %s try %d starts on %s while try %d is on %s", p.Name, p.Try, k.m.id, o.piece.Try, o.worker.m.id)
	}
	if !p.job.called.IsZero() && time.Since(p.job.called).Seconds() > w.cfg.CancelS {
		w.breaks("ran_cancelled: %s starts", p.Name)
	}
}

func (w *World) offMachine(p *Piece, _ *Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.on[p.Name][:0:0]
	for _, o := range w.on[p.Name] {
		if o.piece != p {
			list = append(list, o)
		}
	}
	w.on[p.Name] = list
}

func (w *World) done(p *Piece) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.doneBy[p.Name] = true
}

// running returns how many tasks of a job are on machines.
func (w *World) running(uid string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for name, list := range w.on {
		if strings.HasPrefix(name, uid+"/") {
			n += len(list)
		}
	}
	return n
}

// machinesOf returns the machines on which tasks of a job are.
func (w *World) machinesOf(uid string) (machines []*Machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, list := range w.on {
		if strings.HasPrefix(name, uid+"/") {
			for _, o := range list {
				machines = append(machines, o.worker.m)
			}
		}
	}
	return machines
}

func (w *World) gangMates(p *Piece) int {
	n := 0
	uid, _, _ := strings.Cut(p.Name, "/")
	for name, list := range w.on {
		if strings.HasPrefix(name, uid+"/") {
			for _, o := range list {
				if o.piece.Try == p.Try {
					n++
				}
			}
		}
	}
	return n
}

func (w *World) gangComplete(p *Piece) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gangMates(p) == p.job.Pieces
}

func (w *World) gangBroken(p *Piece) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	uid, _, _ := strings.Cut(p.Name, "/")
	for i := range p.job.Pieces {
		if w.doneBy[fmt.Sprintf("%s/%d", uid, i)] {
			return false
		}
	}
	return w.gangMates(p) < p.job.Pieces
}

// await waits until a condition holds, and reports whether it did within the limit.
func await(limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// close ends all processes that were started.
func (w *World) close() {
	for _, n := range w.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			n.cmd.Process.Signal(syscall.SIGCONT)
			n.cmd.Process.Kill()
			<-n.exited
		}
	}
	if w.dir != "" && os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", w.dir)
	}
}

// finish ends the run with the exit code of its result.
func (w *World) finish() {
	code := 0
	if len(w.broken) > 0 {
		code = 1
	}
	w.log("result: exit %d, %d broken", code, len(w.broken))
	for _, text := range w.broken {
		fmt.Println("broken:", text)
	}
	if code == 0 {
		fmt.Println("held")
	}
	w.close()
	os.Exit(code)
}
