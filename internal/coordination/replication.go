package coordination

import (
	"encoding/json"
	"errors"
	"log/slog"
	"time"

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

// replicaSync keeps the replica of the store's records up to date: the initial load, the watch, and how
// far both have come.
type replicaSync struct {
	*stepContext

	agents MachineTracker
	lease  *incarnationLease
	limits *writeLimiter
	peers  StoreReports
	store  *storeHealth

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

// watchRecords asks for changes again. Each answer costs a request of a tight
// budget, so the calls keep a distance unless something waits for the replica.
func (s *replicaSync) watchRecords(waiting bool) {
	now := s.now.Monotonic
	if !s.hasSnapshot || s.isWatching || s.isLoading || now < s.retryAt {
		return
	}
	if now < s.nextWatchAt && s.replica.Revision >= s.minRevision && !waiting {
		return
	}
	s.isWatching, s.watchRequestedAt = true, now
	s.nextWatchAt = now.Add(s.cfg.MinWatchInterval)
	s.emit(Watch{AfterRevision: s.replica.Revision})
}

// tickLoad asks for all records where there is no replica to go on from.
func (s *replicaSync) tickLoad() {
	if s.isLoaded || s.isLoading || s.isWatching || s.now.Monotonic < s.retryAt {
		return
	}
	s.isLoading, s.loadRequestedAt = true, s.now.Monotonic
	s.emit(LoadRecords{})
}

// storeUnavailable tells whether a request to the state service would likely fail.
func (s *replicaSync) storeUnavailable() bool {
	return !s.isLoaded || s.store.consecutiveFailures > 1 && s.since(s.store.lastResponseAt) > time.Second || s.since(s.store.lastResponseAt) > s.cfg.LeaseTTL
}

// isUpToDate tells whether new starts may rest on the replica.
func (s *replicaSync) isUpToDate() bool {
	// Calls may be answered while the watch stands still: the replica's own age
	// counts too, or a task of a job withdrawn long ago could be started. Both count
	// from when the request was sent: an answer may have lain in a socket while this
	// process stood still, and its run may have ended meanwhile.
	return s.isLoaded && s.lease.isRegistered() && s.since(s.store.lastAnsweredRequestAt) < s.cfg.LeaseTTL/2 && s.since(s.upToDateAt) < s.cfg.LeaseTTL
}

func (s *replicaSync) onLoadRecordsResult(v LoadRecordsResult) {
	s.isLoading = false
	if !s.store.recordContact(s.loadRequestedAt, v.Err) {
		s.retryAt = s.now.Monotonic.Add(s.jitter(500 * time.Millisecond))
		return
	}
	// Records deleted while this node did not follow must not stay: begin anew.
	previous := s.replica
	s.replica = storage.NewReplica()
	s.replica.OnMachineChange = previous.OnMachineChange
	s.agents.ForgetAssignments()
	for _, entry := range v.Entries {
		s.putInReplica(entry.Key, entry.Value, entry.ModRevision)
	}
	s.agents.ForgetUnrecordedMachines(previous)
	s.replica.Revision = v.StartRevision
	s.completeRevision = v.EndRevision
	s.upToDateAt = s.loadRequestedAt
	s.hasSnapshot = true
	s.isLoaded = s.replica.Revision >= s.completeRevision
	s.limits.updateWriteLimiter()
	s.log(slog.LevelInfo, "records loaded", "jobs", len(s.replica.Jobs), "machines", len(s.replica.Machines), "revision", uint64(v.StartRevision))
}

func (s *replicaSync) putInReplica(key string, data json.RawMessage, modRevision protocol.ModRevision) {
	formatBefore := s.limits.storageFormat()
	if _, err := s.replica.Put(key, data, modRevision); err != nil {
		s.log(slog.LevelError, "unreadable record ignored", "key", key, "error", err.Error())
	}
	if s.limits.storageFormat() != formatBefore {
		s.limits.updateWriteLimiter()
	}
}

func (s *replicaSync) onWatchResult(v WatchResult) {
	s.isWatching = false
	if errors.Is(v.Err, storage.ErrRevisionTooOld) {
		s.log(slog.LevelWarn, "watch revision compacted, reloading records", "revision", uint64(v.AfterRevision))
		s.isLoaded, s.hasSnapshot = false, false
		s.retryAt = s.now.Monotonic
		return
	}
	if !s.store.recordContact(s.watchRequestedAt, v.Err) {
		s.retryAt = s.now.Monotonic.Add(s.jitter(200 * time.Millisecond))
		return
	}
	if v.AfterRevision != s.replica.Revision {
		return
	}
	for _, event := range v.Response.Events {
		if event.PutKey != "" {
			s.putInReplica(event.PutKey, event.Value, event.ModRevision)
		} else {
			s.replica.Delete(event.DeleteKey, event.ModRevision)
		}
	}
	s.agents.OnMachinesRemoved()
	s.shouldRecheckDeferred = true
	s.replica.Revision = max(s.replica.Revision, v.Response.Revision)
	s.upToDateAt = s.watchRequestedAt
	if !s.isLoaded && s.replica.Revision >= s.completeRevision {
		s.isLoaded = true
	}
	s.lease.checkRegistration()
}

// storeUnavailableEverywhere tells whether the state service is down, and not for this controller alone
// as far as the others say.
func (s *replicaSync) storeUnavailableEverywhere() bool {
	return s.storeUnavailable() && s.peers.PeersReportStoreUnavailable(5*time.Second)
}

func (s *replicaSync) requireRevision(revision protocol.Revision) {
	s.minRevision, s.minRevisionSince = max(s.minRevision, revision), s.now.Monotonic
}
