package agents

import (
	"tillerarch/internal/protocol"
)

// commandsInFlight holds the commands that were sent to the agent, or will be sent, and that the agent
// may not have executed yet.
type commandsInFlight struct {
	// InflightStarts holds the starts in the last response that the agent may not have executed yet.
	// A heartbeat without such a task is no evidence that the task will not run.
	InflightStarts map[protocol.Task]protocol.Attempt
	// revokedAttempts holds the attempts that are being requeued. They are never started again,
	// because the transaction that requeues them may still be applied.
	revokedAttempts map[protocol.Task]protocol.Attempt
	// stopRequests holds the tasks that must stop.
	stopRequests map[protocol.Task]stopRequest

	callStartedAt  protocol.Instant // start of the last direct call
	isCallInFlight bool             // whether the last direct call has no result yet
}

// stopRequest is a request to stop one attempt of a task within a grace period.
type stopRequest struct {
	attempt      protocol.Attempt
	graceSeconds float64
}

func (c *commandsInFlight) reset() {
	c.InflightStarts = map[protocol.Task]protocol.Attempt{}
	c.revokedAttempts = map[protocol.Task]protocol.Attempt{}
	c.stopRequests = map[protocol.Task]stopRequest{}
}

// HasStopRequest reports whether a stop of this attempt of a task has been requested.
func (c *commandsInFlight) HasStopRequest(task protocol.Task, attempt protocol.Attempt) bool {
	stop, ok := c.stopRequests[task]
	return ok && stop.attempt == attempt
}

// CountStopRequests returns the number of tasks of one attempt of a job whose stop has been requested.
func (c *commandsInFlight) CountStopRequests(job protocol.JobID, attempt protocol.Attempt) int {
	count := 0
	for task, stop := range c.stopRequests {
		if task.Job == job && stop.attempt == attempt {
			count++
		}
	}
	return count
}

// isStartWithheld reports whether an attempt of a task must not be started because this attempt or a
// later one is being requeued or was requested to stop. A stop request for an earlier attempt does not
// withhold the next one, because the earlier attempt may have ended unobserved with its agent epoch.
func (c *commandsInFlight) isStartWithheld(task protocol.Task, attempt protocol.Attempt) bool {
	if revoked, ok := c.revokedAttempts[task]; ok && revoked >= attempt {
		return true
	}
	stop, ok := c.stopRequests[task]
	return ok && stop.attempt >= attempt
}

// dropOutdatedStopRequests deletes the stop requests of tasks that the agent shows with another
// attempt.
func (c *commandsInFlight) dropOutdatedStopRequests(statuses map[protocol.Task]*protocol.TaskStatus) {
	for task, stop := range c.stopRequests {
		if status := statuses[task]; status != nil && status.Attempt != stop.attempt {
			delete(c.stopRequests, task)
		}
	}
}

// showsInflightStart reports whether a heartbeat shows at least one task whose start was in flight, or
// no start was in flight.
func (c *commandsInFlight) showsInflightStart(heartbeat *protocol.Heartbeat) bool {
	if len(c.InflightStarts) == 0 {
		return true
	}
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		if attempt, ok := c.InflightStarts[status.Task]; ok && attempt == status.Attempt {
			return true
		}
	}
	return false
}

// beginCall records that a direct call starts.
func (c *commandsInFlight) beginCall(now protocol.Instant) {
	c.isCallInFlight, c.callStartedAt = true, now
}
