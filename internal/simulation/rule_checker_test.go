package simulation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

// TestRuleCheckerDetectsViolations checks that each check of the rule checker reports the violation
// that it is meant to find.
func TestRuleCheckerDetectsViolations(t *testing.T) {
	job := &protocol.Job{ID: "j-1", Team: "x", TaskCount: 2, Cores: 2, Kind: protocol.KindArray, MachineTypes: []protocol.MachineTypeName{"small"}}
	task0, task1 := protocol.Task{Job: "j-1"}, protocol.Task{Job: "j-1", Index: 1}
	startTask := func(checker *RuleChecker, now time.Duration, task protocol.Task, machine protocol.MachineID, zone protocol.Zone) {
		checker.RecordTaskStart(now, task, machine, "small", zone, false)
	}
	for _, test := range []struct {
		name        string
		wantRule    string // rule that the checker must report as violated first
		violateRule func(checker *RuleChecker)
	}{
		{"two attempts of a task at once", "ran_twice", func(checker *RuleChecker) {
			startTask(checker, 0, task0, "m-1", "a")
			startTask(checker, 1, task0, "m-2", "a")
		}},
		{"two tasks beyond the quota", "quota", func(checker *RuleChecker) {
			checker.QuotaLimits["x"] = 3
			startTask(checker, 0, task0, "m-1", "a")
			startTask(checker, 0, task1, "m-2", "a")
		}},
		{"a machine type that the job does not allow", "wrong_place", func(checker *RuleChecker) { checker.RecordTaskStart(0, task0, "m-1", "large", "a", false) }},
		{"a spot machine that the job does not allow", "wrong_place", func(checker *RuleChecker) { checker.RecordTaskStart(0, task0, "m-1", "small", "a", true) }},
		{"a single-zone job in two zones", "wrong_place", func(checker *RuleChecker) {
			job.SingleZone = true
			startTask(checker, 0, task0, "m-1", "a")
			startTask(checker, 0, task1, "m-2", "b")
		}},
		{"a job that is spread over zones, in one zone", "wrong_place", func(checker *RuleChecker) {
			job.SpreadZones = true
			startTask(checker, 0, task0, "m-1", "a")
			startTask(checker, 0, task1, "m-2", "a")
		}},
		{"a task that is left after cancel_s", "ran_cancelled", func(checker *RuleChecker) {
			startTask(checker, 0, task0, "m-1", "a")
			checker.RecordCancelRequest("j-1")
			checker.RecordReply(0, 0, protocol.RequestCancel, "j-1", 200, protocol.JobCancelled)
			checker.CheckTimeouts(31 * time.Second)
		}},
		{"a start after the cancellation", "ran_cancelled", func(checker *RuleChecker) {
			checker.RecordCancelRequest("j-1")
			checker.RecordReply(0, 0, protocol.RequestCancel, "j-1", 200, protocol.JobCancelled)
			startTask(checker, 31*time.Second, task0, "m-1", "a")
		}},
		{"an accepted job is unknown", "forgotten", func(checker *RuleChecker) {
			checker.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			checker.RecordReply(0, 0, protocol.RequestQuery, "j-1", 404, "")
		}},
		{"an accepted job is rejected", "forgotten", func(checker *RuleChecker) {
			checker.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			checker.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 422, "")
		}},
		{"a job that was never submitted is known", "invented", func(checker *RuleChecker) {
			checker.RecordReply(0, 0, protocol.RequestQuery, "j-2", 200, protocol.JobQueued)
		}},
		{"done before its tasks", "not_done", func(checker *RuleChecker) {
			checker.RecordReply(0, 0, protocol.RequestQuery, "j-1", 200, protocol.JobDone)
		}},
		{"cancelled, then running", "went_back", func(checker *RuleChecker) {
			checker.RecordCancelRequest("j-1")
			checker.RecordReply(0, 0, protocol.RequestCancel, "j-1", 200, protocol.JobCancelled)
			checker.RecordReply(0, 0, protocol.RequestQuery, "j-1", 200, protocol.JobRunning)
		}},
		{"cancelled without a request", "went_back", func(checker *RuleChecker) {
			checker.RecordReply(0, 0, protocol.RequestQuery, "j-1", 200, protocol.JobCancelled)
		}},
		{"no task started at all", "nothing_ran", func(checker *RuleChecker) { checker.CheckFinal(0) }},
		{"no reply after the faults have ended", "forgotten", func(checker *RuleChecker) {
			checker.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			checker.RecordRequest(time.Second, "j-1")
			checker.RecordReply(2*time.Second, 2*time.Second, protocol.RequestQuery, "j-1", 503, "")
			checker.FaultsEndedAt = 10 * time.Second
			checker.CheckTimeouts(86 * time.Second)
		}},
		{"less than half of a class is served", "unserved", func(checker *RuleChecker) {
			startTask(checker, 0, task0, "m-1", "a")
			checker.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			checker.CheckFinal(time.Minute)
		}},
		{"the largest job of a class is not served, though most other jobs are", "unserved", func(checker *RuleChecker) {
			checker.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			for i := 0; i < 3; i++ {
				smallJob := &protocol.Job{ID: protocol.JobID(fmt.Sprintf("j-%d", 7+i)), Team: "x", TaskCount: 1, Cores: 1, MachineTypes: job.MachineTypes}
				checker.RecordSubmission(0, smallJob)
				checker.RecordReply(0, 0, protocol.RequestSubmit, smallJob.ID, 201, protocol.JobQueued)
				startTask(checker, 0, protocol.Task{Job: smallJob.ID}, "m-1", "a")
				checker.RecordTaskEnd(protocol.Task{Job: smallJob.ID}, true)
			}
			checker.CheckFinal(time.Minute)
		}},
		{"the largest job of a class starts too late", "unserved", func(checker *RuleChecker) {
			checker.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			startTask(checker, 241*time.Second, task0, "m-1", "a")
			startTask(checker, 241*time.Second, task1, "m-1", "a")
			checker.RecordTaskEnd(task0, true)
			checker.RecordTaskEnd(task1, true)
			checker.CheckFinal(5 * time.Minute)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			job.SingleZone, job.SpreadZones = false, false
			checker := NewRuleChecker(30 * time.Second)
			checker.RecordSubmission(0, job)
			test.violateRule(checker)
			if len(checker.Violations) == 0 || !strings.HasPrefix(checker.Violations[0], test.wantRule+":") {
				t.Errorf("want a violation of rule %s first, got %v", test.wantRule, checker.Violations)
			}
		})
	}
}

