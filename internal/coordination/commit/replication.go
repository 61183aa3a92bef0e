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
	// loadRetryDelay and watchRetryDelay are the mean pauses after a failed request. Jitter varies
	// them by a quarter.
	loadRetryDelay  = 500 * time.Millisecond
	watchRetryDelay = 200 * time.Millisecond
	// unavailableAfter is the time since the store's last response after which the store counts
	// as unavailable if more than one request has failed since.
	unavailableAfter = time.Second
	// peerReportWindow is the maximum age of another controller's status that is used to decide
	// whether the store is unavailable for that controller too.
	peerReportWindow = 5 * time.Second
)

// MachineTracker holds state about machines and drops it when the replica is replaced or machines
// are removed from the records.
type MachineTracker interface {
	// ForgetAssignments drops the times at which tasks were assigned to machines.
	ForgetAssignments()
	// ForgetUnrecordedMachines drops the state of machines that an earlier replica has and the
	// current replica lacks.
	ForgetUnrecordedMachines(earlier *storage.Replica)
	// OnMachinesRemoved drops the state of machines that have been removed from the records.
	OnMachinesRemoved()
}

// StoreReports provides what the other controllers report about the store.
type StoreReports interface {
	// PeersReportStoreUnavailable reports whether at least one other controller has sent a status
	// within the given time, and none of those that have can reach the store. It returns true if
	// there are no other controllers.
	PeersReportStoreUnavailable(within time.Duration) bool
}

// Replication keeps the replica of the store's records up to date. It runs the initial load and the
// watch, and records their progress.
type Replication struct {
	*step.Context

	agents MachineTracker
	lease  *Lease
	limits *WriteLimiter
	peers  StoreReports
	store  *StoreHealth

	minRevision      protocol.Revision // revision that the replica must reach before the next transaction
	minRevisionSince protocol.Instant  // when requireRevision was last called
	isLoaded         bool              // the replica holds all records
	completeRevision protocol.Revision // revision from which the replica holds all records
	hasSnapshot      bool              // a load has succeeded, so the watch can start; an empty store has revision 0
	upToDateAt       protocol.Instant  // when the replica was last known to be up to date

	isLoading        bool
	loadRequestedAt  protocol.Instant // when the latest load was requested
	isWatching       bool
	watchRequestedAt protocol.Instant // when the latest watch request was sent
	nextWatchAt      protocol.Instant
	retryAt          protocol.Instant // earliest load or watch request after a failed one
}

// IsLoaded reports whether the replica holds all records.
func (r *Replication) IsLoaded() bool { return r.isLoaded }

// IsUpToDate reports whether the replica is recent enough to start tasks from it.
func (r *Replication) IsUpToDate() bool {
	// The store may answer other requests while the watch has stalled. The age of the replica
	// counts too, because otherwise a task of a job that was cancelled long ago could be started.
	// Both ages count from when the request was sent, because its response may have waited in a
	// socket while this process was paused, and the incarnation may have ended meanwhile.
	return r.isLoaded && r.lease.IsRegistered() &&
		r.Since(r.store.lastAnsweredRequestAt) < r.Config.LeaseTTL/2 &&
		r.Since(r.upToDateAt) < r.Config.LeaseTTL
}

// StoreUnavailable reports whether a request to the store would probably fail.
func (r *Replication) StoreUnavailable() bool {
	sinceResponse := r.Since(r.store.lastResponseAt)
	return !r.isLoaded ||
		r.store.consecutiveFailures > 1 && sinceResponse > unavailableAfter ||
		sinceResponse > r.Config.LeaseTTL
}

// StoreUnavailableEverywhere reports whether the store is unavailable for this controller and, as far
// as the other controllers report, for all of them. It returns false if there are other controllers
// and none has sent a status within peerReportWindow.
func (r *Replication) StoreUnavailableEverywhere() bool {
	return r.StoreUnavailable() && r.peers.PeersReportStoreUnavailable(peerReportWindow)
}

// TickLoad requests all records if the replica is not loaded and no load or watch is under way.
func (r *Replication) TickLoad() {
	if r.isLoaded || r.isLoading || r.isWatching || r.Now.Monotonic < r.retryAt {
		return
	}
	r.isLoading, r.loadRequestedAt = true, r.Now.Monotonic
	r.Emit(step.LoadRecords{})
}

// WatchRecords requests the next changes of records. Each response costs a request of a tight budget,
// so requests are MinWatchInterval apart unless the next transaction or a caller (hasWaiters) waits
// for the replica.
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

// OnLoadRecordsResult replaces the replica with the loaded records, or schedules a retry after a
// failure.
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
		"incomplete", r.Replica.IncompleteCount(), "revision", uint64(result.StartRevision))
}

// replaceReplica builds a new replica from the loaded entries, so that records deleted while this
// controller did not watch do not remain.
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

// OnWatchResult applies the changes of a watch response to the replica. If the store no longer has the
// requested revision, all records are loaded again.
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

// applyEvents applies the events of a watch response to the replica.
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

// applyOperations applies the operations of an applied transaction to the replica.
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

// putInReplica puts a record into the replica. If the record changes the storage format, the write
// limits follow.
func (r *Replication) putInReplica(key string, data json.RawMessage, modRevision protocol.ModRevision) {
	formatBefore := r.limits.StorageFormat()
	if _, err := r.Replica.Put(key, data, modRevision); err != nil {
		r.Log(slog.LevelError, "unreadable record ignored", "key", key, "error", err)
	}
	if r.limits.StorageFormat() != formatBefore {
		r.limits.UpdateWriteLimiter()
	}
}

// isBehind reports whether the replica has not reached the revision that the next transaction needs.
func (r *Replication) isBehind() bool { return r.Replica.Revision < r.minRevision }

// requireRevision delays the next transaction until the replica has reached a revision.
func (r *Replication) requireRevision(revision protocol.Revision) {
	r.minRevision, r.minRevisionSince = max(r.minRevision, revision), r.Now.Monotonic
}
