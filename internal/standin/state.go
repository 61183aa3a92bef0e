// Package standin plays the outside systems in tests: state service, cloud,
// workers and users, by their protocol, in simulated time; and it checks the
// Rules of PROTOCOL from outside the controllers.
package standin

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
	stamp protocol.Stamp
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

	rev    protocol.Rev
	items  map[string]item
	holds  map[protocol.LeaseID]time.Duration // when they end
	ttl    map[protocol.LeaseID]time.Duration
	nextID protocol.LeaseID
	log    []protocol.News
	kept   int // changes that /follow still has

	Observe func(protocol.Rev, []protocol.News) // is told of each revision, if it is not nil
}

// NewState makes an empty store that keeps the given number of changes.
func NewState(kept int) *State {
	return &State{Value: 8192, Ops: 8, items: map[string]item{}, holds: map[protocol.LeaseID]time.Duration{}, ttl: map[protocol.LeaseID]time.Duration{}, kept: kept}
}

// Keep sets how many changes are kept for who follows.
func (s *State) Keep(changes int) { s.kept = changes }

// Rev is the service's revision.
func (s *State) Rev() protocol.Rev { return s.rev }

func (s *State) stamp(key string) protocol.Stamp { return s.items[key].stamp }

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
				gone := protocol.News{Delete: k, Stamp: protocol.Stamp(s.rev)}
				s.note(gone)
				s.observed([]protocol.News{gone})
			}
		}
	}
}

func (s *State) note(n protocol.News) {
	s.log = append(s.log, n)
	if len(s.log) > s.kept {
		s.log = s.log[len(s.log)-s.kept:]
	}
}

func (s *State) observed(news []protocol.News) {
	if s.Observe != nil && len(news) > 0 {
		s.Observe(s.rev, news)
	}
}

// Multi carries out a transaction: status and answer.
func (s *State) Multi(m protocol.Multi) (int, protocol.MultiAnswer) {
	if s.Down {
		return 503, protocol.MultiAnswer{}
	}
	size := 0
	for _, t := range m.Then {
		size += len(t.Data) + len(t.Put)
		s.Max = max(s.Max, len(t.Data))
		if len(t.Data) > s.Value {
			size = 1 << 20
		}
	}
	if len(m.Then) > s.Ops || len(m.When) > 4*s.Ops || size > 64<<10 {
		s.Over++
		return 400, protocol.MultiAnswer{Error: "too large"}
	}
	if s.Rate > 0 && s.spare < float64(len(m.Then)) {
		s.Throttle++
		return 429, protocol.MultiAnswer{}
	}
	s.spare -= float64(len(m.Then))
	for _, t := range m.Then {
		if t.Tenancy != 0 {
			if _, ok := s.holds[t.Tenancy]; !ok {
				return 400, protocol.MultiAnswer{Error: "no such lease"}
			}
		}
	}
	var failed []string
	for _, w := range m.When {
		if s.stamp(w.Key) != w.Stamp {
			failed = append(failed, w.Key)
		}
	}
	if failed != nil {
		return 409, protocol.MultiAnswer{Failed: failed, Rev: s.rev}
	}
	s.rev++
	var news []protocol.News
	for _, t := range m.Then {
		change := protocol.News{Put: t.Put, Delete: t.Delete, Data: t.Data, Stamp: protocol.Stamp(s.rev)}
		if t.Put != "" {
			s.items[t.Put] = item{t.Data, protocol.Stamp(s.rev), t.Tenancy}
		} else {
			delete(s.items, t.Delete)
		}
		s.note(change)
		news = append(news, change)
	}
	s.observed(news)
	return 200, protocol.MultiAnswer{Rev: s.rev}
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
func (s *State) Items(prefix string) []protocol.Item {
	var out []protocol.Item
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, protocol.Item{Key: k, Data: i.data, Stamp: i.stamp})
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Key < out[k].Key })
	return out
}

// Follow gives the changes behind a revision; old tells that it lacks some.
func (s *State) Follow(prefix string, from protocol.Rev) (f protocol.Followed, old bool) {
	if len(s.log) == s.kept && protocol.Rev(s.log[0].Stamp) > from+1 {
		return f, true
	}
	f.Rev = s.rev
	for _, n := range s.log {
		if protocol.Rev(n.Stamp) > from && (strings.HasPrefix(n.Put, prefix) || strings.HasPrefix(n.Delete, prefix)) {
			f.News = append(f.News, n)
		}
	}
	return f, false
}
