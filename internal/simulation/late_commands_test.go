package simulation

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
)

// backWithinASecond restarts the busiest controller every few seconds, which is back before its lease ends, and
// reboots a share of the machines just before that.
func backWithinASecond(rebootedShare float64) func(*World) {
	return func(w *World) {
		for at := seconds(8); at < faultsEnd-seconds(5); at += seconds(7) {
			w.After(at, func() {
				for _, machine := range w.randomMachines(rebootedShare) {
					machine.Reboot()
				}
			})
			w.After(at+300*time.Millisecond, func() { w.restartBusiestController(200 * time.Millisecond) })
		}
		w.Every(seconds(9), func() { w.cancelRunningJobs(1) })
	}
}

// moveAndCancel moves tasks by hangs, partitions and announced preemptions, and cancels jobs meanwhile.
func moveAndCancel(w *World) {
	for at := seconds(8); at < faultsEnd-seconds(25); at += seconds(9) {
		w.After(at, func() {
			for _, machine := range w.randomMachines(0.2) {
				machine.Hang(seconds(16)) // longer than the agent's lease
			}
			w.partitionMachines(0.2, seconds(6))
		})
		w.After(at+seconds(1), func() { w.cancelRunningJobs(2) })
	}
}

// transferAndCancel transfers shards to and fro, and cancels jobs meanwhile.
func transferAndCancel(w *World) {
	w.restartWithConfig(func(config *step.Config) { config.RecordTransfers = true })
	for i := range 4 {
		at := 10 + 22*float64(i)
		id := w.Controllers[i%2].ID
		w.setDrainAt(at, id, true)
		w.setDrainAt(at+11, id, false)
	}
	w.Every(seconds(8), func() { w.cancelRunningJobs(1) })
}

// TestRepeatedCommands lets commands that were carried out and answered reach their agents once more, while
// controllers and machines are back within a second and tasks are moved and cancelled. No task may start again
// by such a copy: a direct call may carry stops only (Machine.checkDirectCommands), and an agent takes a
// reply only for the heartbeat that waits for it.
func TestRepeatedCommands(t *testing.T) {
	for _, test := range []struct {
		name   string
		inject func(w *World)
	}{
		{"controllers are back within a second", backWithinASecond(0)},
		{"machines and controllers are back within a second", backWithinASecond(0.3)},
		{"tasks are moved and cancelled", moveAndCancel},
		{"shards are transferred and jobs cancelled", transferAndCancel},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			repeatedCommands := 0
			for seed := uint64(1); seed <= seedCount(); seed++ {
				var world *World
				runFaultCombination(t, seed, func(w *World) {
					world = w
					w.RepeatedCommandRate, w.DuplicateHeartbeatRate = 1, 0.3
					test.inject(w)
				})
				repeatedCommands += world.RepeatedCommands
			}
			if repeatedCommands == 0 {
				t.Error("no agent executed a command once more, so nothing was tested")
			}
		})
	}
}
