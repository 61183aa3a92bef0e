package agents

import (
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
	receiveHeartbeat := func(tasks ...protocol.TaskStatus) func(*fixture, *storage.Machine, *MachineState) {
		return func(f *fixture, entry *storage.Machine, _ *MachineState) {
			f.receive(steptest.NewHeartbeat(entry, 1, tasks...))
		}
	}
	cancel := func(f *fixture) { f.cancellations[testJob] = true }
	leaseElapsed := 20 * time.Second

	for _, test := range []struct {
		name          string
		setUp         func(*fixture, *storage.Machine, *MachineState)
		want          bool   // whether the task is requeued
		wantCompleted string // tasks that are recorded as completed
	}{
		{"no heartbeat yet", func(f *fixture, _ *storage.Machine, _ *MachineState) { cancel(f) }, false, ""},
		{"running", receiveHeartbeat(status(attempt, protocol.TaskRunning, "")), false, ""},
		{"absent, start in flight", receiveHeartbeat(), false, ""},
		{"absent, start not sent yet", func(f *fixture, entry *storage.Machine, state *MachineState) {
			receiveHeartbeat()(f, entry, state)
			clear(state.InflightStarts)
		}, false, ""},
		{"absent, cancelled", func(f *fixture, entry *storage.Machine, state *MachineState) {
			cancel(f)
			receiveHeartbeat()(f, entry, state)
		}, true, ""},
		{"absent, cancelled, start in flight", func(f *fixture, entry *storage.Machine, state *MachineState) {
			cancel(f)
			receiveHeartbeat()(f, entry, state)
			state.InflightStarts[task] = attempt
		}, false, ""},
		{"absent from a heartbeat after the start, cancelled",
			func(f *fixture, entry *storage.Machine, _ *MachineState) {
				f.receive(steptest.NewHeartbeat(entry, 1)) // answered with the start
				cancel(f)
				f.receive(steptest.NewHeartbeat(entry, 2))
			}, true, ""},
		{"absent, cancelled, under an earlier owner's token", func(f *fixture, entry *storage.Machine, _ *MachineState) {
			cancel(f)
			heartbeat := steptest.NewHeartbeat(entry, 1)
			heartbeat.FencingToken = (testShardEpoch - 1).FencingToken(9)
			f.receive(heartbeat)
		}, false, ""},
		{"absent, requeued before", func(f *fixture, entry *storage.Machine, state *MachineState) {
			state.revokedAttempts[task] = attempt
			receiveHeartbeat()(f, entry, state)
		}, true, ""},
		{"done", receiveHeartbeat(status(attempt, protocol.TaskExited, protocol.ReasonDone)), true, "0"},
		{"failed", receiveHeartbeat(status(attempt, protocol.TaskExited, protocol.ReasonError)), true, ""},
		{"earlier attempt done",
			receiveHeartbeat(status(attempt-1, protocol.TaskExited, protocol.ReasonDone)), false, ""},
		{"newer agent epoch", func(f *fixture, entry *storage.Machine, _ *MachineState) {
			heartbeat := steptest.NewHeartbeat(entry, 1)
			heartbeat.AgentEpoch++
			f.receive(heartbeat)
		}, true, ""},
		{"lease expired", func(f *fixture, entry *storage.Machine, state *MachineState) {
			receiveHeartbeat(status(attempt, protocol.TaskRunning, ""))(f, entry, state)
			f.advance(3 * time.Second)
			f.tick()
			f.advance(leaseElapsed)
		}, true, ""},
		{"lease expired, heartbeat waits for its response", func(f *fixture, entry *storage.Machine, state *MachineState) {
			receiveHeartbeat(status(attempt, protocol.TaskRunning, ""))(f, entry, state)
			f.advance(3 * time.Second)
			f.tick()
			f.advance(leaseElapsed)
			state.DeferredRequest = 9
		}, false, ""},
		{"lease expired, under an earlier owner's token", func(f *fixture, entry *storage.Machine, _ *MachineState) {
			heartbeat := steptest.NewHeartbeat(entry, 1, status(attempt, protocol.TaskRunning, ""))
			heartbeat.FencingToken = (testShardEpoch - 1).FencingToken(9)
			f.receive(heartbeat)
			f.advance(3 * time.Second)
			f.tick()
			f.advance(leaseElapsed)
		}, false, ""},
		{"termination requested", func(_ *fixture, entry *storage.Machine, _ *MachineState) {
			entry.Record.Terminating = true
		}, false, ""},
		{"termination confirmed", func(f *fixture, _ *storage.Machine, _ *MachineState) {
			f.terminations[testMachine] = true
		}, true, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.putJob(t, `{"d":{"uid":"j-1","shape":"batch","pieces":2,"cores":1}}`)
			record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
			record.Assign(task, attempt)
			entry, state := f.addOwnedMachine(t, record)
			test.setUp(f, entry, state)
			batch := f.commit.ShardWriter.NewBatch(f.Config.TransactionOps)
			f.Reconciler.WriteMachines(batch)
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
