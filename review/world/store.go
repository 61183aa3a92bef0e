package world

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreLimits holds the limits of the state service.
type StoreLimits struct {
	RPS      float64
	WriteRPS float64
	ValueKB  float64
	TxnOps   int
}

type storeEntry struct {
	data  json.RawMessage
	stamp uint64
	lease uint64
}

type storeEvent struct {
	Put    string          `json:"put,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// maxEvents is the number of changes that the state service keeps.
const maxEvents = 10000

// Store is the state service.
type Store struct {
	rec *Recorder

	mu         sync.Mutex
	limits     StoreLimits
	revision   uint64
	entries    map[string]storeEntry
	events     []storeEvent
	leases     map[uint64]*storeLease
	nextLease  uint64
	changed    chan struct{} // closed at each change
	reqTokens  float64
	putTokens  float64
	refilledAt time.Time
	down       bool
	refused    map[int]bool // nodes that get 503 alone
	TooLarge   int          // transactions that got 400 for their size
	OnCommit   func(node int, puts []string)
}

// NewStore returns an empty state service.
func NewStore(rec *Recorder, limits StoreLimits) *Store {
	store := &Store{rec: rec, limits: limits, entries: map[string]storeEntry{}, leases: map[uint64]*storeLease{},
		changed: make(chan struct{}), refilledAt: time.Now(), reqTokens: limits.RPS, putTokens: limits.WriteRPS, refused: map[int]bool{}}
	go store.expireLeases()
	return store
}

// SetLimits changes the limits.
func (s *Store) SetLimits(limits StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.putTokens = min(s.putTokens, limits.WriteRPS)
	s.rec.Printf("state service: limits are now %+v", limits)
}

// SetDown begins or ends an outage.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		for _, lease := range s.leases {
			lease.expires = time.Now().Add(lease.ttl)
		}
	}
	s.rec.Printf("state service: down=%v", down)
}

// SetRefused makes the state service refuse one node alone.
func (s *Store) SetRefused(node int, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = refused
	s.rec.Printf("state service: refuses node %d: %v", node, refused)
}

// Keys returns the keys with a prefix and the size of their values.
func (s *Store) Keys(prefix string) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string]string{}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found[key] = string(entry.data)
		}
	}
	return found
}

// Serve serves the state service to one node at an address of its own, which it returns.
func (s *Store) Serve(node int) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(node, w, r) }))
	return listener.Addr().String(), nil
}

func (s *Store) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, lease := range s.leases {
			if !s.down && now.After(lease.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, entry := range s.entries {
		if entry.lease == id {
			s.revision++
			delete(s.entries, key)
			s.addEvent(storeEvent{Delete: key, Stamp: s.revision})
			s.rec.Printf("state service: lease %d has ended, %s removed", id, key)
		}
	}
	s.notify()
}

func (s *Store) addEvent(event storeEvent) {
	s.events = append(s.events, event)
	if len(s.events) > maxEvents {
		s.events = s.events[len(s.events)-maxEvents:]
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) refill() {
	now := time.Now()
	elapsed := now.Sub(s.refilledAt).Seconds()
	s.refilledAt = now
	s.reqTokens = min(s.reqTokens+elapsed*s.limits.RPS, s.limits.RPS)
	s.putTokens = min(s.putTokens+elapsed*s.limits.WriteRPS, s.limits.WriteRPS)
}

func reply(w http.ResponseWriter, status int, body any) {
	encoded, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	w.Write(encoded)
}

type object = map[string]any

func (s *Store) handle(node int, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(time.Duration(1000+rand.IntN(2000)) * time.Microsecond)
	s.mu.Lock()
	s.refill()
	if s.down || s.refused[node] {
		s.mu.Unlock()
		reply(w, 503, object{"error": "trouble"})
		return
	}
	if s.reqTokens < 1 {
		s.mu.Unlock()
		reply(w, 429, object{"error": "too many requests"})
		return
	}
	s.reqTokens--
	path := r.URL.Path
	if r.Method == "GET" && path == "/follow" {
		s.mu.Unlock()
		s.follow(node, w, r)
		return
	}
	defer s.mu.Unlock()
	switch {
	case r.Method == "GET" && path == "/keys":
		s.list(w, r)
	case r.Method == "GET" && strings.HasPrefix(path, "/keys/"):
		key := strings.TrimPrefix(path, "/keys/")
		if entry, ok := s.entries[key]; ok {
			answer := object{"key": key, "data": entry.data, "stamp": entry.stamp}
			if entry.lease != 0 {
				answer["tenancy"] = entry.lease
			}
			reply(w, 200, answer)
		} else {
			reply(w, 404, object{"ledger_rev": s.revision})
		}
	case r.Method == "POST" && path == "/multi":
		s.multi(node, w, body)
	case r.Method == "POST" && path == "/holds":
		var request struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.Unmarshal(body, &request) != nil || request.TTL < 100 || request.TTL > 600000 {
			reply(w, 400, object{"error": "malformed"})
			return
		}
		s.nextLease++
		ttl := time.Duration(request.TTL) * time.Millisecond
		s.leases[s.nextLease] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
		reply(w, 200, object{"tenancy": s.nextLease})
	case strings.HasPrefix(path, "/holds/"):
		text := strings.TrimSuffix(strings.TrimPrefix(path, "/holds/"), "/extend")
		id, _ := strconv.ParseUint(text, 10, 64)
		lease := s.leases[id]
		if lease == nil {
			reply(w, 404, object{"error": "no such lease"})
			return
		}
		if r.Method == "DELETE" {
			s.endLease(id)
		} else {
			lease.expires = time.Now().Add(lease.ttl)
		}
		reply(w, 200, object{"tenancy": id})
	default:
		reply(w, 400, object{"error": "malformed"})
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	page, _ := strconv.Atoi(query.Get("page"))
	if page <= 0 || page > 1000 {
		page = 1000
	}
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, query.Get("starts")) && key > query.Get("from") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []object{}, 0, false
	for _, key := range keys {
		entry := s.entries[key]
		size += len(key) + len(entry.data) + 60
		if len(items) >= page || size > 512<<10 {
			more = true
			break
		}
		items = append(items, object{"key": key, "data": entry.data, "stamp": entry.stamp})
	}
	reply(w, 200, object{"items": items, "more": more, "ledger_rev": s.revision})
}

func (s *Store) multi(node int, w http.ResponseWriter, body []byte) {
	var txn struct {
		When []struct {
			Key   string `json:"key"`
			Stamp uint64 `json:"stamp"`
		} `json:"when"`
		Then []struct {
			Put    string          `json:"put"`
			Data   json.RawMessage `json:"data"`
			Lease  uint64          `json:"tenancy"`
			Delete string          `json:"delete"`
		} `json:"then"`
	}
	if json.Unmarshal(body, &txn) != nil {
		reply(w, 400, object{"error": "malformed"})
		return
	}
	tooLarge := len(body) > 64<<10 || len(txn.Then) > s.limits.TxnOps || len(txn.When) > 4*s.limits.TxnOps
	for _, op := range txn.Then {
		tooLarge = tooLarge || len(op.Data) > int(s.limits.ValueKB*1024)
	}
	if tooLarge {
		s.TooLarge++
		s.rec.Printf("state service: 400 too large to node %d: %d changes, %d conditions, %d bytes", node, len(txn.Then), len(txn.When), len(body))
		reply(w, 400, object{"error": "too large"})
		return
	}
	if s.putTokens < float64(len(txn.Then)) {
		reply(w, 429, object{"error": "too many changes"})
		return
	}
	s.putTokens -= float64(len(txn.Then))
	for _, op := range txn.Then {
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			reply(w, 400, object{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, condition := range txn.When {
		if s.entries[condition.Key].stamp != condition.Stamp {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		reply(w, 409, object{"failed": failed, "ledger_rev": s.revision})
		return
	}
	if len(txn.Then) > 0 {
		s.revision++
		var keys []string
		for _, op := range txn.Then {
			if op.Put != "" {
				s.entries[op.Put] = storeEntry{data: op.Data, stamp: s.revision, lease: op.Lease}
				s.addEvent(storeEvent{Put: op.Put, Data: op.Data, Stamp: s.revision})
				keys = append(keys, op.Put)
			} else {
				delete(s.entries, op.Delete)
				s.addEvent(storeEvent{Delete: op.Delete, Stamp: s.revision})
				keys = append(keys, "-"+op.Delete)
			}
		}
		s.rec.Printf("state service: revision %d by node %d: %s", s.revision, node, strings.Join(keys, " "))
		s.notify()
	}
	reply(w, 200, object{"ledger_rev": s.revision})
}

func (s *Store) follow(node int, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(min(wait, 60000)) * time.Millisecond)
	for {
		s.mu.Lock()
		blind := s.down || s.refused[node]
		news := []storeEvent{}
		if !blind {
			if len(s.events) == maxEvents && s.events[0].Stamp > from+1 {
				s.mu.Unlock()
				reply(w, 410, object{"error": "too old"})
				return
			}
			first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Stamp > from })
			for _, event := range s.events[first:] {
				if strings.HasPrefix(event.Put+event.Delete, query.Get("starts")) {
					news = append(news, event)
				}
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		remaining := time.Until(deadline)
		if !blind && (len(news) > 0 || remaining <= 0) {
			reply(w, 200, object{"ledger_rev": revision, "news": news})
			return
		}
		if blind {
			remaining = 50 * time.Millisecond
		}
		select {
		case <-changed:
		case <-time.After(remaining):
		case <-r.Context().Done():
			return
		}
	}
}
