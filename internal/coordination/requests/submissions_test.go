package requests

import (
	"testing"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// A job is rejected permanently only if its team's quota, or every machine that it may be placed on,
// is too small for the tasks that must run at the same time: all tasks of a gang or service, one task
// of an array.
func TestCanEverRun(t *testing.T) {
	for _, test := range []struct {
		name  string
		quota step.Quota
		job   protocol.Job
		want  bool
	}{
		{"no limit", step.Quota{}, protocol.Job{Cores: 4}, true},
		{"task at the limit", step.Quota{MaxCores: 4}, protocol.Job{Cores: 4}, true},
		{"task over the limit", step.Quota{MaxCores: 3.5}, protocol.Job{Cores: 4}, false},
		{"tasks of an array over the limit together", step.Quota{MaxCores: 4}, protocol.Job{Cores: 2, TaskCount: 3}, true},
		{"gang at the limit", step.Quota{MaxCores: 6}, protocol.Job{Kind: protocol.KindGang, Cores: 2, TaskCount: 3}, true},
		{
			"gang over the limit", step.Quota{MaxCores: 5},
			protocol.Job{Kind: protocol.KindGang, Cores: 2, TaskCount: 3}, false,
		},
		{
			"service over the limit", step.Quota{MaxCores: 5},
			protocol.Job{Kind: protocol.KindService, Cores: 2, TaskCount: 3}, false,
		},
		{
			"rounding at the limit", step.Quota{MaxCores: 0.3},
			protocol.Job{Kind: protocol.KindGang, Cores: 0.1, TaskCount: 3}, true,
		},
		{"accelerators over the limit", step.Quota{MaxAccelerators: 1}, protocol.Job{Accelerators: 2}, false},
		{"task larger than any machine", step.Quota{}, protocol.Job{Cores: 5}, false},
		{"unknown team", step.Quota{}, protocol.Job{Team: "nobody", Cores: 1}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newRegisteredFixture(t)
			fixture.listMachineTypes(machineTypes(4))
			fixture.Config.Quotas = map[string]step.Quota{"core": test.quota}
			if test.job.Team == "" {
				test.job.Team = "core"
			}
			if got := fixture.Users.canEverRun(&test.job); got != test.want {
				t.Errorf("canEverRun returns %v, want %v", got, test.want)
			}
		})
	}
}
