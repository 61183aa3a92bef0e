package provisioning

import (
	"time"

	"tillerarch/internal/protocol"
)

const (
	// minDemandAge is the age of a job from which machines are requested for its unmet demand. The owner of
	// a younger job may not have planned the job yet.
	minDemandAge protocol.Millis = 300

	// maxPlanAge is the maximum age of a plan for whose demand machines are requested.
	maxPlanAge = 2 * time.Second
)

// DemandSource provides the demand that no machine could take in the scheduler's last plan. Age returns
// the time since the plan was computed.
type DemandSource interface {
	Age() time.Duration
	Demands() []UnmetDemand
	ClearDemands()
}

// UnmetDemand is a number of tasks of one job for which no machine that is up or being provisioned has
// capacity.
type UnmetDemand struct {
	Job         protocol.JobID
	Spec        *protocol.Job
	TaskCount   int
	Zone        protocol.Zone // the only zone in which the tasks may run, or empty for any zone
	Precedence  int           // demand with a lower value is served first
	SubmittedAt protocol.Millis
	// IsUrgent makes the provisioner request machines from all pools at once. For other demand it requests
	// machines from more expensive pools only once the cheaper ones are exhausted.
	IsUrgent bool
}
