package coordination

import (
	"log/slog"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// While a deployment is upgraded, controllers of the old and of this version work on the
// same records. Each run of this version says in its member record which format it
// reads. Once all controllers have been seen to do so, the format on record is raised,
// and only then is anything written that the old version could not read. Where no new
// limits of the state service are announced, the plain format serves, and nothing is
// raised.

// formatUpgrade is what this process knows of the versions of the others.
type formatUpgrade struct {
	packedReaders            map[protocol.ControllerID]bool // controllers last seen to read the packed format
	areAnnouncedLimitsActive bool                           // the announced limits hold: a write within today's was refused as too large
	raisableSince            protocol.Instant               // since when the format could be raised
	warnedIncarnation        storage.Incarnation            // a run that was reported as too old
}

// raiseFormatDelay is how long the other controllers leave it to one of them to raise the
// format.
const raiseFormatDelay = 2 * time.Second

// storageFormat is the newest format that may be written.
func (c *Core) storageFormat() storage.Format { return c.replica.Format.Record.WriteFormat }

// recordFormatSupport notes which controllers read the packed format. A run of an older
// version takes back what was noted of its controller.
func (c *Core) recordFormatSupport() {
	for controllerID, e := range c.replica.Controllers {
		readsPacked := e.Record.ReadableFormat >= storage.FormatPacked
		if c.formatUpgrade.packedReaders[controllerID] = readsPacked; !readsPacked && c.storageFormat() >= storage.FormatPacked && c.formatUpgrade.warnedIncarnation != e.Record.Incarnation {
			c.formatUpgrade.warnedIncarnation = e.Record.Incarnation
			c.log(slog.LevelError, "a controller of a version that can't read the records is up", "run", string(e.Record.Incarnation))
		}
	}
}

// canRaiseFormat tells whether the packed format may be written from now on: every
// controller of the deployment has been seen to read it. That the announced limits hold
// shows it too, as they come only when the upgrade is over; but not against a run of
// an older version that lives.
func (c *Core) canRaiseFormat() bool {
	if c.cfg.AnnouncedLimits == nil || c.storageFormat() >= storage.FormatPacked {
		return false
	}
	for controllerID := range c.replica.Controllers {
		if !c.formatUpgrade.packedReaders[controllerID] {
			return false
		}
	}
	if c.formatUpgrade.areAnnouncedLimitsActive {
		return true
	}
	for _, controllerID := range c.cfg.PeerIDs {
		if !c.formatUpgrade.packedReaders[controllerID] {
			return false
		}
	}
	return c.formatUpgrade.packedReaders[c.cfg.ControllerID]
}

// tryRaiseFormat sends the change of the format, and tells whether it did. It rests on the
// keys of all controllers, those that are away too: one of them may end, and another
// version begin, before the change is applied.
func (c *Core) tryRaiseFormat() bool {
	if !c.canRaiseFormat() {
		c.formatUpgrade.raisableSince = 0
		return false
	}
	if c.formatUpgrade.raisableSince == 0 {
		c.formatUpgrade.raisableSince = c.now.Monotonic
	}
	if !c.isSuccessor(storage.FormatKey) && c.since(c.formatUpgrade.raisableSince) < raiseFormatDelay || !c.takeWriteTokens(1) {
		return false
	}
	conditions := []protocol.Condition{{Key: storage.FormatKey, ModRevision: c.replica.ModRevision(storage.FormatKey)}}
	for _, controllerID := range append([]protocol.ControllerID{c.cfg.ControllerID}, c.cfg.PeerIDs...) {
		key := storage.ControllerKey(controllerID)
		conditions = append(conditions, protocol.Condition{Key: key, ModRevision: c.replica.ModRevision(key)})
	}
	record := storage.FormatRecord{WriteFormat: storage.FormatPacked, UpdatedBy: c.incarnation}
	c.sendTransaction(&pendingTransaction{transaction: protocol.Transaction{Conditions: conditions, Operations: []protocol.Operation{{PutKey: storage.FormatKey, Value: storage.MustMarshal(record)}}},
		logsOnApply: []Effect{Log{slog.LevelInfo, "all controllers read the packed format, it is written from now on", nil}}})
	return true
}

// onTransactionTooLarge takes in that the state service has called a transaction malformed.
func (c *Core) onTransactionTooLarge(transaction *protocol.Transaction) {
	if c.cfg.AnnouncedLimits != nil && c.storageFormat() < storage.FormatPacked && !c.admissionLimits().allows(transaction) {
		c.formatUpgrade.areAnnouncedLimitsActive = true
	}
	c.shrinkTransactions()
}

// reencodeOversized rewrites what this run is responsible for and what the limits would refuse as
// it is: pages and jobs written before the format was raised. It takes what room there
// is, so a few transactions do; whatever else needs such a record before rewrites it the
// same way.
func (c *Core) reencodeOversized(b *batch) {
	if c.storageFormat() < storage.FormatPacked {
		return
	}
	maxValueBytes := c.writeLimits().ValueBytes
	// Once that is done there are none, at each transaction: only what is found is sorted.
	shards := selectKeys(c.replica.Shards, func(p *storage.Shard) bool { return p.Owner == c.incarnation && p.EncodedSize > maxValueBytes })
	for _, id := range shards {
		if b.shards[id] == nil && b.hasCapacity(c.shardWriteOps(id)) {
			b.mutableShard(id)
		}
	}
	jobs := selectKeys(c.replica.UnfinishedJobs, func(e *storage.Versioned[storage.JobRecord]) bool {
		return e.Record.Owner == c.incarnation && e.EncodedSize > maxValueBytes
	})
	for _, id := range jobs {
		if b.hasCapacity(b.writesNeeded("", id)) {
			b.mutableJob(id)
		}
	}
}

// shardWriteOps is how many changes it takes to write a page: one that was written in the
// plain format may take several parts.
func (c *Core) shardWriteOps(id storage.ShardID) int {
	maxValueBytes := c.writeLimits().ValueBytes
	shard := c.replica.Shards[id]
	if shard == nil || c.storageFormat() < storage.FormatPacked || shard.EncodedSize <= maxValueBytes {
		return 1
	}
	const margin = 5 // a quarter more than the packed page takes, as parts are uneven
	return max((c.replica.PackedShardSize(id)*margin/4+maxValueBytes-1)/maxValueBytes, 1)
}
