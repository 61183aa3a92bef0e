package scheduling

import (
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

// TestReplicaHeadroom checks that a machine gets at most half of a service's replicas unless the placer's limit
// is a different one.
func TestReplicaHeadroom(t *testing.T) {
	for _, test := range []struct {
		name            string
		limit           replicaLimit
		runningReplicas int // replicas that run on the machine
		want            int
	}{
		{"half of the replicas", halfOfReplicas, 0, 3},
		{"half of the replicas less the running ones", halfOfReplicas, 2, 1},
		{"no replica beyond half of them", halfOfReplicas, 3, 0},
		{"one replica on a machine", oneReplica, 0, 1},
		{"one replica on a machine where one runs", oneReplica, 1, 0},
		{"all remaining replicas", allReplicas, 1, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixtureWithTwoMachineTypes(t)
			spec := newArrayJob(1, 20)
			spec.Kind, spec.TaskCount = protocol.KindService, 5
			placer := &replicaPlacer{
				services:          fixture.Services,
				job:               fixture.newPendingJob(spec, time.Minute),
				limit:             test.limit,
				remainingReplicas: 5 - test.runningReplicas,
				replicasByMachine: map[protocol.MachineID]int{"m-1": test.runningReplicas},
			}
			if got := placer.replicaHeadroom(newCandidate(&smallMachineType, "m-1", false)); got != test.want {
				t.Errorf("got headroom for %d more replicas, want %d", got, test.want)
			}
		})
	}
}
