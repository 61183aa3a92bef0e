package coordination

import (
	"errors"
	"log/slog"
	"slices"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

var errNoUsableResponse = errors.New("no usable answer")

const (
	attemptBlockSize    = 1 << 10 // attempts that a claim sets aside at once
	maxDeferredRequests = 2000    // users that may wait at once; the rest are told to come back
)

// submission is a job that is not written yet.
type submission struct {
	job         *protocol.Job
	receivedAt  protocol.Instant
	submittedAt protocol.Millis
	requestIDs  []RequestID
}

// deferredRequest is a request whose answer needs the replica at least as new as a
// revision read after the request arrived.
type deferredRequest struct {
	requestID           RequestID
	requestType         protocol.RequestType
	jobID               protocol.JobID
	job                 *protocol.Job // of a submission
	receivedAt          protocol.Instant
	isRevisionRequested bool              // the read that counts has begun
	minRevision         protocol.Revision // and gave this
	awaitsCancellation  bool              // waits for the job to be withdrawn
}

// revisionRead is the read of the state service's revision that waiters share.
type revisionRead struct {
	isInFlight  bool
	requestedAt protocol.Instant
}

func (c *Core) reply(requestID RequestID, status int, body any) {
	c.emit(Reply{RequestID: requestID, Status: status, Body: protocol.Encode(body)})
}

type errorBody struct {
	Error string `json:"error"`
}

func (c *Core) rejectUnavailable(requestID RequestID) {
	c.emit(Reply{RequestID: requestID, Status: 503, RetryAfterSeconds: 1, Body: protocol.Encode(errorBody{"cannot decide now"})})
}

// jobStatus is what the replica says of a job.
func (c *Core) jobStatus(id protocol.JobID, record *storage.JobRecord, withCounts bool) protocol.JobStatus {
	status := protocol.JobStatus{ID: id, State: record.State}
	running := 0
	if !record.State.IsTerminal() {
		for machineID := range c.replica.MachinesWithJob(id) {
			for assigned := range c.replica.Machines[machineID].Record.AssignmentsOf(id) {
				running += assigned.Tasks.Len()
			}
		}
		status.State = protocol.JobQueued
		if running > 0 {
			status.State = protocol.JobRunning
		}
	}
	if withCounts {
		done := c.replica.CompletedTasks(id).Len()
		if record.State == protocol.JobDone {
			done = record.TaskCount
		}
		status.DoneTasks, status.RunningTasks = &done, &running
	}
	return status
}

func (c *Core) onUserInput(v UserInput) {
	if v.Type == protocol.RequestSubmit {
		job, err := protocol.ParseJob(v.Body)
		if err != nil {
			c.log(slog.LevelInfo, "submission refused", "err", err.Error(), "body", string(v.Body[:min(len(v.Body), 600)]))
			c.reply(v.RequestID, 400, errorBody{err.Error()})
			return
		}
		if !c.jobRecordFits(job) {
			c.reply(v.RequestID, 400, errorBody{"description is too long"})
			return
		}
		c.onSubmit(v.RequestID, job)
		return
	}
	if !v.Job.IsValid() {
		c.reply(v.RequestID, 404, errorBody{"no such job"})
		return
	}
	if c.replyIfFinal(v.RequestID, v.Type, v.Job) {
		return
	}
	if v.Type == protocol.RequestCancel && c.replica.Jobs[v.Job] != nil && !c.storeUnavailable() {
		c.requestCancellation(v.Job)
	}
	c.deferRequest(&deferredRequest{requestID: v.RequestID, requestType: v.Type, jobID: v.Job, receivedAt: c.now.Monotonic})
}

// replyIfFinal answers from the replica alone: a final state never changes.
func (c *Core) replyIfFinal(requestID RequestID, requestType protocol.RequestType, id protocol.JobID) bool {
	e := c.replica.Jobs[id]
	if e == nil || !e.Record.State.IsTerminal() {
		return false
	}
	c.reply(requestID, 200, c.jobStatus(id, &e.Record, requestType == protocol.RequestQuery))
	return true
}

func (c *Core) deferRequest(request *deferredRequest) {
	if c.storeUnavailable() || len(c.deferredRequests) >= maxDeferredRequests {
		c.rejectUnavailable(request.requestID)
		return
	}
	c.deferredRequests = append(c.deferredRequests, request)
	c.requestRevision()
}

// requestRevision reads the revision once for all that wait.
func (c *Core) requestRevision() {
	if c.revisionRead.isInFlight {
		return
	}
	for _, request := range c.deferredRequests {
		if !request.isRevisionRequested {
			c.revisionRead.isInFlight = true
		}
	}
	if !c.revisionRead.isInFlight {
		return
	}
	for _, request := range c.deferredRequests {
		request.isRevisionRequested = true
	}
	c.revisionRead.requestedAt = c.now.Monotonic
	c.emit(ReadRevision{})
}

func (c *Core) onReadRevisionResult(v ReadRevisionResult) {
	c.revisionRead.isInFlight = false
	answered := c.recordContact(c.revisionRead.requestedAt, v.Err)
	c.deferredRequests = slices.DeleteFunc(c.deferredRequests, func(request *deferredRequest) bool {
		if !request.isRevisionRequested || request.minRevision != 0 {
			return false
		}
		if !answered {
			c.rejectUnavailable(request.requestID)
		}
		request.minRevision = v.Revision
		return !answered
	})
}

func (c *Core) onSubmit(requestID RequestID, job *protocol.Job) {
	if c.replyIfFinal(requestID, protocol.RequestSubmit, job.ID) {
		return
	}
	if c.replica.Jobs[job.ID] != nil {
		c.deferRequest(&deferredRequest{requestID: requestID, requestType: protocol.RequestSubmit, jobID: job.ID, job: job, receivedAt: c.now.Monotonic})
		return
	}
	if c.storeUnavailable() || len(c.machineTypes) == 0 || len(c.submissions) >= maxDeferredRequests {
		c.rejectUnavailable(requestID)
		return
	}
	if !c.canEverRun(job) {
		// Only sure once it is certain that no other node has accepted it.
		c.deferRequest(&deferredRequest{requestID: requestID, requestType: protocol.RequestSubmit, jobID: job.ID, job: job, receivedAt: c.now.Monotonic})
		return
	}
	pending := c.submissions[job.ID]
	if pending == nil {
		pending = &submission{job: job, receivedAt: c.now.Monotonic, submittedAt: c.now.Wall}
		c.submissions[job.ID] = pending
	}
	pending.requestIDs = append(pending.requestIDs, requestID)
}

// jobRecordFits tells whether a job's record stays within a value of the state service,
// whatever is to be noted of it, also under the limits that are announced.
func (c *Core) jobRecordFits(job *protocol.Job) bool {
	format := storage.FormatPlain
	if c.cfg.AnnouncedLimits != nil {
		format = storage.FormatPacked
	}
	size := len(storage.EncodeJob(format, &storage.JobRecord{Spec: job, Owner: c.incarnation, NextAttempt: attemptBlockSize, SubmittedAt: c.now.Wall}))
	return size <= c.admissionLimits().ValueBytes*maxJobRecordPercent/100
}

// maxJobRecordPercent is the part of a value, in hundredths, that a new job's record may take.
const maxJobRecordPercent = 85

// canEverRun tells whether the job could ever run here.
func (c *Core) canEverRun(job *protocol.Job) bool {
	quota, ok := c.cfg.Quotas[job.Team]
	if !ok {
		return false
	}
	concurrentTasks := 1.0
	if job.IsGang() || job.IsService() {
		concurrentTasks = float64(job.TaskCount)
	}
	if quota.MaxCores > 0 && concurrentTasks*job.Cores > quota.MaxCores+1e-9 || quota.MaxAccelerators > 0 && concurrentTasks*job.Accelerators > quota.MaxAccelerators+1e-9 {
		return false
	}
	for i := range c.machineTypes {
		machineType := &c.machineTypes[i]
		for _, zone := range machineType.Zones {
			if job.AllowsPlacement(machineType.Name, zone) && machineType.CanFitTask(job) {
				return true
			}
		}
	}
	return false
}

func (c *Core) requestCancellation(id protocol.JobID) {
	if _, ok := c.cancellations.requestedAt[id]; !ok {
		c.cancellations.requestedAt[id] = c.now.Monotonic
	}
}

// writeUserRequests puts new and withdrawn jobs into the transaction.
func (c *Core) writeUserRequests(b *batch) {
	c.writeCancellations(b)
	for _, id := range sortedKeys(c.submissions) {
		pending := c.submissions[id]
		if c.replica.Jobs[id] != nil || !b.hasCapacity(1) {
			continue
		}
		b.reserveWrite(storage.JobKey(id), 700)
		b.jobs[id] = &storage.JobRecord{Spec: pending.job, Owner: c.incarnation, NextAttempt: attemptBlockSize, SubmittedAt: pending.submittedAt}
	}
}

// replyPending answers whoever can be answered now.
func (c *Core) replyPending() {
	for _, id := range sortedKeys(c.submissions) {
		pending := c.submissions[id]
		e := c.replica.Jobs[id]
		if e == nil {
			continue
		}
		delete(c.submissions, id)
		for _, requestID := range pending.requestIDs {
			if e.Record.State.IsTerminal() {
				c.reply(requestID, 200, c.jobStatus(id, &e.Record, false))
				continue
			}
			// Written just now or by another node; at least queued.
			if e.Record.Owner == c.incarnation {
				c.log(slog.LevelDebug, "job accepted", "job", string(id), "lane", pending.job.Class, "tasks", pending.job.TaskCount)
				c.reply(requestID, 201, c.jobStatus(id, &e.Record, false))
			} else {
				c.deferRequest(&deferredRequest{requestID: requestID, requestType: protocol.RequestSubmit, jobID: id, job: pending.job, receivedAt: pending.receivedAt})
			}
		}
	}
	c.deferredRequests = slices.DeleteFunc(c.deferredRequests, c.tryReply)
	c.requestRevision()
}

func (c *Core) tryReply(request *deferredRequest) bool {
	if c.replyIfFinal(request.requestID, request.requestType, request.jobID) {
		return true
	}
	if request.awaitsCancellation || request.minRevision == 0 || c.replica.Revision < request.minRevision || !c.replication.isLoaded {
		return false
	}
	e := c.replica.Jobs[request.jobID]
	switch {
	case e == nil && request.requestType == protocol.RequestSubmit:
		if len(c.machineTypes) == 0 {
			c.rejectUnavailable(request.requestID)
		} else if c.canEverRun(request.job) {
			c.onSubmit(request.requestID, request.job)
		} else {
			c.log(slog.LevelInfo, "job refused, it can never run", "job", string(request.jobID), "team", request.job.Team)
			c.reply(request.requestID, 422, errorBody{"can never run"})
		}
	case e == nil:
		c.reply(request.requestID, 404, errorBody{"no such job"})
	case request.requestType == protocol.RequestCancel:
		c.requestCancellation(request.jobID)
		request.awaitsCancellation = true
		return false
	default:
		c.reply(request.requestID, 200, c.jobStatus(request.jobID, &e.Record, request.requestType == protocol.RequestQuery))
	}
	return true
}

// expireUserRequests gives up on requests whose user would not wait any longer.
func (c *Core) expireUserRequests() {
	unavailable := c.storeUnavailable()
	for _, id := range sortedKeys(c.submissions) {
		pending := c.submissions[id]
		if unavailable || c.since(pending.receivedAt) > c.cfg.UserRequestTimeout {
			delete(c.submissions, id)
			for _, requestID := range pending.requestIDs {
				c.rejectUnavailable(requestID)
			}
		}
	}
	c.deferredRequests = slices.DeleteFunc(c.deferredRequests, func(request *deferredRequest) bool {
		expired := unavailable || c.since(request.receivedAt) > c.cfg.UserRequestTimeout
		if expired {
			c.rejectUnavailable(request.requestID)
		}
		return expired
	})
}
