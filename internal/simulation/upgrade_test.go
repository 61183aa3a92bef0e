package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"tillerarch/internal/coordination"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// daemon is a standing service.
func daemon(id protocol.JobID, pieces int) *protocol.Job {
	return &protocol.Job{ID: id, Class: "service", Team: "core", Kind: protocol.KindService, Priority: "critical", TaskCount: pieces, Cores: 1, MemoryGB: 1,
		Image: "img-d", ImageGB: 1}
}

// tightened are limits that the state service has from some moment after the upgrade.
var tightened = coordination.WriteLimits{WritesPerSecond: 18, TransactionOps: 4, ValueBytes: 2048}

// upgradeWorld is a deployment in which the version in production runs, with records
// larger than the announced limits allow.
func upgradeWorld(t *testing.T, seed uint64) *World {
	w := mixedWorld(t, seed)
	for i := range 100 {
		w.Machine("small", protocol.Zone([]string{"a", "b"}[i%2]), false, 0)
	}
	w.Config.AnnouncedLimits = &tightened
	w.State.Rate = w.Config.WritesPerSecond
	for _, n := range w.Nodes {
		n.Old = true
		n.Start()
	}
	return w
}

// tighten lets the announced limits hold from now on.
func (w *World) tighten() {
	w.State.Value, w.State.Ops, w.State.Rate = tightened.ValueBytes, tightened.TransactionOps, tightened.WritesPerSecond
}

// largestRecord is the size of the largest value in the state service.
func (w *World) largestRecord() (size int) {
	for _, i := range w.State.Items(storage.KeyPrefix) {
		size = max(size, len(i.Value))
	}
	return size
}

// Days on which the version in production is replaced while it serves, and the state
// service lowers its limits at some moment behind that. Every rule must hold, a
// controller of the old version must be able to read all that it is given, and nothing
// may be written that is too large for long.
func TestUpgradeDays(t *testing.T) {
	inTurn := func(w *World) {
		for i, n := range w.Nodes {
			n.Upgrade(seconds(20+8*float64(i)), seconds(3))
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
			for _, n := range w.Nodes {
				n.Upgrade(seconds(20), seconds(3))
			}
		}},
		{"a lossy network", 60, 0.03, inTurn},
		{"one crashes before its turn and comes back old", 60, 0, func(w *World) {
			w.restart(w.Nodes[2], seconds(24), seconds(2))
			inTurn(w)
		}},
		{"the upgrade stops half-way for a minute", 110, 0, func(w *World) {
			w.Nodes[0].Upgrade(seconds(15), seconds(3))
			w.restart(w.Nodes[1], seconds(40), seconds(2))
			w.Nodes[1].Upgrade(seconds(75), seconds(3))
			w.Nodes[2].Upgrade(seconds(85), seconds(3))
		}},
		{"all end as the limits tighten", 52, 0, func(w *World) {
			inTurn(w)
			for i, n := range w.Nodes {
				w.restart(n, seconds(51.5+0.3*float64(i)), seconds(1+float64(i)))
			}
		}},
		{"an outage during the upgrade, and the limits tighten in the next", 64, 0.01, func(w *World) {
			inTurn(w)
			for _, at := range []float64{25, 60} {
				w.At(seconds(at), func() { w.State.Down = true })
				w.At(seconds(at+9), func() { w.State.Down = false })
			}
		}},
		{"a leader is refused, and jobs are cancelled meanwhile", 60, 0, func(w *World) {
			inTurn(w)
			w.At(seconds(26), func() { w.Nodes[0].Refused = true })
			w.At(seconds(27), func() { w.cancelRunning(3) })
			w.At(seconds(46), func() { w.Nodes[0].Refused = false; w.cancelRunning(3) })
			w.At(seconds(70), func() { w.Nodes[1].Refused = true })
			w.At(seconds(71), func() { w.cancelRunning(3) })
			w.At(seconds(90), func() { w.Nodes[1].Refused = false })
		}},
		{"machines die and hang, reclaims, everything at once", 55, 0.02, func(w *World) {
			inTurn(w)
			w.Copies = 0.1
			for i := range 10 {
				id := protocol.MachineID(fmt.Sprintf("m-%06d", 3+4*i))
				w.At(seconds(18+5*float64(i)), func() { w.Lose(id) })
				m := w.Workers[protocol.MachineID(fmt.Sprintf("m-%06d", 2+4*i))]
				w.At(seconds(20+6*float64(i)), func() { m.Hang(seconds(3 + 3*float64(i))) })
			}
			w.At(seconds(57), func() { w.State.Down = true })
			w.At(seconds(64), func() { w.State.Down = false })
			w.restart(w.Nodes[0], seconds(66), seconds(0.3))
		}},
	} {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seeds(); seed++ {
				w := upgradeWorld(t, seed)
				w.Drop = day.drop
				day.trouble(w)
				playUpgrade(t, w, seed, day.tighten)
			}
		})
	}
}