// TestRuleCheckerDetectsStaleReplies checks that the rule checker reports a reply whose state is
// older than the state that another controller reported milliseconds before. The checker allows the
// older state if the request was sent before that report.
func TestRuleCheckerDetectsStaleReplies(t *testing.T) {
	const reportedAt = time.Second
	job := newArray("j-000001", "l", "high", 1, 1, 1)
	for _, test := range []struct {
		name        string
		firstState  protocol.JobState // reported at reportedAt
		sentAt      time.Duration     // when the second request was sent
		requestType protocol.RequestType
		status      int
		secondState protocol.JobState
		wantRule    string // empty if the second reply violates no rule
	}{
		{"cancelled, then running", protocol.JobCancelled, reportedAt + 2*time.Millisecond, protocol.RequestQuery, 200, protocol.JobRunning, "went_back"},
		{"cancelled, then done", protocol.JobCancelled, reportedAt + 2*time.Millisecond, protocol.RequestSubmit, 200, protocol.JobDone, "went_back"},
		{"done, then queued", protocol.JobDone, reportedAt + time.Millisecond, protocol.RequestSubmit, 200, protocol.JobQueued, "went_back"},
		{"accepted, then unknown", protocol.JobQueued, reportedAt + time.Millisecond, protocol.RequestQuery, 404, "", "forgotten"},
		{"accepted, then rejected", protocol.JobQueued, reportedAt + time.Millisecond, protocol.RequestSubmit, 422, "", "forgotten"},
		{"sent before the cancellation was reported", protocol.JobCancelled, reportedAt - 2*time.Millisecond, protocol.RequestQuery, 200, protocol.JobRunning, ""},
		{"unavailable", protocol.JobCancelled, reportedAt + time.Millisecond, protocol.RequestQuery, 503, "", ""},
		{"the same state", protocol.JobCancelled, reportedAt + time.Millisecond, protocol.RequestQuery, 200, protocol.JobCancelled, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			checker := NewRuleChecker(time.Minute)
			checker.RecordSubmission(0, job)
			if test.firstState == protocol.JobCancelled {
				checker.RecordCancelRequest(job.ID)
			}
			if test.firstState == protocol.JobDone || test.secondState == protocol.JobDone {
				checker.job(job.ID).completedTasks[0] = true
			}
			checker.RecordReply(reportedAt, reportedAt-5*time.Millisecond, protocol.RequestQuery, job.ID, 200, test.firstState)
			checker.RecordReply(reportedAt+6*time.Millisecond, test.sentAt, test.requestType, job.ID, test.status, test.secondState)
			violatedRule := ""
			if len(checker.Violations) > 0 {
				violatedRule, _, _ = strings.Cut(checker.Violations[0], ":")
			}
			if violatedRule != test.wantRule || len(checker.Violations) > 1 {
				t.Errorf("violations %q, want one of rule %q, or none if that is empty", checker.Violations, test.wantRule)
			}
		})
	}
}
