package commit

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"tillerarch/internal/storage"
)

// Some errors are responses of the store. The store then counts as available although the request
// failed.
func TestRecordContact(t *testing.T) {
	for _, test := range []struct {
		name          string
		err           error
		wantSuccess   bool
		wantAnswering bool
	}{
		{name: "success", wantSuccess: true, wantAnswering: true},
		{name: "lease expired", err: storage.ErrLeaseExpired, wantAnswering: true},
		{name: "revision compacted", err: fmt.Errorf("watch: %w", storage.ErrRevisionTooOld), wantAnswering: true},
		{name: "unreachable", err: errors.New("connection refused")},
	} {
		t.Run(test.name, func(t *testing.T) {
			health := newReadyController(t).Store
			if got := health.RecordContact(health.Now.Monotonic, test.err); got != test.wantSuccess {
				t.Errorf("RecordContact() = %v, want the opposite", got)
			}
			if got := health.IsAnswering(time.Second); got != test.wantAnswering {
				t.Errorf("IsAnswering() = %v, want the opposite", got)
			}
		})
	}
}
