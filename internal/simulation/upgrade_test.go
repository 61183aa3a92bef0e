package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// tightenedLimits holds the limits that the store announces before the upgrade. The store enforces them
// from some moment after the upgrade.
var tightenedLimits = step.WriteLimits{WritesPerSecond: 18, TransactionOps: 4, ValueBytes: 2048}

// newUpgradeWorld returns a deployment whose controllers run the version in production and whose
// records are larger than the announced limits allow.
func newUpgradeWorld(t *testing.T, seed uint64) *World {
	w := newMixedWorld(t, seed)
	w.addSmallMachines(100, testZones...)
	w.Config.AnnouncedLimits = &tightenedLimits
	w.Store.WriteRate = w.Config.WritesPerSecond
	for _, controller := range w.Controllers {
		controller.RunsProductionVersion = true
		controller.Start()
	}
	return w
}

// tightenLimits lets the store enforce the announced limits.
func (w *World) tightenLimits() {
	w.Store.MaxValueBytes = tightenedLimits.ValueBytes
	w.Store.MaxTransactionOperations = tightenedLimits.TransactionOps
	w.Store.WriteRate = tightenedLimits.WritesPerSecond
}

// largestRecordBytes returns the size of the largest value in the store, in bytes.
func (w *World) largestRecordBytes() (size int) {
	for _, entry := range w.Store.List(storage.KeyPrefix) {
		size = max(size, len(entry.Value))
	}
	return size
}

// TestUpgradesUnderFaults replaces the version in production while it serves. The store lowers its
// limits at some moment after that. No rule is violated, a controller of the old version can read all
// records that it gets, and soon after the change no transaction is too large for the new limits.
func TestUpgradesUnderFaults(t *testing.T) {
	for _, test := range []struct {
		name            string
		tightenAt       float64 // in seconds
		messageLossRate float64
		inject          func(w *World)
	}{
		{"controllers are upgraded one after the other", 60, 0, upgradeInTurn},
		{"controllers are upgraded all at once, and the limits tighten as soon as they are back", 24, 0, upgradeAllAtOnce},
		{"a lossy network", 60, 0.03, upgradeInTurn},
		{"a controller crashes before its upgrade and restarts with the old version", 60, 0, upgradeAfterCrash},
		{"the upgrade stops half-way for a minute", 110, 0, upgradeStopsHalfWay},
		{"all controllers fail when the limits tighten", 52, 0, upgradeAndAllControllersFail},
		{"a store outage during the upgrade, and the limits tighten during the next outage", 64, 0.01, upgradeWithOutages},
		{"the store refuses one controller after another, and jobs are cancelled meanwhile", 60, 0, upgradeWithRefusedControllers},
		{"machines are terminated or hang, heartbeats are duplicated, a store outage and a restart", 55, 0.02, upgradeWithManyFaults},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seedCount(); seed++ {
				w := newUpgradeWorld(t, seed)
				w.MessageLossRate = test.messageLossRate
				test.inject(w)
				runUpgrade(t, w, seed, test.tightenAt)
			}
		})
	}
}

func upgradeInTurn(w *World) {
	for i, controller := range w.Controllers {
		controller.Upgrade(seconds(20+8*i), seconds(3))
	}
}

func upgradeAllAtOnce(w *World) {
	for _, controller := range w.Controllers {
		controller.Upgrade(seconds(20), seconds(3))
	}
}

func upgradeAfterCrash(w *World) {
	w.Controllers[2].ScheduleRestart(seconds(24), seconds(2))
	upgradeInTurn(w)
}

func upgradeStopsHalfWay(w *World) {
	w.Controllers[0].Upgrade(seconds(15), seconds(3))
	w.Controllers[1].ScheduleRestart(seconds(40), seconds(2))
	w.Controllers[1].Upgrade(seconds(75), seconds(3))
	w.Controllers[2].Upgrade(seconds(85), seconds(3))
}

func upgradeAndAllControllersFail(w *World) {
	upgradeInTurn(w)
	for i, controller := range w.Controllers {
		controller.ScheduleRestart(seconds(51.5+0.3*float64(i)), seconds(1+i))
	}
}

func upgradeWithOutages(w *World) {
	upgradeInTurn(w)
	w.scheduleStoreOutage(25, 9)
	w.scheduleStoreOutage(60, 9)
}

func upgradeWithRefusedControllers(w *World) {
	upgradeInTurn(w)
	w.setFlagsBetween(seconds(26), seconds(46), &w.Controllers[0].RefusedByStore)
	w.setFlagsBetween(seconds(70), seconds(90), &w.Controllers[1].RefusedByStore)
	for _, at := range []int{27, 46, 71} {
		w.After(seconds(at), func() { w.cancelRunningJobs(3) })
	}
}

func upgradeWithManyFaults(w *World) {
	upgradeInTurn(w)
	w.DuplicateHeartbeatRate = 0.1
	for i := range 10 {
		w.After(seconds(18+5*i), func() { w.TerminateMachine(machineID(3 + 4*i)) })
		machine := w.Machines[machineID(2+4*i)]
		w.After(seconds(20+6*i), func() { machine.Hang(seconds(3 + 3*i)) })
	}
	w.scheduleStoreOutage(57, 7)
	w.Controllers[0].ScheduleRestart(seconds(66), seconds(0.3))
}

