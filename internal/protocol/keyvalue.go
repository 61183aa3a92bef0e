package protocol

import (
	"encoding/json"
	"fmt"
	"net/url"
)

// Paths of the state service, and its limits.
const (
	PathKeys            = "/keys"
	PathTransaction     = "/multi"
	PathLeases          = "/holds"
	PathWatch           = "/follow"
	renewSuffix         = "/extend"
	KeyPageSize         = 1000
	MaxTransactionBytes = 60 << 10 // of 64 KiB; the rest is left for the frame
)

// Condition is a condition of a transaction.
type Condition struct {
	Key         string      `json:"key"`
	ModRevision ModRevision `json:"stamp"`
}

// Operation is a change of a transaction.
type Operation struct {
	PutKey    string          `json:"put,omitempty"`
	Value     json.RawMessage `json:"data,omitempty"`
	Lease     LeaseID         `json:"tenancy,omitempty"`
	DeleteKey string          `json:"delete,omitempty"`
}

// Transaction is a transaction.
type Transaction struct {
	Conditions []Condition `json:"when"`
	Operations []Operation `json:"then,omitempty"`
}

// TransactionResult is the answer to a transaction and to a read of a missing key.
type TransactionResult struct {
	Revision   Revision `json:"ledger_rev"`
	FailedKeys []string `json:"failed"`
	Error      string   `json:"error"`
}

// Entry is a key with its value.
type Entry struct {
	Key         string          `json:"key"`
	Value       json.RawMessage `json:"data"`
	ModRevision ModRevision     `json:"stamp"`
}

// EntryPage is one page of keys.
type EntryPage struct {
	Entries  []Entry  `json:"items"`
	HasMore  bool     `json:"more"`
	Revision Revision `json:"ledger_rev"`
}

// Event is a change seen by /follow.
type Event struct {
	PutKey      string          `json:"put"`
	DeleteKey   string          `json:"delete"`
	Value       json.RawMessage `json:"data"`
	ModRevision ModRevision     `json:"stamp"`
}

// WatchResponse is the answer of /follow.
type WatchResponse struct {
	Revision Revision `json:"ledger_rev"`
	Events   []Event  `json:"news"`
}

// Lease is a lease: asked for with TTL, answered with Tenancy.
type Lease struct {
	TTLMillis int64   `json:"ttl_ms,omitempty"`
	ID        LeaseID `json:"tenancy,omitempty"`
}

// ListKeysPath asks for the page of keys behind one.
func ListKeysPath(prefix, after string) string {
	path := fmt.Sprintf("%s?starts=%s&page=%d", PathKeys, url.QueryEscape(prefix), KeyPageSize)
	if after != "" {
		path += "&from=" + url.QueryEscape(after)
	}
	return path
}

// GetKeyPath asks for one key.
func GetKeyPath(key string) string { return PathKeys + "/" + key }

// WatchKeysPath asks for the changes behind a revision.
func WatchKeysPath(prefix string, after Revision, waitMillis int) string {
	return fmt.Sprintf("%s?starts=%s&from=%d&wait_ms=%d", PathWatch, url.QueryEscape(prefix), after, waitMillis)
}

// RenewLeasePath renews a lease.
func RenewLeasePath(id LeaseID) string { return fmt.Sprintf("%s/%d%s", PathLeases, id, renewSuffix) }
