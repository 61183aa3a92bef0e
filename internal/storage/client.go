package storage

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/transport"
)

// Outcome of a transaction.
type Outcome int

// Outcomes of transactions. Unknown ones may have been applied, or may still be.
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
	return [...]string{"applied", "conflict", "busy", "refused", "no lease", "invalid", "unknown"}[o]
}

// Caller sends one HTTP request.
type Caller interface {
	Call(method, target string, body []byte, timeout time.Duration) (*transport.Response, error)
}

// Client is the client of the state service.
type Client struct {
	RequestCaller Caller // short calls
	WatchCaller   Caller // /follow, on a connection of its own
	Timeout       time.Duration
}

// ErrRevisionTooOld says that /follow no longer has the changes asked for.
var ErrRevisionTooOld = errors.New("revision too old")

// ErrLeaseExpired says that a lease has ended.
var ErrLeaseExpired = errors.New("lease has ended")

func unexpectedStatus(response *transport.Response) error {
	return fmt.Errorf("state service answered %d", response.Status)
}

// Commit carries out a transaction.
func (c *Client) Commit(transaction protocol.Transaction) (Outcome, protocol.TransactionResult, error) {
	var result protocol.TransactionResult
	response, err := c.RequestCaller.Call("POST", protocol.PathTransaction, protocol.Encode(transaction), c.Timeout)
	if errors.Is(err, transport.ErrNotSent) {
		return OutcomeUnavailable, result, err
	}
	if err != nil {
		return OutcomeUnknown, result, err
	}
	switch response.Status {
	case 429:
		return OutcomeThrottled, result, nil
	case 503:
		return OutcomeUnavailable, result, unexpectedStatus(response)
	}
	if err := json.Unmarshal(response.Body, &result); err != nil && response.Status != 400 {
		return OutcomeUnknown, result, err
	}
	switch {
	case response.Status == 200 && result.Revision > 0:
		return OutcomeApplied, result, nil
	case response.Status == 409:
		return OutcomeConflict, result, nil
	case response.Status == 400 && result.Error == "no such lease":
		return OutcomeLeaseExpired, result, nil
	case response.Status == 400:
		return OutcomeInvalid, result, unexpectedStatus(response)
	}
	return OutcomeUnknown, result, unexpectedStatus(response)
}

// Revision reads the service's revision.
func (c *Client) Revision() (protocol.Revision, error) {
	response, err := c.RequestCaller.Call("GET", protocol.GetKeyPath(RevisionProbeKey), nil, c.Timeout)
	if err != nil {
		return 0, err
	}
	var result protocol.TransactionResult
	if response.Status != 404 {
		return 0, unexpectedStatus(response)
	}
	if err := json.Unmarshal(response.Body, &result); err != nil {
		return 0, err
	}
	return result.Revision, nil
}

// GrantLease asks for a lease.
func (c *Client) GrantLease(ttl time.Duration) (protocol.LeaseID, error) {
	response, err := c.RequestCaller.Call("POST", protocol.PathLeases, protocol.Encode(protocol.Lease{TTLMillis: ttl.Milliseconds()}), c.Timeout)
	if err != nil {
		return 0, err
	}
	var lease protocol.Lease
	if response.Status != 200 {
		return 0, unexpectedStatus(response)
	}
	if err := json.Unmarshal(response.Body, &lease); err != nil || lease.ID == 0 {
		return 0, fmt.Errorf("malformed lease answer: %v", err)
	}
	return lease.ID, nil
}

// RenewLease renews a lease; ErrLeaseExpired says that it has ended.
func (c *Client) RenewLease(id protocol.LeaseID) error {
	response, err := c.RequestCaller.Call("POST", protocol.RenewLeasePath(id), []byte("{}"), c.Timeout)
	switch {
	case err != nil:
		return err
	case response.Status == 404:
		return ErrLeaseExpired
	case response.Status != 200:
		return unexpectedStatus(response)
	}
	return nil
}

// LoadRecords reads all records. The pages are not of one moment: what is read is
// whole only together with the changes from revision from up to until.
func (c *Client) LoadRecords() (entries []protocol.Entry, from, until protocol.Revision, err error) {
	lastKey := ""
	for first := true; ; first = false {
		response, err := c.RequestCaller.Call("GET", protocol.ListKeysPath(KeyPrefix, lastKey), nil, 2*c.Timeout)
		if err != nil {
			return nil, 0, 0, err
		}
		if response.Status != 200 {
			return nil, 0, 0, unexpectedStatus(response)
		}
		var page protocol.EntryPage
		if err := json.Unmarshal(response.Body, &page); err != nil {
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

// Watch waits for changes behind a revision.
func (c *Client) Watch(from protocol.Revision, wait time.Duration) (*protocol.WatchResponse, error) {
	response, err := c.WatchCaller.Call("GET", protocol.WatchKeysPath(KeyPrefix, from, int(wait.Milliseconds())), nil, wait+c.Timeout)
	if err != nil {
		return nil, err
	}
	switch response.Status {
	case 200:
	case 410:
		return nil, ErrRevisionTooOld
	default:
		return nil, unexpectedStatus(response)
	}
	var result protocol.WatchResponse
	if err := json.Unmarshal(response.Body, &result); err != nil {
		return nil, err
	}
	return &result, nil
}
