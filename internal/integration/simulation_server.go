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

// tickInterval is the interval at which the world's time is advanced to the real time.
const tickInterval = 5 * time.Millisecond

// SimulationServer serves a simulated world over HTTP.
type SimulationServer struct {
	mu        sync.Mutex // guards world
	world     *simulation.World
	startedAt time.Time      // real time at which the world's time is zero
	stop      chan struct{}  // closed by Close
	loops     sync.WaitGroup // waits for advanceTime

	listeners  []net.Listener
	storeAddrs []string // address of the store for each controller, by the controller's index
	cloudAddr  string
}

// WithWorld calls fn with exclusive access to the world.
func (s *SimulationServer) WithWorld(fn func(w *simulation.World)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s.world)
}

// serveWorld serves the store, the cloud and the agents of the world and advances the world's time
// with the real time, until Close.
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

// advanceTime advances the world's time to the real time at every tick, until Close.
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

// Close stops the world's time and closes all listeners. Requests in progress fail.
func (s *SimulationServer) Close() {
	close(s.stop)
	s.loops.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, listener := range s.listeners {
		listener.Close()
	}
}

// listenAndServe serves a handler on a loopback port of its own, until Close. It returns the address.
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

// writeJSON writes a response with the encoding of v as its body.
func writeJSON(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	rw.Write(protocol.Encode(v))
}

// decodeBody decodes the JSON body of a request into v and reports whether the body is valid.
func decodeBody(r *http.Request, v any) bool {
	data, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	return err == nil && json.Unmarshal(data, v) == nil
}

// hangRequest blocks until the client gives up the request, and then aborts the handler so that no
// response is sent.
func hangRequest(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// storeHandler returns the handler of the store's API for one controller.
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

// readRevision handles a read of one key. Controllers read only a key that never exists, in order to
// get the revision.
func (s *SimulationServer) readRevision(rw http.ResponseWriter, _ *http.Request) {
	var revision protocol.Revision
	s.WithWorld(func(w *simulation.World) { revision = w.Store.Revision() })
	writeJSON(rw, http.StatusNotFound, protocol.TransactionResult{Revision: revision})
}

// listEntries handles a request for one page of the entries whose keys have a prefix.
func (s *SimulationServer) listEntries(rw http.ResponseWriter, request *http.Request) {
	page := protocol.EntryPage{Entries: []protocol.Entry{}}
	from := request.URL.Query().Get("from")
	s.WithWorld(func(w *simulation.World) {
		page.Revision = w.Store.Revision()
		for _, entry := range w.Store.List(request.URL.Query().Get("starts")) {
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

// commit handles a transaction. At the rate LostWriteReplyRate, it applies the transaction and sends
// no response.
func (s *SimulationServer) commit(rw http.ResponseWriter, request *http.Request) {
	var transaction protocol.Transaction
	if !decodeBody(request, &transaction) {
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
		panic(http.ErrAbortHandler) // the transaction is applied, but the client gets no response
	}
	writeJSON(rw, status, result)
}

// grantLease handles a request for a new lease.
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

// renewLease handles a request to renew a lease. It responds with 404 Not Found if the lease does not
// exist.
func (s *SimulationServer) renewLease(rw http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	isRenewed := false
	s.WithWorld(func(w *simulation.World) { isRenewed = err == nil && w.Store.RenewLease(w.Now, protocol.LeaseID(id)) })
	if !isRenewed {
		writeJSON(rw, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(rw, http.StatusOK, protocol.Lease{ID: protocol.LeaseID(id)})
}

// watch handles a watch request. It responds when there are events or when the requested wait has
// passed, and sends no response while the store is unavailable.
func (s *SimulationServer) watch(rw http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	fromRevision, err := strconv.ParseUint(query.Get("from"), 10, 64)
	waitMillis, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		writeJSON(rw, http.StatusBadRequest, struct{}{})
		return
	}
	for deadline := time.Now().Add(time.Duration(waitMillis) * time.Millisecond); request.Context().Err() == nil; time.Sleep(tickInterval) {
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

// cloudHandler returns the handler of the cloud's API.
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

// serveAgent serves a machine's agent at an address of its own. The caller holds the world's lock.
func (s *SimulationServer) serveAgent(machine *simulation.Machine) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+protocol.PathAgentStatus, func(rw http.ResponseWriter, r *http.Request) {
		var heartbeat []byte
		s.WithWorld(func(*simulation.World) {
			if !machine.Terminated && !machine.Partitioned {
				heartbeat = machine.ReplyToProbe()
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

// writeAgentReply writes an agent's response. If heartbeat is nil, the machine is unreachable and
// there is no response.
func writeAgentReply(rw http.ResponseWriter, r *http.Request, status int, heartbeat []byte) {
	if heartbeat == nil {
		hangRequest(r)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	rw.Write(heartbeat)
}
