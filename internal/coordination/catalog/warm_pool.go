package catalog

import (
	"time"

	"tillerarch/internal/protocol"
)

// MachineStartupTime is how long a new machine of a type takes until it can run a task.
func MachineStartupTime(f *protocol.MachineType, d *protocol.Job) time.Duration {
	return protocol.Seconds(f.BootSeconds + ImageFetchSeconds(f, d))
}

// ImageFetchSeconds is how long a machine of a type takes to fetch the job's image.
func ImageFetchSeconds(f *protocol.MachineType, d *protocol.Job) float64 {
	if f.ImagePullGBPerSecond <= 0 {
		return 0
	}
	return d.ImageGB / f.ImagePullGBPerSecond
}
