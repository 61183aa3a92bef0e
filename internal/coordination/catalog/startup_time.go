package catalog

import (
	"time"

	"tillerarch/internal/protocol"
)

// MachineStartupTime returns the time until a new machine of a type can run a task of a job.
func MachineStartupTime(machineType *protocol.MachineType, job *protocol.Job) time.Duration {
	return protocol.Seconds(machineType.BootSeconds + ImageFetchSeconds(machineType, job))
}

// ImageFetchSeconds returns the time, in seconds, that a machine of a type needs to fetch the job's
// image. It returns 0 if the type has no fetch rate.
func ImageFetchSeconds(machineType *protocol.MachineType, job *protocol.Job) float64 {
	if machineType.ImagePullGBPerSecond <= 0 {
		return 0
	}
	return job.ImageGB / machineType.ImagePullGBPerSecond
}
