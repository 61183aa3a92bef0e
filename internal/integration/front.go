// Package integration plays a whole deployment on this machine's loopback: controllers are
// real processes of the program, and the outside systems of package simulation answer them
// over HTTP, in real time. Tests kill, freeze and cut off controllers, and the checkers of
// the stand-in world see all that the state service and the workers are told.
package integration

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/simulation"
)

// step is how often the world's time is brought up to the clock's.
const step = 5 * time.Millisecond

// Front serves a stand-in world over HTTP.
type Front struct {
	mu    sync.Mutex // guards the world
	world *simulation.World
	begun time.Time
	stop  chan struct{}
	done  sync.WaitGroup

	listeners []net.Listener
	state     []string // the state service's address for each controller
	cloud     string
}

// Do calls f with the world to itself.
func (f *Front) Do(do func(w *simulation.World)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(f.world)
}

// start serves the world and lets its time pass with the clock's.
func (f *Front) start(w *simulation.World) error {
	f.world, f.begun, f.stop = w, time.Now(), make(chan struct{})
	for i := range w.Nodes {
		addr, err := f.serve(f.stateService(w.Nodes[i]))
		if err != nil {
			return err
		}
		f.state = append(f.state, addr)
	}
	var err error
	if f.cloud, err = f.serve(f.cloudService()); err != nil {
		return err
	}
	w.Rented = f.serveWorker
	f.done.Add(1)
	go f.run()
	return nil
}

// run lets the world's time pass.
func (f *Front) run() {
	defer f.done.Done()
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
			f.Do(func(w *simulation.World) { w.Run(time.Since(f.begun) - w.Now) })
		}
	}
}

// Close ends the world.
func (f *Front) Close() {
	close(f.stop)
	f.done.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.listeners {
		l.Close()
	}
}

// serve serves a handler on a loopback port of its own.
func (f *Front) serve(h http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	f.listeners = append(f.listeners, l)
	go func() {
		if err := http.Serve(l, h); !errors.Is(err, net.ErrClosed) {
			panic(err)
		}
	}()
	return l.Addr().String(), nil
}

func respond(rw http.ResponseWriter, code int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(code)
	rw.Write(protocol.Encode(v))
}

// body reads a request's body into v.
func body(r *http.Request, v any) bool {
	data, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	return err == nil && json.Unmarshal(data, v) == nil
}

// unreachable holds a request of a controller that is cut off until it gives up.
func unreachable(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// stateService is the state service as one controller reaches it.
func (f *Front) stateService(n *simulation.Node) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, h http.HandlerFunc) {
		mux.HandleFunc(pattern, func(rw http.ResponseWriter, r *http.Request) {
			var cut, down bool
			f.Do(func(w *simulation.World) { cut, down = n.NoState, w.State.Down })
			switch {
			case cut:
				unreachable(r)
			case down && !strings.HasPrefix(r.URL.Path, protocol.PathWatch):
				respond(rw, http.StatusServiceUnavailable, struct{}{})
			default:
				h(rw, r)
			}
		})
	}
	handle("GET "+protocol.PathKeys, f.list)
	handle("GET "+protocol.PathKeys+"/{key...}", f.probe)
	handle("POST "+protocol.PathTransaction, f.multi)
	handle("POST "+protocol.PathLeases, f.grant)
	handle("POST "+protocol.PathLeases+"/{id}/extend", f.extend)
	handle("GET "+protocol.PathWatch, f.follow)
	return mux
}

// probe answers a read of one key. Controllers read only one that never exists, for the
// revision.
func (f *Front) probe(rw http.ResponseWriter, _ *http.Request) {
	var rev protocol.Revision
	f.Do(func(w *simulation.World) { rev = w.State.Rev() })
	respond(rw, http.StatusNotFound, protocol.TransactionResult{Revision: rev})
}

func (f *Front) list(rw http.ResponseWriter, r *http.Request) {
	page := protocol.EntryPage{Entries: []protocol.Entry{}}
	from := r.URL.Query().Get("from")
	f.Do(func(w *simulation.World) {
		page.Revision = w.State.Rev()
		for _, item := range w.State.Items(r.URL.Query().Get("starts")) {
			if item.Key > from {
				page.Entries = append(page.Entries, item)
			}
		}
	})
	if page.HasMore = len(page.Entries) > protocol.KeyPageSize; page.HasMore {
		page.Entries = page.Entries[:protocol.KeyPageSize]
	}
	respond(rw, http.StatusOK, page)
}

func (f *Front) multi(rw http.ResponseWriter, r *http.Request) {
	var m protocol.Transaction
	if !body(r, &m) {
		respond(rw, http.StatusBadRequest, protocol.TransactionResult{Error: "malformed"})
		return
	}
	code, answer := 0, protocol.TransactionResult{}
	lost := false
	f.Do(func(w *simulation.World) {
		code, answer = w.State.Multi(m)
		lost = w.Unheard > 0 && w.Rng.Float64() < w.Unheard
	})
	if lost {
		panic(http.ErrAbortHandler) // carried out, and nobody is told
	}
	respond(rw, code, answer)
}

