package protocol

import (
	"encoding/json"
	"fmt"
	"net/url"
)

// Paths of the store.
const (
	PathKeys        = "/keys"
	PathTransaction = "/multi"
	PathLeases      = "/holds"
	PathWatch       = "/follow"
	renewSuffix     = "/extend"
)

// Limits of the store.
const (
	// KeyPageSize is the number of keys on one page of a listing.
	KeyPageSize = 1000
	// MaxTransactionBytes is the maximum size of an encoded transaction.
	MaxTransactionBytes = 64 << 10
)

// Condition is a condition of a transaction. It holds if the key has this ModRevision. Zero
// means that the key must not exist.
type Condition struct {
	Key         string      `json:"key"`
	ModRevision ModRevision `json:"stamp"`
}

// Operation is a put or a delete in a transaction.
type Operation struct {
	PutKey string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	// Lease is the lease to which a put attaches its key. Zero detaches the key from any
	// lease.
	Lease     LeaseID `json:"tenancy,omitempty"`
	DeleteKey string  `json:"delete,omitempty"`
}

// Transaction is applied as a whole if all its conditions hold, and not at all otherwise.
// Without operations, it only checks the conditions.
type Transaction struct {
	Conditions []Condition `json:"when"`
	Operations []Operation `json:"then,omitempty"`
}

// Sizes, in bytes, of the JSON around keys, values and lists, with numbers of 20 digits.
const (
	conditionFrameBytes   = len(`{"key":"","stamp":18446744073709551615},`)
	operationFrameBytes   = len(`{"put":"","data":,"tenancy":18446744073709551615},`)
	transactionFrameBytes = len(`{"when":[],"then":[]}`)
)

// Size returns the largest size of the encoded condition, in bytes.
func (c *Condition) Size() int { return conditionFrameBytes + encodedTextSize(c.Key) }

// Size returns the largest size of the encoded operation, in bytes.
func (o *Operation) Size() int {
	return operationFrameBytes + encodedTextSize(o.PutKey+o.DeleteKey) + len(o.Value)
}

// Size returns the largest size of the encoded transaction, in bytes.
func (t *Transaction) Size() int {
	size := transactionFrameBytes
	for i := range t.Conditions {
		size += t.Conditions[i].Size()
	}
	for i := range t.Operations {
		size += t.Operations[i].Size()
	}
	return size
}

// encodedTextSize returns the size of a text in JSON, without the quotes.
func encodedTextSize(text string) int {
	const quotes = 2
	return len(Encode(text)) - quotes
}

// TransactionResult is the response to a transaction and to a read of a missing key.
type TransactionResult struct {
	Revision   Revision `json:"ledger_rev"`
	FailedKeys []string `json:"failed"` // keys whose conditions do not hold
	Error      string   `json:"error"`
}

// Entry is a key with its value.
type Entry struct {
	Key         string          `json:"key"`
	Value       json.RawMessage `json:"data"`
	ModRevision ModRevision     `json:"stamp"`
}

// EntryPage is one page of a listing, sorted by key.
type EntryPage struct {
	Entries  []Entry  `json:"items"`
	HasMore  bool     `json:"more"`
	Revision Revision `json:"ledger_rev"`
}

// Event is one change that a watch reports, a put or a delete.
type Event struct {
	PutKey      string          `json:"put"`
	DeleteKey   string          `json:"delete"`
	Value       json.RawMessage `json:"data"`
	ModRevision ModRevision     `json:"stamp"`
}

// WatchResponse holds all changes up to its revision.
type WatchResponse struct {
	Revision Revision `json:"ledger_rev"`
	Events   []Event  `json:"news"`
}

// Lease is both the request for a lease, with TTLMillis, and the response to it, with ID.
type Lease struct {
	TTLMillis int64   `json:"ttl_ms,omitempty"`
	ID        LeaseID `json:"tenancy,omitempty"`
}

// ListKeysPath returns the request target of the page of keys that begins after a key.
// With an empty key, it returns the target of the first page.
func ListKeysPath(prefix, after string) string {
	path := fmt.Sprintf("%s?starts=%s&page=%d", PathKeys, url.QueryEscape(prefix), KeyPageSize)
	if after != "" {
		path += "&from=" + url.QueryEscape(after)
	}
	return path
}

// GetKeyPath returns the request target of one key. The store requires that slashes in the
// key are not escaped.
func GetKeyPath(key string) string { return PathKeys + "/" + key }

// WatchKeysPath returns the request target of a watch for changes after a revision. The
// store answers at the first change, or after waitMillis without a change.
func WatchKeysPath(prefix string, after Revision, waitMillis int) string {
	return fmt.Sprintf("%s?starts=%s&from=%d&wait_ms=%d", PathWatch, url.QueryEscape(prefix), after, waitMillis)
}

// RenewLeasePath returns the request target that renews a lease.
func RenewLeasePath(id LeaseID) string {
	return fmt.Sprintf("%s/%d%s", PathLeases, id, renewSuffix)
}
