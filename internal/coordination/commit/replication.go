package commit

import (
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// MachineTracker drops what is remembered of machines that the records no longer have.
type MachineTracker interface {
	ForgetAssignments()
	ForgetUnrecordedMachines(earlier *storage.Replica)
	OnMachinesRemoved()
}

// StoreReports tells what the other controllers say of the store.
type StoreReports interface {
	// PeersReportStoreUnavailable tells whether other controllers were heard of within a
	// time, and all of those do not reach the store.
	PeersReportStoreUnavailable(within time.Duration) bool
}

// Replication keeps the replica of the store's records up to date: the initial load, the watch, and how
// far both have come.
type Replication struct {
	*step.Context

	agents MachineTracker
	lease  *Lease
	limits *WriteLimiter
	peers  StoreReports
	store  *StoreHealth

	minRevision      protocol.Revision // the replica must be as new before the next one
	minRevisionSince protocol.Instant
	isLoaded         bool              // the replica is whole
	completeRevision protocol.Revision // it is whole once it has reached this
	hasSnapshot      bool              // there is a replica to go on from; an empty store has revision 0
	isLoading        bool
	loadRequestedAt  protocol.Instant // when the records that are being read were asked for
	isWatching       bool
	watchRequestedAt protocol.Instant // when the watch that is open was asked for
	nextWatchAt      protocol.Instant // when the next one may be
	upToDateAt       protocol.Instant // when the replica was last known to be up to date
	retryAt          protocol.Instant // next try of load or follow
}

// WatchRecords asks for changes again. Each answer costs a request of a tight
// budget, so the calls keep a distance unless something waits for the replica.
func (s *Replication) WatchRecords(waiting bool) {
	now := s.Now.Monotonic
	if !s.hasSnapshot || s.isWatching || s.isLoading || now < s.retryAt {
		return
	}
	if now < s.nextWatchAt && s.Replica.Revision >= s.minRevision && !waiting {
		return
	}
	s.isWatching, s.watchRequestedAt = true, now
	s.nextWatchAt = now.Add(s.Config.MinWatchInterval)
	s.Emit(step.Watch{AfterRevision: s.Replica.Revision})
}

// TickLoad asks for all records where there is no replica to go on from.
func (s *Replication) TickLoad() {
	if s.isLoaded || s.isLoading || s.isWatching || s.Now.Monotonic < s.retryAt {
		return
	}
	s.isLoading, s.loadRequestedAt = true, s.Now.Monotonic
	s.Emit(step.LoadRecords{})
}

// IsLoaded tells whether the replica holds all records.
func (s *Replication) IsLoaded() bool { return s.isLoaded }

// isBehind tells whether the replica lacks what the next transaction must have seen.
func (s *Replication) isBehind() bool { return s.Replica.Revision < s.minRevision }

// StoreUnavailable tells whether a request to the state service would likely fail.
func (s *Replication) StoreUnavailable() bool {
	return !s.isLoaded || s.store.ConsecutiveFailures > 1 && s.Since(s.store.LastResponseAt) > time.Second || s.Since(s.store.LastResponseAt) > s.Config.LeaseTTL
}

// IsUpToDate tells whether new starts may rest on the replica.
func (s *Replication) IsUpToDate() bool {
	// Calls may be answered while the watch stands still: the replica's own age
	// counts too, or a task of a job withdrawn long ago could be started. Both count
	// from when the request was sent: an answer may have lain in a socket while this
	// process stood still, and its run may have ended meanwhile.
	return s.isLoaded && s.lease.IsRegistered() && s.Since(s.store.lastAnsweredRequestAt) < s.Config.LeaseTTL/2 && s.Since(s.upToDateAt) < s.Config.LeaseTTL
}

func (s *Replication) OnLoadRecordsResult(v step.LoadRecordsResult) {
	s.isLoading = false
	if !s.store.RecordContact(s.loadRequestedAt, v.Err) {
		s.retryAt = s.Now.Monotonic.Add(s.Jitter(500 * time.Millisecond))
		return
	}
	// Records deleted while this node did not follow must not stay: begin anew.
	previous := s.Replica
	s.Replica = storage.NewReplica()
	s.Replica.OnMachineChange = previous.OnMachineChange
	s.agents.ForgetAssignments()
	for _, entry := range v.Entries {
		s.PutInReplica(entry.Key, entry.Value, entry.ModRevision)
	}
	s.agents.ForgetUnrecordedMachines(previous)
	s.Replica.Revision = v.StartRevision
	s.completeRevision = v.EndRevision
	s.upToDateAt = s.loadRequestedAt
	s.hasSnapshot = true
	s.isLoaded = s.Replica.Revision >= s.completeRevision
	s.limits.UpdateWriteLimiter()
	s.Log(slog.LevelInfo, "records loaded", "jobs", len(s.Replica.Jobs), "machines", len(s.Replica.Machines), "revision", uint64(v.StartRevision))
}

func (s *Replication) PutInReplica(key string, data json.RawMessage, modRevision protocol.ModRevision) {
	formatBefore := s.limits.StorageFormat()
	if _, err := s.Replica.Put(key, data, modRevision); err != nil {
		s.Log(slog.LevelError, "unreadable record ignored", "key", key, "error", err.Error())
	}
	if s.limits.StorageFormat() != formatBefore {
		s.limits.UpdateWriteLimiter()
	}
}

func (s *Replication) OnWatchResult(v step.WatchResult) {
	s.isWatching = false
	if errors.Is(v.Err, storage.ErrRevisionTooOld) {
		s.Log(slog.LevelWarn, "watch revision compacted, reloading records", "revision", uint64(v.AfterRevision))
		s.isLoaded, s.hasSnapshot = false, false
		s.retryAt = s.Now.Monotonic
		return
	}
	if !s.store.RecordContact(s.watchRequestedAt, v.Err) {
		s.retryAt = s.Now.Monotonic.Add(s.Jitter(200 * time.Millisecond))
		return
	}
	if v.AfterRevision != s.Replica.Revision {
		return
	}
	for _, event := range v.Response.Events {
		if event.PutKey != "" {
			s.PutInReplica(event.PutKey, event.Value, event.ModRevision)
		} else {
			s.Replica.Delete(event.DeleteKey, event.ModRevision)
		}
	}
	s.agents.OnMachinesRemoved()
	s.ShouldRecheckDeferred = true
	s.Replica.Revision = max(s.Replica.Revision, v.Response.Revision)
	s.upToDateAt = s.watchRequestedAt
	if !s.isLoaded && s.Replica.Revision >= s.completeRevision {
		s.isLoaded = true
	}
	s.lease.checkRegistration()
}

// StoreUnavailableEverywhere tells whether the state service is down, and not for this controller alone
// as far as the others say.
func (s *Replication) StoreUnavailableEverywhere() bool {
	return s.StoreUnavailable() && s.peers.PeersReportStoreUnavailable(5*time.Second)
}

func (s *Replication) requireRevision(revision protocol.Revision) {
	s.minRevision, s.minRevisionSince = max(s.minRevision, revision), s.Now.Monotonic
}
