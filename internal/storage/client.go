package storage

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/transport"
)

// Outcome of a transaction.
type Outcome int

// Outcomes of transactions. One of unknown outcome may have been applied, or may still be.
const (
	OutcomeApplied Outcome = iota
	OutcomeConflict
	OutcomeThrottled    // 429: not executed
	OutcomeUnavailable  // 503 or never sent: not executed
	OutcomeLeaseExpired // not executed
	OutcomeInvalid      // 400: not executed
	OutcomeUnknown
)

func (o Outcome) String() string {
	return [...]string{
		OutcomeApplied:      "applied",
		OutcomeConflict:     "conflict",
		OutcomeThrottled:    "throttled",
		OutcomeUnavailable:  "unavailable",
		OutcomeLeaseExpired: "lease expired",
		OutcomeInvalid:      "invalid",
		OutcomeUnknown:      "unknown",
	}[o]
}

// Caller sends one HTTP request. An error that wraps transport.ErrNotSent says that the
// request never left this process; any other error leaves open whether it was executed.
type Caller interface {
	Call(method, target string, body []byte, timeout time.Duration) (*transport.Response, error)
}

// Client is the client of the key-value store. Its errors are *RequestError.
type Client struct {
	RequestCaller Caller        // requests that are answered at once
	WatchCaller   Caller        // watches: each occupies a connection until it is answered
	Timeout       time.Duration // of a request that is answered at once
}

// listTimeoutFactor is how much longer a page of a listing may take than another request: it is
// large.
const listTimeoutFactor = 2

// ErrRevisionTooOld says that the store has compacted the changes that a watch asked for.
var ErrRevisionTooOld = errors.New("revision too old")

// ErrLeaseExpired says that a lease has ended.
var ErrLeaseExpired = errors.New("lease has ended")

// errMalformedResponse is the cause where a response can be read and lacks what it must have.
var errMalformedResponse = errors.New("malformed response")

// leaseExpiredText is how the store names the cause of a 400 for a transaction whose lease
// has ended.
const leaseExpiredText = "no such lease"

// RequestError is a request to the key-value store that failed or was answered unexpectedly.
type RequestError struct {
	Method string
	Path   string // with its query, which names the key, prefix or lease
	Status int    // of the response; 0: there was none
	Err    error  // the cause; nil if the status says it all
}

