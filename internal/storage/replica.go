package storage

import (
	"encoding/json"
	"fmt"

	"tillerarch/internal/protocol"
)

// maxTombstones bounds the deleted keys that are remembered; beyond it all are forgotten.
const maxTombstones = 5000

// Versioned is a record with the revision of its last change.
type Versioned[T any] struct {
	Record      T
	ModRevision protocol.ModRevision
	EncodedSize int // bytes of its encoded form
}

// Replica is a copy of all records, complete up to Revision; this process's own writes may be
// newer. Frequent queries have an index: nothing here walks the whole fleet for one job or
// one machine.
type Replica struct {
	Revision         protocol.Revision
	Jobs             map[protocol.JobID]*Versioned[JobRecord]
	Shards           map[ShardID]*Shard
	Machines         map[protocol.MachineID]*Machine
	Controllers      map[protocol.ControllerID]*Versioned[ControllerRecord]
	QuotaRevisions   map[string]protocol.ModRevision // by team
	Transfers        map[TransferSlot]*Versioned[TransferRecord]
	Drains           map[protocol.ControllerID]*Versioned[DrainRecord]
	RegistryRevision protocol.ModRevision                     // of RegistryKey
	Format           Versioned[FormatRecord]                  // of FormatKey
	UnfinishedJobs   map[protocol.JobID]*Versioned[JobRecord] // neither done nor cancelled
	CancellingJobs   map[protocol.JobID]*Versioned[JobRecord] // unfinished, with cancellation requested

	// OnMachineChange is called for each machine whose record has changed; before or
	// after may be nil. May be nil itself.
	OnMachineChange func(id protocol.MachineID, before, after *MachineRecord)

	machineIndex   machineIndex
	completedIndex completedIndex

	// tombstones holds the revisions of deleted shard keys: a watch and this process's own
	// writes reach the replica in any order, and an older value must not bring a shard back.
	tombstones map[string]protocol.ModRevision
}

// NewReplica makes an empty replica.
func NewReplica() *Replica {
	return &Replica{
		Jobs:           map[protocol.JobID]*Versioned[JobRecord]{},
		UnfinishedJobs: map[protocol.JobID]*Versioned[JobRecord]{},
		CancellingJobs: map[protocol.JobID]*Versioned[JobRecord]{},
		Shards:         map[ShardID]*Shard{},
		Machines:       map[protocol.MachineID]*Machine{},
		Controllers:    map[protocol.ControllerID]*Versioned[ControllerRecord]{},
		QuotaRevisions: map[string]protocol.ModRevision{},
		Transfers:      map[TransferSlot]*Versioned[TransferRecord]{},
		Drains:         map[protocol.ControllerID]*Versioned[DrainRecord]{},
		machineIndex:   newMachineIndex(),
		completedIndex: newCompletedIndex(),
		tombstones:     map[string]protocol.ModRevision{},
	}
}

// ModRevision is the revision of a key's last change as far as the replica knows; 0 if it has
// no such key.
func (r *Replica) ModRevision(key string) protocol.ModRevision {
	return r.modRevision(parseKey(key))
}

func (r *Replica) modRevision(key recordKey) protocol.ModRevision {
	switch key.kind {
	case jobKind:
		return modRevisionOf(r.Jobs, key.job())
	case shardKind:
		if shard := r.Shards[key.shard()]; shard != nil {
			return shard.ModRevision
		}
	case controllerKind:
		return modRevisionOf(r.Controllers, key.controller())
	case quotaKind:
		return r.QuotaRevisions[key.team()]
	case transferKind:
		return modRevisionOf(r.Transfers, key.transferSlot())
	case drainKind:
		return modRevisionOf(r.Drains, key.controller())
	case registryKind:
		return r.RegistryRevision
	case formatKind:
		return r.Format.ModRevision
	}
	return 0
}

func modRevisionOf[K comparable, T any](records map[K]*Versioned[T], key K) protocol.ModRevision {
	if entry := records[key]; entry != nil {
		return entry.ModRevision
	}
	return 0
}

