package commit

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// raiseFormatDelay is how long the other controllers leave it to the elected one to raise the
// format.
const raiseFormatDelay = 2 * time.Second

// SuccessorElection names the one controller to which a key falls.
type SuccessorElection interface {
	IsSuccessor(key string) bool
}

// FormatUpgrade raises the storage format once every controller can read the new one.
//
// While a deployment is upgraded, controllers of the previous and of this version work on the
// same records. Each incarnation of this version says in its controller record which format it
// reads. Once all controllers have been seen to do so, the format on record is raised, and only
// then is anything written that the previous version could not read. Where no new limits of the
// store are announced, the plain format serves, and nothing is raised.
type FormatUpgrade struct {
	*step.Context

	committer *Committer
	lease     *Lease
	limits    *WriteLimiter
	election  SuccessorElection

	packedReaders            map[protocol.ControllerID]bool // whether a controller, as last seen, reads the packed format
	areAnnouncedLimitsActive bool                           // a write within the current limits was refused as too large
	raisableSince            protocol.Instant               // since when the format could be raised; 0: it cannot
	warnedIncarnation        storage.Incarnation            // the last one that was reported as too old
}

func newFormatUpgrade(ctx *step.Context) *FormatUpgrade {
	return &FormatUpgrade{
		Context:       ctx,
		packedReaders: map[protocol.ControllerID]bool{},
	}
}

// RecordFormatSupport records which controllers read the packed format. An incarnation of an
// older version overrides what was recorded of its controller.
func (u *FormatUpgrade) RecordFormatSupport() {
	for controllerID, controller := range u.Replica.Controllers {
		readsPacked := controller.Record.ReadableFormat >= storage.FormatPacked
		u.packedReaders[controllerID] = readsPacked
		if !readsPacked && u.limits.StorageFormat() >= storage.FormatPacked {
			u.warnIncompatible(controller.Record.Incarnation)
		}
	}
}

func (u *FormatUpgrade) warnIncompatible(incarnation storage.Incarnation) {
	if u.warnedIncarnation == incarnation {
		return
	}
	u.warnedIncarnation = incarnation
	u.Log(slog.LevelError, "incompatible controller version running", "incarnation", string(incarnation))
}

// canRaiseFormat tells whether the packed format may be written from now on: every
// controller of the deployment has been seen to read it. That the announced limits are active
// shows it too, as they come only when the upgrade is over; but it counts for nothing while an
// incarnation of an older version lives.
func (u *FormatUpgrade) canRaiseFormat() bool {
	if u.Config.AnnouncedLimits == nil || u.limits.StorageFormat() >= storage.FormatPacked {
		return false
	}
	for controllerID := range u.Replica.Controllers {
		if !u.packedReaders[controllerID] {
			return false
		}
	}
	if u.areAnnouncedLimitsActive {
		return true
	}
	for _, controllerID := range u.Config.PeerIDs {
		if !u.packedReaders[controllerID] {
			return false
		}
	}
	return u.packedReaders[u.Config.ControllerID]
}

// tryRaiseFormat sends the change of the format, and tells whether it did.
func (u *FormatUpgrade) tryRaiseFormat() bool {
	if !u.canRaiseFormat() {
		u.raisableSince = 0
		return false
	}
	if u.raisableSince == 0 {
		u.raisableSince = u.Now.Monotonic
	}
	isOurTurn := u.election.IsSuccessor(storage.FormatKey) || u.Since(u.raisableSince) >= raiseFormatDelay
	if !isOurTurn || !u.limits.takeWriteTokens(1) {
		return false
	}
	record := storage.FormatRecord{WriteFormat: storage.FormatPacked, UpdatedBy: u.lease.incarnation}
	u.committer.sendTransaction(&pendingTransaction{
		transaction: protocol.Transaction{
			Conditions: u.formatChangeConditions(),
			Operations: []protocol.Operation{{PutKey: storage.FormatKey, Value: storage.MustMarshal(record)}},
		},
		logsOnApply: []step.Effect{step.Log{Level: slog.LevelInfo, Message: "storage format raised to packed"}},
	})
	return true
}

// formatChangeConditions ties the change to the keys of all controllers, also of those that are away:
// one of them may end, and another version start, before the change is applied.
func (u *FormatUpgrade) formatChangeConditions() []protocol.Condition {
	keys := []string{storage.FormatKey, storage.ControllerKey(u.Config.ControllerID)}
	for _, controllerID := range u.Config.PeerIDs {
		keys = append(keys, storage.ControllerKey(controllerID))
	}
	conditions := make([]protocol.Condition, 0, len(keys))
	for _, key := range keys {
		conditions = append(conditions, protocol.Condition{Key: key, ModRevision: u.Replica.ModRevision(key)})
	}
	return conditions
}

// onTransactionTooLarge takes in that the store has refused a transaction as malformed.
func (u *FormatUpgrade) onTransactionTooLarge(transaction *protocol.Transaction) {
	if u.Config.AnnouncedLimits != nil && u.limits.StorageFormat() < storage.FormatPacked &&
		!u.limits.AdmissionLimits().Allows(transaction) {
		u.areAnnouncedLimitsActive = true
	}
	u.limits.shrinkTransactions()
}
