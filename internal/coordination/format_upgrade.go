package coordination

import (
	"log/slog"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// SuccessorElection names the one controller to which a key falls.
type SuccessorElection interface {
	IsSuccessor(key string) bool
}

// formatUpgrade raises the storage format once every controller can read the new one.
type formatUpgrade struct {
	*stepContext

	commits   *committer
	lease     *incarnationLease
	limits    *writeLimiter
	ownership SuccessorElection

	packedReaders            map[protocol.ControllerID]bool // controllers last seen to read the packed format
	areAnnouncedLimitsActive bool                           // the announced limits hold: a write within today's was refused as too large
	raisableSince            protocol.Instant               // since when the format could be raised
	warnedIncarnation        storage.Incarnation            // a run that was reported as too old
}

func newFormatUpgrade(ctx *stepContext) *formatUpgrade {
	return &formatUpgrade{
		stepContext:   ctx,
		packedReaders: map[protocol.ControllerID]bool{},
	}
}

// While a deployment is upgraded, controllers of the old and of this version work on the
// same records. Each run of this version says in its member record which format it
// reads. Once all controllers have been seen to do so, the format on record is raised,
// and only then is anything written that the old version could not read. Where no new
// limits of the state service are announced, the plain format serves, and nothing is
// raised.

// raiseFormatDelay is how long the other controllers leave it to one of them to raise the
// format.
const raiseFormatDelay = 2 * time.Second

// recordFormatSupport notes which controllers read the packed format. A run of an older
// version takes back what was noted of its controller.
func (u *formatUpgrade) recordFormatSupport() {
	for controllerID, e := range u.replica.Controllers {
		readsPacked := e.Record.ReadableFormat >= storage.FormatPacked
		if u.packedReaders[controllerID] = readsPacked; !readsPacked && u.limits.storageFormat() >= storage.FormatPacked && u.warnedIncarnation != e.Record.Incarnation {
			u.warnedIncarnation = e.Record.Incarnation
			u.log(slog.LevelError, "incompatible controller version running", "incarnation", string(e.Record.Incarnation))
		}
	}
}

// canRaiseFormat tells whether the packed format may be written from now on: every
// controller of the deployment has been seen to read it. That the announced limits hold
// shows it too, as they come only when the upgrade is over; but not against a run of
// an older version that lives.
func (u *formatUpgrade) canRaiseFormat() bool {
	if u.cfg.AnnouncedLimits == nil || u.limits.storageFormat() >= storage.FormatPacked {
		return false
	}
	for controllerID := range u.replica.Controllers {
		if !u.packedReaders[controllerID] {
			return false
		}
	}
	if u.areAnnouncedLimitsActive {
		return true
	}
	for _, controllerID := range u.cfg.PeerIDs {
		if !u.packedReaders[controllerID] {
			return false
		}
	}
	return u.packedReaders[u.cfg.ControllerID]
}

// tryRaiseFormat sends the change of the format, and tells whether it did. It rests on the
// keys of all controllers, those that are away too: one of them may end, and another
// version begin, before the change is applied.
func (u *formatUpgrade) tryRaiseFormat() bool {
	if !u.canRaiseFormat() {
		u.raisableSince = 0
		return false
	}
	if u.raisableSince == 0 {
		u.raisableSince = u.now.Monotonic
	}
	if !u.ownership.IsSuccessor(storage.FormatKey) && u.since(u.raisableSince) < raiseFormatDelay || !u.limits.takeWriteTokens(1) {
		return false
	}
	conditions := []protocol.Condition{{Key: storage.FormatKey, ModRevision: u.replica.ModRevision(storage.FormatKey)}}
	for _, controllerID := range append([]protocol.ControllerID{u.cfg.ControllerID}, u.cfg.PeerIDs...) {
		key := storage.ControllerKey(controllerID)
		conditions = append(conditions, protocol.Condition{Key: key, ModRevision: u.replica.ModRevision(key)})
	}
	record := storage.FormatRecord{WriteFormat: storage.FormatPacked, UpdatedBy: u.lease.incarnation}
	u.commits.sendTransaction(&pendingTransaction{transaction: protocol.Transaction{Conditions: conditions, Operations: []protocol.Operation{{PutKey: storage.FormatKey, Value: storage.MustMarshal(record)}}},
		logsOnApply: []Effect{Log{Level: slog.LevelInfo, Message: "storage format raised to packed", Args: nil}}})
	return true
}

// onTransactionTooLarge takes in that the state service has called a transaction malformed.
func (u *formatUpgrade) onTransactionTooLarge(transaction *protocol.Transaction) {
	if u.cfg.AnnouncedLimits != nil && u.limits.storageFormat() < storage.FormatPacked && !u.limits.admissionLimits().allows(transaction) {
		u.areAnnouncedLimitsActive = true
	}
	u.limits.shrinkTransactions()
}
