package commit

import (
	"fmt"
	"testing"

	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// putController adds the record of a live incarnation of a controller to the replica.
func putController(t *testing.T, controller *testController, controllerID protocol.ControllerID, readFormat storage.Format) {
	t.Helper()
	key := storage.ControllerKey(controllerID)
	incarnation := storage.Incarnation(fmt.Sprintf("%s#%d", controllerID, controller.Replica.ModRevision(key)+1))
	data := storage.MustMarshal(storage.ControllerRecord{Incarnation: incarnation, ReadableFormat: readFormat})
	controller.Put(t, key, data, controller.Replica.ModRevision(key)+100)
	controller.Upgrade.RecordFormatSupport()
}

// The format is raised only once every controller has been seen to read the packed format, and never
// while an incarnation of an older version lives.
func TestFormatRaisedOnlyWhenAllCanRead(t *testing.T) {
	const packed, plain, absent = storage.FormatPacked, storage.FormatPlain, storage.Format(-1)
	for _, test := range []struct {
		name         string
		earlier      []storage.Format // formats that the two other controllers could read earlier
		now          []storage.Format // formats that they can read now
		notAnnounced bool             // no limits are announced
		refused      bool             // the store refused a write within the current limits
		want         bool
	}{
		{
			name:    "all controllers read the packed format",
			earlier: []storage.Format{absent, absent},
			now:     []storage.Format{packed, packed},
			want:    true,
		},
		{
			name:         "no limits are announced",
			earlier:      []storage.Format{absent, absent},
			now:          []storage.Format{packed, packed},
			notAnnounced: true,
			want:         false,
		},
		{
			name:    "one controller is of the older version",
			earlier: []storage.Format{absent, absent},
			now:     []storage.Format{packed, plain},
			want:    false,
		},
		{
			name:    "one controller has not been seen",
			earlier: []storage.Format{absent, absent},
			now:     []storage.Format{packed, absent},
			want:    false,
		},
		{
			name:    "one controller that read the packed format is away",
			earlier: []storage.Format{packed, packed},
			now:     []storage.Format{packed, absent},
			want:    true,
		},
		{
			name:    "one controller returned with the older version",
			earlier: []storage.Format{packed, packed},
			now:     []storage.Format{packed, plain},
			want:    false,
		},
		{
			name:    "the announced limits are active, one controller has not been seen",
			earlier: []storage.Format{absent, absent},
			now:     []storage.Format{packed, absent},
			refused: true,
			want:    true,
		},
		{
			name:    "the announced limits are active, one controller is of the older version",
			earlier: []storage.Format{absent, absent},
			now:     []storage.Format{packed, plain},
			refused: true,
			want:    false,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newReadyController(t)
			controller.Config.PeerIDs = []protocol.ControllerID{"stall-1", "stall-2"}
			if !test.notAnnounced {
				controller.Config.AnnouncedLimits = steptest.AnnouncedLimits()
			}
			controller.Upgrade.areAnnouncedLimitsActive = test.refused
			putController(t, controller, "stall-0", packed)
			for _, formats := range [][]storage.Format{test.earlier, test.now} {
				for i, format := range formats {
					controllerID := controller.Config.PeerIDs[i]
					if format == absent {
						key := storage.ControllerKey(controllerID)
						controller.Replica.Delete(key, controller.Replica.ModRevision(key)+1)
					} else {
						putController(t, controller, controllerID, format)
					}
				}
			}
			if got := controller.Upgrade.canRaiseFormat(); got != test.want {
				t.Errorf("canRaiseFormat() = %v, want the opposite", got)
			}
		})
	}
}

// While controllers of different versions work together, the format is raised to the newest that all of
// them read. A record that no older format can hold asks for that without announced limits.
func TestFormatRaisedInSteps(t *testing.T) {
	controller := newReadyController(t)
	controller.Config.PeerIDs = []protocol.ControllerID{"stall-1"}
	putController(t, controller, "stall-0", storage.FormatParts)
	for _, test := range []struct {
		name             string
		peer             storage.Format
		needsNewerFormat bool
		want             storage.Format
	}{
		{"no record needs a newer format", storage.FormatParts, false, storage.FormatPlain},
		{"the peer is of the version in production", storage.FormatPlain, true, storage.FormatPlain},
		{"the peer reads the packed format only", storage.FormatPacked, true, storage.FormatPacked},
		{"the peer reads the newest format", storage.FormatParts, true, storage.FormatParts},
	} {
		putController(t, controller, "stall-1", test.peer)
		controller.Limits.needsNewerFormat = test.needsNewerFormat
		if got := controller.Upgrade.raisableFormat(); got != test.want {
			t.Errorf("%s: the format may be raised to %d, want %d", test.name, got, test.want)
		}
	}
}

// A transaction that the store refuses as too large is never sent again unchanged, because the next
// transactions are smaller. The refusal shows that the announced limits are active if the transaction
// exceeded the announced limits and not the current ones.
func TestTooLargeTransaction(t *testing.T) {
	controller := newReadyController(t)
	controller.Config.AnnouncedLimits = steptest.AnnouncedLimits()
	upgrade, limits := controller.Upgrade, controller.Limits
	small := &protocol.Transaction{Operations: []protocol.Operation{{PutKey: "k", Value: make([]byte, 100)}}}
	large := &protocol.Transaction{Operations: []protocol.Operation{{PutKey: "k", Value: make([]byte, 3000)}}}
	opsBefore := limits.maxTransactionOps
	if upgrade.onTransactionTooLarge(small); upgrade.areAnnouncedLimitsActive {
		t.Error("announced limits are active after a refusal of a small transaction, want inactive")
	}
	upgrade.onTransactionTooLarge(large)
	ops := limits.maxTransactionOps
	if !upgrade.areAnnouncedLimitsActive || ops >= opsBefore || ops < minTransactionOps {
		t.Errorf("announced limits active is %v, want true; next transaction has up to %d operations, want fewer than before and at least minTransactionOps",
			upgrade.areAnnouncedLimitsActive, ops)
	}
}

// A change of the format that rests on more controllers than a transaction may have conditions is not sent. Records
// are written all the same. Before the fix it was sent again and again, and nothing else.
func TestFormatChangeTooLargeDelaysNoOthers(t *testing.T) {
	controller := newReadyController(t)
	controller.Config.AnnouncedLimits = steptest.AnnouncedLimits()
	controller.Config.TransactionOps = 2
	for i := range controller.Limits.WriteLimits().MaxConditions() {
		id := protocol.ControllerID(fmt.Sprintf("stall-%d", i+1))
		controller.Config.PeerIDs = append(controller.Config.PeerIDs, id)
		putController(t, controller, id, storage.NewestFormat)
	}
	putController(t, controller, controller.Config.ControllerID, storage.NewestFormat)
	if !controller.Upgrade.canRaiseFormat() {
		t.Fatal("the format cannot be raised, want all controllers to read the newest")
	}

	for range 3 {
		controller.Advance(postponeDelay)
		controller.Effects = nil
		if isReady := controller.Committer.PrepareForRecordBatch(); !isReady || sentTransaction(controller.Effects) != nil {
			t.Fatalf("batch of records may be sent: %v, transaction sent: %+v, want the batch", isReady, sentTransaction(controller.Effects))
		}
	}
}
