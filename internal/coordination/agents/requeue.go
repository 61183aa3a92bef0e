package agents

import (
	"log/slog"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// requeueExpired requeues all tasks of a machine whose agent's lease has expired, and cordons the machine. The
// tasks cannot continue, so they may run elsewhere. They remain on a machine that hangs until it continues, so
// the record keeps their jobs, of which any may be cancelled until then.
func (r *Reconciler) requeueExpired(batch *commit.Batch, state *MachineState) {
	if !batch.HasCapacity(batch.OpsNeeded(state.ID)) {
		return
	}
	updated := batch.MutableMachine(state.ID)
	for i := range updated.Assignments {
		updated.AddLostJob(updated.Assignments[i].Job)
	}
	r.requeueAll(batch, state, updated, "agent lease expired")
	updated.Cordoned = true
}

// requeueAll requeues all tasks of a machine.
func (r *Reconciler) requeueAll(
	batch *commit.Batch, state *MachineState, record *storage.MachineRecord, reason string,
) {
	for _, assignment := range record.Assignments {
		assignment.Tasks.Each(func(index int) bool {
			r.revoke(batch, state, protocol.Task{Job: assignment.Job, Index: index}, assignment.Attempt)
			return true
		})
		batch.Log(slog.LevelInfo, "tasks requeued", "machine", string(state.ID), "job", string(assignment.Job),
			"tasks", assignment.Tasks.String(), "reason", reason)
	}
	record.Assignments = nil
}

// requeue unassigns one task from a machine, so that it can be placed again.
func (r *Reconciler) requeue(batch *commit.Batch, state *MachineState, task protocol.Task, attempt protocol.Attempt) {
	batch.MutableMachine(state.ID).Unassign(task)
	r.revoke(batch, state, task, attempt)
}

// revoke prevents the attempt of a requeued task from being started again. It does so before the
// transaction is sent, because the transaction may be applied without this controller ever learning
// its outcome.
func (r *Reconciler) revoke(batch *commit.Batch, state *MachineState, task protocol.Task, attempt protocol.Attempt) {
	state.revokedAttempts[task] = attempt
	batch.OnSend(func() { delete(state.stopRequests, task) })
}
