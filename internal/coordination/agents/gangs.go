package agents

import (
	"tillerarch/internal/protocol"
)

// AssignmentKey is the tasks of a job that one attempt has on a machine.
type AssignmentKey struct {
	Machine protocol.MachineID
	Job     protocol.JobID
	Attempt protocol.Attempt
}
