package scheduling

import (
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

// A machine has at most half of a service's replicas unless the limit of the step says otherwise.
func TestReplicaHeadroom(t *testing.T) {
	for _, test := range []struct {
		name    string
		limit   replicaLimit
		running int // replicas on the machine
		want    int
	}{
		{"half of the replicas", halfOfReplicas, 0, 3},
		{"less those that run there", halfOfReplicas, 2, 1},
		{"none beyond the half", halfOfReplicas, 3, 0},
		{"one on a machine", oneReplica, 0, 1},
		{"one runs there", oneReplica, 1, 0},
		{"all that remain", allReplicas, 1, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixtureWithTwoMachineTypes(t)
			spec := newArrayJob(1, 20)
			spec.Kind, spec.TaskCount = protocol.KindService, 5
			placer := &replicaPlacer{
				services:          fixture.Services,
				job:               fixture.newPendingJob(spec, time.Minute),
				limit:             test.limit,
				remainingReplicas: 5 - test.running,
				replicasByMachine: map[protocol.MachineID]int{"m-1": test.running},
			}
			if got := placer.replicaHeadroom(newCandidate(&smallMachineType, "m-1", false)); got != test.want {
				t.Errorf("%d more replicas; wanted %d", got, test.want)
			}
		})
	}
}
