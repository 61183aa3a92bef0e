package storage

import "tillerarch/internal/protocol"

// KeyPrefix begins every key. It is a single prefix so that one watch sees every change and
// the replica's revision can reach the store's.
const KeyPrefix = "t/"

// Prefixes of the keys of each kind of record. A version that does not know a prefix ignores
// its keys.
const (
	jobPrefix        = KeyPrefix + "j/"
	shardPrefix      = KeyPrefix + "p/"
	controllerPrefix = KeyPrefix + "n/"
	quotaPrefix      = KeyPrefix + "q/"
	transferPrefix   = KeyPrefix + "m/"
	drainPrefix      = KeyPrefix + "d/"
)

// RegistryKey is written by every transaction that adds a machine. Machines have no keys of
// their own whose absence a transaction could require; without this key two controllers
// could put one machine on two shards.
const RegistryKey = KeyPrefix + "roll"

// FormatKey holds the format that may be written. It is raised once every controller of
// the deployment has been seen to read that format, and never lowered. A version that
// does not know the key ignores it.
const FormatKey = KeyPrefix + "format"

// revisionProbeKey never exists: reading it returns the store's revision.
const revisionProbeKey = KeyPrefix + "rev"

// JobKey is the key of a job's record.
func JobKey(id protocol.JobID) string { return jobPrefix + string(id) }

// ShardKey is the key of a shard of machines.
func ShardKey(id ShardID) string { return shardPrefix + string(id) }

// ControllerKey is the key of a controller's live incarnation.
func ControllerKey(controller protocol.ControllerID) string {
	return controllerPrefix + string(controller)
}

// QuotaKey is the key that orders the placements of a team that has a limit.
func QuotaKey(team string) string { return quotaPrefix + team }

// TransferKey is the key of a transfer's record.
func TransferKey(slot TransferSlot) string { return transferPrefix + string(slot) }

// DrainKey is the key by which a controller is drained: while it exists, the controller
// transfers its machines away and receives none, in later incarnations too.
func DrainKey(controller protocol.ControllerID) string { return drainPrefix + string(controller) }

// recordKind tells which kind of record a key holds.
type recordKind uint8

// Kinds of records. Keys of versions to come are of the unknown kind.
const (
	unknownKind recordKind = iota
	jobKind
	shardKind
	controllerKind
	quotaKind
	transferKind
	drainKind
	registryKind
	formatKind
)

// recordKey is a parsed key: the kind of its record and, for kinds that have more than one
// key, the part after the prefix.
type recordKey struct {
	kind recordKind
	name string
}

// prefixLength is the length of every prefix above.
const prefixLength = len(KeyPrefix) + 2

// parseKey takes a key apart. This is the only place that maps keys to kinds of records.
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
func (k recordKey) team() string                      { return k.name }
func (k recordKey) transferSlot() TransferSlot        { return TransferSlot(k.name) }
