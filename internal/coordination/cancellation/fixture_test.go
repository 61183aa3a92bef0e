package cancellation

import (
	"fmt"
	"testing"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/commit/committest"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	testJob          protocol.JobID      = "j-1"
	testIncarnation  storage.Incarnation = "stall-0#7" // of the controller under test
	otherIncarnation storage.Incarnation = "stall-1#1"
)

// cancellationFixture holds a canceller and the parts on which it depends. The incarnation is registered,
// and the replica is up to date.
type cancellationFixture struct {
	steptest.Fixture

	commit    *commit.Parts
	agents    *agents.Parts
	canceller *Canceller
}

// newFixture returns a fixture without jobs and machines.
func newFixture(t *testing.T) *cancellationFixture {
	t.Helper()
	base := steptest.NewFixture(steptest.Config())
	fixture := &cancellationFixture{Fixture: base, commit: commit.New(base.Context), agents: agents.New(base.Context)}
	peers := &steptest.FakePeers{}
	cancellations := New(base.Context)
	fixture.canceller = cancellations.Canceller
	fixture.commit.Connect(commit.Dependencies{
		MachineTracker:    fixture.agents.Table,
		StoreReports:      peers,
		SuccessorElection: peers,
	})
	cancellations.Connect(Dependencies{
		Agents:            fixture.agents.Table,
		Calls:             fixture.agents.Calls,
		Committer:         fixture.commit.Committer,
		Lease:             fixture.commit.Lease,
		SuccessorElection: peers,
		PeerNotifier:      peers,
		Replication:       fixture.commit.Replication,
		ForcedTerminator:  steptest.FakeTerminations{},
	})
	fixture.register(t)
	return fixture
}

// register registers the incarnation, at revision 2.
func (f *cancellationFixture) register(t *testing.T) {
	t.Helper()
	committest.Register(t, f.Context, f.commit)
	if got := f.commit.Lease.Incarnation(); got != testIncarnation {
		t.Fatalf("registered as %q, want %q", got, testIncarnation)
	}
}

// putJob puts the record of the test job, which has two tasks, after change has modified it.
func (f *cancellationFixture) putJob(t *testing.T, change func(*storage.JobRecord)) {
	t.Helper()
	record := &storage.JobRecord{Spec: &protocol.Job{ID: testJob, TaskCount: 2, Cores: 1}, Owner: testIncarnation}
	if change != nil {
		change(record)
	}
	f.Put(t, storage.JobKey(testJob), storage.EncodeJob(storage.FormatPlain, record), 2)
}

// putMachine puts the record of a machine to which the first task of the test job is assigned, in a shard
// with the given owner and completed tasks.
func (f *cancellationFixture) putMachine(
	t *testing.T, owner storage.Incarnation, completedTasks map[protocol.JobID]storage.TaskSet,
) *storage.Machine {
	t.Helper()
	record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
	record.Assign(protocol.Task{Job: testJob}, 5)
	f.Put(t, storage.ShardKey("p"),
		storage.EncodePlainShard(owner, 3, []string{record.EncodeLine("m-1")}, completedTasks), 2)
	return f.Replica.Machines["m-1"]
}

// putOwnedMachine puts the record of a machine of this controller, whose agent reports the task in the given
// state.
func (f *cancellationFixture) putOwnedMachine(t *testing.T, taskState protocol.TaskState) (*storage.Machine, *agents.MachineState) {
	t.Helper()
	entry := f.putMachine(t, testIncarnation, nil)
	return entry, f.recordHeartbeat(entry, taskState)
}

// maxDirectCancelShards returns the number of shards on which a batch may depend that cancels a job in one
// write. The other conditions are on the job's record and on the registration of the controller.
func maxDirectCancelShards(fixture *cancellationFixture) int {
	const otherConditions = 2
	return fixture.commit.Limits.WriteLimits().MaxConditions() - otherConditions
}

// putQuiescentMachines puts the records of machines of this controller, each of which runs a task of the
// test job and has a shard of its own. The first shard is "p".
func (f *cancellationFixture) putQuiescentMachines(t *testing.T, count int) {
	t.Helper()
	record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
	record.Assign(protocol.Task{Job: testJob}, 5)
	for i := range count {
		shard := storage.ShardID("p")
		if i > 0 {
			shard = storage.ShardID(fmt.Sprintf("p-%d", i))
		}
		line := record.EncodeLine(protocol.MachineID(fmt.Sprintf("m-%d", i)))
		f.Put(t, storage.ShardKey(shard), storage.EncodePlainShard(testIncarnation, 3, []string{line}, nil), 2)
	}
	for _, entry := range f.Replica.Machines {
		f.recordHeartbeat(entry, protocol.TaskRunning)
	}
}

// recordHeartbeat records a heartbeat that shows the first task of the test job in the given state.
func (f *cancellationFixture) recordHeartbeat(entry *storage.Machine, taskState protocol.TaskState) *agents.MachineState {
	machineState := f.agents.Table.TrackOwnedMachine(entry, entry.ID)
	machineState.RecordHeartbeat(&protocol.Heartbeat{
		Machine:      entry.ID,
		AgentEpoch:   entry.Record.AgentEpoch,
		Sequence:     1,
		FencingToken: entry.Record.FencingToken,
		Tasks:        []protocol.TaskStatus{{Task: protocol.Task{Job: testJob}, Attempt: 5, State: taskState}},
	}, f.Now.Monotonic)
	return machineState
}
