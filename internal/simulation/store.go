package simulation

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"tillerarch/internal/protocol"
)

// errorTooLarge is the store's error for a transaction that exceeds its size limits.
const errorTooLarge = "too large"

// storedEntry holds the value of a key, its revision and its lease.
type storedEntry struct {
	data        json.RawMessage
	modRevision protocol.ModRevision
	lease       protocol.LeaseID
}

// Store is the simulated key-value store.
type Store struct {
	Unavailable              bool // every request gets status 503
	TooLargeTransactions     int  // number of transactions refused for their size
	MaxValueBytes            int
	MaxTransactionOperations int // a transaction may have four conditions for each of these operations
	LargestValueBytes        int // size of the largest value of a transaction so far

	WriteRate             float64 // operations per second, in bursts of up to one second's operations; 0 means no limit
	ThrottledTransactions int     // number of transactions refused for the write rate
	writeBudget           float64 // number of operations that are accepted now
	writeBudgetAt         time.Duration

	revision    protocol.Revision
	entries     map[string]storedEntry
	leaseExpiry map[protocol.LeaseID]time.Duration
	leaseTTL    map[protocol.LeaseID]time.Duration
	nextLeaseID protocol.LeaseID
	events      []protocol.Event
	maxEvents   int // number of events that are kept for watches

	OnRevision func(protocol.Revision, []protocol.Event) // called with each revision and its events; may be nil
}

// NewStore returns an empty store that keeps the given number of events.
func NewStore(maxEvents int) *Store {
	return &Store{
		MaxValueBytes:            maxValueBytes,
		MaxTransactionOperations: maxTransactionOps,
		entries:                  map[string]storedEntry{},
		leaseExpiry:              map[protocol.LeaseID]time.Duration{},
		leaseTTL:                 map[protocol.LeaseID]time.Duration{},
		maxEvents:                maxEvents,
	}
}

// SetMaxEvents sets the number of events that are kept for watches.
func (s *Store) SetMaxEvents(limit int) { s.maxEvents = limit }

// Revision returns the store's current revision.
func (s *Store) Revision() protocol.Revision { return s.revision }

func (s *Store) modRevision(key string) protocol.ModRevision { return s.entries[key].modRevision }

