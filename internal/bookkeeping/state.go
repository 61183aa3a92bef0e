package bookkeeping

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
	Applied Outcome = iota
	Conflict
	Busy    // 429: not executed
	Refused // 503 or never sent: not executed
	NoLease // not executed
	Invalid // 400: not executed
	Unknown
)

func (o Outcome) String() string {
	return [...]string{"applied", "conflict", "busy", "refused", "no lease", "invalid", "unknown"}[o]
}

// Caller sends one HTTP request.
type Caller interface {
	Call(method, target string, body []byte, timeout time.Duration) (*transport.Answer, error)
}

// State is the client of the state service.
type State struct {
	Calls   Caller // short calls
	Watch   Caller // /follow, on a connection of its own
	Timeout time.Duration
}

// ErrTooOld says that /follow no longer has the changes asked for.
var ErrTooOld = errors.New("revision too old")

// ErrGone says that a lease has ended.
var ErrGone = errors.New("lease has ended")

func status(a *transport.Answer) error { return fmt.Errorf("state service answered %d", a.Status) }

// Commit carries out a transaction.
func (s *State) Commit(m protocol.Multi) (Outcome, protocol.MultiAnswer, error) {
	var ans protocol.MultiAnswer
	a, err := s.Calls.Call("POST", protocol.PathMulti, protocol.Encode(m), s.Timeout)
	if errors.Is(err, transport.ErrNotSent) {
		return Refused, ans, err
	}
	if err != nil {
		return Unknown, ans, err
	}
	switch a.Status {
	case 429:
		return Busy, ans, nil
	case 503:
		return Refused, ans, status(a)
	}
	if err := json.Unmarshal(a.Body, &ans); err != nil && a.Status != 400 {
		return Unknown, ans, err
	}
	switch {
	case a.Status == 200 && ans.Rev > 0:
		return Applied, ans, nil
	case a.Status == 409:
		return Conflict, ans, nil
	case a.Status == 400 && ans.Error == "no such lease":
		return NoLease, ans, nil
	case a.Status == 400:
		return Invalid, ans, status(a)
	}
	return Unknown, ans, status(a)
}

// Rev reads the service's revision.
func (s *State) Rev() (protocol.Rev, error) {
	a, err := s.Calls.Call("GET", protocol.KeyPath(RevProbe), nil, s.Timeout)
	if err != nil {
		return 0, err
	}
	var ans protocol.MultiAnswer
	if a.Status != 404 {
		return 0, status(a)
	}
	if err := json.Unmarshal(a.Body, &ans); err != nil {
		return 0, err
	}
	return ans.Rev, nil
}

// Grant asks for a lease.
func (s *State) Grant(ttl time.Duration) (protocol.LeaseID, error) {
	a, err := s.Calls.Call("POST", protocol.PathHolds, protocol.Encode(protocol.Hold{TTLMS: ttl.Milliseconds()}), s.Timeout)
	if err != nil {
		return 0, err
	}
	var h protocol.Hold
	if a.Status != 200 {
		return 0, status(a)
	}
	if err := json.Unmarshal(a.Body, &h); err != nil || h.Tenancy == 0 {
		return 0, fmt.Errorf("malformed lease answer: %v", err)
	}
	return h.Tenancy, nil
}

// Extend renews a lease; ErrGone says that it has ended.
func (s *State) Extend(id protocol.LeaseID) error {
	a, err := s.Calls.Call("POST", protocol.ExtendPath(id), []byte("{}"), s.Timeout)
	switch {
	case err != nil:
		return err
	case a.Status == 404:
		return ErrGone
	case a.Status != 200:
		return status(a)
	}
	return nil
}

// Load reads all records. The pages are not of one moment: what is read is
// whole only together with the changes from revision from up to until.
func (s *State) Load() (items []protocol.Item, from, until protocol.Rev, err error) {
	last := ""
	for first := true; ; first = false {
		a, err := s.Calls.Call("GET", protocol.KeysPath(Prefix, last), nil, 2*s.Timeout)
		if err != nil {
			return nil, 0, 0, err
		}
		if a.Status != 200 {
			return nil, 0, 0, status(a)
		}
		var page protocol.Items
		if err := json.Unmarshal(a.Body, &page); err != nil {
			return nil, 0, 0, err
		}
		if first {
			from = page.Rev
		}
		until = page.Rev
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, from, until, nil
		}
		last = page.Items[len(page.Items)-1].Key
	}
}

// Follow waits for changes behind a revision.
func (s *State) Follow(from protocol.Rev, wait time.Duration) (*protocol.Followed, error) {
	a, err := s.Watch.Call("GET", protocol.FollowPath(Prefix, from, int(wait.Milliseconds())), nil, wait+s.Timeout)
	if err != nil {
		return nil, err
	}
	switch a.Status {
	case 200:
	case 410:
		return nil, ErrTooOld
	default:
		return nil, status(a)
	}
	var f protocol.Followed
	if err := json.Unmarshal(a.Body, &f); err != nil {
		return nil, err
	}
	return &f, nil
}
