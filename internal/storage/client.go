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

// Outcome is the outcome of a transaction.
type Outcome int

// Outcomes of transactions. A transaction of unknown outcome may have been applied, or may
// still be applied later.
const (
	OutcomeApplied Outcome = iota
	OutcomeConflict
	OutcomeThrottled    // status 429; not executed
	OutcomeUnavailable  // status 503, or the request was never sent; not executed
	OutcomeLeaseExpired // not executed
	OutcomeInvalid      // status 400; not executed
	OutcomeUnknown
)

// String returns the name of the outcome in plain words.
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

// Caller sends HTTP requests. Call sends one request. An error that wraps transport.ErrNotSent
// means that the request never left this process. After any other error, the request may or may
// not have been executed.
type Caller interface {
	Call(method, target string, body []byte, timeout time.Duration) (*transport.Response, error)
}

// Client is a client of the key-value store. Its methods return errors of type *RequestError.
type Client struct {
	RequestCaller Caller        // sends requests that the store answers at once
	WatchCaller   Caller        // sends watches, each of which occupies a connection until it is answered
	Timeout       time.Duration // timeout of a request that the store answers at once
}

// listTimeoutFactor multiplies Client.Timeout for a page of a listing, because a page is large.
const listTimeoutFactor = 2

// ErrRevisionTooOld means that the store has compacted the changes that a watch asked for.
var ErrRevisionTooOld = errors.New("revision too old")

// ErrLeaseExpired means that a lease has ended.
var ErrLeaseExpired = errors.New("lease has ended")

// errMalformedResponse is the cause of a RequestError if the response is valid JSON but lacks
// a required field.
var errMalformedResponse = errors.New("malformed response")

// leaseExpiredText is the error text of the store's response, of status 400, to a transaction
// whose lease has ended.
const leaseExpiredText = "no such lease"

// RequestError describes a request to the key-value store that failed or got an unexpected
// response.
type RequestError struct {
	Method string
	Path   string // path and query, which name the key, prefix or lease
	Status int    // status of the response, or 0 if there was none
	Err    error  // cause, or nil if the status alone explains the failure
}

// Error returns the method and path of the request, the status and the cause.
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

// Unwrap returns the cause, so that errors.Is finds transport.ErrNotSent, ErrLeaseExpired and
// ErrRevisionTooOld.
func (e *RequestError) Unwrap() error { return e.Err }

// request is a request to the store.
type request struct {
	method string
	path   string
	body   []byte
}

// send sends the request and returns its response. The error names the request.
func (req request) send(caller Caller, timeout time.Duration) (*transport.Response, error) {
	response, err := caller.Call(req.method, req.path, req.body, timeout)
	if err != nil {
		return nil, &RequestError{Method: req.method, Path: req.path, Err: err}
	}
	return response, nil
}

// unexpectedResponseError returns the error of a response that the request must not get.
func (req request) unexpectedResponseError(response *transport.Response, cause error) error {
	return &RequestError{Method: req.method, Path: req.path, Status: response.Status, Err: cause}
}

// decodeResponse decodes the body of a response into target. It returns an error if the response
// has another status than the given one.
func (req request) decodeResponse(response *transport.Response, status int, target any) error {
	if response.Status != status {
		return req.unexpectedResponseError(response, nil)
	}
	if err := json.Unmarshal(response.Body, target); err != nil {
		return req.unexpectedResponseError(response, err)
	}
	return nil
}

// Commit sends a transaction. The error explains the outcomes OutcomeUnavailable, OutcomeInvalid
// and OutcomeUnknown, and is nil for all other outcomes.
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
		return OutcomeUnavailable, result, req.unexpectedResponseError(response, nil)
	}
	if err := json.Unmarshal(response.Body, &result); err != nil && response.Status != http.StatusBadRequest {
		return OutcomeUnknown, result, req.unexpectedResponseError(response, err)
	}
	switch {
	case response.Status == http.StatusOK && result.Revision > 0:
		return OutcomeApplied, result, nil
	case response.Status == http.StatusOK:
		return OutcomeUnknown, result, req.unexpectedResponseError(response, errMalformedResponse)
	case response.Status == http.StatusConflict:
		return OutcomeConflict, result, nil
	case response.Status == http.StatusBadRequest && result.Error == leaseExpiredText:
		return OutcomeLeaseExpired, result, nil
	case response.Status == http.StatusBadRequest:
		return OutcomeInvalid, result, req.unexpectedResponseError(response, rejectionReason(result))
	}
	return OutcomeUnknown, result, req.unexpectedResponseError(response, nil)
}

