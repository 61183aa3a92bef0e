package storage

import (
	"encoding/json"
	"errors"
	"fmt"

	"tillerarch/internal/protocol"
)

// maxTombstones is the number of tombstones beyond which the replica discards all of them.
const maxTombstones = 5000

// Versioned is a record with the revision of its last change.
type Versioned[T any] struct {
	Record      T
	ModRevision protocol.ModRevision
	EncodedSize int // size in bytes of what a change of the record writes
}

// Replica is a copy of all records. It contains all changes up to Revision, and possibly later
// writes of this process. Frequent queries use an index, so that no query about one job or one
// machine iterates over the whole fleet.
type Replica struct {
	Revision         protocol.Revision
	Jobs             map[protocol.JobID]*Versioned[JobRecord]
	Shards           map[ShardID]*Shard
	Machines         map[protocol.MachineID]*Machine
	Controllers      map[protocol.ControllerID]*Versioned[ControllerRecord]
	QuotaRevisions   map[string]protocol.ModRevision // last changes of the quota keys, by the part after the prefix
	Transfers        map[TransferSlot]*Versioned[TransferRecord]
	Drains           map[protocol.ControllerID]*Versioned[DrainRecord]
	RegistryRevision protocol.ModRevision                     // last change of RegistryKey
	Format           Versioned[FormatRecord]                  // value of FormatKey
	UnfinishedJobs   map[protocol.JobID]*Versioned[JobRecord] // jobs that are neither done nor cancelled
	CancellingJobs   map[protocol.JobID]*Versioned[JobRecord] // unfinished jobs whose cancellation is requested

	// OnMachineChange, if not nil, is called for each machine that is added or removed or
	// whose encoded line changes. before is nil for an added machine, and after is nil for a
	// removed one.
	OnMachineChange func(id protocol.MachineID, before, after *MachineRecord)

	machineIndex       machineIndex
	completedTaskIndex completedTaskIndex

	// tombstones maps deleted shard keys to the revisions of their deletion. Changes from a
	// watch and this process's own writes reach the replica in any order, and an older value
	// must not restore a deleted shard.
	tombstones map[string]protocol.ModRevision

	parts map[PartName]*Versioned[partRecord]

	// incomplete holds, by key, the newest values that refer to parts that have not arrived.
	// The replica keeps the earlier record until they have.
	incomplete map[string]incompleteRecord
}

// incompleteRecord is a value that refers to parts that are not known yet.
type incompleteRecord struct {
	data        json.RawMessage
	modRevision protocol.ModRevision
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{
		Jobs:               map[protocol.JobID]*Versioned[JobRecord]{},
		UnfinishedJobs:     map[protocol.JobID]*Versioned[JobRecord]{},
		CancellingJobs:     map[protocol.JobID]*Versioned[JobRecord]{},
		Shards:             map[ShardID]*Shard{},
		Machines:           map[protocol.MachineID]*Machine{},
		Controllers:        map[protocol.ControllerID]*Versioned[ControllerRecord]{},
		QuotaRevisions:     map[string]protocol.ModRevision{},
		Transfers:          map[TransferSlot]*Versioned[TransferRecord]{},
		Drains:             map[protocol.ControllerID]*Versioned[DrainRecord]{},
		machineIndex:       newMachineIndex(),
		completedTaskIndex: newCompletedTaskIndex(),
		tombstones:         map[string]protocol.ModRevision{},
		parts:              map[PartName]*Versioned[partRecord]{},
		incomplete:         map[string]incompleteRecord{},
	}
}

// ModRevision returns the revision of the last change of a key that the replica contains, or 0
// if the replica does not have the key.
func (r *Replica) ModRevision(key string) protocol.ModRevision {
	return r.modRevision(parseKey(key))
}

// modRevision is ModRevision for a parsed key.
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
		return r.QuotaRevisions[key.quota()]
	case transferKind:
		return modRevisionOf(r.Transfers, key.transferSlot())
	case drainKind:
		return modRevisionOf(r.Drains, key.controller())
	case partKind:
		return modRevisionOf(r.parts, key.part())
	case registryKind:
		return r.RegistryRevision
	case formatKind:
		return r.Format.ModRevision
	}
	return 0
}

// modRevisionOf returns the revision of the last change of a record in a map, or 0 if there is
// no such record.
func modRevisionOf[K comparable, T any](records map[K]*Versioned[T], key K) protocol.ModRevision {
	if entry := records[key]; entry != nil {
		return entry.ModRevision
	}
	return 0
}

