package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Piece is one attempt of a task on a worker.
type Piece struct {
	Name  string `json:"piece"`
	Try   uint64 `json:"try"`
	Stage string `json:"stage"`
	Cause string `json:"cause,omitempty"`
	Saved bool   `json:"saved,omitempty"`

	job   *Job
	index int
	endAt time.Time // when a running task is done, or a saving one has saved
	gone  time.Time // gang: since when a mate is gone
	wait  time.Time // gang: since when it waits
}

// Worker is the stand-in of the worker of a machine.
type Worker struct {
	w *World
	m *Machine

	mu       sync.Mutex
	up, down bool
	shift    uint64
	tally    uint64
	baton    uint64
	answered time.Time // when the last answered report was sent, or the session's begin
	pieces   map[string]*Piece
	images   map[string]time.Time // when the machine has the image
	node     int
	poke     chan struct{}
	tokenAt  time.Time
	server   *http.Server
	hung     bool    // the machine stands still
	speed    float64 // of image fetches, as a multiple of the type's rate
}

func newWorker(w *World, m *Machine) *Worker {
	return &Worker{w: w, m: m, pieces: map[string]*Piece{}, images: map[string]time.Time{}, speed: 1, poke: make(chan struct{}, 1)}
}

func (k *Worker) begin() {
	<-k.w.built
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		k.w.fatal("worker: %v", err)
	}
	k.w.cloud.mu.Lock()
	k.m.addr = listener.Addr().String()
	k.w.cloud.mu.Unlock()
	k.mu.Lock()
	k.up, k.shift, k.answered = true, 1, time.Now()
	k.node = rand.Intn(len(k.w.nodes))
	for i, n := range k.w.nodes {
		if k.w.cfg.OwnZoneFirst && n.area == k.m.pool.yard {
			k.node = i
		}
	}
	k.mu.Unlock()
	k.server = &http.Server{Handler: http.HandlerFunc(k.serve)}
	go k.server.Serve(listener)
	go k.reportLoop()
	go k.tickLoop()
}

// end ends the worker with all that is on the machine.
func (k *Worker) end(why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return
	}
	k.down = true
	for _, p := range k.pieces {
		if p.Stage != "ended" {
			k.w.log("task %s try %d on %s is gone: %s", p.Name, p.Try, k.m.id, why)
			k.w.offMachine(p, k)
		}
	}
	k.pieces = map[string]*Piece{}
	if k.server != nil {
		go k.server.Close()
	}
}

func (k *Worker) alive() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.up && !k.down
}

// hasRoom reports whether one more task of a job fits on the machine now.
func (k *Worker) hasRoom(j *Job) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	cores, mem := j.Cores, j.MemGB
	for _, p := range k.pieces {
		if p.Stage != "ended" {
			cores, mem = cores+p.job.Cores, mem+p.job.MemGB
		}
	}
	return k.up && !k.down && !k.hung && cores <= k.m.typ.Cores+1e-6 && mem <= k.m.typ.MemGB+1e-6
}

func (k *Worker) isHung() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hung
}

// standStill returns once the machine does not hang.
func (k *Worker) standStill() {
	for k.isHung() && k.alive() {
		time.Sleep(20 * time.Millisecond)
	}
}

func (k *Worker) changed() {
	select {
	case k.poke <- struct{}{}:
	default:
	}
}

func (k *Worker) tickLoop() {
	for range time.Tick(50 * time.Millisecond) {
		if !k.alive() {
			return
		}
		if !k.isHung() {
			k.tick()
		}
	}
}

func (k *Worker) tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checkLease()
	now := time.Now()
	for _, p := range k.pieces {
		switch p.Stage {
		case "fetching":
			if at, ok := k.images[p.job.Bundle]; ok && now.After(at) {
				k.w.onMachine(p, k)
				if p.job.Shape == "group" {
					p.Stage, p.wait = "gathering", now
				} else {
					k.run(p)
				}
				k.changed()
			}
		case "gathering":
			if k.w.gangComplete(p) {
				k.run(p)
				k.changed()
			} else if now.Sub(p.wait).Seconds() > k.w.cfg.GangWaitS {
				k.exit(p, "alone", false)
			}
		case "running":
			if p.job.Shape == "group" && k.w.gangBroken(p) {
				if p.gone.IsZero() {
					p.gone = now
				}
				if now.Sub(p.gone).Seconds() > k.w.cfg.GangPeerS {
					k.exit(p, "mates_gone", false)
					continue
				}
			}
			if p.job.fails {
				k.exit(p, "error", false)
			} else if !p.endAt.IsZero() && now.After(p.endAt) {
				k.w.done(p)
				k.exit(p, "done", false)
			}
		case "flushing":
			if now.After(p.endAt) {
				k.exit(p, "stopped", true)
			}
		}
	}
}

