package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// bucket is a token bucket with a burst of one second's worth.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.tokens = b.rate
	} else {
		b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

type storeEntry struct {
	data  json.RawMessage
	stamp uint64
	lease uint64
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

type storeEvent struct {
	Put    string          `json:"put,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

// Store is the stand-in of the state service.
type Store struct {
	mu        sync.Mutex
	rev       uint64
	keys      map[string]*storeEntry
	sorted    []string // keys in order, nil if not computed
	leases    map[uint64]*storeLease
	lastLease uint64
	events    []storeEvent
	firstRev  uint64 // changes up to this revision are no longer kept
	changed   chan struct{}
	requests  bucket
	writes    bucket
	valueMax  int
	opsMax    int
}

func newStore(cfg *Config) *Store {
	s := &Store{
		keys: map[string]*storeEntry{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}),
		requests: bucket{rate: cfg.StateRPS}, writes: bucket{rate: cfg.StateWriteRPS},
		valueMax: int(cfg.ValueKB * 1024), opsMax: cfg.TxnOps,
	}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			delete(s.leases, id)
			s.dropLeaseKeys(id)
		}
	}
}

func (s *Store) dropLeaseKeys(id uint64) {
	var events []storeEvent
	for key, e := range s.keys {
		if e.lease == id {
			events = append(events, storeEvent{Delete: key})
		}
	}
	if len(events) > 0 {
		s.apply(events, 0)
	}
}

// apply carries out changes under one new revision.
func (s *Store) apply(events []storeEvent, lease uint64) {
	s.rev++
	for _, e := range events {
		e.Stamp = s.rev
		if e.Put != "" {
			if s.keys[e.Put] == nil {
				s.sorted = nil
			}
			s.keys[e.Put] = &storeEntry{data: e.Data, stamp: s.rev, lease: lease}
		} else {
			delete(s.keys, e.Delete)
			s.sorted = nil
		}
		s.events = append(s.events, e)
	}
	if over := len(s.events) - 10_000; over > 0 {
		s.firstRev = s.events[over-1].Stamp
		s.events = append([]storeEvent(nil), s.events[over:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) sortedKeys() []string {
	if s.sorted == nil {
		s.sorted = make([]string, 0, len(s.keys))
		for k := range s.keys {
			s.sorted = append(s.sorted, k)
		}
		sort.Strings(s.sorted)
	}
	return s.sorted
}

func reply(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	body, _ := json.Marshal(v)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rw.WriteHeader(status)
	rw.Write(body)
}

type obj = map[string]any

// handler serves the store's interface to one node.
func (s *Store) handler() http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
		if err != nil {
			return
		}
		watch := r.URL.Path == "/follow"
		s.mu.Lock()
		if !s.requests.take(1) {
			s.mu.Unlock()
			reply(rw, 429, obj{})
			return
		}
		if watch {
			s.mu.Unlock()
			s.follow(rw, r)
			return
		}
		status, v := s.serve(r, body)
		s.mu.Unlock()
		reply(rw, status, v)
	})
}

func (s *Store) serve(r *http.Request, body []byte) (int, any) {
	path := r.URL.Path
	switch {
	case r.Method == "GET" && path == "/keys":
		return s.list(r)
	case r.Method == "GET" && strings.HasPrefix(path, "/keys/"):
		key := strings.TrimPrefix(path, "/keys/")
		if e := s.keys[key]; e != nil {
			return 200, obj{"key": key, "data": e.data, "stamp": e.stamp, "tenancy": e.lease}
		}
		return 404, obj{"ledger_rev": s.rev}
	case r.Method == "POST" && path == "/multi":
		return s.multi(body)
	case r.Method == "POST" && path == "/holds":
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.Unmarshal(body, &in) != nil || in.TTL < 100 || in.TTL > 600_000 {
			return 400, obj{}
		}
		s.lastLease++
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.leases[s.lastLease] = &storeLease{ttl, time.Now().Add(ttl)}
		return 200, obj{"tenancy": s.lastLease}
	case r.Method == "POST" && strings.HasPrefix(path, "/holds/") && strings.HasSuffix(path, "/extend"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(path, "/holds/"), "/extend"), 10, 64)
		l := s.leases[id]
		if l == nil {
			return 404, obj{}
		}
		l.expires = time.Now().Add(l.ttl)
		return 200, obj{"tenancy": id}
	case r.Method == "DELETE" && strings.HasPrefix(path, "/holds/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/holds/"), 10, 64)
		if s.leases[id] == nil {
			return 404, obj{}
		}
		delete(s.leases, id)
		s.dropLeaseKeys(id)
		return 200, obj{}
	}
	return 400, obj{}
}

// list serves a page of at most 1,000 items and 512 KiB.
func (s *Store) list(r *http.Request) (int, any) {
	q := r.URL.Query()
	prefix, from := q.Get("starts"), q.Get("from")
	page, err := strconv.Atoi(q.Get("page"))
	if err != nil || page < 1 || page > 1000 {
		page = 1000
	}
	keys := s.sortedKeys()
	i := sort.SearchStrings(keys, max(prefix, from))
	items, size, more := []obj{}, 0, false
	for ; i < len(keys) && strings.HasPrefix(keys[i], prefix); i++ {
		if keys[i] == from {
			continue
		}
		e := s.keys[keys[i]]
		size += len(keys[i]) + len(e.data) + 60
		if len(items) >= page || size > 512<<10 {
			more = true
			break
		}
		items = append(items, obj{"key": keys[i], "data": e.data, "stamp": e.stamp})
	}
	return 200, obj{"items": items, "more": more, "ledger_rev": s.rev}
}

func (s *Store) multi(body []byte) (int, any) {
	var in struct {
		When []struct {
			Key   string `json:"key"`
			Stamp uint64 `json:"stamp"`
		} `json:"when"`
		Then []struct {
			Put     string          `json:"put"`
			Data    json.RawMessage `json:"data"`
			Tenancy uint64          `json:"tenancy"`
			Delete  string          `json:"delete"`
		} `json:"then"`
	}
	if len(body) > 64<<10 || json.Unmarshal(body, &in) != nil || len(in.Then) > s.opsMax || len(in.When) > 4*s.opsMax {
		return 400, obj{"error": "malformed"}
	}
	var events []storeEvent
	lease := uint64(0)
	for _, op := range in.Then {
		if len(op.Data) > s.valueMax {
			return 400, obj{"error": "value too large"}
		}
		if op.Tenancy != 0 {
			if s.leases[op.Tenancy] == nil {
				return 400, obj{"error": "no such lease"}
			}
			lease = op.Tenancy // the project puts one key in such a transaction
		}
		if op.Put != "" {
			events = append(events, storeEvent{Put: op.Put, Data: op.Data})
		} else if s.keys[op.Delete] != nil {
			events = append(events, storeEvent{Delete: op.Delete})
		}
	}
	if !s.writes.take(float64(len(in.Then))) {
		return 429, obj{}
	}
	failed := []string{}
	for _, c := range in.When {
		stamp := uint64(0)
		if e := s.keys[c.Key]; e != nil {
			stamp = e.stamp
		}
		if stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return 409, obj{"failed": failed, "ledger_rev": s.rev}
	}
	if len(events) > 0 {
		s.apply(events, lease)
	}
	return 200, obj{"ledger_rev": s.rev}
}

func (s *Store) follow(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		reply(rw, 400, obj{})
		return
	}
	prefix := q.Get("starts")
	deadline := time.After(time.Duration(min(wait, 60_000)) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		changed, rev := s.changed, s.rev
		if from < s.firstRev {
			s.mu.Unlock()
			reply(rw, 410, obj{})
			return
		}
		news := []storeEvent{}
		i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Stamp > from })
		for _, e := range s.events[i:] {
			if strings.HasPrefix(e.Put+e.Delete, prefix) {
				news = append(news, e)
			}
		}
		s.mu.Unlock()
		if len(news) > 0 || over {
			reply(rw, 200, obj{"ledger_rev": rev, "news": news})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
