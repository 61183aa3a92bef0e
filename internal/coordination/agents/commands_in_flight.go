package agents

import (
	"tillerarch/internal/protocol"
)

// commandsInFlight is what was sent to the agent, or is to be sent, and may not have been carried
// out yet.
type commandsInFlight struct {
	// InflightStarts are the starts in the last response that the agent may not have carried out
	// yet. A heartbeat that lacks these tasks proves nothing.
	InflightStarts map[protocol.Task]protocol.Attempt
	// revokedAttempts are the attempts that are being taken back. They are never started from
	// then on: the transaction that takes them back may still be applied.
	revokedAttempts map[protocol.Task]protocol.Attempt
	// stopRequests are the tasks that are to stop.
	stopRequests map[protocol.Task]stopRequest

	callStartedAt  protocol.Instant // of the last direct call
	isCallInFlight bool
}

// stopRequest asks for one attempt of a task to stop within a grace period.
type stopRequest struct {
	attempt      protocol.Attempt
	graceSeconds float64
}

func (c *commandsInFlight) reset() {
	c.InflightStarts = map[protocol.Task]protocol.Attempt{}
	c.revokedAttempts = map[protocol.Task]protocol.Attempt{}
	c.stopRequests = map[protocol.Task]stopRequest{}
}

// HasStopRequest tells whether this attempt of a task is to stop.
func (c *commandsInFlight) HasStopRequest(task protocol.Task, attempt protocol.Attempt) bool {
	stop, ok := c.stopRequests[task]
	return ok && stop.attempt == attempt
}

// CountStopRequests counts the tasks of one attempt of a job that are to stop.
func (c *commandsInFlight) CountStopRequests(job protocol.JobID, attempt protocol.Attempt) int {
	count := 0
	for task, stop := range c.stopRequests {
		if task.Job == job && stop.attempt == attempt {
			count++
		}
	}
	return count
}

// isStartWithheld tells whether an attempt of a task must not be started: it, or a later one, is being
// taken back or has been asked to stop. A stop of an earlier attempt, which may have ended unseen
// with its agent epoch, does not hold back the next one.
func (c *commandsInFlight) isStartWithheld(task protocol.Task, attempt protocol.Attempt) bool {
	if revoked, ok := c.revokedAttempts[task]; ok && revoked >= attempt {
		return true
	}
	stop, ok := c.stopRequests[task]
	return ok && stop.attempt >= attempt
}

// dropOutdatedStopRequests drops the stops of tasks that the agent shows with another attempt.
func (c *commandsInFlight) dropOutdatedStopRequests(statuses map[protocol.Task]*protocol.TaskStatus) {
	for task, stop := range c.stopRequests {
		if status := statuses[task]; status != nil && status.Attempt != stop.attempt {
			delete(c.stopRequests, task)
		}
	}
}

// showsInflightStart tells whether a heartbeat shows any start that was in flight, or none was.
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

// beginCall notes that a direct call starts.
func (c *commandsInFlight) beginCall(now protocol.Instant) {
	c.isCallInFlight, c.callStartedAt = true, now
}
