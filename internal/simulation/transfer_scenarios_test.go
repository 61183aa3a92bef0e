package simulation

import (
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/storage"
)

// This file holds the scenarios of TestTransfersUnderFaults. Each function injects the faults of one
// scenario into a world.

func sourceFailsAfterProposal(w *World) {
	w.onEveryNthTransfer(storage.TransferProposed, 4, func(record storage.TransferRecord) {
		w.controllerOf(record.Source).restartIfAlive(seconds(3))
	})
}

func sourceFailsAfterPreparation(w *World) {
	w.onEveryNthTransfer(storage.TransferPrepared, 4, func(record storage.TransferRecord) {
		w.controllerOf(record.Source).restartIfAlive(seconds(0.2))
	})
}

func sourceStaysDownAfterPreparation(w *World) {
	w.onEveryNthTransfer(storage.TransferPrepared, 5, func(record storage.TransferRecord) {
		w.controllerOf(record.Source).restartIfAlive(seconds(20))
	})
}

func targetFailsAfterPreparation(w *World) {
	w.onEveryNthTransfer(storage.TransferPrepared, 4, func(record storage.TransferRecord) {
		w.controllerOf(record.Target).restartIfAlive(seconds(4))
	})
}

func targetFailsAfterCommit(w *World) {
	w.onEveryNthTransfer(storage.TransferCommitted, 4, func(record storage.TransferRecord) {
		w.controllerOf(record.Target).restartIfAlive(seconds(12))
	})
}

func bothFailAfterPreparation(w *World) {
	w.onEveryNthTransfer(storage.TransferPrepared, 6, func(record storage.TransferRecord) {
		w.controllerOf(record.Source).restartIfAlive(seconds(15))
		w.controllerOf(record.Target).restartIfAlive(seconds(18))
	})
}

func bothFailAfterCommit(w *World) {
	w.onEveryNthTransfer(storage.TransferCommitted, 6, func(record storage.TransferRecord) {
		w.controllerOf(record.Source).restartIfAlive(seconds(15))
		w.controllerOf(record.Target).restartIfAlive(seconds(18))
	})
}

func sourcePausesPastLease(w *World) {
	w.onEveryNthTransfer(storage.TransferPrepared, 5, func(record storage.TransferRecord) {
		w.controllerOf(record.Source).Pause(seconds(12))
	})
}

func targetPausesPastLease(w *World) {
	w.onEveryNthTransfer(storage.TransferCommitted, 5, func(record storage.TransferRecord) {
		w.controllerOf(record.Target).Pause(seconds(12))
	})
}

func storeOutageBetweenPhases(w *World) {
	w.onEveryNthTransfer(storage.TransferPrepared, 6, func(storage.TransferRecord) {
		w.setFlagsFor(seconds(9), &w.Store.Unavailable)
	})
}

func sourceLosesStore(w *World) {
	w.onEveryNthTransfer(storage.TransferPrepared, 6, func(record storage.TransferRecord) {
		w.setFlagsFor(seconds(15), &w.controllerOf(record.Source).StoreUnreachable)
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

func allPeersUnreachable(w *World) {
	for _, controller := range w.Controllers {
		controller.PeersUnreachable = true
	}
}

func shardMachinesPreemptedOrTerminated(w *World) {
	w.onEveryNthTransfer(storage.TransferPrepared, 3, func(record storage.TransferRecord) {
		for i, id := range w.shardMachines(record.Shard) {
			switch i % 3 {
			case 0:
				w.PreemptMachine(id, seconds(5))
			case 1:
				w.TerminateMachine(id)
			}
		}
	})
}

func shardMachinesPartitioned(w *World) {
	w.onEveryNthTransfer(storage.TransferPrepared, 3, func(record storage.TransferRecord) {
		for _, id := range w.shardMachines(record.Shard) {
			w.setFlagsFor(seconds(20), &w.Machines[id].Partitioned)
		}
	})
}

func sourceLosesAgents(w *World) {
	w.onEveryNthTransfer(storage.TransferPrepared, 8, func(record storage.TransferRecord) {
		w.setFlagsFor(seconds(20), &w.controllerOf(record.Source).AgentsUnreachable)
	})
}

func jobsCancelledAfterPreparation(w *World) {
	w.onEveryNthTransfer(storage.TransferPrepared, 5, func(storage.TransferRecord) {
		w.cancelRunningJobs(3)
	})
}

func jobsCancelledAfterCommit(w *World) {
	w.onEveryNthTransfer(storage.TransferCommitted, 5, func(storage.TransferRecord) {
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
