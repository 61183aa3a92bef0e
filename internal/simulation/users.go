package simulation

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"tillerarch/internal/protocol"
)

// Times of a user's requests.
const (
	userTimeout  = 5 * time.Second
	retryDelay   = time.Second     // time before a failed request is repeated
	pollInterval = 3 * time.Second // time between two queries about a job
)

// pickController returns a random controller as the load balancer does: a healthy one, or any
// if none is healthy.
func (w *World) pickController() *Controller {
	var healthy []*Controller
	for _, controller := range w.Controllers {
		if controller.Alive && !controller.paused && !controller.UsersUnreachable && controller.isHealthy() {
			healthy = append(healthy, controller)
		}
	}
	if len(healthy) == 0 {
		healthy = w.Controllers
	}
	return healthy[w.Rand.IntN(len(healthy))]
}

// SendUserRequest sends a user's request through the load balancer. It calls reply as
// SendUserRequestTo does.
func (w *World) SendUserRequest(requestType protocol.RequestType, id protocol.JobID, body []byte, reply func(int, protocol.JobState)) {
	w.SendUserRequestTo(w.pickController(), requestType, id, body, reply)
}

// SendUserRequestTo sends a user's request to a controller. It calls reply once, with the
// status and the job's state, or with status 0 if the user gets no reply.
func (w *World) SendUserRequestTo(controller *Controller, requestType protocol.RequestType, id protocol.JobID, body []byte, reply func(int, protocol.JobState)) {
	w.Rules.RecordRequest(w.Now, id)
	sentAt := w.Now
	replied := false
	deliver := func(status int, state protocol.JobState) {
		if !replied {
			replied = true
			reply(status, state)
		}
	}
	w.After(userTimeout, func() { deliver(0, "") })
	w.After(w.messageDelay(), func() {
		if !controller.Alive || controller.UsersUnreachable {
			deliver(0, "")
			return
		}
		controller.deliverUserRequest(requestType, id, body, func(status int, replyBody []byte) {
			var job protocol.JobStatus
			if status < 300 {
				json.Unmarshal(replyBody, &job)
			}
			w.Rules.RecordReply(w.Now, sentAt, requestType, id, status, job.State)
			deliver(status, job.State)
		})
	})
}

// isRejection reports whether a status means that a submitted job is invalid or can never run.
func isRejection(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusUnprocessableEntity
}

// Submit repeats the submission of a job until it is accepted or rejected. It then polls an
// accepted job until the job has ended.
func (w *World) Submit(job *protocol.Job) {
	w.Jobs[job.ID] = job
	w.Rules.RecordSubmission(w.Now, job)
	body := protocol.Encode(job)
	var submit, poll func()
	poll = func() {
		w.SendUserRequest(protocol.RequestQuery, job.ID, nil, func(status int, state protocol.JobState) {
			if status == http.StatusOK && state.IsTerminal() {
				w.FinishedJobs[job.ID] = true
				return
			}
			w.After(pollInterval, poll)
		})
	}
	submit = func() {
		w.SendUserRequest(protocol.RequestSubmit, job.ID, body, func(status int, _ protocol.JobState) {
			if status >= 200 && status < 300 {
				w.After(time.Second, poll)
			} else if !isRejection(status) {
				w.After(retryDelay, submit)
			}
		})
	}
	submit()
}

// SubmitInvalid repeats the submission of a job that is invalid or can never run, until the job
// is rejected.
func (w *World) SubmitInvalid(id protocol.JobID, body []byte) {
	w.Rules.job(id).isInvalid = true
	w.SendUserRequest(protocol.RequestSubmit, id, body, func(status int, _ protocol.JobState) {
		if !isRejection(status) {
			w.After(retryDelay, func() { w.SubmitInvalid(id, body) })
		}
	})
}

// Cancel repeats the request to cancel a job until it succeeds.
func (w *World) Cancel(id protocol.JobID) {
	w.Rules.RecordCancelRequest(id)
	w.SendUserRequest(protocol.RequestCancel, id, nil, func(status int, _ protocol.JobState) {
		if status != http.StatusOK {
			w.After(retryDelay, func() { w.Cancel(id) })
		}
	})
}

// handleTaskCompleted calls OnJobEnd if the last task of a job is completed. With the probability
// CancelAtEndRate it also cancels the job at that moment.
func (w *World) handleTaskCompleted(id protocol.JobID) {
	observed := w.Rules.job(id)
	if observed.spec == nil || len(observed.completedTasks) < observed.spec.TaskCount {
		return
	}
	if w.OnJobEnd != nil {
		w.OnJobEnd(id)
	}
	if !observed.cancelRequested && w.Rand.Float64() < w.CancelAtEndRate {
		w.Cancel(id)
	}
}

// sendUnusualRequests makes users submit jobs that are invalid or can never run, query unknown
// jobs, repeat submissions, and cancel jobs that are done. It does so between two times of the
// world.
func (w *World) sendUnusualRequests(from, to time.Duration) {
	count := 0
	w.Every(700*time.Millisecond, func() {
		if w.Now < from || w.Now > to {
			return
		}
		count++
		id := protocol.JobID(fmt.Sprintf("j-9%05d", count))
		job := &protocol.Job{
			ID: id, Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "high",
			TaskCount: 1, Cores: 1, MemoryGB: 1, Image: "b", EstimatedRunSeconds: 1,
		}
		switch count % 5 {
		case 0:
			job.Cores = 1000
			w.SubmitInvalid(id, protocol.Encode(job))
		case 1:
			job.Team = "nobody"
			w.SubmitInvalid(id, protocol.Encode(job))
		case 2:
			w.SubmitInvalid(id, []byte(`{"uid":"`+string(id)+`","lane":"l","desk":"core"}`))
		case 3:
			w.SendUserRequest(protocol.RequestQuery, id, nil, func(int, protocol.JobState) {})
		case 4:
			w.repeatSubmission(w.Controllers[count%len(w.Controllers)])
		}
	})
}

// repeatSubmission submits a random accepted job again, and cancels the job if it has ended.
func (w *World) repeatSubmission(controller *Controller) {
	ids := slices.Sorted(maps.Keys(w.Jobs))
	if len(ids) == 0 {
		return
	}
	id := ids[w.Rand.IntN(len(ids))]
	if !w.Rules.job(id).accepted {
		return
	}
	w.SendUserRequestTo(controller, protocol.RequestSubmit, id, protocol.Encode(w.Jobs[id]), func(int, protocol.JobState) {})
	if w.FinishedJobs[id] {
		w.Cancel(id)
	}
}