// Put applies a key's value unless the replica has the same or a newer one. applied reports
// whether the value was applied. If the value cannot be decoded, the replica keeps the old
// record.
func (r *Replica) Put(key string, data json.RawMessage, revision protocol.ModRevision) (applied bool, err error) {
	parsed := parseKey(key)
	if revision <= r.modRevision(parsed) || revision <= r.tombstones[key] {
		return false, nil
	}
	if waiting, isIncomplete := r.incomplete[key]; isIncomplete && revision < waiting.modRevision {
		return false, nil
	}
	delete(r.tombstones, key)
	delete(r.incomplete, key)
	if err := r.putNewer(parsed, data, revision); errors.Is(err, errPartsMissing) {
		r.incomplete[key] = incompleteRecord{data, revision}
		return false, nil
	} else if err != nil {
		return false, fmt.Errorf("decode record %s at revision %d: %w", key, revision, err)
	}
	return true, nil
}

// putNewer applies a value that is newer than the one in the replica.
func (r *Replica) putNewer(key recordKey, data json.RawMessage, revision protocol.ModRevision) error {
	switch key.kind {
	case jobKind:
		return r.putJob(key.job(), data, revision)
	case shardKind:
		return r.putShard(key.shard(), data, revision)
	case controllerKind:
		return putRecord(r.Controllers, key.controller(), data, revision, decodeJSON)
	case quotaKind:
		r.QuotaRevisions[key.quota()] = revision
	case transferKind:
		return putRecord(r.Transfers, key.transferSlot(), data, revision, decodeTransfer)
	case drainKind:
		return putRecord(r.Drains, key.controller(), data, revision, decodeJSON)
	case partKind:
		return r.putPart(key.part(), data, revision)
	case registryKind:
		r.RegistryRevision = revision
	case formatKind:
		return r.putFormat(data, revision)
	}
	return nil
}

// decodeJSON decodes a record that is plain JSON in every format.
func decodeJSON[T any](data json.RawMessage) (record T, err error) {
	err = json.Unmarshal(data, &record)
	return record, err
}

// putRecord decodes a record and puts it into a map. After an error the map is unchanged.
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

// putFormat applies the record under FormatKey.
func (r *Replica) putFormat(data json.RawMessage, revision protocol.ModRevision) error {
	record, err := decodeJSON[FormatRecord](data)
	if err != nil {
		return err
	}
	r.Format = Versioned[FormatRecord]{Record: record, ModRevision: revision, EncodedSize: len(data)}
	return nil
}

// putJob applies a job's record and updates UnfinishedJobs and CancellingJobs.
func (r *Replica) putJob(id protocol.JobID, data json.RawMessage, revision protocol.ModRevision) error {
	r.completedTaskIndex.invalidateJob(id)
	decode := func(data json.RawMessage) (JobRecord, error) { return decodeJobInParts(id, data, r.partText) }
	if err := putRecord(r.Jobs, id, data, revision, decode); err != nil {
		return err
	}
	entry := r.Jobs[id]
	entry.EncodedSize += r.partBytes(JobKey(id), entry.Record.StateParts)
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

// Delete applies a key's deletion unless the replica has the same or a newer revision of the
// key. Deletions of the keys of quotas, the registry and the format are ignored, because no
// version deletes them.
func (r *Replica) Delete(key string, revision protocol.ModRevision) {
	parsed := parseKey(key)
	if revision <= r.modRevision(parsed) {
		return
	}
	if r.incomplete[key].modRevision < revision {
		delete(r.incomplete, key)
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
	case partKind:
		delete(r.parts, parsed.part())
	case jobKind:
		delete(r.Jobs, parsed.job())
		delete(r.UnfinishedJobs, parsed.job())
		delete(r.CancellingJobs, parsed.job())
	}
}

// addTombstone remembers the deletion of a shard key.
func (r *Replica) addTombstone(key string, revision protocol.ModRevision) {
	if len(r.tombstones) > maxTombstones {
		r.tombstones = map[string]protocol.ModRevision{}
	}
	r.tombstones[key] = revision
}

// IsAlive reports whether an incarnation is the live one of its controller.
func (r *Replica) IsAlive(incarnation Incarnation) bool {
	entry := r.Controllers[incarnation.Controller()]
	return incarnation != "" && entry != nil && entry.Record.Incarnation == incarnation
}