// checkLease kills all tasks and begins the next session if the lease is over. The caller holds k.mu.
func (k *Worker) checkLease() {
	now := time.Now()
	if now.Sub(k.answered) > time.Duration(k.w.cfg.LeaseS*float64(time.Second)) {
		for _, p := range k.pieces {
			if p.Stage != "ended" {
				k.w.log("task %s try %d on %s killed: the worker's lease is over", p.Name, p.Try, k.m.id)
				k.w.offMachine(p, k)
			}
		}
		for bundle, at := range k.images {
			if now.Before(at) {
				delete(k.images, bundle)
			}
		}
		k.pieces = map[string]*Piece{}
		k.shift++
		k.tally, k.answered = 0, now
		k.changed()
	}
}

func (k *Worker) run(p *Piece) {
	p.Stage = "running"
	if p.job.Shape != "daemon" {
		p.endAt = time.Now().Add(time.Duration(p.job.runS * float64(time.Second)))
	}
	k.w.log("task %s try %d runs on %s (%s)", p.Name, p.Try, k.m.id, k.m.pool.yard)
}

func (k *Worker) exit(p *Piece, cause string, saved bool) {
	was := p.Stage
	p.Stage, p.Cause, p.Saved = "ended", cause, saved
	k.w.log("task %s try %d on %s ended: %s", p.Name, p.Try, k.m.id, cause)
	if was != "fetching" {
		k.w.offMachine(p, k)
	} else {
		k.giveUpFetch(p.job.Bundle)
	}
	k.changed()
}

// giveUpFetch gives the fetch of an image up if no task waits for it any more.
func (k *Worker) giveUpFetch(bundle string) {
	for _, p := range k.pieces {
		if p.Stage == "fetching" && p.job.Bundle == bundle {
			return
		}
	}
	if at, ok := k.images[bundle]; ok && time.Now().Before(at) {
		delete(k.images, bundle)
		k.w.log("machine %s gives up the fetch of %s, %.1f s before its end", k.m.id, bundle, time.Until(at).Seconds())
	}
}

func pieceKey(name string, try uint64) string { return name + "#" + strconv.FormatUint(try, 10) }

type order struct {
	Verb  string   `json:"verb"`
	Piece string   `json:"piece"`
	Try   uint64   `json:"try"`
	Wind  *float64 `json:"wind_down_s"`
}

// execute carries out commands. The caller holds k.mu.
func (k *Worker) execute(orders []order) {
	for _, o := range orders {
		p := k.pieces[pieceKey(o.Piece, o.Try)]
		switch o.Verb {
		case "start":
			if p == nil {
				k.start(o.Piece, o.Try)
			}
		case "stop":
			if p == nil || p.Stage == "ended" {
				continue
			}
			wind := 0.0
			if o.Wind != nil {
				wind = *o.Wind
			}
			if p.Stage == "running" && p.job.Bookmark > 0 && wind >= p.job.Stow {
				p.Stage, p.endAt = "flushing", time.Now().Add(time.Duration(p.job.Stow*float64(time.Second)))
				k.changed()
			} else if p.Stage != "flushing" || wind == 0 {
				k.exit(p, "stopped", false)
			}
		case "reap":
			if p != nil && p.Stage == "ended" {
				delete(k.pieces, pieceKey(o.Piece, o.Try))
				k.changed()
			}
		}
	}
}

func (k *Worker) start(name string, try uint64) {
	uid, index, _ := strings.Cut(name, "/")
	p := &Piece{Name: name, Try: try, job: k.w.uploaded(uid)}
	p.index, _ = strconv.Atoi(index)
	k.pieces[pieceKey(name, try)] = p
	defer k.changed()
	refuse := func(cause string) {
		p.Stage, p.Cause = "ended", cause
		k.w.log("start of %s try %d refused on %s: %s", name, try, k.m.id, cause)
	}
	if p.job == nil || p.index >= p.job.Pieces {
		refuse("no_such")
		return
	}
	cores, mem := p.job.Cores, p.job.MemGB
	for _, other := range k.pieces {
		if other == p || other.Stage == "ended" {
			continue
		}
		if other.Name == name {
			refuse("busy")
			return
		}
		cores, mem = cores+other.job.Cores, mem+other.job.MemGB
	}
	if cores > k.m.typ.Cores+1e-6 || mem > k.m.typ.MemGB+1e-6 {
		refuse("no_room")
		return
	}
	p.Stage = "fetching"
	if _, ok := k.images[p.job.Bundle]; !ok {
		k.images[p.job.Bundle] = time.Now().Add(time.Duration(p.job.PullGB / (k.m.typ.FetchGBps * k.speed) * float64(time.Second)))
	}
	k.w.log("start of %s try %d accepted on %s (%s)", name, try, k.m.id, k.m.pool.yard)
}

