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

// tickInterval is how often the world's time is brought up to the clock's.
const tickInterval = 5 * time.Millisecond

// SimulationServer serves a simulated world over HTTP.
type SimulationServer struct {
	mu        sync.Mutex // guards the world
	world     *simulation.World
	startedAt time.Time
	stop      chan struct{}
	done      sync.WaitGroup

	listeners  []net.Listener
	storeAddrs []string // of the store, as each controller reaches it
	cloudAddr  string
}

// WithWorld calls a function that has the world to itself.
func (s *SimulationServer) WithWorld(fn func(w *simulation.World)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s.world)
}

// start serves the world and lets its time pass with the clock. Close ends both.
func (s *SimulationServer) start(w *simulation.World) error {
	s.world, s.startedAt, s.stop = w, time.Now(), make(chan struct{})
	for i := range w.Controllers {
		addr, err := s.serve(s.storeHandler(w.Controllers[i]))
		if err != nil {
			return err
		}
		s.storeAddrs = append(s.storeAddrs, addr)
	}
	var err error
	if s.cloudAddr, err = s.serve(s.cloudHandler()); err != nil {
		return err
	}
	w.OnProvision = s.serveAgent
	s.done.Add(1)
	go s.advanceTime()
	return nil
}

// advanceTime lets the world's time pass.
func (s *SimulationServer) advanceTime() {
	defer s.done.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.WithWorld(func(w *simulation.World) { w.Advance(time.Since(s.startedAt) - w.Now) })
		}
	}
}

// Close stops the world's time and closes all listeners. Requests that are under way fail.
func (s *SimulationServer) Close() {
	close(s.stop)
	s.done.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		l.Close()
	}
}

// serve serves a handler on a loopback port of its own, until Close.
func (s *SimulationServer) serve(h http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.listeners = append(s.listeners, l)
	go func() {
		if err := http.Serve(l, h); !errors.Is(err, net.ErrClosed) {
			panic(err)
		}
	}()
	return l.Addr().String(), nil
}

func writeJSON(rw http.ResponseWriter, code int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(code)
	rw.Write(protocol.Encode(v))
}

// decodeBody reads a request's body into v.
func decodeBody(r *http.Request, v any) bool {
	data, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	return err == nil && json.Unmarshal(data, v) == nil
}

// hangRequest holds a request until its sender gives up, and does not reply.
func hangRequest(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// storeHandler is the store as one controller reaches it.
func (s *SimulationServer) storeHandler(controller *simulation.Controller) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, h http.HandlerFunc) {
		mux.HandleFunc(pattern, func(rw http.ResponseWriter, r *http.Request) {
			var unreachable, down bool
			s.WithWorld(func(w *simulation.World) { unreachable, down = controller.StoreUnreachable, w.Store.Unavailable })
			switch {
			case unreachable:
				hangRequest(r)
			case down && !strings.HasPrefix(r.URL.Path, protocol.PathWatch):
				writeJSON(rw, http.StatusServiceUnavailable, struct{}{})
			default:
				h(rw, r)
			}
		})
	}
	handle("GET "+protocol.PathKeys, s.listEntries)
	handle("GET "+protocol.PathKeys+"/{key...}", s.readRevision)
	handle("POST "+protocol.PathTransaction, s.commit)
	handle("POST "+protocol.PathLeases, s.grantLease)
	handle("POST "+protocol.PathLeases+"/{id}/extend", s.renewLease)
	handle("GET "+protocol.PathWatch, s.watch)
	return mux
}

// readRevision replies to a read of one key. Controllers read only a key that never exists, to
// learn the revision.
func (s *SimulationServer) readRevision(rw http.ResponseWriter, _ *http.Request) {
	var revision protocol.Revision
	s.WithWorld(func(w *simulation.World) { revision = w.Store.Revision() })
	writeJSON(rw, http.StatusNotFound, protocol.TransactionResult{Revision: revision})
}

func (s *SimulationServer) listEntries(rw http.ResponseWriter, r *http.Request) {
	page := protocol.EntryPage{Entries: []protocol.Entry{}}
	from := r.URL.Query().Get("from")
	s.WithWorld(func(w *simulation.World) {
		page.Revision = w.Store.Revision()
		for _, entry := range w.Store.List(r.URL.Query().Get("starts")) {
			if entry.Key > from {
				page.Entries = append(page.Entries, entry)
			}
		}
	})
	if page.HasMore = len(page.Entries) > protocol.KeyPageSize; page.HasMore {
		page.Entries = page.Entries[:protocol.KeyPageSize]
	}
	writeJSON(rw, http.StatusOK, page)
}

func (s *SimulationServer) commit(rw http.ResponseWriter, r *http.Request) {
	var transaction protocol.Transaction
	if !decodeBody(r, &transaction) {
		writeJSON(rw, http.StatusBadRequest, protocol.TransactionResult{Error: "malformed"})
		return
	}
	code, result := 0, protocol.TransactionResult{}
	replyLost := false
	s.WithWorld(func(w *simulation.World) {
		code, result = w.Store.Commit(transaction)
		replyLost = w.LostWriteReplyRate > 0 && w.Rand.Float64() < w.LostWriteReplyRate
	})
	if replyLost {
		panic(http.ErrAbortHandler) // applied, and nobody is told
	}
	writeJSON(rw, code, result)
}

