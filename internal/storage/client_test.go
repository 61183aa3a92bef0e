package storage

import (
	"errors"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/transport"
)

// fakeCaller answers every call with the same response or error.
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

// TestUnexpectedResponses checks that an unexpected response is not taken for a known outcome, a
// revision or a lease. The outcome must be unknown, or the call must return an error.
func TestUnexpectedResponses(t *testing.T) {
	for _, test := range []struct {
		name         string
		response     fakeCaller
		wantOutcome  Outcome
		wantRevision bool
	}{
		{"applied", fakeCaller{200, `{"ledger_rev":432}`, nil}, OutcomeApplied, false},
		{"conflict", fakeCaller{409, `{"failed":["a/b"],"ledger_rev":431}`, nil}, OutcomeConflict, false},
		{"too many requests", fakeCaller{429, ``, nil}, OutcomeThrottled, false},
		{"not executed", fakeCaller{503, `{}`, nil}, OutcomeUnavailable, false},
		{"lease expired", fakeCaller{400, `{"error":"no such lease"}`, nil}, OutcomeLeaseExpired, false},
		{"malformed", fakeCaller{400, `oops`, nil}, OutcomeInvalid, false},
		{"200 without a revision", fakeCaller{200, `{}`, nil}, OutcomeUnknown, false},
		{"200 that is not JSON", fakeCaller{200, `<html>`, nil}, OutcomeUnknown, false},
		{"revision of another type", fakeCaller{200, `{"ledger_rev":"x"}`, nil}, OutcomeUnknown, false},
		{"unexpected status", fakeCaller{302, `{"ledger_rev":1}`, nil}, OutcomeUnknown, false},
		{"server error", fakeCaller{500, `{}`, nil}, OutcomeUnknown, false},
		{"no response", fakeCaller{err: errors.New("time out")}, OutcomeUnknown, false},
		{"never sent", fakeCaller{err: transport.ErrNotSent}, OutcomeUnavailable, false},
		{"missing key", fakeCaller{404, `{"ledger_rev":431}`, nil}, OutcomeUnknown, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := Client{RequestCaller: test.response, WatchCaller: test.response}
			if got, _, _ := client.Commit(protocol.Transaction{}); got != test.wantOutcome {
				t.Errorf("Commit returned outcome %v, want %v", got, test.wantOutcome)
			}
			revision, err := client.Revision()
			if (err == nil) != test.wantRevision || test.wantRevision && revision != 431 {
				t.Errorf("Revision returned %v and error %v, want 431 for a missing key and an error otherwise", revision, err)
			}
			if _, err := client.GrantLease(time.Second); err == nil {
				t.Error("GrantLease accepted the response, want an error")
			}
		})
	}
	if _, err := (&Client{WatchCaller: fakeCaller{410, ``, nil}}).Watch(1, 0); !errors.Is(err, ErrRevisionTooOld) {
		t.Error(err)
	}
	if err := (&Client{RequestCaller: fakeCaller{404, ``, nil}}).RenewLease(1); !errors.Is(err, ErrLeaseExpired) {
		t.Error(err)
	}
}

// TestRequestErrors checks that every error of the client names the request that failed, the
// status and the cause.
func TestRequestErrors(t *testing.T) {
	commit := func(c *Client) error {
		_, _, err := c.Commit(protocol.Transaction{})
		return err
	}
	revision := func(c *Client) error {
		_, err := c.Revision()
		return err
	}
	grant := func(c *Client) error {
		_, err := c.GrantLease(time.Second)
		return err
	}
	renew := func(c *Client) error { return c.RenewLease(7) }
	load := func(c *Client) error {
		_, _, _, err := c.LoadRecords()
		return err
	}
	watch := func(c *Client) error {
		_, err := c.Watch(12, time.Second)
		return err
	}
	timeout := errors.New("time out")
	for _, test := range []struct {
		name     string
		call     func(*Client) error
		response fakeCaller
		path     string // start of the path in the error
		status   int
		cause    error  // if not nil, the error must wrap it
		text     string // part of the error text
	}{
		{"commit never sent", commit, fakeCaller{err: transport.ErrNotSent}, "/multi", 0, transport.ErrNotSent,
			"POST /multi: not sent"},
		{"commit without response", commit, fakeCaller{err: timeout}, "/multi", 0, timeout, "time out"},
		{"commit unavailable", commit, fakeCaller{503, ``, nil}, "/multi", 503, nil, "POST /multi: status 503"},
		{"commit rejected", commit, fakeCaller{400, `{"error":"too large"}`, nil}, "/multi", 400, nil,
			"status 400: too large"},
		{"commit rejected, no reason", commit, fakeCaller{400, `oops`, nil}, "/multi", 400, nil, "status 400"},
		{"commit without revision", commit, fakeCaller{200, `{}`, nil}, "/multi", 200, errMalformedResponse, "malformed"},
		{"commit that is not JSON", commit, fakeCaller{200, `<html>`, nil}, "/multi", 200, nil, "invalid character"},
		{"commit with server error", commit, fakeCaller{500, `{}`, nil}, "/multi", 500, nil, "status 500"},
		{"revision with server error", revision, fakeCaller{500, ``, nil}, "/keys/t/rev", 500, nil,
			"GET /keys/t/rev: status 500"},
		{"revision that is not JSON", revision, fakeCaller{404, `x`, nil}, "/keys/t/rev", 404, nil, "invalid character"},
		{"lease without an identifier", grant, fakeCaller{200, `{}`, nil}, "/holds", 200, errMalformedResponse,
			"POST /holds"},
		{"lease not renewed", renew, fakeCaller{404, ``, nil}, "/holds/7", 404, ErrLeaseExpired, "lease has ended"},
		{"renewal with server error", renew, fakeCaller{500, ``, nil}, "/holds/7", 500, nil, "POST /holds/7"},
		{"records not loaded", load, fakeCaller{503, ``, nil}, "/keys?", 503, nil, "GET /keys?"},
		{"records that are not JSON", load, fakeCaller{200, ``, nil}, "/keys?", 200, nil, "unexpected end"},
		{"watch compacted", watch, fakeCaller{410, ``, nil}, "/follow?", 410, ErrRevisionTooOld, "revision too old"},
		{"watch without response", watch, fakeCaller{err: timeout}, "/follow?", 0, timeout, "GET /follow?"},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := test.call(&Client{RequestCaller: test.response, WatchCaller: test.response})
			var failed *RequestError
			if !errors.As(err, &failed) {
				t.Fatalf("error %v is not a *RequestError", err)
			}
			if !strings.HasPrefix(failed.Path, test.path) || failed.Status != test.status {
				t.Errorf("error has path %q and status %d, want the start of the path and the status of the case",
					failed.Path, failed.Status)
			}
			if test.cause != nil && !errors.Is(err, test.cause) {
				t.Errorf("error %v does not wrap %v", err, test.cause)
			}
			if !strings.Contains(err.Error(), test.text) {
				t.Errorf("error text %q does not contain %q", err, test.text)
			}
		})
	}
}
