package simulation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

// Each check of the rules can fail.
func TestRuleCheckerDetectsViolations(t *testing.T) {
	job := &protocol.Job{ID: "j-1", Team: "x", TaskCount: 2, Cores: 2, Kind: protocol.KindArray, MachineTypes: []protocol.MachineTypeName{"small"}}
	p0, p1 := protocol.Task{Job: "j-1"}, protocol.Task{Job: "j-1", Index: 1}
	begin := func(r *RuleChecker, now time.Duration, p protocol.Task, m protocol.MachineID, z protocol.Zone) {
		r.RecordTaskStart(now, p, m, "small", z, false)
	}
	for _, c := range []struct {
		name string
		rule string // that is broken
		act  func(r *RuleChecker)
	}{
		{"two attempts at once", "ran_twice", func(r *RuleChecker) { begin(r, 0, p0, "m-1", "a"); begin(r, 1, p0, "m-2", "a") }},
		{"two tasks beyond the quota", "quota", func(r *RuleChecker) { r.QuotaLimits["x"] = 3; begin(r, 0, p0, "m-1", "a"); begin(r, 0, p1, "m-2", "a") }},
		{"another machine type", "wrong_place", func(r *RuleChecker) { r.RecordTaskStart(0, p0, "m-1", "large", "a", false) }},
		{"spot without leave", "wrong_place", func(r *RuleChecker) { r.RecordTaskStart(0, p0, "m-1", "small", "a", true) }},
		{"two zones of a single-zone job", "wrong_place", func(r *RuleChecker) { job.SingleZone = true; begin(r, 0, p0, "m-1", "a"); begin(r, 0, p1, "m-2", "b") }},
		{"one zone of a spread job", "wrong_place", func(r *RuleChecker) { job.SpreadZones = true; begin(r, 0, p0, "m-1", "a"); begin(r, 0, p1, "m-2", "a") }},
		{"a task left after cancel_s", "ran_cancelled", func(r *RuleChecker) {
			begin(r, 0, p0, "m-1", "a")
			r.RecordCancelRequest("j-1")
			r.RecordReply(0, 0, protocol.RequestCancel, "j-1", 200, protocol.JobCancelled)
			r.CheckTimeouts(31 * time.Second)
		}},
		{"a start after the cancellation", "ran_cancelled", func(r *RuleChecker) {
			r.RecordCancelRequest("j-1")
			r.RecordReply(0, 0, protocol.RequestCancel, "j-1", 200, protocol.JobCancelled)
			begin(r, 31*time.Second, p0, "m-1", "a")
		}},
		{"an accepted job is unknown", "forgotten", func(r *RuleChecker) {
			r.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			r.RecordReply(0, 0, protocol.RequestQuery, "j-1", 404, "")
		}},
		{"an accepted job is rejected", "forgotten", func(r *RuleChecker) {
			r.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			r.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 422, "")
		}},
		{"an unknown job is known", "invented", func(r *RuleChecker) { r.RecordReply(0, 0, protocol.RequestQuery, "j-2", 200, protocol.JobQueued) }},
		{"done without its tasks", "not_done", func(r *RuleChecker) { r.RecordReply(0, 0, protocol.RequestQuery, "j-1", 200, protocol.JobDone) }},
		{"cancelled, then running", "went_back", func(r *RuleChecker) {
			r.RecordCancelRequest("j-1")
			r.RecordReply(0, 0, protocol.RequestCancel, "j-1", 200, protocol.JobCancelled)
			r.RecordReply(0, 0, protocol.RequestQuery, "j-1", 200, protocol.JobRunning)
		}},
		{"cancelled without a request", "went_back", func(r *RuleChecker) { r.RecordReply(0, 0, protocol.RequestQuery, "j-1", 200, protocol.JobCancelled) }},
		{"no task at all", "nothing_ran", func(r *RuleChecker) { r.CheckFinal(0) }},
		{"no reply in calm times", "forgotten", func(r *RuleChecker) {
			r.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			r.RecordRequest(time.Second, "j-1")
			r.RecordReply(2*time.Second, 2*time.Second, protocol.RequestQuery, "j-1", 503, "")
			r.FaultsEndedAt = 10 * time.Second
			r.CheckTimeouts(86 * time.Second)
		}},
		{"half of a class", "unserved", func(r *RuleChecker) { // its class
			begin(r, 0, p0, "m-1", "a")
			r.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			r.CheckFinal(time.Minute)
		}},
		{"the largest of a class", "unserved", func(r *RuleChecker) { // the largest of its class, though most others are
			r.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			for i := 0; i < 3; i++ {
				o := &protocol.Job{ID: protocol.JobID(fmt.Sprintf("j-%d", 7+i)), Team: "x", TaskCount: 1, Cores: 1, MachineTypes: job.MachineTypes}
				r.RecordSubmission(0, o)
				r.RecordReply(0, 0, protocol.RequestSubmit, o.ID, 201, protocol.JobQueued)
				begin(r, 0, protocol.Task{Job: o.ID}, "m-1", "a")
				r.RecordTaskEnd(protocol.Task{Job: o.ID}, true)
			}
			r.CheckFinal(time.Minute)
		}},
		{"a late start", "unserved", func(r *RuleChecker) { // starts too late
			r.RecordReply(0, 0, protocol.RequestSubmit, "j-1", 201, protocol.JobQueued)
			begin(r, 241*time.Second, p0, "m-1", "a")
			begin(r, 241*time.Second, p1, "m-1", "a")
			r.RecordTaskEnd(p0, true)
			r.RecordTaskEnd(p1, true)
			r.CheckFinal(5 * time.Minute)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			job.SingleZone, job.SpreadZones = false, false
			r := NewRuleChecker(30 * time.Second)
			r.RecordSubmission(0, job)
			c.act(r)
			if len(r.Violations) == 0 || !strings.HasPrefix(r.Violations[0], c.rule+":") {
				t.Errorf("%s was not reported: %v", c.rule, r.Violations)
			}
		})
	}
}

