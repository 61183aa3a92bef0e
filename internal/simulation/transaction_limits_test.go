package simulation

import (
	"fmt"
	"testing"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// newLargeMachineWorld returns a deployment with three controllers and the given number of large machines in
// zone a, with a limit of operations in a transaction. The cloud has no more machines.
func newLargeMachineWorld(seed uint64, machineCount, transactionOps int) *World {
	w := NewWorld(seed, 3, testMachineTypes[1:], testTeams())
	w.CloudOutOfCapacity = true
	w.Store.MaxTransactionOperations = transactionOps
	w.restartWithConfig(func(config *step.Config) {
		config.TransactionOps = transactionOps
		config.IdleTimeoutFactor = 100
	})
	for range machineCount {
		w.AddMachine("large", "a", false, 0)
	}
	return w
}

// backlogJob returns the i-th job of a backlog of jobs of one task each, of all kinds.
func backlogJob(i int) *protocol.Job {
	job := newArray(protocol.JobID(fmt.Sprintf("j-71%04d", i)), "backlog", "standard", 1, 0.25, 5)
	switch i % 5 {
	case 1:
		job.Kind = protocol.KindGang
	case 2:
		job.Team = "tight"
	case 3:
		job.Priority, job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds = "high", 3, 1
	}
	return job
}

// TestBacklogFitsTransactions lets many waiting jobs fit on machines of one shard at once, under every limit
// of operations in a transaction. All end, and no controller builds a transaction that exceeds the limits.
// Before the fix a placement in a shard that the batch changed already was always granted, each with one
// more condition, so that the owner of the jobs built the same oversized transaction again and again.
func TestBacklogFitsTransactions(t *testing.T) {
	for _, transactionOps := range []int{2, 3, 4, 8, 24, 100} {
		t.Run(fmt.Sprint(transactionOps), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seedCount(); seed++ {
				w := newLargeMachineWorld(seed, 2, transactionOps)
				w.traceLogsTo(t)
				blocker := newArray("j-700000", "blocker", "critical", 2, 32, 30)
				w.After(seconds(3), func() { w.Submit(blocker) })
				ids := []protocol.JobID{blocker.ID}
				for i := range 240 {
					job := backlogJob(i)
					ids = append(ids, job.ID)
					w.After(seconds(14+0.1*float64(i)), func() { w.Submit(job) })
					if i%7 == 3 {
						w.After(seconds(30+0.2*float64(i)), func() { w.Cancel(job.ID) })
					}
				}
				service := newService("j-720000", 3)
				w.After(seconds(30), func() { w.Submit(service) })
				w.Rules.FaultsEndedAt = seconds(60)
				w.Advance(seconds(200))
				checkRules(t, w, seed)
				checkNoTransactionTooLarge(t, w, seed)
				checkJobsEnded(t, w, seed, ids)
			}
		})
	}
}
