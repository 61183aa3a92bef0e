package coordination

import (
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// replication is how far the replica of the records is, and what is under way for it.
type replication struct {
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

// storeHealth is whether the state service answers this process.
type storeHealth struct {
	lastResponseAt        protocol.Instant // last answer
	lastAnsweredRequestAt protocol.Instant // when the newest request was sent that it has answered
	consecutiveFailures   int              // requests in a row without an answer
	firstFailureAt        protocol.Instant // when the first of those was
}

// watchRecords asks for changes again. Each answer costs a request of a tight
// budget, so the calls keep a distance unless something waits for the replica.
func (c *Core) watchRecords(waiting bool) {
	now := c.now.Monotonic
	if !c.replication.hasSnapshot || c.replication.isWatching || c.replication.isLoading || now < c.replication.retryAt {
		return
	}
	if now < c.replication.nextWatchAt && c.replica.Revision >= c.minRevision && !waiting {
		return
	}
	c.replication.isWatching, c.replication.watchRequestedAt = true, now
	c.replication.nextWatchAt = now.Add(c.cfg.MinWatchInterval)
	c.emit(Watch{c.replica.Revision})
}

// recordContact notes whether the state service answered what was asked at a time.
func (c *Core) recordContact(requestedAt protocol.Instant, err error) bool {
	if err == nil || errors.Is(err, storage.ErrLeaseExpired) || errors.Is(err, storage.ErrRevisionTooOld) {
		if c.store.consecutiveFailures > 0 {
			c.log(slog.LevelInfo, "state service answers again", "failures", c.store.consecutiveFailures)
		}
		c.store.lastResponseAt, c.store.lastAnsweredRequestAt, c.store.consecutiveFailures = c.now.Monotonic, max(c.store.lastAnsweredRequestAt, requestedAt), 0
		return err == nil
	}
	if c.store.consecutiveFailures == 0 {
		c.store.firstFailureAt = c.now.Monotonic
		c.log(slog.LevelWarn, "state service does not answer", "err", err.Error())
	}
	c.store.consecutiveFailures++
	return false
}

// storeUnavailable tells whether a request to the state service would likely fail.
func (c *Core) storeUnavailable() bool {
	return !c.replication.isLoaded || c.store.consecutiveFailures > 1 && c.since(c.store.lastResponseAt) > time.Second || c.since(c.store.lastResponseAt) > c.cfg.LeaseTTL
}

// isUpToDate tells whether new starts may rest on the replica.
func (c *Core) isUpToDate() bool {
	// Calls may be answered while the watch stands still: the replica's own age
	// counts too, or a task of a job withdrawn long ago could be started. Both count
	// from when the request was sent: an answer may have lain in a socket while this
	// process stood still, and its run may have ended meanwhile.
	return c.replication.isLoaded && c.isRegistered() && c.since(c.store.lastAnsweredRequestAt) < c.cfg.LeaseTTL/2 && c.since(c.replication.upToDateAt) < c.cfg.LeaseTTL
}

func (c *Core) onLoadRecordsResult(v LoadRecordsResult) {
	c.replication.isLoading = false
	if !c.recordContact(c.replication.loadRequestedAt, v.Err) {
		c.replication.retryAt = c.now.Monotonic.Add(c.jitter(500 * time.Millisecond))
		return
	}
	// Records deleted while this node did not follow must not stay: begin anew.
	previous := c.replica
	c.replica = storage.NewReplica()
	c.replica.OnMachineChange = previous.OnMachineChange
	c.forgetAssignments()
	for _, entry := range v.Entries {
		c.putInReplica(entry.Key, entry.Value, entry.ModRevision)
	}
	c.forgetUnrecordedMachines(previous)
	c.replica.Revision = v.StartRevision
	c.replication.completeRevision = v.EndRevision
	c.replication.upToDateAt = c.replication.loadRequestedAt
	c.replication.hasSnapshot = true
	c.replication.isLoaded = c.replica.Revision >= c.replication.completeRevision
	c.updateWriteLimiter()
	c.log(slog.LevelInfo, "records read", "jobs", len(c.replica.Jobs), "machines", len(c.replica.Machines), "revision", uint64(v.StartRevision))
}

func (c *Core) putInReplica(key string, data json.RawMessage, modRevision protocol.ModRevision) {
	formatBefore := c.storageFormat()
	if _, err := c.replica.Put(key, data, modRevision); err != nil {
		c.log(slog.LevelError, "unreadable record is left alone", "key", key, "err", err.Error())
	}
	if c.storageFormat() != formatBefore {
		c.updateWriteLimiter()
	}
}

func (c *Core) onWatchResult(v WatchResult) {
	c.replication.isWatching = false
	if errors.Is(v.Err, storage.ErrRevisionTooOld) {
		c.log(slog.LevelWarn, "changes are no longer kept, records are read again", "from", uint64(v.AfterRevision))
		c.replication.isLoaded, c.replication.hasSnapshot = false, false
		c.replication.retryAt = c.now.Monotonic
		return
	}
	if !c.recordContact(c.replication.watchRequestedAt, v.Err) {
		c.replication.retryAt = c.now.Monotonic.Add(c.jitter(200 * time.Millisecond))
		return
	}
	if v.AfterRevision != c.replica.Revision {
		return
	}
	for _, event := range v.Response.Events {
		if event.PutKey != "" {
			c.putInReplica(event.PutKey, event.Value, event.ModRevision)
		} else {
			c.replica.Delete(event.DeleteKey, event.ModRevision)
		}
	}
	c.onMachinesRemoved()
	c.shouldRecheckDeferred = true
	c.replica.Revision = max(c.replica.Revision, v.Response.Revision)
	c.replication.upToDateAt = c.replication.watchRequestedAt
	if !c.replication.isLoaded && c.replica.Revision >= c.replication.completeRevision {
		c.replication.isLoaded = true
	}
	c.checkRegistration()
}
