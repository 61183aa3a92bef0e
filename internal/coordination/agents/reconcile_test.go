package agents

import (
	"slices"
	"testing"
	"time"

	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TestRequeueOnlyOnProof checks that an assigned task is requeued only with proof that it does not run
// on the machine and will not start there. Without proof, the task could run twice.
func TestRequeueOnlyOnProof(t *testing.T) {
	const attempt = protocol.Attempt(5)
	task := protocol.Task{Job: testJob}
	status := func(
		statusAttempt protocol.Attempt, taskState protocol.TaskState, reason protocol.Reason,
	) protocol.TaskStatus {
		return protocol.TaskStatus{Task: task, Attempt: statusAttempt, State: taskState, Reason: reason}
	}
	receiveHeartbeat := func(tasks ...protocol.TaskStatus) func(*agentsFixture, *storage.Machine, *MachineState) {
		return func(fixture *agentsFixture, entry *storage.Machine, _ *MachineState) {
			fixture.receive(steptest.NewHeartbeat(entry, 1, tasks...))
		}
	}
	cancel := func(fixture *agentsFixture) { fixture.cancellations[testJob] = true }
	leaseElapsed := 20 * time.Second

	for _, test := range []struct {
		name          string
		setUp         func(*agentsFixture, *storage.Machine, *MachineState)
		want          bool   // whether the task is requeued
		wantCompleted string // tasks that are recorded as completed
	}{
		{"no heartbeat yet", func(fixture *agentsFixture, _ *storage.Machine, _ *MachineState) { cancel(fixture) }, false, ""},
		{"running", receiveHeartbeat(status(attempt, protocol.TaskRunning, "")), false, ""},
		{"absent, start in flight", receiveHeartbeat(), false, ""},
		{"absent, start not sent yet", func(fixture *agentsFixture, entry *storage.Machine, state *MachineState) {
			receiveHeartbeat()(fixture, entry, state)
			clear(state.InflightStarts)
		}, false, ""},
		{"absent, cancelled", func(fixture *agentsFixture, entry *storage.Machine, state *MachineState) {
			cancel(fixture)
			receiveHeartbeat()(fixture, entry, state)
		}, true, ""},
		{"absent, cancelled, start in flight", func(fixture *agentsFixture, entry *storage.Machine, state *MachineState) {
			cancel(fixture)
			receiveHeartbeat()(fixture, entry, state)
			state.InflightStarts[task] = attempt
		}, false, ""},
		{"absent from a heartbeat after the start, cancelled",
			func(fixture *agentsFixture, entry *storage.Machine, _ *MachineState) {
				fixture.receive(steptest.NewHeartbeat(entry, 1)) // answered with the start
				cancel(fixture)
				fixture.receive(steptest.NewHeartbeat(entry, 2))
			}, true, ""},
		{"absent, cancelled, under an earlier owner's token", func(fixture *agentsFixture, entry *storage.Machine, _ *MachineState) {
			cancel(fixture)
			heartbeat := steptest.NewHeartbeat(entry, 1)
			heartbeat.FencingToken = (testShardEpoch - 1).FencingToken(9)
			fixture.receive(heartbeat)
		}, false, ""},
		{"absent, requeued before", func(fixture *agentsFixture, entry *storage.Machine, state *MachineState) {
			state.revokedAttempts[task] = attempt
			receiveHeartbeat()(fixture, entry, state)
		}, true, ""},
		{"done", receiveHeartbeat(status(attempt, protocol.TaskExited, protocol.ReasonDone)), true, "0"},
		{"failed", receiveHeartbeat(status(attempt, protocol.TaskExited, protocol.ReasonError)), true, ""},
		{"earlier attempt done",
			receiveHeartbeat(status(attempt-1, protocol.TaskExited, protocol.ReasonDone)), false, ""},
		{"newer agent epoch", func(fixture *agentsFixture, entry *storage.Machine, _ *MachineState) {
			heartbeat := steptest.NewHeartbeat(entry, 1)
			heartbeat.AgentEpoch++
			fixture.receive(heartbeat)
		}, true, ""},
		{"lease expired", func(fixture *agentsFixture, entry *storage.Machine, state *MachineState) {
			receiveHeartbeat(status(attempt, protocol.TaskRunning, ""))(fixture, entry, state)
			fixture.advance(3 * time.Second)
			fixture.tick()
			fixture.advance(leaseElapsed)
		}, true, ""},
		{"lease expired, heartbeat waits for its response", func(fixture *agentsFixture, entry *storage.Machine, state *MachineState) {
			receiveHeartbeat(status(attempt, protocol.TaskRunning, ""))(fixture, entry, state)
			fixture.advance(3 * time.Second)
			fixture.tick()
			fixture.advance(leaseElapsed)
			state.DeferredRequest = 9
		}, false, ""},
		{"lease expired, under an earlier owner's token", func(fixture *agentsFixture, entry *storage.Machine, _ *MachineState) {
			heartbeat := steptest.NewHeartbeat(entry, 1, status(attempt, protocol.TaskRunning, ""))
			heartbeat.FencingToken = (testShardEpoch - 1).FencingToken(9)
			fixture.receive(heartbeat)
			fixture.advance(3 * time.Second)
			fixture.tick()
			fixture.advance(leaseElapsed)
		}, false, ""},
		{"termination requested", func(_ *agentsFixture, entry *storage.Machine, _ *MachineState) {
			entry.Record.Terminating = true
		}, false, ""},
		{"termination confirmed", func(fixture *agentsFixture, _ *storage.Machine, _ *MachineState) {
			fixture.terminations[testMachine] = true
		}, true, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.putJob(t, `{"d":{"uid":"j-1","shape":"batch","pieces":2,"cores":1}}`)
			record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
			record.Assign(task, attempt)
			entry, state := fixture.addOwnedMachine(t, record)
			test.setUp(fixture, entry, state)
			batch := fixture.commit.ShardWriter.NewBatch(fixture.Config.TransactionOps)
			fixture.Reconciler.WriteMachines(batch)
			isRequeued := batch.RemovesMachine(testMachine) || len(batch.MachineRecord(testMachine).Assignments) == 0
			if isRequeued != test.want {
				t.Errorf("task requeued: %v, want the opposite", isRequeued)
			}
			if got := writtenCompletedTasks(t, batch.Transaction()); got != test.wantCompleted {
				t.Errorf("tasks recorded as completed: %q, want wantCompleted of the case", got)
			}
		})
	}
}