// runUpgrade runs a world during and after an upgrade and checks the result. Jobs of all kinds are
// submitted before and while the limits tighten, and services after that.
func runUpgrade(t *testing.T, w *World, seed uint64, tightenAt float64) {
	t.Helper()
	jobIDs := submitMixedJobs(w, 30)
	largeArray := newArray("j-700000", "l", "standard", 900, 1, 5)
	w.After(seconds(2), func() { w.Submit(largeArray) })
	jobIDs = append(jobIDs, largeArray.ID)
	w.After(seconds(tightenAt), w.tightenLimits)
	var serviceIDs []protocol.JobID
	for i := range 6 {
		job := newService(protocol.JobID(fmt.Sprintf("j-8%05d", i)), 2+i%4)
		job.SpreadZones = i%2 == 0
		w.After(seconds(tightenAt+2+2*float64(i)), func() { w.Submit(job) })
		serviceIDs = append(serviceIDs, job.ID)
	}
	w.Advance(seconds(130))
	w.MessageLossRate, w.DuplicateHeartbeatRate = 0, 0
	w.Rules.FaultsEndedAt = w.Now
	tooLargeDuringFaults := w.Store.TooLargeTransactions
	w.Advance(seconds(140))
	w.Rules.CheckFinal(w.Now)
	checkUpgrade(t, w, seed, tooLargeDuringFaults)
	for _, id := range jobIDs {
		if !w.FinishedJobs[id] {
			t.Errorf("seed %d: job %s has not ended", seed, id)
		}
	}
	for _, id := range serviceIDs {
		if job := w.Jobs[id]; !w.Rules.job(id).cancelRequested && w.Rules.runningReplicaCount(id, job) != job.TaskCount {
			t.Errorf("seed %d: %d of %d replicas of service %s run, want all", seed, w.Rules.runningReplicaCount(id, job), job.TaskCount, id)
		}
	}
}

// checkUpgrade checks the conditions that hold at the end of each upgrade. tooLargeDuringFaults is the
// number of transactions that the store refused as too large before the faults ended.
func checkUpgrade(t *testing.T, w *World, seed uint64, tooLargeDuringFaults int) {
	t.Helper()
	const maxTooLarge = 12 // while the limits tighten
	checkRules(t, w, seed)
	if w.Store.TooLargeTransactions > tooLargeDuringFaults {
		t.Errorf("seed %d: %d transactions were too large after the faults had ended, want 0", seed, w.Store.TooLargeTransactions-tooLargeDuringFaults)
	}
	if tooLargeDuringFaults > maxTooLarge {
		t.Errorf("seed %d: %d transactions were too large while the limits tightened, want at most 12", seed, tooLargeDuringFaults)
	}
	if size := w.largestRecordBytes(); size > tightenedLimits.ValueBytes {
		t.Errorf("seed %d: a record of %d bytes is left, want all records within the tightened limit", seed, size)
	}
	if _, isRaised := w.Store.entries[storage.FormatKey]; !isRaised {
		t.Errorf("seed %d: the store has no format record, want the format raised", seed)
	}
}

// TestFormatUpgradeWaitsForAllControllers checks that no record that the version in production could
// not read is written while a controller of that version may come back, however long this lasts. The
// test keeps such a controller down for a minute.
func TestFormatUpgradeWaitsForAllControllers(t *testing.T) {
	w := newUpgradeWorld(t, 3)
	submitMixedJobs(w, 30)
	w.Controllers[0].Upgrade(seconds(20), seconds(2))
	w.Controllers[1].Upgrade(seconds(26), seconds(2))
	w.After(seconds(40), w.Controllers[2].Kill) // before its upgrade; the test restarts it below
	w.Advance(seconds(100))
	for _, entry := range w.Store.List(storage.KeyPrefix) {
		if err := checkProductionFormat(entry.Key, entry.Value); err != nil || entry.Key == storage.FormatKey {
			t.Errorf("record %s, which the version in production cannot read, is written while a controller of that version may come back: %v", entry.Key, err)
		}
	}
	w.Controllers[2].Start()
	w.Advance(seconds(10))
	w.Controllers[2].Upgrade(seconds(1), seconds(1))
	w.After(seconds(8), func() { w.Submit(newArray("j-700001", "l", "standard", 200, 1, 5)) })
	w.Advance(seconds(20))
	packedShards := 0
	for _, key := range slices.Sorted(maps.Keys(w.Store.entries)) {
		if strings.HasPrefix(key, storage.ShardKey("")) && checkProductionFormat(key, w.Store.entries[key].data) != nil {
			packedShards++
		}
	}
	if w.Store.entries[storage.FormatKey].data == nil || packedShards == 0 || len(w.Rules.Violations) > 0 {
		t.Errorf("%d shards are packed, want some and a raised format; rule violations %v", packedShards, w.Rules.Violations)
	}
}

// TestIdleRecordsAreReencoded checks that records that no other change causes to be written are
// re-encoded too, because a shard that is too large for the new limits could not be taken over in one
// transaction later.
func TestIdleRecordsAreReencoded(t *testing.T) {
	w := newUpgradeWorld(t, 5)
	w.Config.IdleTimeoutFactor = 1000
	w.addSmallMachines(200, "a")
	for i, controller := range w.Controllers {
		controller.Start()
		controller.Upgrade(seconds(30+6*float64(i)), seconds(2))
	}
	w.Advance(seconds(28))
	bytesBefore := w.largestRecordBytes()
	w.Advance(seconds(32))
	if bytesAfter := w.largestRecordBytes(); bytesBefore <= tightenedLimits.ValueBytes || bytesAfter > tightenedLimits.ValueBytes || len(w.Rules.Violations) > 0 {
		t.Errorf("the largest record has %d bytes, want it within the tightened limit; it had %d bytes before, want more than the limit; rule violations %v", bytesAfter, bytesBefore, w.Rules.Violations)
	}
}
