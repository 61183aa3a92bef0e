package agents

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// An assigned task is taken back only on proof that it does not run on the machine and will not
// start there.
func TestRequeueOnlyOnProof(t *testing.T) {
	const attempt = protocol.Attempt(5)
	task := protocol.Task{Job: testJob}
	status := func(a protocol.Attempt, s protocol.TaskState, reason protocol.Reason) protocol.TaskStatus {
		return protocol.TaskStatus{Task: task, Attempt: a, State: s, Reason: reason}
	}
	show := func(tasks ...protocol.TaskStatus) func(*fixture, *storage.Machine, *MachineState) {
		return func(f *fixture, e *storage.Machine, _ *MachineState) {
			f.receive(steptest.NewHeartbeat(e, 1, tasks...))
		}
	}
	cancel := func(f *fixture) { f.cancellations[testJob] = true }
	leasePassed := 20 * time.Second

	for _, c := range []struct {
		name     string
		arrange  func(*fixture, *storage.Machine, *MachineState)
		want     bool // taken back
		wantDone string
	}{
		{"no heartbeat yet", func(f *fixture, _ *storage.Machine, _ *MachineState) { cancel(f) }, false, ""},
		{"runs", show(status(attempt, protocol.TaskRunning, "")), false, ""},
		{"not there, its start is in flight", show(), false, ""},
		{"not there, its start is still to be sent", func(f *fixture, e *storage.Machine, m *MachineState) {
			show()(f, e, m)
			clear(m.InflightStarts)
		}, false, ""},
		{"not there, and cancelled", func(f *fixture, e *storage.Machine, m *MachineState) {
			cancel(f)
			show()(f, e, m)
		}, true, ""},
		{"not there, cancelled, its start is in flight", func(f *fixture, e *storage.Machine, m *MachineState) {
			cancel(f)
			show()(f, e, m)
			m.InflightStarts[task] = attempt
		}, false, ""},
		{"not there, cancelled, a heartbeat after its start lacks it", func(f *fixture, e *storage.Machine, _ *MachineState) {
			f.receive(steptest.NewHeartbeat(e, 1)) // answered with the start
			cancel(f)
			f.receive(steptest.NewHeartbeat(e, 2))
		}, true, ""},
		{"not there, cancelled, under an earlier owner's token", func(f *fixture, e *storage.Machine, _ *MachineState) {
			cancel(f)
			heartbeat := steptest.NewHeartbeat(e, 1)
			heartbeat.FencingToken = (testShardEpoch - 1).FencingToken(9)
			f.receive(heartbeat)
		}, false, ""},
		{"not there, taken back before", func(f *fixture, e *storage.Machine, m *MachineState) {
			m.revokedAttempts[task] = attempt
			show()(f, e, m)
		}, true, ""},
		{"done", show(status(attempt, protocol.TaskExited, protocol.ReasonDone)), true, "0"},
		{"failed", show(status(attempt, protocol.TaskExited, protocol.ReasonError)), true, ""},
		{"an earlier attempt is done", show(status(attempt-1, protocol.TaskExited, protocol.ReasonDone)), false, ""},
		{"newer agent epoch", func(f *fixture, e *storage.Machine, _ *MachineState) {
			heartbeat := steptest.NewHeartbeat(e, 1)
			heartbeat.AgentEpoch++
			f.receive(heartbeat)
		}, true, ""},
		{"lease expired", func(f *fixture, e *storage.Machine, m *MachineState) {
			show(status(attempt, protocol.TaskRunning, ""))(f, e, m)
			f.advance(3 * time.Second)
			f.tick()
			f.advance(leasePassed)
		}, true, ""},
		{"lease passed, a heartbeat is about to be answered", func(f *fixture, e *storage.Machine, m *MachineState) {
			show(status(attempt, protocol.TaskRunning, ""))(f, e, m)
			f.advance(3 * time.Second)
			f.tick()
			f.advance(leasePassed)
			m.DeferredRequest = 9
		}, false, ""},
		{"lease passed, under an earlier owner's token", func(f *fixture, e *storage.Machine, _ *MachineState) {
			heartbeat := steptest.NewHeartbeat(e, 1, status(attempt, protocol.TaskRunning, ""))
			heartbeat.FencingToken = (testShardEpoch - 1).FencingToken(9)
			f.receive(heartbeat)
			f.advance(3 * time.Second)
			f.tick()
			f.advance(leasePassed)
		}, false, ""},
		{"termination requested", func(_ *fixture, e *storage.Machine, _ *MachineState) {
			e.Record.Terminating = true
		}, false, ""},
		{"termination confirmed", func(f *fixture, _ *storage.Machine, _ *MachineState) {
			f.terminations[testMachine] = true
		}, true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.putJob(t, `{"d":{"uid":"j-1","shape":"batch","pieces":2,"cores":1}}`)
			record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
			record.Assign(task, attempt)
			entry, m := f.addOwnedMachine(t, record)
			c.arrange(f, entry, m)
			b := f.commit.ShardWriter.NewBatch(f.Config.TransactionOps)
			f.Reconciler.WriteMachines(b)
			takenBack := b.RemovesMachine(testMachine) || len(b.MachineRecord(testMachine).Assignments) == 0
			if takenBack != c.want {
				t.Errorf("taken back: %v", takenBack)
			}
			if got := writtenDoneTasks(t, b.Transaction()); got != c.wantDone {
				t.Errorf("recorded as done: %q", got)
			}
		})
	}
}

// writtenDoneTasks lists the tasks of the job that a transaction records as done.
func writtenDoneTasks(t *testing.T, transaction protocol.Transaction) string {
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