// TestLostJobs checks that the record of a machine keeps the jobs of the tasks that were requeued because the
// agent's lease expired, until the agent has begun another epoch. Before the fix the record forgot that a task
// may still be on a machine that hangs, and with it the time limit for a cancelled one.
func TestLostJobs(t *testing.T) {
	fixture := newFixture(t)
	fixture.putJob(t, `{"d":{"uid":"j-1","shape":"batch","pieces":2,"cores":1}}`)
	record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
	record.Assign(protocol.Task{Job: testJob}, 5)
	entry, _ := fixture.addOwnedMachine(t, record)
	fixture.receive(steptest.NewHeartbeat(entry, 1,
		protocol.TaskStatus{Task: protocol.Task{Job: testJob}, Attempt: 5, State: protocol.TaskRunning}))
	fixture.advance(3 * time.Second)
	fixture.tick()
	fixture.advance(20 * time.Second)
	reconcile := func() *storage.MachineRecord {
		batch := fixture.commit.ShardWriter.NewBatch(fixture.Config.TransactionOps)
		fixture.Reconciler.WriteMachines(batch)
		return batch.MachineRecord(testMachine)
	}
	expired := reconcile()
	if !slices.Equal(expired.LostJobs, []protocol.JobID{testJob}) || len(expired.Assignments) > 0 {
		t.Errorf("after the lease: lost jobs %v, assignments %v, want job %s lost", expired.LostJobs, expired.Assignments, testJob)
	}
	fixture.Put(t, storage.ShardKey(expired.Shard),
		storage.EncodePlainShard(expired.Owner, expired.ShardEpoch, []string{expired.EncodeLine(testMachine)}, nil), 90)
	heartbeat := steptest.NewHeartbeat(fixture.Replica.Machines[testMachine], 9)
	heartbeat.AgentEpoch++
	fixture.receive(heartbeat)
	if continued := reconcile(); len(continued.LostJobs) > 0 {
		t.Errorf("in the next agent epoch: lost jobs %v, want none", continued.LostJobs)
	}
}

// writtenCompletedTasks returns the tasks of the job that a transaction records as completed.
func writtenCompletedTasks(t *testing.T, transaction protocol.Transaction) string {
	t.Helper()
	written := storage.NewReplica()
	for _, operation := range transaction.Operations {
		if operation.PutKey == "" {
			continue
		}
		if _, err := written.Put(operation.PutKey, operation.Value, 1); err != nil {
			t.Fatal(err)
		}
	}
	return written.CompletedTasks(testJob).String()
}
