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
	"sort"
	"strings"
	"time"
)

// task is a task on a worker. It is on its machine from the moment it has its image until it ends.
type task struct {
	id       string // "j-000412/3"
	job      *Job
	attempt  uint64
	stage    string // fetching, gathering, running, ended
	cause    string
	imageAt  time.Time // when the image is there
	gatherAt time.Time
	endsAt   time.Time
	onHost   bool
}

// Worker is the worker of one machine. Its fields are guarded by World.mu.
type Worker struct {
	world       *World
	id          string
	addr        string
	flavor      Flavor
	yard        string
	spot        bool
	alive       bool
	dead        bool
	shift       uint64
	tally       uint64
	baton       uint64
	tasks       map[string]*task
	images      map[string]time.Time
	renewed     time.Time // when the last answered report was sent
	dirty       bool
	tokenChange time.Time
	node        int
	client      *http.Client
}

func newWorker(world *World, id string, flavor Flavor, yard string, spot bool) *Worker {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w := &Worker{world: world, id: id, addr: listener.Addr().String(), flavor: flavor, yard: yard, spot: spot, shift: 1,
		tasks: map[string]*task{}, images: map[string]time.Time{}, node: rand.IntN(len(world.Nodes)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
	go http.Serve(listener, http.HandlerFunc(w.handle))
	return w
}

func (w *Worker) start() {
	w.world.mu.Lock()
	w.alive, w.renewed = true, time.Now()
	w.world.workers = append(w.world.workers, w)
	w.world.mu.Unlock()
	go w.reportLoop()
}

// destroy ends the machine with everything on it.
func (w *Worker) destroy() {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	w.killAll("machine is gone")
	w.alive, w.dead = false, true
}

func (w *Worker) killAll(why string) {
	for _, t := range w.tasks {
		w.end(t, "killed: "+why)
	}
	w.tasks = map[string]*task{}
}

// end ends a task. The caller holds World.mu.
func (w *Worker) end(t *task, cause string) {
	if t.stage == "ended" {
		return
	}
	t.stage, t.cause = "ended", cause
	if t.onHost {
		t.onHost = false
		w.world.leave(w, t)
	} else {
		w.world.Rec.Printf("worker %s: %s try %d ends before it has its image: %s", w.id, t.id, t.attempt, cause)
	}
	w.dirty = true
}

// seeToken stores a higher token. At most once in half of a lease it counts as a change.
func (w *Worker) seeToken(baton uint64) {
	if baton <= w.baton {
		return
	}
	w.baton = baton
	if now := time.Now(); now.Sub(w.tokenChange) > w.world.LeaseTTL/2 {
		w.tokenChange, w.dirty = now, true
	}
}

func (w *Worker) report() object {
	w.tally++
	ids := make([]string, 0, len(w.tasks))
	for id := range w.tasks {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	pieces := []object{}
	for _, id := range ids {
		t := w.tasks[id]
		piece := object{"piece": t.id, "try": t.attempt, "stage": t.stage}
		if t.stage == "ended" {
			piece["cause"] = t.cause
		}
		pieces = append(pieces, piece)
	}
	return object{"stall": w.id, "addr": w.addr, "build": w.flavor.Name, "yard": w.yard, "loaners": w.spot,
		"shift": w.shift, "tally": w.tally, "baton": w.baton, "recall_s": nil, "pieces": pieces}
}

type order struct {
	Verb  string  `json:"verb"`
	Piece string  `json:"piece"`
	Try   uint64  `json:"try"`
	Wind  float64 `json:"wind_down_s"`
}

// execute carries out commands in order. The caller holds World.mu.
func (w *Worker) execute(orders []order) {
	for _, o := range orders {
		known := w.tasks[taskKey(o.Piece, o.Try)]
		switch o.Verb {
		case "start":
			if known == nil {
				w.startTask(o)
			}
		case "stop":
			if known != nil && known.stage != "ended" {
				w.world.Rec.Printf("worker %s: stop %s try %d", w.id, o.Piece, o.Try)
				w.end(known, "stopped") // jobs here save no checkpoints, so every task exits at once
			}
		case "reap":
			if known != nil && known.stage == "ended" {
				delete(w.tasks, taskKey(o.Piece, o.Try))
			}
		}
	}
}

func taskKey(piece string, try uint64) string { return fmt.Sprintf("%s#%d", piece, try) }

func (w *Worker) startTask(o order) {
	t := &task{id: o.Piece, attempt: o.Try, stage: "fetching"}
	jobID, _, _ := strings.Cut(o.Piece, "/")
	t.job = w.world.jobs[jobID]
	w.dirty = true
	w.tasks[taskKey(o.Piece, o.Try)] = t
	for _, other := range w.tasks {
		if other != t && other.id == t.id && other.stage != "ended" {
			t.stage, t.cause = "ended", "busy"
			w.world.Rec.Printf("worker %s: start %s try %d refused: busy", w.id, o.Piece, o.Try)
			return
		}
	}
	if t.job == nil {
		t.stage, t.cause = "ended", "no_such"
		w.world.Problem("worker %s got a start of %s, which nobody sent", w.id, o.Piece)
		return
	}
	cores, mem := 0.0, 0.0
	for _, other := range w.tasks {
		if other.stage != "ended" {
			cores, mem = cores+other.job.Cores, mem+other.job.MemGB
		}
	}
	if cores > w.flavor.Cores+1e-6 || mem > w.flavor.MemGB+1e-6 {
		t.stage, t.cause = "ended", "no_room"
		w.world.Rec.Printf("worker %s: start %s try %d refused: no_room", w.id, o.Piece, o.Try)
		return
	}
	t.imageAt = time.Now()
	if at, ok := w.images[t.job.Bundle]; ok {
		if at.After(t.imageAt) {
			t.imageAt = at
		}
	} else {
		t.imageAt = t.imageAt.Add(time.Duration(t.job.PullGB / w.flavor.FetchGB * float64(time.Second)))
		w.images[t.job.Bundle] = t.imageAt
	}
	w.world.Rec.Printf("worker %s: start %s try %d", w.id, o.Piece, o.Try)
}

// step advances the tasks. The caller holds World.mu.
func (w *Worker) step(now time.Time) {
	if !w.alive {
		return
	}
	if now.Sub(w.renewed) > w.world.LeaseTTL {
		w.world.Rec.Printf("worker %s: lease has ended, session %d begins", w.id, w.shift+1)
		w.killAll("lease has ended")
		w.shift++
		w.renewed, w.dirty = now, true
	}
	for _, t := range w.tasks {
		if t.stage == "fetching" && !now.Before(t.imageAt) {
			t.onHost = true
			w.dirty = true
			if t.job.Shape == "group" {
				t.stage, t.gatherAt = "gathering", now
			} else {
				t.stage = "running"
				t.endsAt = now.Add(t.job.runTime(t.id))
			}
			w.world.enter(w, t)
		}
		if t.stage == "gathering" && now.Sub(t.gatherAt) > w.world.GangWait {
			w.end(t, "alone")
		}
		if t.stage == "running" && t.job.Shape == "batch" && !now.Before(t.endsAt) {
			w.world.finish(t)
			w.end(t, "done")
		}
	}
}

func (w *Worker) handle(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.world.mu.Lock()
	if !w.alive {
		w.world.mu.Unlock()
		<-r.Context().Done() // a machine without power gives no answer
		return
	}
	defer w.world.mu.Unlock()
	if r.URL.Path == "/show" {
		reply(rw, 200, w.report())
		return
	}
	var commands struct {
		Baton  *uint64
		Shift  *uint64
		Orders []order
	}
	if json.Unmarshal(body, &commands) != nil || commands.Baton == nil || commands.Shift == nil {
		reply(rw, 400, object{"error": "malformed"})
		return
	}
	if *commands.Baton < w.baton || *commands.Shift != w.shift {
		reply(rw, 409, w.report())
		return
	}
	w.seeToken(*commands.Baton)
	w.execute(commands.Orders)
	reply(rw, 200, w.report())
}

func (w *Worker) reportLoop() {
	interval := func() time.Duration {
		return time.Duration((0.75 + 0.5*rand.Float64()) * float64(w.world.ReportEvery))
	}
	next := time.Now().Add(time.Duration(rand.Float64() * float64(time.Second)))
	last := time.Time{}
	for {
		time.Sleep(20 * time.Millisecond)
		w.world.mu.Lock()
		now := time.Now()
		if w.dead {
			w.world.mu.Unlock()
			return
		}
		due := !now.Before(next) || w.dirty && now.Sub(last) >= 500*time.Millisecond
		if !due {
			w.world.mu.Unlock()
			continue
		}
		w.dirty = false
		body, _ := json.Marshal(w.report())
		shift, node, sentAt := w.shift, w.node, now
		w.world.mu.Unlock()
		last, next = now, now.Add(interval())
		if pause := w.send(node, shift, sentAt, body); pause > 0 {
			time.Sleep(pause)
			next = time.Now()
		}
	}
}

// send sends one report and returns how long to wait before the next one to another node.
func (w *Worker) send(node int, shift uint64, sentAt time.Time, body []byte) time.Duration {
	nextNode := func() time.Duration {
		w.world.mu.Lock()
		w.node = (node + 1) % len(w.world.Nodes)
		w.world.mu.Unlock()
		return time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, "POST", "http://"+w.world.Nodes[node].Listen+"/agent/beat", bytes.NewReader(body))
	response, err := w.client.Do(request)
	if err != nil {
		return nextNode()
	}
	answer, err := io.ReadAll(response.Body)
	response.Body.Close()
	switch {
	case err != nil:
		return nextNode()
	case response.StatusCode == 421:
		var redirect struct{ Foreman string }
		json.Unmarshal(answer, &redirect)
		for i, other := range w.world.Nodes {
			if other.Name == redirect.Foreman && i != node {
				w.world.mu.Lock()
				w.node = i
				w.world.mu.Unlock()
				return 100 * time.Millisecond
			}
		}
		return nextNode()
	case response.StatusCode != 200:
		return nextNode()
	}
	var commands struct {
		Baton  *uint64
		Orders []order
	}
	if json.Unmarshal(answer, &commands) != nil {
		return nextNode()
	}
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	if !w.alive || shift != w.shift || commands.Baton == nil || *commands.Baton < w.baton {
		return 0
	}
	w.seeToken(*commands.Baton)
	w.renewed = sentAt
	w.execute(commands.Orders)
	return 0
}

func (w *Worker) String() string { return fmt.Sprintf("%s (%s, %s)", w.id, w.flavor.Name, w.yard) }
