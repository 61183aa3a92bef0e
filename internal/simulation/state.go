// Package simulation plays the outside systems in tests: state service, cloud,
// workers and users, by their protocol, in simulated time; and it checks the
// Rules of PROTOCOL from outside the controllers.
package simulation

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"tillerarch/internal/protocol"
)

type item struct {
	data  json.RawMessage
	stamp protocol.ModRevision
	hold  protocol.LeaseID
}

// State is the state service.
type State struct {
	Down  bool // outage: everything is answered with 503
	Over  int  // transactions refused for their size
	Value int  // the largest value it takes
	Ops   int  // the most changes of a transaction
	Max   int  // the largest value that was written

	Rate     float64 // changes a second that it takes, in bursts of a second's worth; 0: any
	Throttle int     // transactions refused for that
	spare    float64 // changes that it takes at once
	spareAt  time.Duration

	rev    protocol.Revision
	items  map[string]item
	holds  map[protocol.LeaseID]time.Duration // when they end
	ttl    map[protocol.LeaseID]time.Duration
	nextID protocol.LeaseID
	log    []protocol.Event
	kept   int // changes that /follow still has

	Observe func(protocol.Revision, []protocol.Event) // is told of each revision, if it is not nil
}

// NewState makes an empty store that keeps the given number of changes.
func NewState(kept int) *State {
	return &State{Value: 8192, Ops: 8, items: map[string]item{}, holds: map[protocol.LeaseID]time.Duration{}, ttl: map[protocol.LeaseID]time.Duration{}, kept: kept}
}

// Keep sets how many changes are kept for who follows.
func (s *State) Keep(changes int) { s.kept = changes }

// Rev is the service's revision.
func (s *State) Rev() protocol.Revision { return s.rev }

func (s *State) stamp(key string) protocol.ModRevision { return s.items[key].stamp }

// Expire ends the leases that are over and removes their keys.
func (s *State) Expire(now time.Duration) {
	s.spare = min(s.spare+s.Rate*(now-s.spareAt).Seconds(), s.Rate)
	s.spareAt = now
	for _, id := range slices.Sorted(maps.Keys(s.holds)) {
		end := s.holds[id]
		if now <= end {
			continue
		}
		if s.Down {
			s.holds[id] = now + s.ttl[id] // they have their full time after an outage
			continue
		}
		delete(s.holds, id)
		for _, k := range slices.Sorted(maps.Keys(s.items)) {
			if s.items[k].hold == id {
				s.rev++
				delete(s.items, k)
				gone := protocol.Event{DeleteKey: k, ModRevision: protocol.ModRevision(s.rev)}
				s.note(gone)
				s.observed([]protocol.Event{gone})
			}
		}
	}
}

func (s *State) note(n protocol.Event) {
	s.log = append(s.log, n)
	if len(s.log) > s.kept {
		s.log = s.log[len(s.log)-s.kept:]
	}
}

func (s *State) observed(news []protocol.Event) {
	if s.Observe != nil && len(news) > 0 {
		s.Observe(s.rev, news)
	}
}

// Multi carries out a transaction: status and answer.
func (s *State) Multi(m protocol.Transaction) (int, protocol.TransactionResult) {
	if s.Down {
		return 503, protocol.TransactionResult{}
	}
	size := 0
	for _, t := range m.Operations {
		size += len(t.Value) + len(t.PutKey)
		s.Max = max(s.Max, len(t.Value))
		if len(t.Value) > s.Value {
			size = 1 << 20
		}
	}
	if len(m.Operations) > s.Ops || len(m.Conditions) > 4*s.Ops || size > 64<<10 {
		s.Over++
		return 400, protocol.TransactionResult{Error: "too large"}
	}
	if s.Rate > 0 && s.spare < float64(len(m.Operations)) {
		s.Throttle++
		return 429, protocol.TransactionResult{}
	}
	s.spare -= float64(len(m.Operations))
	for _, t := range m.Operations {
		if t.Lease != 0 {
			if _, ok := s.holds[t.Lease]; !ok {
				return 400, protocol.TransactionResult{Error: "no such lease"}
			}
		}
	}
	var failed []string
	for _, w := range m.Conditions {
		if s.stamp(w.Key) != w.ModRevision {
			failed = append(failed, w.Key)
		}
	}
	if failed != nil {
		return 409, protocol.TransactionResult{FailedKeys: failed, Revision: s.rev}
	}
	s.rev++
	var news []protocol.Event
	for _, t := range m.Operations {
		change := protocol.Event{PutKey: t.PutKey, DeleteKey: t.DeleteKey, Value: t.Value, ModRevision: protocol.ModRevision(s.rev)}
		if t.PutKey != "" {
			s.items[t.PutKey] = item{t.Value, protocol.ModRevision(s.rev), t.Lease}
		} else {
			delete(s.items, t.DeleteKey)
		}
		s.note(change)
		news = append(news, change)
	}
	s.observed(news)
	return 200, protocol.TransactionResult{Revision: s.rev}
}

// Grant gives a lease.
func (s *State) Grant(now, ttl time.Duration) protocol.LeaseID {
	s.nextID++
	s.holds[s.nextID], s.ttl[s.nextID] = now+ttl, ttl
	return s.nextID
}

// Extend renews a lease if it still lives.
func (s *State) Extend(now time.Duration, id protocol.LeaseID) bool {
	if _, ok := s.holds[id]; !ok {
		return false
	}
	s.holds[id] = now + s.ttl[id]
	return true
}

// Items lists all keys with the prefix.
func (s *State) Items(prefix string) []protocol.Entry {
	var out []protocol.Entry
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, protocol.Entry{Key: k, Value: i.data, ModRevision: i.stamp})
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Key < out[k].Key })
	return out
}

// Follow gives the changes behind a revision; old tells that it lacks some.
func (s *State) Follow(prefix string, from protocol.Revision) (f protocol.WatchResponse, old bool) {
	if len(s.log) == s.kept && protocol.Revision(s.log[0].ModRevision) > from+1 {
		return f, true
	}
	f.Revision = s.rev
	for _, n := range s.log {
		if protocol.Revision(n.ModRevision) > from && (strings.HasPrefix(n.PutKey, prefix) || strings.HasPrefix(n.DeleteKey, prefix)) {
			f.Events = append(f.Events, n)
		}
	}
	return f, false
}