// ExpireLeases deletes the keys of expired leases and refills the write budget. Leases that
// expire in an outage are extended by their full TTL.
func (s *Store) ExpireLeases(now time.Duration) {
	s.writeBudget = min(s.writeBudget+s.WriteRate*(now-s.writeBudgetAt).Seconds(), s.WriteRate)
	s.writeBudgetAt = now
	for _, id := range slices.Sorted(maps.Keys(s.leaseExpiry)) {
		expiry := s.leaseExpiry[id]
		if now <= expiry {
			continue
		}
		if s.Unavailable {
			s.leaseExpiry[id] = now + s.leaseTTL[id]
			continue
		}
		delete(s.leaseExpiry, id)
		for _, key := range slices.Sorted(maps.Keys(s.entries)) {
			if s.entries[key].lease == id {
				s.revision++
				delete(s.entries, key)
				deletion := protocol.Event{DeleteKey: key, ModRevision: protocol.ModRevision(s.revision)}
				s.appendEvent(deletion)
				s.notifyOnRevision([]protocol.Event{deletion})
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

func (s *Store) notifyOnRevision(events []protocol.Event) {
	if s.OnRevision != nil && len(events) > 0 {
		s.OnRevision(s.revision, events)
	}
}

// Commit applies a transaction atomically. It returns the HTTP status and the body of the reply.
func (s *Store) Commit(transaction protocol.Transaction) (int, protocol.TransactionResult) {
	if s.Unavailable {
		return http.StatusServiceUnavailable, protocol.TransactionResult{}
	}
	if s.isTooLarge(transaction) {
		s.TooLargeTransactions++
		return http.StatusBadRequest, protocol.TransactionResult{Error: errorTooLarge}
	}
	writes := float64(len(transaction.Operations))
	if s.WriteRate > 0 && s.writeBudget < writes {
		s.ThrottledTransactions++
		return http.StatusTooManyRequests, protocol.TransactionResult{}
	}
	s.writeBudget -= writes
	for _, operation := range transaction.Operations {
		if _, alive := s.leaseExpiry[operation.Lease]; operation.Lease != 0 && !alive {
			return http.StatusBadRequest, protocol.TransactionResult{Error: "no such lease"}
		}
	}
	if failed := s.failedConditionKeys(transaction); failed != nil {
		return http.StatusConflict, protocol.TransactionResult{FailedKeys: failed, Revision: s.revision}
	}
	s.revision++
	var events []protocol.Event
	for _, operation := range transaction.Operations {
		event := s.apply(operation)
		s.appendEvent(event)
		events = append(events, event)
	}
	s.notifyOnRevision(events)
	return http.StatusOK, protocol.TransactionResult{Revision: s.revision}
}

// isTooLarge reports whether a transaction exceeds the store's size limits.
func (s *Store) isTooLarge(transaction protocol.Transaction) bool {
	const maxTransactionBytes, conditionsPerOperation = 64 << 10, 4
	size, valueTooLarge := 0, false
	for _, operation := range transaction.Operations {
		size += len(operation.Value) + len(operation.PutKey)
		s.LargestValueBytes = max(s.LargestValueBytes, len(operation.Value))
		valueTooLarge = valueTooLarge || len(operation.Value) > s.MaxValueBytes
	}
	return valueTooLarge || size > maxTransactionBytes ||
		len(transaction.Operations) > s.MaxTransactionOperations || len(transaction.Conditions) > conditionsPerOperation*s.MaxTransactionOperations
}

// failedConditionKeys returns the keys of the conditions that do not hold, or nil if all hold.
func (s *Store) failedConditionKeys(transaction protocol.Transaction) (failed []string) {
	for _, condition := range transaction.Conditions {
		if s.modRevision(condition.Key) != condition.ModRevision {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

func (s *Store) apply(operation protocol.Operation) protocol.Event {
	modRevision := protocol.ModRevision(s.revision)
	if operation.PutKey != "" {
		s.entries[operation.PutKey] = storedEntry{data: operation.Value, modRevision: modRevision, lease: operation.Lease}
	} else {
		delete(s.entries, operation.DeleteKey)
	}
	return protocol.Event{PutKey: operation.PutKey, DeleteKey: operation.DeleteKey, Value: operation.Value, ModRevision: modRevision}
}

// GrantLease creates a lease with a TTL and returns its id.
func (s *Store) GrantLease(now, ttl time.Duration) protocol.LeaseID {
	s.nextLeaseID++
	s.leaseExpiry[s.nextLeaseID], s.leaseTTL[s.nextLeaseID] = now+ttl, ttl
	return s.nextLeaseID
}

// RenewLease renews a lease. It reports false if the lease has expired.
func (s *Store) RenewLease(now time.Duration, id protocol.LeaseID) bool {
	if _, ok := s.leaseExpiry[id]; !ok {
		return false
	}
	s.leaseExpiry[id] = now + s.leaseTTL[id]
	return true
}

// List returns all entries whose keys have the prefix, ordered by key.
func (s *Store) List(prefix string) []protocol.Entry {
	var entries []protocol.Entry
	for key, stored := range s.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, protocol.Entry{Key: key, Value: stored.data, ModRevision: stored.modRevision})
		}
	}
	sort.Slice(entries, func(i, k int) bool { return entries[i].Key < entries[k].Key })
	return entries
}

// Watch returns the kept events after a revision whose keys have the prefix. It returns
// compacted if the store no longer keeps all events after that revision.
func (s *Store) Watch(prefix string, afterRevision protocol.Revision) (response protocol.WatchResponse, compacted bool) {
	if len(s.events) == s.maxEvents && protocol.Revision(s.events[0].ModRevision) > afterRevision+1 {
		return response, true
	}
	response.Revision = s.revision
	for _, event := range s.events {
		if protocol.Revision(event.ModRevision) > afterRevision && (strings.HasPrefix(event.PutKey, prefix) || strings.HasPrefix(event.DeleteKey, prefix)) {
			response.Events = append(response.Events, event)
		}
	}
	return response, false
}