// playUpgrade plays an upgrade day: all kinds of jobs before and while the limits
// tighten, daemons behind that.
func playUpgrade(t *testing.T, w *World, seed uint64, tighten float64) {
	ids := submitMix(w, 30)
	big := array("j-700000", "l", "standard", 900, 1, 5)
	w.At(seconds(2), func() { w.Submit(big) })
	ids = append(ids, big.ID)
	w.At(seconds(tighten), w.tighten)
	var services []protocol.JobID
	for i := range 6 {
		d := daemon(protocol.JobID(fmt.Sprintf("j-8%05d", i)), 2+i%4)
		d.SpreadZones = i%2 == 0
		w.At(seconds(tighten+2+2*float64(i)), func() { w.Submit(d) })
		services = append(services, d.ID)
	}
	w.Run(seconds(130))
	w.Drop, w.Copies = 0, 0
	w.Rules.Calm = w.Now
	refused := w.State.Over
	w.Run(seconds(140))
	w.Rules.End(w.Now)
	checkUpgraded(t, w, seed, refused)
	for _, id := range ids {
		if !w.Done[id] {
			t.Errorf("seed %d: %s has not come to its end", seed, id)
		}
	}
	for _, id := range services {
		if d := w.Jobs[id]; !w.Rules.job(id).wanted && w.Rules.replicas(id, d) != d.TaskCount {
			t.Errorf("seed %d: %d of %d replicas of %s are up", seed, w.Rules.replicas(id, d), d.TaskCount, id)
		}
	}
}

// checkUpgraded checks what must hold at the end of each upgrade.
func checkUpgraded(t *testing.T, w *World, seed uint64, refused int) {
	t.Helper()
	if len(w.Rules.Broken) > 0 {
		t.Errorf("seed %d: %d rules broken:\n%s", seed, len(w.Rules.Broken), strings.Join(w.Rules.Broken[:min(5, len(w.Rules.Broken))], "\n"))
	}
	if w.State.Over > refused {
		t.Errorf("seed %d: %d transactions too large in calm times", seed, w.State.Over-refused)
	}
	if refused > 12 {
		t.Errorf("seed %d: %d transactions too large", seed, refused)
	}
	if size := w.largestRecord(); size > tightened.ValueBytes {
		t.Errorf("seed %d: a record of %d bytes is left", seed, size)
	}
	format := slices.ContainsFunc(w.State.Items(storage.KeyPrefix), func(i protocol.Entry) bool { return i.Key == storage.FormatKey })
	if !format {
		t.Errorf("seed %d: the format was not raised", seed)
	}
}

// While one controller of the version in production may come back, nothing is written
// that it could not read, however long that lasts.
func TestFormatWaitsForAll(t *testing.T) {
	w := upgradeWorld(t, 3)
	submitMix(w, 30)
	w.Nodes[0].Upgrade(seconds(20), seconds(2))
	w.Nodes[1].Upgrade(seconds(26), seconds(2))
	w.At(seconds(40), w.Nodes[2].Kill) // it is away before its turn, for as long as it likes
	w.Run(seconds(100))
	for _, i := range w.State.Items(storage.KeyPrefix) {
		if err := oldFormat(i.Key, i.Value); err != nil || i.Key == storage.FormatKey {
			t.Errorf("%s is written while a controller may come back old: %v", i.Key, err)
		}
	}
	w.Nodes[2].Start()
	w.Run(seconds(10))
	w.Nodes[2].Upgrade(seconds(1), seconds(1))
	w.At(seconds(8), func() { w.Submit(array("j-700001", "l", "standard", 200, 1, 5)) })
	w.Run(seconds(20))
	packed := 0
	for _, key := range slices.Sorted(maps.Keys(w.State.items)) {
		if strings.HasPrefix(key, storage.ShardKey("")) && oldFormat(key, w.State.items[key].data) != nil {
			packed++
		}
	}
	if w.State.items[storage.FormatKey].data == nil || packed == 0 || len(w.Rules.Broken) > 0 {
		t.Errorf("%d pages are packed, broken: %v", packed, w.Rules.Broken)
	}
}

// Records that nothing asks to change are made smaller too: a page that is too large for
// the new limits could not be taken over in one piece later.
func TestIdleRecordsAreRepacked(t *testing.T) {
	w := upgradeWorld(t, 5)
	w.Config.IdleTimeoutFactor = 1000
	for range 200 {
		w.Machine("small", "a", false, 0)
	}
	for i, n := range w.Nodes {
		n.Start()
		n.Upgrade(seconds(30+6*float64(i)), seconds(2))
	}
	w.Run(seconds(28))
	before := w.largestRecord()
	w.Run(seconds(32))
	if after := w.largestRecord(); before <= tightened.ValueBytes || after > tightened.ValueBytes || len(w.Rules.Broken) > 0 {
		t.Errorf("the largest record takes %d bytes, %d before; broken %v", after, before, w.Rules.Broken)
	}
}
