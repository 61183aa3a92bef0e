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

// newService is a standing service.
func newService(id protocol.JobID, tasks int) *protocol.Job {
	return &protocol.Job{ID: id, Class: "service", Team: "core", Kind: protocol.KindService, Priority: "critical", TaskCount: tasks, Cores: 1, MemoryGB: 1,
		Image: "img-d", ImageGB: 1}
}

// tightenedLimits are limits that the state service has from some moment after the upgrade.
var tightenedLimits = step.WriteLimits{WritesPerSecond: 18, TransactionOps: 4, ValueBytes: 2048}

// newUpgradeWorld is a deployment in which the version in production runs, with records
// larger than the announced limits allow.
func newUpgradeWorld(t *testing.T, seed uint64) *World {
	w := newMixedWorld(t, seed)
	for i := range 100 {
		w.AddMachine("small", protocol.Zone([]string{"a", "b"}[i%2]), false, 0)
	}
	w.Config.AnnouncedLimits = &tightenedLimits
	w.Store.WriteRate = w.Config.WritesPerSecond
	for _, controller := range w.Controllers {
		controller.RunsProductionVersion = true
		controller.Start()
	}
	return w
}

// tightenLimits lets the announced limits hold from now on.
func (w *World) tightenLimits() {
	w.Store.MaxValueBytes, w.Store.MaxOperations, w.Store.WriteRate = tightenedLimits.ValueBytes, tightenedLimits.TransactionOps, tightenedLimits.WritesPerSecond
}

// largestRecord is the size of the largest value in the state service.
func (w *World) largestRecord() (size int) {
	for _, i := range w.Store.List(storage.KeyPrefix) {
		size = max(size, len(i.Value))
	}
	return size
}

// Days on which the version in production is replaced while it serves, and the state
// service lowers its limits at some moment behind that. Every rule must hold, a
// controller of the old version must be able to read all that it is given, and nothing
// may be written that is too large for long.
func TestUpgradesUnderFaults(t *testing.T) {
	inTurn := func(w *World) {
		for i, controller := range w.Controllers {
			controller.Upgrade(seconds(20+8*float64(i)), seconds(3))
		}
	}
	for _, day := range []struct {
		name    string
		tighten float64 // seconds
		drop    float64
		trouble func(w *World)
	}{
		{"one after the other", 60, 0, inTurn},
		{"all at once, and the limits hold as soon as they are back", 24, 0, func(w *World) {
			for _, controller := range w.Controllers {
				controller.Upgrade(seconds(20), seconds(3))
			}
		}},
		{"a lossy network", 60, 0.03, inTurn},
		{"one crashes before its turn and comes back old", 60, 0, func(w *World) {
			w.Controllers[2].ScheduleRestart(seconds(24), seconds(2))
			inTurn(w)
		}},
		{"the upgrade stops half-way for a minute", 110, 0, func(w *World) {
			w.Controllers[0].Upgrade(seconds(15), seconds(3))
			w.Controllers[1].ScheduleRestart(seconds(40), seconds(2))
			w.Controllers[1].Upgrade(seconds(75), seconds(3))
			w.Controllers[2].Upgrade(seconds(85), seconds(3))
		}},
		{"all end as the limits tighten", 52, 0, func(w *World) {
			inTurn(w)
			for i, controller := range w.Controllers {
				controller.ScheduleRestart(seconds(51.5+0.3*float64(i)), seconds(1+float64(i)))
			}
		}},
		{"an outage during the upgrade, and the limits tighten in the next", 64, 0.01, func(w *World) {
			inTurn(w)
			for _, at := range []float64{25, 60} {
				w.After(seconds(at), func() { w.Store.Unavailable = true })
				w.After(seconds(at+9), func() { w.Store.Unavailable = false })
			}
		}},
		{"a leader is refused, and jobs are cancelled meanwhile", 60, 0, func(w *World) {
			inTurn(w)
			w.After(seconds(26), func() { w.Controllers[0].RefusedByStore = true })
			w.After(seconds(27), func() { w.cancelRunningJobs(3) })
			w.After(seconds(46), func() { w.Controllers[0].RefusedByStore = false; w.cancelRunningJobs(3) })
			w.After(seconds(70), func() { w.Controllers[1].RefusedByStore = true })
			w.After(seconds(71), func() { w.cancelRunningJobs(3) })
			w.After(seconds(90), func() { w.Controllers[1].RefusedByStore = false })
		}},
		{"machines die and hang, reclaims, everything at once", 55, 0.02, func(w *World) {
			inTurn(w)
			w.DuplicateHeartbeatRate = 0.1
			for i := range 10 {
				id := protocol.MachineID(fmt.Sprintf("m-%06d", 3+4*i))
				w.After(seconds(18+5*float64(i)), func() { w.TerminateMachine(id) })
				m := w.Machines[protocol.MachineID(fmt.Sprintf("m-%06d", 2+4*i))]
				w.After(seconds(20+6*float64(i)), func() { m.Hang(seconds(3 + 3*float64(i))) })
			}
			w.After(seconds(57), func() { w.Store.Unavailable = true })
			w.After(seconds(64), func() { w.Store.Unavailable = false })
			w.Controllers[0].ScheduleRestart(seconds(66), seconds(0.3))
		}},
	} {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seedCount(); seed++ {
				w := newUpgradeWorld(t, seed)
				w.MessageLossRate = day.drop
				day.trouble(w)
				runUpgrade(t, w, seed, day.tighten)
			}
		})
	}
}

