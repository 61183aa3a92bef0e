package commit

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// SuccessorElection names the one controller to which a key falls.
type SuccessorElection interface {
	IsSuccessor(key string) bool
}

// FormatUpgrade raises the storage format once every controller can read the new one.
type FormatUpgrade struct {
	*step.Context

	commits   *Committer
	lease     *Lease
	limits    *WriteLimiter
	ownership SuccessorElection

	packedReaders            map[protocol.ControllerID]bool // controllers last seen to read the packed format
	AreAnnouncedLimitsActive bool                           // the announced limits hold: a write within today's was refused as too large
	raisableSince            protocol.Instant               // since when the format could be raised
	warnedIncarnation        storage.Incarnation            // a run that was reported as too old
}

func NewFormatUpgrade(ctx *step.Context) *FormatUpgrade {
	return &FormatUpgrade{
		Context:       ctx,
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

// RecordFormatSupport notes which controllers read the packed format. A run of an older
// version takes back what was noted of its controller.
func (u *FormatUpgrade) RecordFormatSupport() {
	for controllerID, e := range u.Replica.Controllers {
		readsPacked := e.Record.ReadableFormat >= storage.FormatPacked
		if u.packedReaders[controllerID] = readsPacked; !readsPacked && u.limits.StorageFormat() >= storage.FormatPacked && u.warnedIncarnation != e.Record.Incarnation {
			u.warnedIncarnation = e.Record.Incarnation
			u.Log(slog.LevelError, "incompatible controller version running", "incarnation", string(e.Record.Incarnation))
		}
	}
}

// CanRaiseFormat tells whether the packed format may be written from now on: every
// controller of the deployment has been seen to read it. That the announced limits hold
// shows it too, as they come only when the upgrade is over; but not against a run of
// an older version that lives.
func (u *FormatUpgrade) CanRaiseFormat() bool {
	if u.Config.AnnouncedLimits == nil || u.limits.StorageFormat() >= storage.FormatPacked {
		return false
	}
	for controllerID := range u.Replica.Controllers {
		if !u.packedReaders[controllerID] {
			return false
		}
	}
	if u.AreAnnouncedLimitsActive {
		return true
	}
	for _, controllerID := range u.Config.PeerIDs {
		if !u.packedReaders[controllerID] {
			return false
		}
	}
	return u.packedReaders[u.Config.ControllerID]
}

// tryRaiseFormat sends the change of the format, and tells whether it did. It rests on the
// keys of all controllers, those that are away too: one of them may end, and another
// version begin, before the change is applied.
func (u *FormatUpgrade) tryRaiseFormat() bool {
	if !u.CanRaiseFormat() {
		u.raisableSince = 0
		return false
	}
	if u.raisableSince == 0 {
		u.raisableSince = u.Now.Monotonic
	}
	if !u.ownership.IsSuccessor(storage.FormatKey) && u.Since(u.raisableSince) < raiseFormatDelay || !u.limits.TakeWriteTokens(1) {
		return false
	}
	conditions := []protocol.Condition{{Key: storage.FormatKey, ModRevision: u.Replica.ModRevision(storage.FormatKey)}}
	for _, controllerID := range append([]protocol.ControllerID{u.Config.ControllerID}, u.Config.PeerIDs...) {
		key := storage.ControllerKey(controllerID)
		conditions = append(conditions, protocol.Condition{Key: key, ModRevision: u.Replica.ModRevision(key)})
	}
	record := storage.FormatRecord{WriteFormat: storage.FormatPacked, UpdatedBy: u.lease.incarnation}
	u.commits.sendTransaction(&PendingTransaction{Transaction: protocol.Transaction{Conditions: conditions, Operations: []protocol.Operation{{PutKey: storage.FormatKey, Value: storage.MustMarshal(record)}}},
		logsOnApply: []step.Effect{step.Log{Level: slog.LevelInfo, Message: "storage format raised to packed", Args: nil}}})
	return true
}

// OnTransactionTooLarge takes in that the state service has called a transaction malformed.
func (u *FormatUpgrade) OnTransactionTooLarge(transaction *protocol.Transaction) {
	if u.Config.AnnouncedLimits != nil && u.limits.StorageFormat() < storage.FormatPacked && !u.limits.AdmissionLimits().Allows(transaction) {
		u.AreAnnouncedLimitsActive = true
	}
	u.limits.shrinkTransactions()
}
