package commit

import (
	"fmt"
	"testing"

	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// putController puts a live incarnation of a controller on record.
func putController(t *testing.T, controller *testController, controllerID protocol.ControllerID, readFormat storage.Format) {
	t.Helper()
	key := storage.ControllerKey(controllerID)
	incarnation := storage.Incarnation(fmt.Sprintf("%s#%d", controllerID, controller.Replica.ModRevision(key)+1))
	data := storage.MustMarshal(storage.ControllerRecord{Incarnation: incarnation, ReadableFormat: readFormat})
	controller.Put(t, key, data, controller.Replica.ModRevision(key)+100)
	controller.Upgrade.RecordFormatSupport()
}

// The format is raised only once every controller has been seen to read the packed one,
// and never while an incarnation of an older version lives.
func TestFormatRaisedOnlyWhenAllCanRead(t *testing.T) {
	const packed, plain, absent = storage.FormatPacked, storage.FormatPlain, storage.Format(-1)
	for _, test := range []struct {
		name         string
		earlier      []storage.Format // that the two others read earlier
		now          []storage.Format // and now
		notAnnounced bool             // no limits are announced
		refused      bool             // a write within the current limits was refused
		want         bool
	}{
		{
			name:    "all read it",
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
			name:    "one is old",
			earlier: []storage.Format{absent, absent},
			now:     []storage.Format{packed, plain},
			want:    false,
		},
		{
			name:    "one has not been seen",
			earlier: []storage.Format{absent, absent},
			now:     []storage.Format{packed, absent},
			want:    false,
		},
		{
			name:    "one was seen to read it and is away",
			earlier: []storage.Format{packed, packed},
			now:     []storage.Format{packed, absent},
			want:    true,
		},
		{
			name:    "one came back old",
			earlier: []storage.Format{packed, packed},
			now:     []storage.Format{packed, plain},
			want:    false,
		},
		{
			name:    "the announced limits are active, one has not been seen",
			earlier: []storage.Format{absent, absent},
			now:     []storage.Format{packed, absent},
			refused: true,
			want:    true,
		},
		{
			name:    "the announced limits seem to be active, one is old",
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
				t.Errorf("can be raised: %v", got)
			}
		})
	}
}

// A transaction that the store calls too large is never sent again as it is, and shows that the
// announced limits are active if it kept to the current ones.
func TestTooLargeTransaction(t *testing.T) {
	controller := newReadyController(t)
	controller.Config.AnnouncedLimits = steptest.AnnouncedLimits()
	upgrade, limits := controller.Upgrade, controller.Limits
	small := &protocol.Transaction{Operations: []protocol.Operation{{PutKey: "k", Value: make([]byte, 100)}}}
	large := &protocol.Transaction{Operations: []protocol.Operation{{PutKey: "k", Value: make([]byte, 3000)}}}
	opsBefore := limits.maxTransactionOps
	if upgrade.onTransactionTooLarge(small); upgrade.areAnnouncedLimitsActive {
		t.Error("a small transaction that is refused says nothing of the limits")
	}
	upgrade.onTransactionTooLarge(large)
	ops := limits.maxTransactionOps
	if !upgrade.areAnnouncedLimitsActive || ops >= opsBefore || ops < minTransactionOps {
		t.Errorf("announced limits active %v, %d operations in the next transaction", upgrade.areAnnouncedLimitsActive, ops)
	}
}
