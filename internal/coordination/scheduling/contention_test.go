package scheduling

import (
	"maps"
	"slices"
	"testing"
	"time"

	"tillerarch/internal/coordination/provisioning"
	"tillerarch/internal/protocol"
)

// TestContendedMachineTypes checks that, while tasks wait that fit only one machine type, jobs that can get a
// cheaper type in time avoid that type. Otherwise small tasks of high priority fill the machines that were
// provisioned for large tasks, and more of the most expensive machines are provisioned.
func TestContendedMachineTypes(t *testing.T) {
	for _, test := range []struct {
		name            string
		waitingCores    float64 // of the tasks that found no machine, or 0 if there are none
		sinceContention time.Duration
		slack           time.Duration
		isExhausted     bool // the cloud has no small machines
		want            []protocol.MachineTypeName
	}{
		{"no tasks wait", 0, 0, 90 * time.Second, false, nil},
		{"large tasks wait", 16, 0, 90 * time.Second, false, []protocol.MachineTypeName{"large"}},
		{"large tasks waited some time ago", 16, 5 * time.Second, 90 * time.Second, false, nil},
		{"a small machine would come too late", 16, 0, 30 * time.Second, false, nil},
		{"there are no small machines", 16, 0, 90 * time.Second, true, nil},
		{"small tasks wait", 4, 0, 90 * time.Second, false, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixtureWithTwoMachineTypes(t)
			if test.waitingCores > 0 {
				fixture.contention.recordContention(fixture.newPendingJob(newArrayJob(test.waitingCores, 20), time.Minute))
			}
			fixture.Now.Monotonic = fixture.Now.Monotonic.Add(test.sinceContention)
			if test.isExhausted {
				for _, zone := range smallMachineType.Zones {
					for _, spot := range []bool{true, false} {
						pool := provisioning.PoolKey{MachineType: "small", Zone: zone, Spot: spot}
						fixture.provisioning.Provisioner.MarkPoolExhausted(pool)
					}
				}
			}
			fixture.Plan.pass.contendedTypes = fixture.contention.contendedTypes()
			job := fixture.newPendingJob(newArrayJob(4, 20), test.slack)
			got := slices.Sorted(maps.Keys(fixture.contention.typesToAvoid(job)))
			if !slices.Equal(got, test.want) {
				t.Errorf("avoids types %v, want %v", got, test.want)
			}
		})
	}
}
