package catalog

import (
	"time"

	"tillerarch/internal/protocol"
)

// MachineStartupTime is how long a new machine of a type takes until it can run a task of a job.
func MachineStartupTime(machineType *protocol.MachineType, job *protocol.Job) time.Duration {
	return protocol.Seconds(machineType.BootSeconds + ImageFetchSeconds(machineType, job))
}

// ImageFetchSeconds is how long a machine of a type takes to fetch the job's image.
func ImageFetchSeconds(machineType *protocol.MachineType, job *protocol.Job) float64 {
	if machineType.ImagePullGBPerSecond <= 0 {
		return 0
	}
	return job.ImageGB / machineType.ImagePullGBPerSecond
}