func (e *RequestError) Error() string {
	text := "store: " + e.Method + " " + e.Path
	if e.Status != 0 {
		text += fmt.Sprintf(": status %d", e.Status)
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap gives the cause: transport.ErrNotSent, ErrLeaseExpired and ErrRevisionTooOld are
// found by errors.Is.
func (e *RequestError) Unwrap() error { return e.Err }

// request is one request to the store.
type request struct {
	method string
	path   string
	body   []byte
}

// send sends the request; its error says what was tried.
func (r request) send(caller Caller, timeout time.Duration) (*transport.Response, error) {
	response, err := caller.Call(r.method, r.path, r.body, timeout)
	if err != nil {
		return nil, &RequestError{Method: r.method, Path: r.path, Err: err}
	}
	return response, nil
}

// unexpected is the error of a response that is not what the request was sent for.
func (r request) unexpected(response *transport.Response, cause error) error {
	return &RequestError{Method: r.method, Path: r.path, Status: response.Status, Err: cause}
}

// decode reads a response that must have a status.
func (r request) decode(response *transport.Response, status int, into any) error {
	if response.Status != status {
		return r.unexpected(response, nil)
	}
	if err := json.Unmarshal(response.Body, into); err != nil {
		return r.unexpected(response, err)
	}
	return nil
}

// Commit sends a transaction. The error explains outcomes that the store gives no reason for;
// it is nil for applied, conflicting, throttled ones, and those whose lease has ended.
func (c *Client) Commit(transaction protocol.Transaction) (Outcome, protocol.TransactionResult, error) {
	var result protocol.TransactionResult
	req := request{http.MethodPost, protocol.PathTransaction, protocol.Encode(transaction)}
	response, err := req.send(c.RequestCaller, c.Timeout)
	if errors.Is(err, transport.ErrNotSent) {
		return OutcomeUnavailable, result, err
	}
	if err != nil {
		return OutcomeUnknown, result, err
	}
	switch response.Status {
	case http.StatusTooManyRequests:
		return OutcomeThrottled, result, nil
	case http.StatusServiceUnavailable:
		return OutcomeUnavailable, result, req.unexpected(response, nil)
	}
	if err := json.Unmarshal(response.Body, &result); err != nil && response.Status != http.StatusBadRequest {
		return OutcomeUnknown, result, req.unexpected(response, err)
	}
	switch {
	case response.Status == http.StatusOK && result.Revision > 0:
		return OutcomeApplied, result, nil
	case response.Status == http.StatusOK:
		return OutcomeUnknown, result, req.unexpected(response, errMalformedResponse)
	case response.Status == http.StatusConflict:
		return OutcomeConflict, result, nil
	case response.Status == http.StatusBadRequest && result.Error == leaseExpiredText:
		return OutcomeLeaseExpired, result, nil
	case response.Status == http.StatusBadRequest:
		return OutcomeInvalid, result, req.unexpected(response, reasonOf(result))
	}
	return OutcomeUnknown, result, req.unexpected(response, nil)
}

// reasonOf is the reason that the store gives for a rejected transaction, if any.
func reasonOf(result protocol.TransactionResult) error {
	if result.Error == "" {
		return nil
	}
	return errors.New(result.Error)
}

// Revision reads the store's revision, from the answer to a read of a missing key.
func (c *Client) Revision() (protocol.Revision, error) {
	req := request{method: http.MethodGet, path: protocol.GetKeyPath(revisionProbeKey)}
	response, err := req.send(c.RequestCaller, c.Timeout)
	if err != nil {
		return 0, err
	}
	var result protocol.TransactionResult
	if err := req.decode(response, http.StatusNotFound, &result); err != nil {
		return 0, err
	}
	return result.Revision, nil
}

// GrantLease asks for a lease.
func (c *Client) GrantLease(ttl time.Duration) (protocol.LeaseID, error) {
	body := protocol.Encode(protocol.Lease{TTLMillis: ttl.Milliseconds()})
	req := request{http.MethodPost, protocol.PathLeases, body}
	response, err := req.send(c.RequestCaller, c.Timeout)
	if err != nil {
		return 0, err
	}
	var lease protocol.Lease
	if err := req.decode(response, http.StatusOK, &lease); err != nil {
		return 0, err
	}
	if lease.ID == 0 {
		return 0, req.unexpected(response, errMalformedResponse)
	}
	return lease.ID, nil
}

// RenewLease renews a lease. An error that wraps ErrLeaseExpired says that it has ended.
func (c *Client) RenewLease(id protocol.LeaseID) error {
	req := request{http.MethodPost, protocol.RenewLeasePath(id), []byte("{}")}
	response, err := req.send(c.RequestCaller, c.Timeout)
	switch {
	case err != nil:
		return err
	case response.Status == http.StatusNotFound:
		return req.unexpected(response, ErrLeaseExpired)
	case response.Status != http.StatusOK:
		return req.unexpected(response, nil)
	}
	return nil
}

// LoadRecords reads all records. Its pages are read at different revisions: together they are
// complete only with the changes from revision from up to until.
func (c *Client) LoadRecords() (entries []protocol.Entry, from, until protocol.Revision, err error) {
	lastKey := ""
	for first := true; ; first = false {
		page, err := c.listEntries(lastKey)
		if err != nil {
			return nil, 0, 0, err
		}
		if first {
			from = page.Revision
		}
		until = page.Revision
		entries = append(entries, page.Entries...)
		if !page.HasMore || len(page.Entries) == 0 {
			return entries, from, until, nil
		}
		lastKey = page.Entries[len(page.Entries)-1].Key
	}
}

// listEntries reads the page of records that begins after a key.
func (c *Client) listEntries(after string) (page protocol.EntryPage, err error) {
	req := request{method: http.MethodGet, path: protocol.ListKeysPath(KeyPrefix, after)}
	response, err := req.send(c.RequestCaller, listTimeoutFactor*c.Timeout)
	if err != nil {
		return page, err
	}
	err = req.decode(response, http.StatusOK, &page)
	return page, err
}

// Watch waits for changes after a revision. An error that wraps ErrRevisionTooOld says that
// the store no longer has them.
func (c *Client) Watch(after protocol.Revision, wait time.Duration) (*protocol.WatchResponse, error) {
	path := protocol.WatchKeysPath(KeyPrefix, after, int(wait.Milliseconds()))
	req := request{method: http.MethodGet, path: path}
	response, err := req.send(c.WatchCaller, wait+c.Timeout)
	if err != nil {
		return nil, err
	}
	if response.Status == http.StatusGone {
		return nil, req.unexpected(response, ErrRevisionTooOld)
	}
	var result protocol.WatchResponse
	if err := req.decode(response, http.StatusOK, &result); err != nil {
		return nil, err
	}
	return &result, nil
}
