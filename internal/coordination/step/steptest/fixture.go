package steptest

import (
	"math/rand/v2"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// ControllerID is the ID of the controller under test.
const ControllerID protocol.ControllerID = "stall-0"

// rngStream selects the random sequence of the controller under test. Core uses the same stream.
const rngStream = 7

// shardID is the ID of the shard that PutMachine writes.
const shardID storage.ShardID = "p"

// StartTime is the time at which a test begins.
var StartTime = step.Now{Monotonic: 1, Wall: 1e12}

// Config returns the configuration of a controller without peers. Its store has low limits: a few
// machines fill a shard, and a few jobs fill a transaction.
func Config() step.Config {
	return step.Config{
		ControllerID:      ControllerID,
		Quotas:            map[string]step.Quota{"core": {}},
		HeartbeatInterval: 2 * time.Second,
		AgentLeaseTTL:     14 * time.Second,
		CancelTimeout:     40 * time.Second,
		WritesPerSecond:   100,
		TransactionOps:    8,
		ValueBytes:        8192,
		Tuning:            step.DefaultTuning(),
	}
}

// AnnouncedLimits returns limits of the store that a test may announce. They are far below those of
// Config.
func AnnouncedLimits() *step.WriteLimits {
	return &step.WriteLimits{WritesPerSecond: 18, TransactionOps: 4, ValueBytes: 2048}
}

// Fixture holds the context of the parts under test. The fixtures of packages embed it.
type Fixture struct {
	*step.Context
}

// NewFixture returns a fixture for a controller that has read nothing from the store yet.
func NewFixture(config step.Config) Fixture {
	return Fixture{&step.Context{
		Config:  config,
		Now:     StartTime,
		Rand:    rand.New(rand.NewPCG(config.Seed, rngStream)),
		Replica: storage.NewReplica(),
	}}
}

// Advance moves the monotonic and the wall clock forward by d.
func (f Fixture) Advance(d time.Duration) {
	f.Now.Monotonic = f.Now.Monotonic.Add(d)
	f.Now.Wall += protocol.Millis(d.Milliseconds())
}

// Put puts a record into the replica, as a watch event would do.
func (f Fixture) Put(t testing.TB, key string, value []byte, modRevision protocol.ModRevision) {
	t.Helper()
	if _, err := f.Replica.Put(key, value, modRevision); err != nil {
		t.Fatal(err)
	}
}

// PutMachine puts a shard with a single machine into the replica and returns that machine.
func (f Fixture) PutMachine(
	t testing.TB, owner storage.Incarnation, epoch storage.ShardEpoch, id protocol.MachineID, record storage.MachineRecord,
) *storage.Machine {
	t.Helper()
	key := storage.ShardKey(shardID)
	shard := storage.EncodePlainShard(owner, epoch, []string{record.EncodeLine(id)}, nil)
	f.Put(t, key, shard, f.Replica.ModRevision(key)+1)
	return f.Replica.Machines[id]
}

// NewHeartbeat returns a heartbeat that shows the fencing token and the agent epoch of the machine's
// record.
func NewHeartbeat(
	machine *storage.Machine, sequence protocol.Sequence, tasks ...protocol.TaskStatus,
) *protocol.Heartbeat {
	return &protocol.Heartbeat{
		Machine:      machine.ID,
		Addr:         "a",
		Type:         "s",
		Zone:         "a",
		AgentEpoch:   machine.Record.AgentEpoch,
		Sequence:     sequence,
		FencingToken: machine.Record.FencingToken,
		Tasks:        tasks,
	}
}
