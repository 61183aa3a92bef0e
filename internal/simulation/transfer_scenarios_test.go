package simulation

import (
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/storage"
)

// The scenarios of TestTransfersUnderFaults.

func sourceFailsAsProposed(w *World) {
	w.onEveryTransfer(storage.TransferProposed, 4, func(r storage.TransferRecord) {
		w.controllerOf(r.Source).restartIfAlive(seconds(3))
	})
}

func sourceFailsAsPrepared(w *World) {
	w.onEveryTransfer(storage.TransferPrepared, 4, func(r storage.TransferRecord) {
		w.controllerOf(r.Source).restartIfAlive(seconds(0.2))
	})
}

func sourceStaysAwayAsPrepared(w *World) {
	w.onEveryTransfer(storage.TransferPrepared, 5, func(r storage.TransferRecord) {
		w.controllerOf(r.Source).restartIfAlive(seconds(20))
	})
}

func targetFailsAsPrepared(w *World) {
	w.onEveryTransfer(storage.TransferPrepared, 4, func(r storage.TransferRecord) {
		w.controllerOf(r.Target).restartIfAlive(seconds(4))
	})
}

func targetFailsAsCommitted(w *World) {
	w.onEveryTransfer(storage.TransferCommitted, 4, func(r storage.TransferRecord) {
		w.controllerOf(r.Target).restartIfAlive(seconds(12))
	})
}

func bothFailAsPrepared(w *World) {
	w.onEveryTransfer(storage.TransferPrepared, 6, func(r storage.TransferRecord) {
		w.controllerOf(r.Source).restartIfAlive(seconds(15))
		w.controllerOf(r.Target).restartIfAlive(seconds(18))
	})
}

func bothFailAsCommitted(w *World) {
	w.onEveryTransfer(storage.TransferCommitted, 6, func(r storage.TransferRecord) {
		w.controllerOf(r.Source).restartIfAlive(seconds(15))
		w.controllerOf(r.Target).restartIfAlive(seconds(18))
	})
}

func sourcePausesPastLease(w *World) {
	w.onEveryTransfer(storage.TransferPrepared, 5, func(r storage.TransferRecord) {
		w.controllerOf(r.Source).Pause(seconds(12))
	})
}

func targetPausesPastLease(w *World) {
	w.onEveryTransfer(storage.TransferCommitted, 5, func(r storage.TransferRecord) {
		w.controllerOf(r.Target).Pause(seconds(12))
	})
}

func storeOutageBetweenPhases(w *World) {
	w.onEveryTransfer(storage.TransferPrepared, 6, func(storage.TransferRecord) {
		w.setFlagsFor(seconds(9), &w.Store.Unavailable)
	})
}

func sourceLosesStore(w *World) {
	w.onEveryTransfer(storage.TransferPrepared, 6, func(r storage.TransferRecord) {
		w.setFlagsFor(seconds(15), &w.controllerOf(r.Source).StoreUnreachable)
	})
}

func writeRepliesLost(w *World) {
	w.LostWriteReplyRate = 0.1
}

func writesDelayed(w *World) {
	w.DelayedWriteRate = 0.04
}

func messagesLostAndDuplicated(w *World) {
	w.MessageLossRate, w.DuplicateHeartbeatRate = 0.03, 0.2
}

func peersUnreachableAll(w *World) {
	for _, controller := range w.Controllers {
		controller.PeersUnreachable = true
	}
}

func shardMachinesPreempted(w *World) {
	w.onEveryTransfer(storage.TransferPrepared, 3, func(r storage.TransferRecord) {
		for i, m := range w.shardMachines(r.Shard) {
			switch i % 3 {
			case 0:
				w.PreemptMachine(m, seconds(5))
			case 1:
				w.TerminateMachine(m)
			}
		}
	})
}

func shardMachinesPartitioned(w *World) {
	w.onEveryTransfer(storage.TransferPrepared, 3, func(r storage.TransferRecord) {
		for _, id := range w.shardMachines(r.Shard) {
			w.setFlagsFor(seconds(20), &w.Machines[id].Partitioned)
		}
	})
}

func sourceLosesAgents(w *World) {
	w.onEveryTransfer(storage.TransferPrepared, 8, func(r storage.TransferRecord) {
		w.setFlagsFor(seconds(20), &w.controllerOf(r.Source).AgentsUnreachable)
	})
}

func jobsCancelledAsPrepared(w *World) {
	w.onEveryTransfer(storage.TransferPrepared, 5, func(storage.TransferRecord) {
		w.cancelRunningJobs(3)
	})
}

func jobsCancelledAsCommitted(w *World) {
	w.onEveryTransfer(storage.TransferCommitted, 5, func(storage.TransferRecord) {
		w.cancelRunningJobs(3)
	})
}

func limitsTightenDuringTransfers(w *World) {
	w.restartWithConfig(func(config *step.Config) {
		config.AnnouncedLimits = &step.WriteLimits{WritesPerSecond: 28, TransactionOps: 6, ValueBytes: 2048}
	})
	w.After(seconds(40), func() { w.Store.MaxValueBytes, w.Store.MaxTransactionOperations = 2048, 6 })
}

func oneControllerOfProductionVersion(w *World) {
	w.Controllers[2].replaceVersion(true)
}

func productionVersionTakesTurns(w *World) {
	for i, controller := range w.Controllers {
		w.After(seconds(10+25*i), func() { controller.replaceVersion(true) })
		w.After(seconds(28+25*i), func() { controller.replaceVersion(false) })
	}
}
