package storage

import (
	"errors"
	"testing"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/transport"
)

type fakeCaller struct {
	status int
	body   string
	err    error
}

func (c fakeCaller) Call(string, string, []byte, time.Duration) (*transport.Response, error) {
	if c.err != nil {
		return nil, c.err
	}
	return &transport.Response{Status: c.status, Body: []byte(c.body)}, nil
}

// A strange answer is never taken for an outcome: it is unknown, or an error.
func TestUnexpectedResponses(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer fakeCaller
		commit Outcome
		readOK bool // reading a revision takes the answer
	}{
		{"applied", fakeCaller{200, `{"ledger_rev":432}`, nil}, OutcomeApplied, false},
		{"conflict", fakeCaller{409, `{"failed":["a/b"],"ledger_rev":431}`, nil}, OutcomeConflict, false},
		{"too many requests", fakeCaller{429, ``, nil}, OutcomeThrottled, false},
		{"not executed", fakeCaller{503, `{}`, nil}, OutcomeUnavailable, false},
		{"lease gone", fakeCaller{400, `{"error":"no such lease"}`, nil}, OutcomeLeaseExpired, false},
		{"malformed", fakeCaller{400, `oops`, nil}, OutcomeInvalid, false},
		{"200 without a revision", fakeCaller{200, `{}`, nil}, OutcomeUnknown, false},
		{"200 that is not JSON", fakeCaller{200, `<html>`, nil}, OutcomeUnknown, false},
		{"revision of another type", fakeCaller{200, `{"ledger_rev":"x"}`, nil}, OutcomeUnknown, false},
		{"odd status", fakeCaller{302, `{"ledger_rev":1}`, nil}, OutcomeUnknown, false},
		{"server error", fakeCaller{500, `{}`, nil}, OutcomeUnknown, false},
		{"no answer", fakeCaller{err: errors.New("time out")}, OutcomeUnknown, false},
		{"never sent", fakeCaller{err: transport.ErrNotSent}, OutcomeUnavailable, false},
		{"a missing key", fakeCaller{404, `{"ledger_rev":431}`, nil}, OutcomeUnknown, true},
	} {
		client := Client{RequestCaller: c.answer, WatchCaller: c.answer}
		if got, _, _ := client.Commit(protocol.Transaction{}); got != c.commit {
			t.Errorf("%s: %v, want %v", c.name, got, c.commit)
		}
		if revision, err := client.Revision(); (err == nil) != c.readOK || c.readOK && revision != 431 {
			t.Errorf("%s: read %v, %v", c.name, revision, err)
		}
		if _, err := client.GrantLease(time.Second); err == nil {
			t.Errorf("%s: taken as a lease", c.name)
		}
	}
	if _, err := (&Client{WatchCaller: fakeCaller{410, ``, nil}}).Watch(1, 0); !errors.Is(err, ErrRevisionTooOld) {
		t.Error(err)
	}
	if err := (&Client{RequestCaller: fakeCaller{404, ``, nil}}).RenewLease(1); !errors.Is(err, ErrLeaseExpired) {
		t.Error(err)
	}
}