// The checker reports a reply that goes back between two controllers within milliseconds, and
// allows the older state in the reply to a request that was sent before.
func TestRuleCheckerDetectsStaleReplies(t *testing.T) {
	const reportedAt = time.Second
	job := newArray("j-000001", "l", "high", 1, 1, 1)
	for _, c := range []struct {
		name        string
		first       protocol.JobState // reported at reportedAt
		sentAt      time.Duration     // of the second request
		requestType protocol.RequestType
		status      int
		second      protocol.JobState
		broken      string
	}{
		{"cancelled, then running", protocol.JobCancelled, reportedAt + 2*time.Millisecond, protocol.RequestQuery, 200, protocol.JobRunning, "went_back"},
		{"cancelled, then done", protocol.JobCancelled, reportedAt + 2*time.Millisecond, protocol.RequestSubmit, 200, protocol.JobDone, "went_back"},
		{"done, then queued", protocol.JobDone, reportedAt + time.Millisecond, protocol.RequestSubmit, 200, protocol.JobQueued, "went_back"},
		{"accepted, then unknown", protocol.JobQueued, reportedAt + time.Millisecond, protocol.RequestQuery, 404, "", "forgotten"},
		{"accepted, then rejected", protocol.JobQueued, reportedAt + time.Millisecond, protocol.RequestSubmit, 422, "", "forgotten"},
		{"sent before", protocol.JobCancelled, reportedAt - 2*time.Millisecond, protocol.RequestQuery, 200, protocol.JobRunning, ""},
		{"unavailable", protocol.JobCancelled, reportedAt + time.Millisecond, protocol.RequestQuery, 503, "", ""},
		{"the same", protocol.JobCancelled, reportedAt + time.Millisecond, protocol.RequestQuery, 200, protocol.JobCancelled, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			checker := NewRuleChecker(time.Minute)
			checker.RecordSubmission(0, job)
			if c.first == protocol.JobCancelled {
				checker.RecordCancelRequest(job.ID)
			}
			if c.first == protocol.JobDone || c.second == protocol.JobDone {
				checker.job(job.ID).completedTasks[0] = true
			}
			checker.RecordReply(reportedAt, reportedAt-5*time.Millisecond, protocol.RequestQuery, job.ID, 200, c.first)
			checker.RecordReply(reportedAt+6*time.Millisecond, c.sentAt, c.requestType, job.ID, c.status, c.second)
			broken := ""
			if len(checker.Violations) > 0 {
				broken, _, _ = strings.Cut(checker.Violations[0], ":")
			}
			if broken != c.broken || len(checker.Violations) > 1 {
				t.Errorf("%q, want %q", checker.Violations, c.broken)
			}
		})
	}
}
