package protocol

import (
	"encoding/json"
	"fmt"
	"net/url"
)

// Paths of the state service, and its limits.
const (
	PathKeys   = "/keys"
	PathMulti  = "/multi"
	PathHolds  = "/holds"
	PathFollow = "/follow"
	extendEnd  = "/extend"
	KeysPage   = 1000
	MaxTxnSize = 60 << 10 // of 64 KiB; the rest is left for the frame
)

// When is a condition of a transaction.
type When struct {
	Key   string `json:"key"`
	Stamp Stamp  `json:"stamp"`
}

// Then is a change of a transaction.
type Then struct {
	Put     string          `json:"put,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
	Tenancy LeaseID         `json:"tenancy,omitempty"`
	Delete  string          `json:"delete,omitempty"`
}

// Multi is a transaction.
type Multi struct {
	When []When `json:"when"`
	Then []Then `json:"then,omitempty"`
}

// MultiAnswer is the answer to a transaction and to a read of a missing key.
type MultiAnswer struct {
	Rev    Rev      `json:"ledger_rev"`
	Failed []string `json:"failed"`
	Error  string   `json:"error"`
}

// Item is a key with its value.
type Item struct {
	Key   string          `json:"key"`
	Data  json.RawMessage `json:"data"`
	Stamp Stamp           `json:"stamp"`
}

// Items is one page of keys.
type Items struct {
	Items []Item `json:"items"`
	More  bool   `json:"more"`
	Rev   Rev    `json:"ledger_rev"`
}

// News is a change seen by /follow.
type News struct {
	Put    string          `json:"put"`
	Delete string          `json:"delete"`
	Data   json.RawMessage `json:"data"`
	Stamp  Stamp           `json:"stamp"`
}

// Followed is the answer of /follow.
type Followed struct {
	Rev  Rev    `json:"ledger_rev"`
	News []News `json:"news"`
}

// Hold is a lease: asked for with TTL, answered with Tenancy.
type Hold struct {
	TTLMS   int64   `json:"ttl_ms,omitempty"`
	Tenancy LeaseID `json:"tenancy,omitempty"`
}

// KeysPath asks for the page of keys behind one.
func KeysPath(prefix, from string) string {
	p := fmt.Sprintf("%s?starts=%s&page=%d", PathKeys, url.QueryEscape(prefix), KeysPage)
	if from != "" {
		p += "&from=" + url.QueryEscape(from)
	}
	return p
}

// KeyPath asks for one key.
func KeyPath(key string) string { return PathKeys + "/" + key }

// FollowPath asks for the changes behind a revision.
func FollowPath(prefix string, from Rev, waitMS int) string {
	return fmt.Sprintf("%s?starts=%s&from=%d&wait_ms=%d", PathFollow, url.QueryEscape(prefix), from, waitMS)
}

// ExtendPath renews a lease.
func ExtendPath(id LeaseID) string { return fmt.Sprintf("%s/%d%s", PathHolds, id, extendEnd) }
