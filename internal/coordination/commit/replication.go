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

const (
	// loadRetryDelay and watchRetryDelay are the pauses after a failed request; they vary by a
	// quarter.
	loadRetryDelay  = 500 * time.Millisecond
	watchRetryDelay = 200 * time.Millisecond
	// unavailableAfter is how long after the store's last answer it counts as unavailable if
	// more than one request has failed since.
	unavailableAfter = time.Second
	// peerReportWindow is how old the status of another controller may be to tell whether
	// the store is unavailable for it too.
	peerReportWindow = 5 * time.Second
)

// MachineTracker drops what is remembered of machines that the records no longer have.
type MachineTracker interface {
	ForgetAssignments()
	ForgetUnrecordedMachines(earlier *storage.Replica)
	OnMachinesRemoved()
}

// StoreReports tells what the other controllers say of the store.
type StoreReports interface {
	// PeersReportStoreUnavailable tells whether other controllers have sent a status within a
	// time, and all of those do not reach the store.
	PeersReportStoreUnavailable(within time.Duration) bool
}

// Replication keeps the replica of the store's records up to date: the initial load, the watch, and
// how far both have come.
type Replication struct {
	*step.Context

	agents MachineTracker
	lease  *Lease
	limits *WriteLimiter
	peers  StoreReports
	store  *StoreHealth

	minRevision      protocol.Revision // the replica must have reached this before the next transaction
	minRevisionSince protocol.Instant
	isLoaded         bool              // the replica is complete
	completeRevision protocol.Revision // the replica is complete once it has reached this
	hasSnapshot      bool              // there is a replica to watch from; an empty store has revision 0
	upToDateAt       protocol.Instant  // when the replica was last known to be up to date

	isLoading        bool
	loadRequestedAt  protocol.Instant // of the load under way
	isWatching       bool
	watchRequestedAt protocol.Instant // of the watch request under way
	nextWatchAt      protocol.Instant
	retryAt          protocol.Instant // of a load or watch request after a failed one
}

// IsLoaded tells whether the replica holds all records.
func (r *Replication) IsLoaded() bool { return r.isLoaded }

// IsUpToDate tells whether new starts may rest on the replica.
func (r *Replication) IsUpToDate() bool {
	// Requests may be answered while the watch has stalled: the replica's own age counts too,
	// or a task of a job that was cancelled long ago could be started. Both ages count from
	// when the request was sent: its answer may have lain in a socket while this process was
	// paused, and its incarnation may have ended meanwhile.
	return r.isLoaded && r.lease.IsRegistered() &&
		r.Since(r.store.lastAnsweredRequestAt) < r.Config.LeaseTTL/2 &&
		r.Since(r.upToDateAt) < r.Config.LeaseTTL
}

// StoreUnavailable tells whether a request to the store would likely fail.
func (r *Replication) StoreUnavailable() bool {
	sinceResponse := r.Since(r.store.lastResponseAt)
	return !r.isLoaded ||
		r.store.consecutiveFailures > 1 && sinceResponse > unavailableAfter ||
		sinceResponse > r.Config.LeaseTTL
}

// StoreUnavailableEverywhere tells whether the store is unavailable, and not for this
// controller alone as far as the others say.
func (r *Replication) StoreUnavailableEverywhere() bool {
	return r.StoreUnavailable() && r.peers.PeersReportStoreUnavailable(peerReportWindow)
}

// TickLoad asks for all records where there is no replica to watch from.
func (r *Replication) TickLoad() {
	if r.isLoaded || r.isLoading || r.isWatching || r.Now.Monotonic < r.retryAt {
		return
	}
	r.isLoading, r.loadRequestedAt = true, r.Now.Monotonic
	r.Emit(step.LoadRecords{})
}

// WatchRecords asks for changes again. Each response costs a request of a tight budget, so requests
// are MinWatchInterval apart unless something waits for the replica.
func (r *Replication) WatchRecords(hasWaiters bool) {
	now := r.Now.Monotonic
	if !r.hasSnapshot || r.isWatching || r.isLoading || now < r.retryAt {
		return
	}
	if now < r.nextWatchAt && !r.isBehind() && !hasWaiters {
		return
	}
	r.isWatching, r.watchRequestedAt = true, now
	r.nextWatchAt = now.Add(r.Config.MinWatchInterval)
	r.Emit(step.Watch{AfterRevision: r.Replica.Revision})
}

