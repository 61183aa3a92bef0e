package requests

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// testJob is the ID of the job in the tests' requests.
const testJob protocol.JobID = "j-1"

// jobBody returns the body of a submission of testJob with two tasks of the given cores each.
func jobBody(cores int) []byte {
	return fmt.Appendf(nil, `{"uid":"j-1","lane":"l","desk":"core","shape":"batch","rank":"low","pieces":2,"cores":%d,
"accelerators":0,"mem_gb":1,"bundle":"b","pull_gb":0,"together":false,"scatter":false,"loaners":false,
"reckon_s":1,"bookmark_s":0,"stow_s":0}`, cores)
}

// machineTypes returns one machine type for each number of cores.
func machineTypes(cores ...float64) []protocol.MachineType {
	types := []protocol.MachineType{}
	for _, machineCores := range cores {
		types = append(types, protocol.MachineType{Name: "s", Cores: machineCores, MemoryGB: 8, Zones: []protocol.Zone{"a"}})
	}
	return types
}

// listMachineTypes replaces the machine types that the cloud offers.
func (f *requestsFixture) listMachineTypes(types []protocol.MachineType) {
	f.catalog.Catalog.OnListMachineTypesResult(step.ListMachineTypesResult{MachineTypes: types})
}

// putJob puts a record of testJob into the replica.
func (f *requestsFixture) putJob(t *testing.T, record storage.JobRecord, modRevision protocol.ModRevision) {
	t.Helper()
	record.Spec = &protocol.Job{ID: testJob, TaskCount: 2, Cores: 1}
	f.Put(t, storage.JobKey(testJob), storage.EncodeJob(storage.FormatPlain, &record), modRevision)
}

// replyStatuses returns the HTTP statuses of the answers since the last call.
func (f *requestsFixture) replyStatuses() []int {
	statuses := []int{}
	for _, reply := range takeEffects[step.Reply](f) {
		statuses = append(statuses, reply.Status)
	}
	return statuses
}

// wantStatuses checks the HTTP statuses of the answers since the last call.
func (f *requestsFixture) wantStatuses(t *testing.T, when string, want ...int) {
	t.Helper()
	if got := f.replyStatuses(); !slices.Equal(got, want) {
		t.Errorf("%s: answered with statuses %v, want %v", when, got, want)
	}
}

