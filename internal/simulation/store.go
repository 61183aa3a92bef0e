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

// errorTooLarge is the store's error for a transaction beyond its limits.
const errorTooLarge = "too large"

// storedEntry is the value of a key.
type storedEntry struct {
	data        json.RawMessage
	modRevision protocol.ModRevision
	lease       protocol.LeaseID
}

// Store is the key-value store.
type Store struct {
	Unavailable              bool // outage: every request gets 503
	TooLargeTransactions     int  // transactions
	MaxValueBytes            int
	MaxTransactionOperations int // of a transaction; it may have four conditions for each
	LargestValueBytes        int // that a transaction had, in bytes

	WriteRate             float64 // operations a second, in bursts of a second's worth; 0: no limit
	ThrottledTransactions int     // transactions
	writeBudget           float64 // operations that are accepted at once
	writeBudgetAt         time.Duration

	revision    protocol.Revision
	entries     map[string]storedEntry
	leaseExpiry map[protocol.LeaseID]time.Duration
	leaseTTL    map[protocol.LeaseID]time.Duration
	nextLeaseID protocol.LeaseID
	events      []protocol.Event
	maxEvents   int // that a watch can still ask for

	OnRevision func(protocol.Revision, []protocol.Event) // is told of each revision; may be nil
}

// NewStore makes an empty store that keeps the given number of events.
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

// SetMaxEvents sets how many events are kept for watches.
func (s *Store) SetMaxEvents(limit int) { s.maxEvents = limit }

// Revision is the store's revision.
func (s *Store) Revision() protocol.Revision { return s.revision }

func (s *Store) modRevision(key string) protocol.ModRevision { return s.entries[key].modRevision }

// ExpireLeases deletes the keys of leases that have expired. Leases that expire in an outage
// get their full time again, and the write budget is refilled.
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

// Commit applies a transaction: all of it or nothing. It returns the HTTP status and the body.
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

// isTooLarge reports whether a transaction is beyond the store's limits.
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

// failedConditionKeys lists the keys of conditions that do not hold; nil if all hold.
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

// GrantLease makes a lease.
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

// List lists all entries with a prefix, ordered by key.
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

// Watch lists the events after a revision; compacted says that some of them are gone.
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
