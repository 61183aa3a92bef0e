package storage

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"unicode"

	"tillerarch/internal/protocol"
)

// KeyPrefix is the prefix of all keys. All keys share it so that one watch reports every change
// and the revision of the replica can reach that of the store.
const KeyPrefix = "t/"

// Prefixes of the keys of each kind of record. A version that does not know a prefix ignores
// the keys that have it.
const (
	jobPrefix        = KeyPrefix + "j/"
	shardPrefix      = KeyPrefix + "p/"
	controllerPrefix = KeyPrefix + "n/"
	quotaPrefix      = KeyPrefix + "q/"
	transferPrefix   = KeyPrefix + "m/"
	drainPrefix      = KeyPrefix + "d/"
	partPrefix       = KeyPrefix + "s/"
)

const (
	// maxKeyBytes is the maximum length of a key of the store.
	maxKeyBytes = 200
	// hashedNamePrefix marks a hash in a key that stands in place of a name.
	hashedNamePrefix = "~"
)

// RegistryKey is the key that every transaction writes that adds a machine. Machines have no
// keys of their own whose absence a transaction could require. Without RegistryKey, two
// controllers could add the same machine to two shards.
const RegistryKey = KeyPrefix + "roll"

// FormatKey is the key of the format in which records may be written. The format is raised once
// every controller of the deployment has been seen to read it, and is never lowered. A version that
// does not know the key ignores it.
const FormatKey = KeyPrefix + "format"

// revisionProbeKey is a key that never exists. The response to a read of it contains the
// revision of the store.
const revisionProbeKey = KeyPrefix + "rev"

// JobKey returns the key of a job's record.
func JobKey(id protocol.JobID) string { return jobPrefix + string(id) }

// ShardKey returns the key of a shard's record.
func ShardKey(id ShardID) string { return shardPrefix + string(id) }

// ControllerKey returns the key of a controller's record, which names its live incarnation.
func ControllerKey(controller protocol.ControllerID) string {
	return controllerPrefix + string(controller)
}

// QuotaKey returns the key that serializes the placements of a team that has a limit. A name that the
// store does not accept as part of a key is replaced by a hash of it.
func QuotaKey(team string) string {
	if len(quotaPrefix)+len(team) <= maxKeyBytes && !strings.ContainsFunc(team, isForbiddenInKey) {
		return quotaPrefix + team
	}
	digest := sha256.Sum256([]byte(team))
	return quotaPrefix + hashedNamePrefix + hex.EncodeToString(digest[:])
}

// isForbiddenInKey reports whether the store refuses keys that contain a character.
func isForbiddenInKey(char rune) bool { return unicode.IsSpace(char) || unicode.IsControl(char) }

// TransferKey returns the key of the transfer record in a slot.
func TransferKey(slot TransferSlot) string { return transferPrefix + string(slot) }

// DrainKey returns the key that marks a controller as draining. While the key exists, the
// controller and its later incarnations transfer their machines to others and receive none.
func DrainKey(controller protocol.ControllerID) string { return drainPrefix + string(controller) }

// recordKind is the kind of record under a key.
type recordKind uint8

// Kinds of records. Keys that only later versions use are of unknownKind.
const (
	unknownKind recordKind = iota
	jobKind
	shardKind
	controllerKind
	quotaKind
	transferKind
	drainKind
	partKind
	registryKind
	formatKind
)

// recordKey is a parsed key.
type recordKey struct {
	kind recordKind
	name string // part after the prefix, for kinds that have more than one key
}

// prefixLength is the length of the prefix of each kind of record, such as jobPrefix.
const prefixLength = len(KeyPrefix) + 2

// parseKey splits a key into the kind of its record and its name. Only parseKey maps keys to
// kinds of records.
func parseKey(key string) recordKey {
	if len(key) < prefixLength {
		return recordKey{}
	}
	name := key[prefixLength:]
	switch key[:prefixLength] {
	case jobPrefix:
		return recordKey{jobKind, name}
	case shardPrefix:
		return recordKey{shardKind, name}
	case controllerPrefix:
		return recordKey{controllerKind, name}
	case quotaPrefix:
		return recordKey{quotaKind, name}
	case transferPrefix:
		return recordKey{transferKind, name}
	case drainPrefix:
		return recordKey{drainKind, name}
	case partPrefix:
		return recordKey{partKind, name}
	}
	switch key {
	case RegistryKey:
		return recordKey{kind: registryKind}
	case FormatKey:
		return recordKey{kind: formatKind}
	}
	return recordKey{}
}

func (k recordKey) job() protocol.JobID               { return protocol.JobID(k.name) }
func (k recordKey) shard() ShardID                    { return ShardID(k.name) }
func (k recordKey) controller() protocol.ControllerID { return protocol.ControllerID(k.name) }
func (k recordKey) quota() string                     { return k.name }
func (k recordKey) part() PartName                    { return PartName(k.name) }
func (k recordKey) transferSlot() TransferSlot        { return TransferSlot(k.name) }