// The answer to a deferred request waits until the replica is as new as a revision that was read after
// the request was received, and is determined by the records of that replica.
func TestDeferredRequests(t *testing.T) {
	query := step.UserInput{RequestID: 1, Type: protocol.RequestQuery, Job: testJob}
	cancel := step.UserInput{RequestID: 1, Type: protocol.RequestCancel, Job: testJob}
	submit := func(cores int) step.UserInput {
		return step.UserInput{RequestID: 1, Type: protocol.RequestSubmit, Body: jobBody(cores)}
	}
	for _, test := range []struct {
		name              string
		before            *storage.JobRecord // of the job when the request is received
		request           step.UserInput
		after             *storage.JobRecord     // of the job once the replica has caught up
		newTypes          []protocol.MachineType // replace the cloud's machine types meanwhile, unless nil
		want              []int                  // HTTP statuses of the answers
		isSubmitted       bool                   // the job waits to be recorded
		isCancelRequested bool
	}{
		{
			name:    "query of a job that other controllers have accepted",
			request: query,
			after:   &storage.JobRecord{Owner: "stall-1#1"},
			want:    []int{http.StatusOK},
		},
		{
			name:    "query of an unknown job",
			request: query,
			want:    []int{http.StatusNotFound},
		},
		{
			name:    "cancel of an unknown job",
			request: cancel,
			want:    []int{http.StatusNotFound},
		},
		{
			name:              "cancel of a job that the replica lacked",
			request:           cancel,
			after:             &storage.JobRecord{Owner: "stall-1#1"},
			want:              []int{},
			isCancelRequested: true,
		},
		{
			name:              "cancel of a job that is done meanwhile",
			before:            &storage.JobRecord{Owner: testIncarnation},
			request:           cancel,
			after:             &storage.JobRecord{State: protocol.JobDone, TaskCount: 2},
			want:              []int{http.StatusOK},
			isCancelRequested: true,
		},
		{
			name:    "job too large for any machine",
			request: submit(5),
			want:    []int{http.StatusUnprocessableEntity},
		},
		{
			name:    "job too large, accepted by another controller",
			request: submit(5),
			after:   &storage.JobRecord{Owner: "stall-1#1"},
			want:    []int{http.StatusOK},
		},
		{
			name:        "job too large, larger machines offered meanwhile",
			request:     submit(5),
			newTypes:    machineTypes(8),
			want:        []int{},
			isSubmitted: true,
		},
		{
			name:     "job too large, machine types no longer known",
			request:  submit(5),
			newTypes: machineTypes(),
			want:     []int{http.StatusServiceUnavailable},
		},
		{
			name:    "job recorded with another owner",
			before:  &storage.JobRecord{Owner: "stall-1#1"},
			request: submit(1),
			after:   &storage.JobRecord{Owner: "stall-1#1"},
			want:    []int{http.StatusOK},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newRegisteredFixture(t)
			fixture.listMachineTypes(machineTypes(4))
			if test.before != nil {
				fixture.putJob(t, *test.before, 2)
			}
			fixture.Users.OnUserInput(test.request)
			if reads := takeEffects[step.ReadRevision](fixture); len(reads) != 1 {
				t.Fatalf("the store's revision is read %d times, want once", len(reads))
			}
			fixture.Users.ReplyToPendingRequests()
			fixture.wantStatuses(t, "before the revision is known")

			fixture.Users.OnReadRevisionResult(step.ReadRevisionResult{Revision: 9})
			fixture.Replica.Revision = 8
			fixture.Users.ReplyToPendingRequests()
			fixture.wantStatuses(t, "with an older replica")

			fixture.Replica.Revision = 9
			if test.after != nil {
				fixture.putJob(t, *test.after, 9)
			}
			if test.newTypes != nil {
				fixture.listMachineTypes(test.newTypes)
			}
			fixture.Users.ReplyToPendingRequests()
			fixture.wantStatuses(t, "with a replica at the read revision", test.want...)
			if fixture.Users.HasSubmissions() != test.isSubmitted {
				t.Errorf("the job waits to be recorded: %v, want %v", fixture.Users.HasSubmissions(), test.isSubmitted)
			}
			if isWaiting := len(test.want) == 0 && !test.isSubmitted; fixture.Users.HasDeferredRequests() != isWaiting {
				t.Errorf("the request is still deferred: %v, want %v", fixture.Users.HasDeferredRequests(), isWaiting)
			}
			if got := fixture.canceller.HasRequests(); got != test.isCancelRequested {
				t.Errorf("cancellation requested: %v, want %v", got, test.isCancelRequested)
			}
		})
	}
}

// A cancellation is answered once the job is recorded as cancelled, not once the request is recorded.
func TestCancelAwaitsConfirmation(t *testing.T) {
	fixture := newRegisteredFixture(t)
	fixture.putJob(t, storage.JobRecord{Owner: testIncarnation}, 2)
	fixture.Users.OnUserInput(step.UserInput{RequestID: 1, Type: protocol.RequestCancel, Job: testJob})
	fixture.Users.OnReadRevisionResult(step.ReadRevisionResult{Revision: 2})
	fixture.Users.ReplyToPendingRequests()
	fixture.wantStatuses(t, "cancellation requested")
	fixture.putJob(t, storage.JobRecord{Owner: testIncarnation, CancelRequested: true}, 3)
	fixture.Replica.Revision = 3
	fixture.Users.ReplyToPendingRequests()
	fixture.wantStatuses(t, "cancellation request recorded")
	fixture.putJob(t, storage.JobRecord{Owner: testIncarnation, State: protocol.JobCancelled}, 4)
	fixture.Replica.Revision = 4
	fixture.Users.ReplyToPendingRequests()
	fixture.wantStatuses(t, "cancellation confirmed", http.StatusOK)
}

