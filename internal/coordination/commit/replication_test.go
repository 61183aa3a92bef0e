package commit

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
)

// Tasks are started only from a replica that is known to be up to date. Answered requests are no
// evidence of that, because the watch may have stalled while a job is cancelled.
func TestIsUpToDate(t *testing.T) {
	for _, test := range []struct {
		name             string
		requestsAnswered bool
		watchAnswered    bool
		want             bool
	}{
		{name: "all requests are answered", requestsAnswered: true, watchAnswered: true, want: true},
		{name: "the watch has stalled", requestsAnswered: true, watchAnswered: false, want: false},
		{name: "nothing is answered", requestsAnswered: false, watchAnswered: false, want: false},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newReadyController(t)
			for range 10 {
				controller.advance(time.Second, step.Tick{})
				if test.requestsAnswered {
					controller.advance(0, step.RenewLeaseResult{LeaseID: 7})
				} else {
					controller.advance(0, step.RenewLeaseResult{LeaseID: 7, Err: errUnreachable})
				}
				if test.watchAnswered {
					revision := controller.Replica.Revision
					controller.advance(0, steptest.UnchangedUntil(revision, revision))
				}
			}
			if got := controller.Replication.IsUpToDate(); got != test.want {
				t.Errorf("IsUpToDate() = %v, want the opposite", got)
			}
		})
	}
}