// OnLoadRecordsResult replaces the replica by all records.
func (r *Replication) OnLoadRecordsResult(result step.LoadRecordsResult) {
	r.isLoading = false
	if !r.store.RecordContact(r.loadRequestedAt, result.Err) {
		r.retryAt = r.Now.Monotonic.Add(r.Jitter(loadRetryDelay))
		return
	}
	r.replaceReplica(result.Entries)
	r.Replica.Revision = result.StartRevision
	r.completeRevision = result.EndRevision
	r.upToDateAt = r.loadRequestedAt
	r.hasSnapshot = true
	r.isLoaded = r.Replica.Revision >= r.completeRevision
	r.limits.UpdateWriteLimiter()
	r.Log(slog.LevelInfo, "records loaded", "jobs", len(r.Replica.Jobs), "machines", len(r.Replica.Machines),
		"revision", uint64(result.StartRevision))
}

// replaceReplica begins a new replica: records that were deleted while this controller did not
// watch must not stay.
func (r *Replication) replaceReplica(entries []protocol.Entry) {
	previous := r.Replica
	r.Replica = storage.NewReplica()
	r.Replica.OnMachineChange = previous.OnMachineChange
	r.agents.ForgetAssignments()
	for _, entry := range entries {
		r.putInReplica(entry.Key, entry.Value, entry.ModRevision)
	}
	r.agents.ForgetUnrecordedMachines(previous)
}

// OnWatchResult takes changes into the replica.
func (r *Replication) OnWatchResult(result step.WatchResult) {
	r.isWatching = false
	if errors.Is(result.Err, storage.ErrRevisionTooOld) {
		r.Log(slog.LevelWarn, "watch revision compacted, reloading records", "revision", uint64(result.AfterRevision))
		r.isLoaded, r.hasSnapshot = false, false
		r.retryAt = r.Now.Monotonic
		return
	}
	if !r.store.RecordContact(r.watchRequestedAt, result.Err) {
		r.retryAt = r.Now.Monotonic.Add(r.Jitter(watchRetryDelay))
		return
	}
	if result.AfterRevision != r.Replica.Revision {
		return
	}
	r.applyEvents(result.Response.Events)
	r.Replica.Revision = max(r.Replica.Revision, result.Response.Revision)
	r.upToDateAt = r.watchRequestedAt
	if !r.isLoaded && r.Replica.Revision >= r.completeRevision {
		r.isLoaded = true
	}
	r.lease.checkRegistration()
}

func (r *Replication) applyEvents(events []protocol.Event) {
	for _, event := range events {
		if event.PutKey != "" {
			r.putInReplica(event.PutKey, event.Value, event.ModRevision)
		} else {
			r.Replica.Delete(event.DeleteKey, event.ModRevision)
		}
	}
	r.agents.OnMachinesRemoved()
	r.ShouldRecheckDeferredHeartbeats = true
}

// applyOperations takes the operations of an applied transaction into the replica.
func (r *Replication) applyOperations(operations []protocol.Operation, modRevision protocol.ModRevision) {
	for _, operation := range operations {
		if operation.PutKey != "" {
			r.putInReplica(operation.PutKey, operation.Value, modRevision)
		} else {
			r.Replica.Delete(operation.DeleteKey, modRevision)
		}
	}
	r.agents.OnMachinesRemoved()
}

// putInReplica puts a record into the replica. The write limits follow the storage format.
func (r *Replication) putInReplica(key string, data json.RawMessage, modRevision protocol.ModRevision) {
	formatBefore := r.limits.StorageFormat()
	if _, err := r.Replica.Put(key, data, modRevision); err != nil {
		r.Log(slog.LevelError, "unreadable record ignored", "key", key, "error", err)
	}
	if r.limits.StorageFormat() != formatBefore {
		r.limits.UpdateWriteLimiter()
	}
}

// isBehind tells whether the replica lacks what the next transaction must have seen.
func (r *Replication) isBehind() bool { return r.Replica.Revision < r.minRevision }

// requireRevision holds the next transaction back until the replica has reached a revision.
func (r *Replication) requireRevision(revision protocol.Revision) {
	r.minRevision, r.minRevisionSince = max(r.minRevision, revision), r.Now.Monotonic
}