func (s *SimulationServer) grantLease(rw http.ResponseWriter, r *http.Request) {
	var lease protocol.Lease
	if !decodeBody(r, &lease) || lease.TTLMillis <= 0 {
		writeJSON(rw, http.StatusBadRequest, struct{}{})
		return
	}
	s.WithWorld(func(w *simulation.World) {
		lease.ID = w.Store.GrantLease(w.Now, time.Duration(lease.TTLMillis)*time.Millisecond)
	})
	writeJSON(rw, http.StatusOK, protocol.Lease{ID: lease.ID})
}

func (s *SimulationServer) renewLease(rw http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	alive := false
	s.WithWorld(func(w *simulation.World) { alive = err == nil && w.Store.RenewLease(w.Now, protocol.LeaseID(id)) })
	if !alive {
		writeJSON(rw, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(rw, http.StatusOK, protocol.Lease{ID: protocol.LeaseID(id)})
}

// watch waits for events; during an outage it only waits.
func (s *SimulationServer) watch(rw http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || err2 != nil {
		writeJSON(rw, http.StatusBadRequest, struct{}{})
		return
	}
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); r.Context().Err() == nil; time.Sleep(tickInterval) {
		var response protocol.WatchResponse
		var compacted, down bool
		s.WithWorld(func(w *simulation.World) {
			if down = w.Store.Unavailable; !down {
				response, compacted = w.Store.Watch(query.Get("starts"), protocol.Revision(from))
			}
		})
		switch {
		case compacted:
			writeJSON(rw, http.StatusGone, struct{}{})
			return
		case !down && (len(response.Events) > 0 || time.Now().After(end)):
			writeJSON(rw, http.StatusOK, response)
			return
		}
	}
}

// cloudHandler is the cloud's API.
func (s *SimulationServer) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+protocol.PathMachineTypes, func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, struct {
			Types []protocol.MachineType `json:"builds"`
		}{s.world.MachineTypes})
	})
	mux.HandleFunc("POST "+protocol.PathInstances, func(rw http.ResponseWriter, r *http.Request) {
		var request protocol.ProvisionRequest
		if !decodeBody(r, &request) || request.Count < 1 || request.Count > protocol.MaxProvisionCount {
			writeJSON(rw, http.StatusBadRequest, struct{}{})
			return
		}
		var reply protocol.MachineList
		s.WithWorld(func(w *simulation.World) { reply.Machines = w.ProvisionMachines(request) })
		writeJSON(rw, http.StatusOK, reply)
	})
	mux.HandleFunc("POST "+protocol.PathTerminate, func(rw http.ResponseWriter, r *http.Request) {
		var request protocol.MachineList
		if !decodeBody(r, &request) {
			writeJSON(rw, http.StatusBadRequest, struct{}{})
			return
		}
		s.WithWorld(func(w *simulation.World) {
			for _, id := range request.Machines {
				w.TerminateMachine(id)
			}
		})
		writeJSON(rw, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("GET "+protocol.PathInstances, func(rw http.ResponseWriter, r *http.Request) {
		page := protocol.InstancePage{Instances: []protocol.Instance{}}
		s.WithWorld(func(w *simulation.World) {
			for _, instance := range w.Instances() {
				if string(instance.ID) > r.URL.Query().Get("from") {
					page.Instances = append(page.Instances, instance)
				}
			}
		})
		writeJSON(rw, http.StatusOK, page)
	})
	return mux
}

// serveAgent serves a machine's agent at an address of its own. The world's lock is held.
func (s *SimulationServer) serveAgent(m *simulation.Machine) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+protocol.PathAgentStatus, func(rw http.ResponseWriter, r *http.Request) {
		var heartbeat []byte
		s.WithWorld(func(*simulation.World) {
			if !m.Terminated && !m.Partitioned {
				heartbeat = m.Probe()
			}
		})
		writeAgentReply(rw, r, http.StatusOK, heartbeat)
	})
	mux.HandleFunc("POST "+protocol.PathAgentCommands, func(rw http.ResponseWriter, r *http.Request) {
		var commands protocol.Commands
		if !decodeBody(r, &commands) {
			writeJSON(rw, http.StatusBadRequest, struct{}{})
			return
		}
		code, heartbeat := 0, []byte(nil)
		s.WithWorld(func(*simulation.World) {
			if !m.Terminated && !m.Partitioned {
				code, heartbeat = m.ExecuteCommands(commands)
			}
		})
		writeAgentReply(rw, r, code, heartbeat)
	})
	addr, err := s.serve(mux)
	if err != nil {
		panic(err)
	}
	m.Addr = addr
}

// writeAgentReply replies for an agent. heartbeat is nil if the machine cannot be reached: then
// there is no reply.
func writeAgentReply(rw http.ResponseWriter, r *http.Request, code int, heartbeat []byte) {
	if heartbeat == nil {
		hangRequest(r)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(code)
	rw.Write(heartbeat)
}
