package agents

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/protocol"
)

// maxImagePullFactor is the multiple of the usual time to pull an image from which a pull counts as stuck. A
// machine may be slow, and images that it pulls at the same time share its rate.
const maxImagePullFactor = 4

// mayFinishImagePull reports whether a task of an incomplete attempt of a gang goes on until its machine has the
// image, although the attempt can no longer start. A machine that needs longer for the image than the other
// tasks wait would otherwise give the pull up in every attempt, and the gang would never start. An attempt that
// is younger than the others wait has lost a task for another reason, and restarts at once.
func (ts *TaskStopper) mayFinishImagePull(
	state *MachineState, status *protocol.TaskStatus, spec *protocol.Job,
) bool {
	if status.State != protocol.TaskPullingImage || state.HasStopRequest(status.Task, status.Attempt) {
		return false
	}
	key := AssignmentKey{Machine: state.ID, Job: status.Task.Job, Attempt: status.Attempt}
	assignedSince, isKnown := ts.agents.AssignedSince(key)
	age := ts.Since(assignedSince)
	if !isKnown || age < ts.Config.GangWaitTimeout {
		return false
	}
	if age < ts.imagePullTimeout(state.ID, spec) {
		return true
	}
	ts.Log(slog.LevelWarn, "image pull stuck", "machine", string(state.ID), "job", string(status.Task.Job),
		"image", spec.Image, "seconds", age.Seconds())
	if becameFaulty := state.recordStuckPull(ts.Now.Monotonic); becameFaulty {
		ts.Log(slog.LevelWarn, "machine marked faulty", "machine", string(state.ID))
	}
	return false
}

// imagePullTimeout returns the time after the assignment of a task from which the pull of its image counts as
// stuck on a machine.
func (ts *TaskStopper) imagePullTimeout(id protocol.MachineID, spec *protocol.Job) time.Duration {
	entry := ts.Replica.Machines[id]
	if entry == nil {
		return 0
	}
	machineType := ts.agents.catalog.MachineType(entry.Record.MachineType)
	if machineType == nil {
		return 0
	}
	return ts.Config.GangWaitTimeout + maxImagePullFactor*protocol.Seconds(catalog.ImageFetchSeconds(machineType, spec))
}
