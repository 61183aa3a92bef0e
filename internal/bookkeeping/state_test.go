package bookkeeping

import (
	"errors"
	"testing"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/transport"
)

type caller struct {
	status int
	body   string
	err    error
}

func (c caller) Call(string, string, []byte, time.Duration) (*transport.Answer, error) {
	if c.err != nil {
		return nil, c.err
	}
	return &transport.Answer{Status: c.status, Body: []byte(c.body)}, nil
}

// A strange answer is never taken for an outcome: it is unknown, or an error.
func TestStrangeAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer caller
		commit Outcome
		readOK bool // reading a revision takes the answer
	}{
		{"applied", caller{200, `{"ledger_rev":432}`, nil}, Applied, false},
		{"conflict", caller{409, `{"failed":["a/b"],"ledger_rev":431}`, nil}, Conflict, false},
		{"too many requests", caller{429, ``, nil}, Busy, false},
		{"not executed", caller{503, `{}`, nil}, Refused, false},
		{"lease gone", caller{400, `{"error":"no such lease"}`, nil}, NoLease, false},
		{"malformed", caller{400, `oops`, nil}, Invalid, false},
		{"200 without a revision", caller{200, `{}`, nil}, Unknown, false},
		{"200 that is not JSON", caller{200, `<html>`, nil}, Unknown, false},
		{"revision of another type", caller{200, `{"ledger_rev":"x"}`, nil}, Unknown, false},
		{"odd status", caller{302, `{"ledger_rev":1}`, nil}, Unknown, false},
		{"server error", caller{500, `{}`, nil}, Unknown, false},
		{"no answer", caller{err: errors.New("time out")}, Unknown, false},
		{"never sent", caller{err: transport.ErrNotSent}, Refused, false},
		{"a missing key", caller{404, `{"ledger_rev":431}`, nil}, Unknown, true},
	} {
		s := State{Calls: c.answer, Watch: c.answer}
		if got, _, _ := s.Commit(protocol.Multi{}); got != c.commit {
			t.Errorf("%s: %v, want %v", c.name, got, c.commit)
		}
		if rev, err := s.Rev(); (err == nil) != c.readOK || c.readOK && rev != 431 {
			t.Errorf("%s: read %v, %v", c.name, rev, err)
		}
		if _, err := s.Grant(time.Second); err == nil {
			t.Errorf("%s: taken as a lease", c.name)
		}
	}
	if _, err := (&State{Watch: caller{410, ``, nil}}).Follow(1, 0); !errors.Is(err, ErrTooOld) {
		t.Error(err)
	}
	if err := (&State{Calls: caller{404, ``, nil}}).Extend(1); !errors.Is(err, ErrGone) {
		t.Error(err)
	}
}
