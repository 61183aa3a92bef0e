package commit

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// raiseFormatDelay is how long the other controllers leave it to the elected controller to raise the
// format.
const raiseFormatDelay = 2 * time.Second

// SuccessorElection elects one controller that is responsible for a key.
type SuccessorElection interface {
	// IsSuccessor reports whether this controller is elected for a key.
	IsSuccessor(key string) bool
}

// FormatUpgrade raises the storage format once every controller can read the new one.
//
// While a deployment is upgraded, controllers of the previous and of this version work on the
// same records. Each incarnation of this version writes to its controller record which format it
// can read. Once all controllers have been seen to read a newer format, the format in the store
// is raised. Only then are records written that the previous version cannot read. If no new limits
// of the store are announced and no record outgrows a value, the plain format suffices and is kept.
type FormatUpgrade struct {
	*step.Context

	committer *Committer
	lease     *Lease
	limits    *WriteLimiter
	election  SuccessorElection

	readableFormats          map[protocol.ControllerID]storage.Format // newest format that a controller could read when last seen
	areAnnouncedLimitsActive bool                                     // the store refused a write within the current limits as too large
	raisableSince            protocol.Instant                         // when it became possible to raise the format; 0 if it is not
	warnedIncarnation        storage.Incarnation                      // the last incarnation that was logged as incompatible
}

func newFormatUpgrade(ctx *step.Context) *FormatUpgrade {
	return &FormatUpgrade{
		Context:         ctx,
		readableFormats: map[protocol.ControllerID]storage.Format{},
	}
}

// RecordFormatSupport records which format each controller can read. An incarnation of an older
// version overrides what was recorded for its controller earlier.
func (u *FormatUpgrade) RecordFormatSupport() {
	for controllerID, controller := range u.Replica.Controllers {
		u.readableFormats[controllerID] = controller.Record.ReadableFormat
		if controller.Record.ReadableFormat < u.limits.StorageFormat() {
			u.warnIncompatible(controller.Record.Incarnation)
		}
	}
}

// warnIncompatible logs that an incarnation cannot read the records. It logs an incarnation once,
// unless it has logged another one since.
func (u *FormatUpgrade) warnIncompatible(incarnation storage.Incarnation) {
	if u.warnedIncarnation == incarnation {
		return
	}
	u.warnedIncarnation = incarnation
	u.Log(slog.LevelError, "incompatible controller version running", "incarnation", string(incarnation))
}

// canRaiseFormat reports whether a newer format may be written from now on.
func (u *FormatUpgrade) canRaiseFormat() bool { return u.raisableFormat() > u.limits.StorageFormat() }

// raisableFormat returns the newest format that every controller of the deployment has been seen to
// read, if limits are announced or records need a newer format. Otherwise it returns the plain format.
// Active announced limits show that the upgrade is over, because they take effect only then. They are
// no evidence while an incarnation of an older version lives.
func (u *FormatUpgrade) raisableFormat() storage.Format {
	if u.Config.AnnouncedLimits == nil && !u.limits.needsNewerFormat {
		return storage.FormatPlain
	}
	newest := storage.NewestFormat
	for controllerID := range u.Replica.Controllers {
		newest = min(newest, u.readableFormats[controllerID])
	}
	if u.areAnnouncedLimitsActive {
		return newest
	}
	for _, controllerID := range u.Config.PeerIDs {
		newest = min(newest, u.readableFormats[controllerID])
	}
	return min(newest, u.readableFormats[u.Config.ControllerID])
}

// tryRaiseFormat sends the change of the format if it is due. It reports whether it sent the change. A change
// that the store would not accept or has refused is left out for a while, so that records are written meanwhile.
func (u *FormatUpgrade) tryRaiseFormat() bool {
	if !u.canRaiseFormat() {
		u.raisableSince = 0
		return false
	}
	if u.committer.shards.isPostponed(storage.FormatKey) {
		return false
	}
	if u.raisableSince == 0 {
		u.raisableSince = u.Now.Monotonic
	}
	isOurTurn := u.election.IsSuccessor(storage.FormatKey) || u.Since(u.raisableSince) >= raiseFormatDelay
	if !isOurTurn {
		return false
	}
	format := u.raisableFormat()
	record := storage.FormatRecord{WriteFormat: format, UpdatedBy: u.lease.incarnation}
	transaction := protocol.Transaction{
		Conditions: u.formatChangeConditions(),
		Operations: []protocol.Operation{{PutKey: storage.FormatKey, Value: storage.MustMarshal(record)}},
	}
	if !u.limits.WriteLimits().Allows(&transaction) {
		u.committer.postponeRecords(&transaction, "transaction too large")
		return false
	}
	if !u.limits.takeWriteTokens(1) {
		return false
	}
	u.committer.sendTransaction(&pendingTransaction{
		transaction: transaction,
		logsOnApply: []step.Effect{step.Log{Level: slog.LevelInfo, Message: "storage format raised", Args: []any{"format", int(format)}}},
	})
	return true
}

// formatChangeConditions returns conditions on the format key and on the keys of all controllers. It
// includes absent controllers, because a controller may end, and one of another version may start,
// before the change is applied.
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

// onTransactionTooLarge handles a transaction that the store refused as invalid. The announced limits
// are active if the transaction exceeds them. The next transactions are smaller in any case. It reports
// false if the transaction is so small that its size cannot be the reason.
func (u *FormatUpgrade) onTransactionTooLarge(transaction *protocol.Transaction) (isSizeSuspected bool) {
	if u.Config.AnnouncedLimits != nil && u.limits.StorageFormat() < storage.FormatPacked &&
		!u.limits.AdmissionLimits().Allows(transaction) {
		u.areAnnouncedLimitsActive = true
		u.limits.observeAnnounced(*u.Config.AnnouncedLimits)
		return true
	}
	isSizeSuspected = u.limits.observeRefusal(transaction)
	u.limits.needsNewerFormat = u.limits.needsNewerFormat || u.limits.observed.valueBytes > 0
	return isSizeSuspected
}
