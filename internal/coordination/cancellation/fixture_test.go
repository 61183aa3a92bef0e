package cancellation

import (
	"fmt"
	"testing"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/commit/committest"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	testJob   protocol.JobID      = "j-1"
	owner     storage.Incarnation = "stall-0#7" // of the controller under test
	otherPeer storage.Incarnation = "stall-1#1"
)

// fixture is a canceller with the parts that it works on, registered and up to date.
type fixture struct {
	*step.Context

	commit    *commit.Parts
	agents    *agents.Parts
	canceller *Canceller
}

// fakePeers answers for the packages that build on this one: no other controller is heard from, no
// key falls to this one, and no machine is terminated.
type fakePeers struct{}

func (fakePeers) ExpediteStatus()                                      {}
func (fakePeers) HasHeardFrom(storage.Incarnation, time.Duration) bool { return false }
func (fakePeers) PeersReportStoreUnavailable(time.Duration) bool       { return false }
func (fakePeers) IsSuccessor(string) bool                              { return false }
func (fakePeers) IsTerminationConfirmed(protocol.MachineID) bool       { return false }
func (fakePeers) TerminateUnrecorded(protocol.MachineID)               {}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	config := step.Config{
		ControllerID:      owner.Controller(),
		HeartbeatInterval: 2 * time.Second,
		AgentLeaseTTL:     14 * time.Second,
		CancelTimeout:     40 * time.Second,
		WritesPerSecond:   100,
		TransactionOps:    8,
		ValueBytes:        8192,
		Tuning:            step.DefaultTuning(),
	}
	ctx := &step.Context{Config: config, Now: step.Now{Monotonic: 1, Wall: 1e12}, Replica: storage.NewReplica()}
	f := &fixture{Context: ctx, commit: commit.New(ctx), agents: agents.New(ctx)}
	cancellations := New(ctx)
	f.canceller = cancellations.Canceller
	f.commit.Connect(commit.Dependencies{
		MachineTracker:    f.agents.Table,
		StoreReports:      fakePeers{},
		SuccessorElection: fakePeers{},
	})
	cancellations.Connect(Dependencies{
		Agents:           f.agents.Table,
		Calls:            f.agents.Calls,
		Committer:        f.commit.Committer,
		Lease:            f.commit.Lease,
		Limits:           f.commit.Limits,
		OwnerElection:    fakePeers{},
		PeerNotifier:     fakePeers{},
		Replication:      f.commit.Replication,
		ForcedTerminator: fakePeers{},
	})
	f.register(t)
	return f
}

// register brings the incarnation on record, at revision 2.
func (f *fixture) register(t *testing.T) {
	t.Helper()
	committest.Register(t, f.Context, f.commit)
	if got := f.commit.Lease.Incarnation(); got != owner {
		t.Fatalf("registered as %q, want %q", got, owner)
	}
}

// put puts a record into the replica.
func (f *fixture) put(t *testing.T, key string, value []byte, modRevision protocol.ModRevision) {
	t.Helper()
	if _, err := f.Replica.Put(key, value, modRevision); err != nil {
		t.Fatal(err)
	}
}

// putJob puts the test job, of two tasks, on record.
func (f *fixture) putJob(t *testing.T, change func(*storage.JobRecord)) {
	t.Helper()
	record := &storage.JobRecord{Spec: &protocol.Job{ID: testJob, TaskCount: 2, Cores: 1}, Owner: owner}
	if change != nil {
		change(record)
	}
	f.put(t, storage.JobKey(testJob), storage.EncodeJob(storage.FormatPlain, record), 2)
}

// putMachine puts a machine with the first task of the test job on record.
func (f *fixture) putMachine(
	t *testing.T, of storage.Incarnation, completed map[protocol.JobID]storage.TaskSet,
) *storage.Machine {
	t.Helper()
	record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
	record.Assign(protocol.Task{Job: testJob}, 5)
	f.put(t, storage.ShardKey("p"), storage.EncodePlainShard(of, 3, []string{record.EncodeLine("m-1")}, completed), 2)
	return f.Replica.Machines["m-1"]
}

// putOwnedMachine puts a machine of the controller on record, whose agent shows the task in a state.
func (f *fixture) putOwnedMachine(t *testing.T, state protocol.TaskState) (*storage.Machine, *agents.MachineState) {
	t.Helper()
	entry := f.putMachine(t, owner, nil)
	return entry, f.recordHeartbeat(entry, state)
}

// putQuiescentMachines puts machines of the controller on record, each running a task of the job.
func (f *fixture) putQuiescentMachines(t *testing.T, count int) {
	t.Helper()
	record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
	record.Assign(protocol.Task{Job: testJob}, 5)
	lines := make([]string, count)
	for i := range lines {
		lines[i] = record.EncodeLine(protocol.MachineID(fmt.Sprintf("m-%d", i)))
	}
	f.put(t, storage.ShardKey("p"), storage.EncodePlainShard(owner, 3, lines, nil), 2)
	for _, entry := range f.Replica.Machines {
		f.recordHeartbeat(entry, protocol.TaskRunning)
	}
}

// recordHeartbeat takes in a heartbeat that shows the first task of the test job in a state.
func (f *fixture) recordHeartbeat(entry *storage.Machine, state protocol.TaskState) *agents.MachineState {
	m := f.agents.Table.TrackOwnedMachine(entry, entry.ID)
	m.RecordHeartbeat(&protocol.Heartbeat{
		Machine:      entry.ID,
		AgentEpoch:   entry.Record.AgentEpoch,
		Sequence:     1,
		FencingToken: entry.Record.FencingToken,
		Tasks:        []protocol.TaskStatus{{Task: protocol.Task{Job: testJob}, Attempt: 5, State: state}},
	}, f.Now.Monotonic)
	return m
}

// advance lets time pass.
func (f *fixture) advance(d time.Duration) {
	f.Now.Monotonic = f.Now.Monotonic.Add(d)
	f.Now.Wall += protocol.Millis(d.Milliseconds())
}