func (f *Front) grant(rw http.ResponseWriter, r *http.Request) {
	var h protocol.Lease
	if !body(r, &h) || h.TTLMillis <= 0 {
		respond(rw, http.StatusBadRequest, struct{}{})
		return
	}
	f.Do(func(w *simulation.World) { h.ID = w.State.Grant(w.Now, time.Duration(h.TTLMillis)*time.Millisecond) })
	respond(rw, http.StatusOK, protocol.Lease{ID: h.ID})
}

func (f *Front) extend(rw http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	alive := false
	f.Do(func(w *simulation.World) { alive = err == nil && w.State.Extend(w.Now, protocol.LeaseID(id)) })
	if !alive {
		respond(rw, http.StatusNotFound, struct{}{})
		return
	}
	respond(rw, http.StatusOK, protocol.Lease{ID: protocol.LeaseID(id)})
}

// follow waits for changes; during an outage it only waits.
func (f *Front) follow(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil {
		respond(rw, http.StatusBadRequest, struct{}{})
		return
	}
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); r.Context().Err() == nil; time.Sleep(step) {
		var news protocol.WatchResponse
		var old, down bool
		f.Do(func(w *simulation.World) {
			if down = w.State.Down; !down {
				news, old = w.State.Follow(q.Get("starts"), protocol.Revision(from))
			}
		})
		switch {
		case old:
			respond(rw, http.StatusGone, struct{}{})
			return
		case !down && (len(news.Events) > 0 || time.Now().After(end)):
			respond(rw, http.StatusOK, news)
			return
		}
	}
}

// cloudService is the cloud.
func (f *Front) cloudService() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+protocol.PathMachineTypes, func(rw http.ResponseWriter, _ *http.Request) {
		respond(rw, http.StatusOK, struct {
			Types []protocol.MachineType `json:"builds"`
		}{f.world.Flavors})
	})
	mux.HandleFunc("POST "+protocol.PathInstances, func(rw http.ResponseWriter, r *http.Request) {
		var h protocol.ProvisionRequest
		if !body(r, &h) || h.Count < 1 || h.Count > protocol.MaxProvisionCount {
			respond(rw, http.StatusBadRequest, struct{}{})
			return
		}
		var answer protocol.MachineList
		f.Do(func(w *simulation.World) { answer.Machines = w.Rent(h) })
		respond(rw, http.StatusOK, answer)
	})
	mux.HandleFunc("POST "+protocol.PathTerminate, func(rw http.ResponseWriter, r *http.Request) {
		var m protocol.MachineList
		if !body(r, &m) {
			respond(rw, http.StatusBadRequest, struct{}{})
			return
		}
		f.Do(func(w *simulation.World) {
			for _, id := range m.Machines {
				w.Lose(id)
			}
		})
		respond(rw, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("GET "+protocol.PathInstances, func(rw http.ResponseWriter, r *http.Request) {
		answer := protocol.InstancePage{Instances: []protocol.Instance{}}
		f.Do(func(w *simulation.World) {
			for _, h := range w.Hosts() {
				if string(h.ID) > r.URL.Query().Get("from") {
					answer.Instances = append(answer.Instances, h)
				}
			}
		})
		respond(rw, http.StatusOK, answer)
	})
	return mux
}

// serveWorker gives a worker an address of its own. The world's lock is held.
func (f *Front) serveWorker(m *simulation.Worker) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+protocol.PathAgentStatus, func(rw http.ResponseWriter, r *http.Request) {
		var report []byte
		f.Do(func(*simulation.World) {
			if !m.Gone && !m.Cut {
				report = m.Show()
			}
		})
		answerWorker(rw, r, http.StatusOK, report)
	})
	mux.HandleFunc("POST "+protocol.PathAgentCommands, func(rw http.ResponseWriter, r *http.Request) {
		var o protocol.Commands
		if !body(r, &o) {
			respond(rw, http.StatusBadRequest, struct{}{})
			return
		}
		code, report := 0, []byte(nil)
		f.Do(func(*simulation.World) {
			if !m.Gone && !m.Cut {
				code, report = m.Do(o)
			}
		})
		answerWorker(rw, r, code, report)
	})
	addr, err := f.serve(mux)
	if err != nil {
		panic(err)
	}
	m.Addr = addr
}

// answerWorker answers for a worker; one that is gone does not answer.
func answerWorker(rw http.ResponseWriter, r *http.Request, code int, report []byte) {
	if report == nil {
		unreachable(r)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(code)
	rw.Write(report)
}
