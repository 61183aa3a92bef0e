package scheduling

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/storage"
)

// A placement of a task that has to start before its machine sends a heartbeat by itself makes the
// machine's agent send one at once; no other placement does.
func TestExpediteUrgentTasks(t *testing.T) {
	for _, c := range []struct {
		name   string
		slack  time.Duration
		isLate bool
		want   bool
	}{
		{"it has to start soon", 8 * time.Second, false, true},
		{"it can wait for a heartbeat", 60 * time.Second, false, false},
		{"it is late in any case", time.Second, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCoreWithTwoMachineTypes(t)
			f.Config.HeartbeatInterval = 6 * time.Second
			job := f.newPendingJob(newArrayJob(4, 20), c.slack)
			job.isLate = c.isLate
			if got := f.Queue.shouldExpedite(job); got != c.want {
				t.Errorf("slack %v, late %v: %v", c.slack, c.isLate, got)
			}
		})
	}
	for _, c := range []struct {
		name     string
		deferred step.RequestID
		want     bool
	}{
		{"no heartbeat is deferred", 0, true},
		{"a heartbeat is deferred", 5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCoreWithTwoMachineTypes(t)
			machine := newCandidate(&smallMachineType, "m-1", false)
			machine.record.Owner = f.commit.Lease.Incarnation()
			f.agents.Table.MachineState("m-1").DeferredRequest = c.deferred
			if got := f.lister.awaitsHeartbeat(machine); got != c.want {
				t.Errorf("heartbeat deferred as %d: %v", c.deferred, got)
			}
		})
	}
}

// The score puts a machine first on which a task starts sooner, or keeps less from others.
func TestScore(t *testing.T) {
	const owner, peer = "stall-0#1", "stall-1#1"
	newMachine := func(change func(*Candidate)) *Candidate {
		machine := newCandidate(&smallMachineType, "m-1", false)
		machine.record.Owner = owner
		change(machine)
		return machine
	}
	for _, c := range []struct {
		name          string
		better, worse func(*Candidate)
	}{
		{"a small machine before a large one",
			func(*Candidate) {},
			func(m *Candidate) { m.machineType = &largeMachineType }},
		{"a large machine before one that is not up yet",
			func(m *Candidate) { m.machineType = &largeMachineType },
			func(m *Candidate) { m.isProvisioning = true }},
		{"spot before on demand",
			func(m *Candidate) { m.record.Spot = true },
			func(*Candidate) {}},
		{"a shard of the job's owner before one of a peer",
			func(*Candidate) {},
			func(m *Candidate) { m.record.Owner = peer }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCoreWithTwoMachineTypes(t)
			job := f.newPendingJob(newArrayJob(4, 20), time.Minute)
			job.record.Owner = owner
			b := f.commit.ShardWriter.NewBatch(8)
			better := f.Scheduler.score(b, job, newMachine(c.better))
			worse := f.Scheduler.score(b, job, newMachine(c.worse))
			if better >= worse {
				t.Errorf("scores %v and %v", better, worse)
			}
		})
	}
}

// A pass writes what fits of an owned array; of the rest, what can follow on machines in use waits, and
// the others are demand. Another owner's job is planned but neither written nor reported as
// demand.
func TestPlacePendingJobs(t *testing.T) {
	for _, c := range []struct {
		name       string
		machine    storage.MachineRecord
		isOwned    bool
		wantTasks  int // written on the machine
		wantDemand int
		wantExpect bool // a placement that is not written
	}{
		{"owned job, free machine that four more can follow on",
			storage.MachineRecord{AgentEpoch: 1}, true, 4, 2, false},
		{"owned job, machine not up yet", storage.MachineRecord{}, true, 0, 6, true},
		{"owned job, cordoned machine", storage.MachineRecord{AgentEpoch: 1, Cordoned: true}, true, 0, 10, false},
		{"another owner's job", storage.MachineRecord{AgentEpoch: 1}, false, 0, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCoreWithTwoMachineTypes(t)
			job := storage.JobRecord{
				Spec:        newArrayJob(1, 20),
				Owner:       "stall-1#1",
				NextAttempt: step.AttemptBlockSize,
				SubmittedAt: f.Now.Wall,
			}
			if c.isOwned {
				job.Owner = f.commit.Lease.Incarnation()
			}
			c.machine.MachineType, c.machine.Zone = "small", "a"
			f.Put(t, storage.JobKey("j-1"), storage.MustMarshal(job), 1)
			shard := storage.EncodePlainShard(f.commit.Lease.Incarnation(), 1, []string{c.machine.EncodeLine("m-1")}, nil)
			f.Put(t, storage.ShardKey("p"), shard, 2)

			b := f.commit.ShardWriter.NewBatch(8)
			f.Scheduler.PlacePendingJobs(b)

			written := 0
			for assigned := range b.MachineRecord("m-1").AssignmentsOf("j-1") {
				written += assigned.Tasks.Len()
			}
			demand := 0
			for _, unmet := range f.Plan.Demands() {
				demand += unmet.Tasks
			}
			if written != c.wantTasks || demand != c.wantDemand {
				t.Errorf("%d tasks written, demand for %d; wanted %d and %d", written, demand, c.wantTasks, c.wantDemand)
			}
			if got := f.Plan.ExpectsPlacement("m-1"); got != c.wantExpect {
				t.Errorf("placement expected: %v", got)
			}
			if got, want := f.Plan.RetainsMachine("m-1"), written > 0 || c.wantExpect; got != want {
				t.Errorf("machine retained: %v", got)
			}
		})
	}
}
