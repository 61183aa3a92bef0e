package scheduling

import (
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

// TestDistributeGangTasks checks that either all tasks of a gang are distributed or none.
func TestDistributeGangTasks(t *testing.T) {
	for _, test := range []struct {
		name                 string
		tasks                int
		zone                 protocol.Zone
		unschedulableMachine protocol.MachineID // takes no new tasks
		want                 map[protocol.MachineID]int
	}{
		{"on the first machine", 2, "", "", map[protocol.MachineID]int{"m-1": 2}},
		{"over two machines", 6, "", "", map[protocol.MachineID]int{"m-1": 4, "m-2": 2}},
		{"too many tasks", 9, "", "", nil},
		{"a machine is unschedulable", 6, "", "m-1", nil},
		{"no machine in the zone", 2, "b", "", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixtureWithTwoMachineTypes(t)
			job := fixture.newPendingJob(newArrayJob(1, 20), time.Minute)
			var machines []*Candidate
			for _, id := range []protocol.MachineID{"m-1", "m-2"} {
				machine := newCandidate(&smallMachineType, id, false)
				machine.isUnschedulable = id == test.unschedulableMachine
				machines = append(machines, machine)
			}
			capacity := func(machine *Candidate) int { return machine.free.CapacityFor(job.record.Spec) }
			placements := fixture.gangs.distributeTasks(job, machines, test.zone, test.tasks, capacity)
			if len(placements) != len(test.want) {
				t.Fatalf("got %d placements, want %v", len(placements), test.want)
			}
			for _, chosen := range placements {
				if chosen.count != test.want[chosen.machine.id] {
					t.Errorf("placed %d tasks on %s, want %v", chosen.count, chosen.machine.id, test.want)
				}
			}
		})
	}
}
