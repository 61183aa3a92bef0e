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
	loops     sync.WaitGroup

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

// serveWorld serves the world and lets its time pass with the clock. Close ends both.
func (s *SimulationServer) serveWorld(world *simulation.World) error {
	s.world, s.startedAt, s.stop = world, time.Now(), make(chan struct{})
	for i := range world.Controllers {
		addr, err := s.listenAndServe(s.storeHandler(world.Controllers[i]))
		if err != nil {
			return err
		}
		s.storeAddrs = append(s.storeAddrs, addr)
	}
	var err error
	if s.cloudAddr, err = s.listenAndServe(s.cloudHandler()); err != nil {
		return err
	}
	world.OnProvision = s.serveAgent
	s.loops.Add(1)
	go s.advanceTime()
	return nil
}

// advanceTime lets the world's time pass.
func (s *SimulationServer) advanceTime() {
	defer s.loops.Done()
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
	s.loops.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, listener := range s.listeners {
		listener.Close()
	}
}

// listenAndServe serves a handler on a loopback port of its own, until Close.
func (s *SimulationServer) listenAndServe(handler http.Handler) (addr string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.listeners = append(s.listeners, listener)
	go func() {
		if err := http.Serve(listener, handler); !errors.Is(err, net.ErrClosed) {
			panic(err)
		}
	}()
	return listener.Addr().String(), nil
}

func writeJSON(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
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
	handle := func(pattern string, handler http.HandlerFunc) {
		mux.HandleFunc(pattern, func(rw http.ResponseWriter, r *http.Request) {
			var isUnreachable, isUnavailable bool
			s.WithWorld(func(w *simulation.World) {
				isUnreachable, isUnavailable = controller.StoreUnreachable, w.Store.Unavailable
			})
			switch {
			case isUnreachable:
				hangRequest(r)
			case isUnavailable && !strings.HasPrefix(r.URL.Path, protocol.PathWatch):
				writeJSON(rw, http.StatusServiceUnavailable, struct{}{})
			default:
				handler(rw, r)
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
	status, result := 0, protocol.TransactionResult{}
	isReplyLost := false
	s.WithWorld(func(w *simulation.World) {
		status, result = w.Store.Commit(transaction)
		isReplyLost = w.LostWriteReplyRate > 0 && w.Rand.Float64() < w.LostWriteReplyRate
	})
	if isReplyLost {
		panic(http.ErrAbortHandler) // applied, and nobody is told
	}
	writeJSON(rw, status, result)
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
	isAlive := false
	s.WithWorld(func(w *simulation.World) { isAlive = err == nil && w.Store.RenewLease(w.Now, protocol.LeaseID(id)) })
	if !isAlive {
		writeJSON(rw, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(rw, http.StatusOK, protocol.Lease{ID: protocol.LeaseID(id)})
}

// watch waits for events; during an outage it only waits.
func (s *SimulationServer) watch(rw http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	fromRevision, err := strconv.ParseUint(query.Get("from"), 10, 64)
	waitMillis, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		writeJSON(rw, http.StatusBadRequest, struct{}{})
		return
	}
	for deadline := time.Now().Add(time.Duration(waitMillis) * time.Millisecond); r.Context().Err() == nil; time.Sleep(tickInterval) {
		var response protocol.WatchResponse
		var isCompacted, isUnavailable bool
		s.WithWorld(func(w *simulation.World) {
			if isUnavailable = w.Store.Unavailable; !isUnavailable {
				response, isCompacted = w.Store.Watch(query.Get("starts"), protocol.Revision(fromRevision))
			}
		})
		switch {
		case isCompacted:
			writeJSON(rw, http.StatusGone, struct{}{})
			return
		case !isUnavailable && (len(response.Events) > 0 || time.Now().After(deadline)):
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
func (s *SimulationServer) serveAgent(machine *simulation.Machine) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+protocol.PathAgentStatus, func(rw http.ResponseWriter, r *http.Request) {
		var heartbeat []byte
		s.WithWorld(func(*simulation.World) {
			if !machine.Terminated && !machine.Partitioned {
				heartbeat = machine.Probe()
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
		status, heartbeat := 0, []byte(nil)
		s.WithWorld(func(*simulation.World) {
			if !machine.Terminated && !machine.Partitioned {
				status, heartbeat = machine.ExecuteCommands(commands)
			}
		})
		writeAgentReply(rw, r, status, heartbeat)
	})
	addr, err := s.listenAndServe(mux)
	if err != nil {
		panic(err)
	}
	machine.Addr = addr
}

// writeAgentReply replies for an agent. heartbeat is nil if the machine cannot be reached: then
// there is no reply.
func writeAgentReply(rw http.ResponseWriter, r *http.Request, status int, heartbeat []byte) {
	if heartbeat == nil {
		hangRequest(r)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	rw.Write(heartbeat)
}