// A read of the revision serves only the requests that were received before the read began. Requests
// that are received during the read share the next one.
func TestRevisionReadsAreShared(t *testing.T) {
	fixture := newRegisteredFixture(t)
	query := func(id step.RequestID) {
		fixture.Users.OnUserInput(step.UserInput{RequestID: id, Type: protocol.RequestQuery, Job: testJob})
	}
	query(1)
	query(2)
	query(3)
	if reads := takeEffects[step.ReadRevision](fixture); len(reads) != 1 {
		t.Fatalf("%d reads of the revision for three requests, want 1 until its result arrives", len(reads))
	}
	fixture.Users.OnReadRevisionResult(step.ReadRevisionResult{Revision: 2})
	fixture.Users.ReplyToPendingRequests()
	if replies := takeEffects[step.Reply](fixture); len(replies) != 1 || replies[0].RequestID != 1 {
		t.Errorf("replies after the first read are %v, want only that to the first request", replies)
	}
	fixture.Users.OnReadRevisionResult(step.ReadRevisionResult{Err: errors.New("no answer")})
	fixture.wantStatuses(t, "second read failed", http.StatusServiceUnavailable, http.StatusServiceUnavailable)
	if fixture.Users.HasDeferredRequests() {
		t.Error("rejected requests are still deferred")
	}
}

// Requests that have waited longer than Config.UserRequestTimeout, or that are waiting while the store
// is unavailable, are rejected with a Retry-After header.
func TestExpireUserRequests(t *testing.T) {
	allRejected := slices.Repeat([]int{http.StatusServiceUnavailable}, 3)
	for _, test := range []struct {
		name       string
		wait       time.Duration
		storeFails bool
		want       []int
	}{
		{name: "at the timeout", wait: 1500 * time.Millisecond},
		{name: "after the timeout", wait: 1501 * time.Millisecond, want: allRejected},
		{name: "store unavailable", wait: 1100 * time.Millisecond, storeFails: true, want: allRejected},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newRegisteredFixture(t)
			fixture.listMachineTypes(machineTypes(4))
			for id := range step.RequestID(2) { // two submissions of one job, by two users
				fixture.Users.OnUserInput(step.UserInput{RequestID: id + 1, Type: protocol.RequestSubmit, Body: jobBody(1)})
			}
			if !fixture.Users.HasSubmissions() {
				t.Fatal("the job does not wait to be recorded")
			}
			fixture.Users.OnUserInput(step.UserInput{RequestID: 3, Type: protocol.RequestQuery, Job: "j-2"})
			fixture.Effects = nil
			fixture.Advance(test.wait)
			if test.storeFails {
				for range 2 {
					fixture.commit.Store.RecordContact(fixture.Now.Monotonic, errors.New("no answer"))
				}
			}
			fixture.Users.ExpireUserRequests()
			replies := takeEffects[step.Reply](fixture)
			var statuses []int
			for _, reply := range replies {
				statuses = append(statuses, reply.Status)
				want := string(protocol.Encode(step.ErrorResponse{Error: "cannot decide now"}))
				if reply.RetryAfterSeconds != 1 || string(reply.Body) != want {
					t.Errorf("answered %q with Retry-After %d s, want \"cannot decide now\" and 1 s",
						reply.Body, reply.RetryAfterSeconds)
				}
			}
			if !slices.Equal(statuses, test.want) {
				t.Errorf("answered with statuses %v, want %v", statuses, test.want)
			}
			if isPending := len(test.want) == 0; fixture.Users.HasSubmissions() != isPending || fixture.Users.HasDeferredRequests() != isPending {
				t.Errorf("submissions pending: %v, deferred requests pending: %v, want %v for both",
					fixture.Users.HasSubmissions(), fixture.Users.HasDeferredRequests(), isPending)
			}
		})
	}
}