// runUpgrade plays an upgrade day: all kinds of jobs before and while the limits
// tighten, daemons behind that.
func runUpgrade(t *testing.T, w *World, seed uint64, tighten float64) {
	ids := submitMixedJobs(w, 30)
	big := newArray("j-700000", "l", "standard", 900, 1, 5)
	w.After(seconds(2), func() { w.Submit(big) })
	ids = append(ids, big.ID)
	w.After(seconds(tighten), w.tightenLimits)
	var services []protocol.JobID
	for i := range 6 {
		job := newService(protocol.JobID(fmt.Sprintf("j-8%05d", i)), 2+i%4)
		job.SpreadZones = i%2 == 0
		w.After(seconds(tighten+2+2*float64(i)), func() { w.Submit(job) })
		services = append(services, job.ID)
	}
	w.Advance(seconds(130))
	w.MessageLossRate, w.DuplicateHeartbeatRate = 0, 0
	w.Rules.FaultsEndedAt = w.Now
	rejected := w.Store.RejectedTooLarge
	w.Advance(seconds(140))
	w.Rules.CheckFinal(w.Now)
	checkUpgrade(t, w, seed, rejected)
	for _, id := range ids {
		if !w.FinishedJobs[id] {
			t.Errorf("seed %d: %s has not come to its end", seed, id)
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
	if len(w.Rules.Violations) > 0 {
		t.Errorf("seed %d: %d rules broken:\n%s", seed, len(w.Rules.Violations), strings.Join(w.Rules.Violations[:min(5, len(w.Rules.Violations))], "\n"))
	}
	if w.Store.RejectedTooLarge > rejected {
		t.Errorf("seed %d: %d transactions too large in calm times", seed, w.Store.RejectedTooLarge-rejected)
	}
	if rejected > 12 {
		t.Errorf("seed %d: %d transactions too large", seed, rejected)
	}
	if size := w.largestRecord(); size > tightenedLimits.ValueBytes {
		t.Errorf("seed %d: a record of %d bytes is left", seed, size)
	}
	format := slices.ContainsFunc(w.Store.List(storage.KeyPrefix), func(i protocol.Entry) bool { return i.Key == storage.FormatKey })
	if !format {
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
	w.After(seconds(40), w.Controllers[2].Kill) // it is away before its turn, for as long as it likes
	w.Advance(seconds(100))
	for _, i := range w.Store.List(storage.KeyPrefix) {
		if err := checkProductionFormat(i.Key, i.Value); err != nil || i.Key == storage.FormatKey {
			t.Errorf("%s is written while a controller may come back old: %v", i.Key, err)
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
		t.Errorf("%d pages are packed, broken: %v", packed, w.Rules.Violations)
	}
}

// Records that nothing asks to change are made smaller too: a page that is too large for
// the new limits could not be taken over in one piece later.
func TestIdleRecordsAreReencoded(t *testing.T) {
	w := newUpgradeWorld(t, 5)
	w.Config.IdleTimeoutFactor = 1000
	for range 200 {
		w.AddMachine("small", "a", false, 0)
	}
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
