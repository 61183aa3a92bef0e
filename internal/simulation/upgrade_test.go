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

// tightenedLimits are the limits that the store has from some moment after the upgrade.
var tightenedLimits = step.WriteLimits{WritesPerSecond: 18, TransactionOps: 4, ValueBytes: 2048}

// newUpgradeWorld is a deployment in which the version in production runs, with records
// larger than the announced limits allow.
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

// tightenLimits makes the announced limits those of the store.
func (w *World) tightenLimits() {
	w.Store.MaxValueBytes = tightenedLimits.ValueBytes
	w.Store.MaxTransactionOperations = tightenedLimits.TransactionOps
	w.Store.WriteRate = tightenedLimits.WritesPerSecond
}

// largestRecord is the size of the largest value in the store.
func (w *World) largestRecord() (size int) {
	for _, entry := range w.Store.List(storage.KeyPrefix) {
		size = max(size, len(entry.Value))
	}
	return size
}

// The version in production is replaced while it serves, and the store lowers its limits at
// some moment after that. No rule is broken, a controller of the old version can read all that
// it is given, and nothing that is too large is written for long.
func TestUpgradesUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name      string
		tightenAt float64 // seconds
		lossRate  float64
		inject    func(w *World)
	}{
		{"one after the other", 60, 0, upgradeInTurn},
		{"all at once, and the limits hold as soon as they are back", 24, 0, upgradeAllAtOnce},
		{"a lossy network", 60, 0.03, upgradeInTurn},
		{"one crashes before its turn and comes back old", 60, 0, upgradeWithCrashBefore},
		{"the upgrade stops half-way for a minute", 110, 0, upgradeStopsHalfWay},
		{"all fail as the limits tighten", 52, 0, upgradeAndAllFail},
		{"an outage during the upgrade, and the limits tighten in the next", 64, 0.01, upgradeWithOutages},
		{"a leader is refused, and jobs are cancelled meanwhile", 60, 0, upgradeWithRefusedLeaders},
		{"machines die and hang, preemptions, everything at once", 55, 0.02, upgradeWithEverything},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seedCount(); seed++ {
				w := newUpgradeWorld(t, seed)
				w.MessageLossRate = c.lossRate
				c.inject(w)
				runUpgrade(t, w, seed, c.tightenAt)
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

func upgradeWithCrashBefore(w *World) {
	w.Controllers[2].ScheduleRestart(seconds(24), seconds(2))
	upgradeInTurn(w)
}

func upgradeStopsHalfWay(w *World) {
	w.Controllers[0].Upgrade(seconds(15), seconds(3))
	w.Controllers[1].ScheduleRestart(seconds(40), seconds(2))
	w.Controllers[1].Upgrade(seconds(75), seconds(3))
	w.Controllers[2].Upgrade(seconds(85), seconds(3))
}

func upgradeAndAllFail(w *World) {
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

func upgradeWithRefusedLeaders(w *World) {
	upgradeInTurn(w)
	w.setFlagsBetween(seconds(26), seconds(46), &w.Controllers[0].RefusedByStore)
	w.setFlagsBetween(seconds(70), seconds(90), &w.Controllers[1].RefusedByStore)
	for _, at := range []int{27, 46, 71} {
		w.After(seconds(at), func() { w.cancelRunningJobs(3) })
	}
}

func upgradeWithEverything(w *World) {
	upgradeInTurn(w)
	w.DuplicateHeartbeatRate = 0.1
	for i := range 10 {
		w.After(seconds(18+5*i), func() { w.TerminateMachine(machineID(3 + 4*i)) })
		m := w.Machines[machineID(2+4*i)]
		w.After(seconds(20+6*i), func() { m.Hang(seconds(3 + 3*i)) })
	}
	w.scheduleStoreOutage(57, 7)
	w.Controllers[0].ScheduleRestart(seconds(66), seconds(0.3))
}

// runUpgrade plays the day of an upgrade: jobs of all kinds before the limits tighten and
// while they do, services after that.
func runUpgrade(t *testing.T, w *World, seed uint64, tightenAt float64) {
	t.Helper()
	ids := submitMixedJobs(w, 30)
	big := newArray("j-700000", "l", "standard", 900, 1, 5)
	w.After(seconds(2), func() { w.Submit(big) })
	ids = append(ids, big.ID)
	w.After(seconds(tightenAt), w.tightenLimits)
	var services []protocol.JobID
	for i := range 6 {
		job := newService(protocol.JobID(fmt.Sprintf("j-8%05d", i)), 2+i%4)
		job.SpreadZones = i%2 == 0
		w.After(seconds(tightenAt+2+2*float64(i)), func() { w.Submit(job) })
		services = append(services, job.ID)
	}
	w.Advance(seconds(130))
	w.MessageLossRate, w.DuplicateHeartbeatRate = 0, 0
	w.Rules.FaultsEndedAt = w.Now
	rejected := w.Store.TooLargeTransactions
	w.Advance(seconds(140))
	w.Rules.CheckFinal(w.Now)
	checkUpgrade(t, w, seed, rejected)
	for _, id := range ids {
		if !w.FinishedJobs[id] {
			t.Errorf("seed %d: %s has not ended", seed, id)
		}
	}
	for _, id := range services {
		if job := w.Jobs[id]; !w.Rules.job(id).cancelRequested && w.Rules.runningReplicas(id, job) != job.TaskCount {
			t.Errorf("seed %d: %d of %d replicas of %s are up", seed, w.Rules.runningReplicas(id, job), job.TaskCount, id)
		}
	}
}

// checkUpgrade checks what must hold at the end of each upgrade.
func checkUpgrade(t *testing.T, w *World, seed uint64, rejected int) {
	t.Helper()
	const maxRejected = 12 // as the limits tighten
	checkRules(t, w, seed)
	if w.Store.TooLargeTransactions > rejected {
		t.Errorf("seed %d: %d transactions too large in calm times", seed, w.Store.TooLargeTransactions-rejected)
	}
	if rejected > maxRejected {
		t.Errorf("seed %d: %d transactions too large", seed, rejected)
	}
	if size := w.largestRecord(); size > tightenedLimits.ValueBytes {
		t.Errorf("seed %d: a record of %d bytes is left", seed, size)
	}
	if _, raised := w.Store.entries[storage.FormatKey]; !raised {
		t.Errorf("seed %d: the format was not raised", seed)
	}
}

// While one controller of the version in production may come back, nothing is written
// that it could not read, however long that lasts.
func TestFormatUpgradeWaitsForAllControllers(t *testing.T) {
	w := newUpgradeWorld(t, 3)
	submitMixedJobs(w, 30)
	w.Controllers[0].Upgrade(seconds(20), seconds(2))
	w.Controllers[1].Upgrade(seconds(26), seconds(2))
	w.After(seconds(40), w.Controllers[2].Kill) // before its turn, and for as long as it likes
	w.Advance(seconds(100))
	for _, entry := range w.Store.List(storage.KeyPrefix) {
		if err := checkProductionFormat(entry.Key, entry.Value); err != nil || entry.Key == storage.FormatKey {
			t.Errorf("%s is written while a controller may come back old: %v", entry.Key, err)
		}
	}
	w.Controllers[2].Start()
	w.Advance(seconds(10))
	w.Controllers[2].Upgrade(seconds(1), seconds(1))
	w.After(seconds(8), func() { w.Submit(newArray("j-700001", "l", "standard", 200, 1, 5)) })
	w.Advance(seconds(20))
	packed := 0
	for _, key := range slices.Sorted(maps.Keys(w.Store.entries)) {
		if strings.HasPrefix(key, storage.ShardKey("")) && checkProductionFormat(key, w.Store.entries[key].data) != nil {
			packed++
		}
	}
	if w.Store.entries[storage.FormatKey].data == nil || packed == 0 || len(w.Rules.Violations) > 0 {
		t.Errorf("%d shards are packed, broken: %v", packed, w.Rules.Violations)
	}
}

// Records that nothing asks to change are re-encoded too: a shard that is too large for the new
// limits could not be taken over in one transaction later.
func TestIdleRecordsAreReencoded(t *testing.T) {
	w := newUpgradeWorld(t, 5)
	w.Config.IdleTimeoutFactor = 1000
	w.addSmallMachines(200, "a")
	for i, controller := range w.Controllers {
		controller.Start()
		controller.Upgrade(seconds(30+6*float64(i)), seconds(2))
	}
	w.Advance(seconds(28))
	before := w.largestRecord()
	w.Advance(seconds(32))
	if after := w.largestRecord(); before <= tightenedLimits.ValueBytes || after > tightenedLimits.ValueBytes || len(w.Rules.Violations) > 0 {
		t.Errorf("the largest record takes %d bytes, %d before; broken %v", after, before, w.Rules.Violations)
	}
}