// report returns the worker's report. The caller holds k.mu.
func (k *Worker) report() []byte {
	k.tally++
	pieces := []*Piece{}
	for _, p := range k.pieces {
		pieces = append(pieces, p)
	}
	body, _ := json.Marshal(obj{"stall": k.m.id, "addr": k.m.addr, "build": k.m.pool.sku, "yard": k.m.pool.yard,
		"loaners": k.m.pool.spot, "shift": k.shift, "tally": k.tally, "baton": k.baton, "recall_s": nil, "pieces": pieces})
	return body
}

// seen notes a token. The caller holds k.mu.
func (k *Worker) seen(baton uint64) {
	if baton <= k.baton {
		return
	}
	k.baton = baton
	if time.Since(k.tokenAt).Seconds() > k.w.cfg.LeaseS/2 {
		k.tokenAt = time.Now()
		k.changed()
	}
}

func (k *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	k.mu.Lock()
	for k.hung && !k.down { // a command that waits at a machine that hangs is carried out when it continues
		k.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		k.mu.Lock()
	}
	if k.down {
		k.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	defer k.mu.Unlock()
	k.checkLease()
	status := 200
	if r.URL.Path == "/do" {
		var in struct {
			Baton  *uint64 `json:"baton"`
			Shift  *uint64 `json:"shift"`
			Orders []order `json:"orders"`
		}
		if json.Unmarshal(body, &in) != nil || in.Baton == nil || in.Shift == nil {
			reply(rw, 400, obj{})
			return
		}
		if *in.Baton < k.baton || *in.Shift != k.shift {
			status = 409
		} else {
			k.seen(*in.Baton)
			k.execute(in.Orders)
		}
	}
	out := k.report()
	rw.Header().Set("Content-Length", strconv.Itoa(len(out)))
	rw.WriteHeader(status)
	rw.Write(out)
}

// reportLoop reports to one node at a time.
func (k *Worker) reportLoop() {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	last := time.Time{}
	for k.alive() {
		k.standStill()
		sent := time.Now()
		last = sent
		next := k.reportOnce(client, sent)
		if next >= 0 {
			time.Sleep(next)
			continue
		}
		interval := time.Duration(k.w.cfg.ReportS * (0.75 + rand.Float64()/2) * float64(time.Second))
		timer := time.NewTimer(time.Until(last.Add(interval)))
		select {
		case <-timer.C:
		case <-k.poke:
			timer.Stop()
			time.Sleep(time.Until(last.Add(500 * time.Millisecond)))
		}
	}
}

// reportOnce sends one report. It returns a pause before the next one, or -1 for the usual interval.
func (k *Worker) reportOnce(client *http.Client, sent time.Time) time.Duration {
	k.mu.Lock()
	body, shift, node := k.report(), k.shift, k.w.nodes[k.node]
	k.mu.Unlock()
	other := func() time.Duration {
		k.mu.Lock()
		k.node = (k.node + 1) % len(k.w.nodes)
		k.mu.Unlock()
		return time.Second
	}
	resp, err := client.Post("http://"+node.listen+"/agent/beat", "application/json", bytes.NewReader(body))
	if err != nil {
		return other()
	}
	answer, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	k.standStill()
	if err != nil || time.Since(sent) > 4*time.Second {
		return other()
	}
	switch resp.StatusCode {
	case 200:
		var in struct {
			Baton  uint64  `json:"baton"`
			Orders []order `json:"orders"`
		}
		if json.Unmarshal(answer, &in) != nil {
			return other()
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.down || k.shift != shift || in.Baton < k.baton {
			return -1
		}
		k.seen(in.Baton)
		k.answered = sent
		k.execute(in.Orders)
		return -1
	case 421:
		var in struct {
			Foreman string `json:"foreman"`
		}
		json.Unmarshal(answer, &in)
		for i, n := range k.w.nodes {
			if n.name == in.Foreman && n != node {
				client.CloseIdleConnections()
				k.mu.Lock()
				k.node = i
				k.mu.Unlock()
				return time.Duration(rand.Intn(500)) * time.Millisecond
			}
		}
	}
	return other()
}
