package provisioning

import (
	"time"

	"tillerarch/internal/protocol"
)

const (
	// minDemandAge is the age from which a job's unmet demand counts: its owner may not have
	// planned a younger job yet.
	minDemandAge protocol.Millis = 300

	// maxPlanAge is the age up to which a plan may be acted on.
	maxPlanAge = 2 * time.Second
)

// DemandSource gives the demand that no machine can take, as of the last plan.
type DemandSource interface {
	Age() time.Duration
	Demands() []UnmetDemand
	ClearDemands()
}

// UnmetDemand is work that no machine, up or being provisioned, can take.
type UnmetDemand struct {
	Job         protocol.JobID
	Spec        *protocol.Job
	TaskCount   int
	Zone        protocol.Zone // the only zone the tasks may be in; empty: any
	Precedence  int           // demands of a smaller precedence are served first
	SubmittedAt protocol.Millis
	// IsUrgent makes the provisioner request machines from all pools at once. For other demand it requests
	// machines from more expensive pools only once the cheaper ones are exhausted.
	IsUrgent bool
}
