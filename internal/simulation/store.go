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

// errorTooLarge is the store's error for a transaction beyond its limits.
const errorTooLarge = "too large"

type storedEntry struct {
	data        json.RawMessage
	modRevision protocol.ModRevision
	lease       protocol.LeaseID
}

// Store is the state service.
type Store struct {
	Unavailable      bool // outage: everything is answered with 503
	RejectedTooLarge int  // transactions refused for their size
	MaxValueBytes    int  // the largest value it takes
	MaxOperations    int  // the most changes of a transaction
	LargestValue     int  // the largest value that was written

	WriteRate         float64 // changes a second that it takes, in bursts of a second's worth; 0: any
	RejectedThrottled int     // transactions refused for that
	writeBudget       float64 // changes that it takes at once
	writeBudgetAt     time.Duration

	revision    protocol.Revision
	entries     map[string]storedEntry
	leaseExpiry map[protocol.LeaseID]time.Duration // when they end
	leaseTTL    map[protocol.LeaseID]time.Duration
	nextLeaseID protocol.LeaseID
	events      []protocol.Event
	maxEvents   int // changes that /follow still has

	OnRevision func(protocol.Revision, []protocol.Event) // is told of each revision, if it is not nil
}

// NewStore makes an empty store that keeps the given number of changes.
func NewStore(maxEvents int) *Store {
	return &Store{MaxValueBytes: maxValueBytes, MaxOperations: maxTransactionOps, entries: map[string]storedEntry{}, leaseExpiry: map[protocol.LeaseID]time.Duration{}, leaseTTL: map[protocol.LeaseID]time.Duration{}, maxEvents: maxEvents}
}

// SetMaxEvents sets how many changes are kept for who follows.
func (s *Store) SetMaxEvents(limit int) { s.maxEvents = limit }

// Revision is the service's revision.
func (s *Store) Revision() protocol.Revision { return s.revision }

func (s *Store) modRevision(key string) protocol.ModRevision { return s.entries[key].modRevision }

// ExpireLeases ends the leases that are over and removes their keys.
func (s *Store) ExpireLeases(now time.Duration) {
	s.writeBudget = min(s.writeBudget+s.WriteRate*(now-s.writeBudgetAt).Seconds(), s.WriteRate)
	s.writeBudgetAt = now
	for _, id := range slices.Sorted(maps.Keys(s.leaseExpiry)) {
		end := s.leaseExpiry[id]
		if now <= end {
			continue
		}
		if s.Unavailable {
			s.leaseExpiry[id] = now + s.leaseTTL[id] // they have their full time after an outage
			continue
		}
		delete(s.leaseExpiry, id)
		for _, k := range slices.Sorted(maps.Keys(s.entries)) {
			if s.entries[k].lease == id {
				s.revision++
				delete(s.entries, k)
				deletion := protocol.Event{DeleteKey: k, ModRevision: protocol.ModRevision(s.revision)}
				s.appendEvent(deletion)
				s.notifyObserver([]protocol.Event{deletion})
			}
		}
	}
}

func (s *Store) appendEvent(event protocol.Event) {
	s.events = append(s.events, event)
	if len(s.events) > s.maxEvents {
		s.events = s.events[len(s.events)-s.maxEvents:]
	}
}

func (s *Store) notifyObserver(events []protocol.Event) {
	if s.OnRevision != nil && len(events) > 0 {
		s.OnRevision(s.revision, events)
	}
}

// Commit carries out a transaction: status and answer.
func (s *Store) Commit(transaction protocol.Transaction) (int, protocol.TransactionResult) {
	if s.Unavailable {
		return 503, protocol.TransactionResult{}
	}
	size := 0
	for _, operation := range transaction.Operations {
		size += len(operation.Value) + len(operation.PutKey)
		s.LargestValue = max(s.LargestValue, len(operation.Value))
		if len(operation.Value) > s.MaxValueBytes {
			size = 1 << 20
		}
	}
	if len(transaction.Operations) > s.MaxOperations || len(transaction.Conditions) > 4*s.MaxOperations || size > 64<<10 {
		s.RejectedTooLarge++
		return 400, protocol.TransactionResult{Error: errorTooLarge}
	}
	if s.WriteRate > 0 && s.writeBudget < float64(len(transaction.Operations)) {
		s.RejectedThrottled++
		return 429, protocol.TransactionResult{}
	}
	s.writeBudget -= float64(len(transaction.Operations))
	for _, operation := range transaction.Operations {
		if operation.Lease != 0 {
			if _, ok := s.leaseExpiry[operation.Lease]; !ok {
				return 400, protocol.TransactionResult{Error: "no such lease"}
			}
		}
	}
	var failed []string
	for _, condition := range transaction.Conditions {
		if s.modRevision(condition.Key) != condition.ModRevision {
			failed = append(failed, condition.Key)
		}
	}
	if failed != nil {
		return 409, protocol.TransactionResult{FailedKeys: failed, Revision: s.revision}
	}
	s.revision++
	var events []protocol.Event
	for _, operation := range transaction.Operations {
		change := protocol.Event{PutKey: operation.PutKey, DeleteKey: operation.DeleteKey, Value: operation.Value, ModRevision: protocol.ModRevision(s.revision)}
		if operation.PutKey != "" {
			s.entries[operation.PutKey] = storedEntry{data: operation.Value, modRevision: protocol.ModRevision(s.revision), lease: operation.Lease}
		} else {
			delete(s.entries, operation.DeleteKey)
		}
		s.appendEvent(change)
		events = append(events, change)
	}
	s.notifyObserver(events)
	return 200, protocol.TransactionResult{Revision: s.revision}
}

// GrantLease gives a lease.
func (s *Store) GrantLease(now, ttl time.Duration) protocol.LeaseID {
	s.nextLeaseID++
	s.leaseExpiry[s.nextLeaseID], s.leaseTTL[s.nextLeaseID] = now+ttl, ttl
	return s.nextLeaseID
}

// RenewLease renews a lease if it still lives.
func (s *Store) RenewLease(now time.Duration, id protocol.LeaseID) bool {
	if _, ok := s.leaseExpiry[id]; !ok {
		return false
	}
	s.leaseExpiry[id] = now + s.leaseTTL[id]
	return true
}

// List lists all keys with the prefix.
func (s *Store) List(prefix string) []protocol.Entry {
	var out []protocol.Entry
	for k, i := range s.entries {
		if strings.HasPrefix(k, prefix) {
			out = append(out, protocol.Entry{Key: k, Value: i.data, ModRevision: i.modRevision})
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Key < out[k].Key })
	return out
}

// Watch gives the changes behind a revision; old tells that it lacks some.
func (s *Store) Watch(prefix string, from protocol.Revision) (response protocol.WatchResponse, compacted bool) {
	if len(s.events) == s.maxEvents && protocol.Revision(s.events[0].ModRevision) > from+1 {
		return response, true
	}
	response.Revision = s.revision
	for _, event := range s.events {
		if protocol.Revision(event.ModRevision) > from && (strings.HasPrefix(event.PutKey, prefix) || strings.HasPrefix(event.DeleteKey, prefix)) {
			response.Events = append(response.Events, event)
		}
	}
	return response, false
}