// rejectionReason returns the reason that the store gives for rejecting a transaction, or nil if
// it gives none.
func rejectionReason(result protocol.TransactionResult) error {
	if result.Error == "" {
		return nil
	}
	return errors.New(result.Error)
}

// Revision returns the store's current revision. It reads a key that does not exist, because the
// response to that contains the revision.
func (c *Client) Revision() (protocol.Revision, error) {
	req := request{method: http.MethodGet, path: protocol.GetKeyPath(revisionProbeKey)}
	response, err := req.send(c.RequestCaller, c.Timeout)
	if err != nil {
		return 0, err
	}
	var result protocol.TransactionResult
	if err := req.decodeResponse(response, http.StatusNotFound, &result); err != nil {
		return 0, err
	}
	return result.Revision, nil
}

// GrantLease creates a lease that ends unless it is renewed within ttl.
func (c *Client) GrantLease(ttl time.Duration) (protocol.LeaseID, error) {
	body := protocol.Encode(protocol.Lease{TTLMillis: ttl.Milliseconds()})
	req := request{http.MethodPost, protocol.PathLeases, body}
	response, err := req.send(c.RequestCaller, c.Timeout)
	if err != nil {
		return 0, err
	}
	var lease protocol.Lease
	if err := req.decodeResponse(response, http.StatusOK, &lease); err != nil {
		return 0, err
	}
	if lease.ID == 0 {
		return 0, req.unexpectedResponseError(response, errMalformedResponse)
	}
	return lease.ID, nil
}

// RenewLease renews a lease. An error that wraps ErrLeaseExpired means that the lease has ended.
func (c *Client) RenewLease(id protocol.LeaseID) error {
	req := request{http.MethodPost, protocol.RenewLeasePath(id), []byte("{}")}
	response, err := req.send(c.RequestCaller, c.Timeout)
	switch {
	case err != nil:
		return err
	case response.Status == http.StatusNotFound:
		return req.unexpectedResponseError(response, ErrLeaseExpired)
	case response.Status != http.StatusOK:
		return req.unexpectedResponseError(response, nil)
	}
	return nil
}

// LoadRecords reads all records. It reads the pages of the listing at different revisions, so
// that the entries are complete only together with the changes after startRevision up to
// endRevision.
func (c *Client) LoadRecords() (entries []protocol.Entry, startRevision, endRevision protocol.Revision, err error) {
	lastKey := ""
	for first := true; ; first = false {
		page, err := c.listEntries(lastKey)
		if err != nil {
			return nil, 0, 0, err
		}
		if first {
			startRevision = page.Revision
		}
		endRevision = page.Revision
		entries = append(entries, page.Entries...)
		if !page.HasMore || len(page.Entries) == 0 {
			return entries, startRevision, endRevision, nil
		}
		lastKey = page.Entries[len(page.Entries)-1].Key
	}
}

// listEntries reads the page of records whose keys follow the key after.
func (c *Client) listEntries(after string) (page protocol.EntryPage, err error) {
	req := request{method: http.MethodGet, path: protocol.ListKeysPath(KeyPrefix, after)}
	response, err := req.send(c.RequestCaller, listTimeoutFactor*c.Timeout)
	if err != nil {
		return page, err
	}
	err = req.decodeResponse(response, http.StatusOK, &page)
	return page, err
}

// Watch waits up to wait for changes after a revision. An error that wraps
// ErrRevisionTooOld means that the store no longer has all of these changes.
func (c *Client) Watch(after protocol.Revision, wait time.Duration) (*protocol.WatchResponse, error) {
	path := protocol.WatchKeysPath(KeyPrefix, after, int(wait.Milliseconds()))
	req := request{method: http.MethodGet, path: path}
	response, err := req.send(c.WatchCaller, wait+c.Timeout)
	if err != nil {
		return nil, err
	}
	if response.Status == http.StatusGone {
		return nil, req.unexpectedResponseError(response, ErrRevisionTooOld)
	}
	var result protocol.WatchResponse
	if err := req.decodeResponse(response, http.StatusOK, &result); err != nil {
		return nil, err
	}
	return &result, nil
}