// Put applies a key's value unless the replica has the same or a newer one; applied tells
// whether it did. A record that can't be read leaves the old one in place.
func (r *Replica) Put(key string, data json.RawMessage, revision protocol.ModRevision) (applied bool, err error) {
	parsed := parseKey(key)
	if revision <= r.modRevision(parsed) || revision <= r.tombstones[key] {
		return false, nil
	}
	delete(r.tombstones, key)
	if err := r.put(parsed, data, revision); err != nil {
		return false, fmt.Errorf("record %s at revision %d: %w", key, revision, err)
	}
	return true, nil
}

// put applies a value that is newer than what the replica has.
func (r *Replica) put(key recordKey, data json.RawMessage, revision protocol.ModRevision) error {
	switch key.kind {
	case jobKind:
		return r.putJob(key.job(), data, revision)
	case shardKind:
		return r.putShard(key.shard(), data, revision)
	case controllerKind:
		return putRecord(r.Controllers, key.controller(), data, revision, decodeJSON)
	case quotaKind:
		r.QuotaRevisions[key.team()] = revision
	case transferKind:
		return putRecord(r.Transfers, key.transferSlot(), data, revision, decodeTransfer)
	case drainKind:
		return putRecord(r.Drains, key.controller(), data, revision, decodeJSON)
	case registryKind:
		r.RegistryRevision = revision
	case formatKind:
		return r.putFormat(data, revision)
	}
	return nil
}

// decodeJSON reads a record that is plain JSON in every format.
func decodeJSON[T any](data json.RawMessage) (record T, err error) {
	err = json.Unmarshal(data, &record)
	return record, err
}

func putRecord[K comparable, T any](
	records map[K]*Versioned[T],
	key K,
	data json.RawMessage,
	revision protocol.ModRevision,
	decode func(json.RawMessage) (T, error),
) error {
	record, err := decode(data)
	if err != nil {
		return err
	}
	records[key] = &Versioned[T]{Record: record, ModRevision: revision, EncodedSize: len(data)}
	return nil
}

func (r *Replica) putFormat(data json.RawMessage, revision protocol.ModRevision) error {
	record, err := decodeJSON[FormatRecord](data)
	if err != nil {
		return err
	}
	r.Format = Versioned[FormatRecord]{Record: record, ModRevision: revision, EncodedSize: len(data)}
	return nil
}

// putJob applies a job's record and keeps the indexes of jobs by state.
func (r *Replica) putJob(id protocol.JobID, data json.RawMessage, revision protocol.ModRevision) error {
	r.completedIndex.invalidate(id)
	if err := putRecord(r.Jobs, id, data, revision, decodeJob); err != nil {
		return err
	}
	entry := r.Jobs[id]
	delete(r.CancellingJobs, id)
	if entry.Record.State.IsTerminal() || entry.Record.Spec == nil {
		delete(r.UnfinishedJobs, id)
		return nil
	}
	r.UnfinishedJobs[id] = entry
	if entry.Record.CancelRequested {
		r.CancellingJobs[id] = entry
	}
	return nil
}

// Delete applies a key's deletion unless the replica has a newer value. The keys of quotas,
// the registry and the format are never deleted by any version; their deletion is ignored.
func (r *Replica) Delete(key string, revision protocol.ModRevision) {
	parsed := parseKey(key)
	if revision <= r.modRevision(parsed) {
		return
	}
	switch parsed.kind {
	case shardKind:
		r.addTombstone(key, revision)
		r.deleteShard(parsed.shard())
	case controllerKind:
		delete(r.Controllers, parsed.controller())
	case transferKind:
		delete(r.Transfers, parsed.transferSlot())
	case drainKind:
		delete(r.Drains, parsed.controller())
	case jobKind:
		delete(r.Jobs, parsed.job())
		delete(r.UnfinishedJobs, parsed.job())
		delete(r.CancellingJobs, parsed.job())
	}
}

func (r *Replica) addTombstone(key string, revision protocol.ModRevision) {
	if len(r.tombstones) > maxTombstones {
		r.tombstones = map[string]protocol.ModRevision{}
	}
	r.tombstones[key] = revision
}

// IsAlive tells whether an incarnation is the live one of its controller.
func (r *Replica) IsAlive(incarnation Incarnation) bool {
	entry := r.Controllers[incarnation.Controller()]
	return incarnation != "" && entry != nil && entry.Record.Incarnation == incarnation
}
