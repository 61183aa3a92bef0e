package storage

import (
	"encoding/json"
	"slices"
	"strings"

	"tillerarch/internal/protocol"
)

// putPart applies a part, and then the record that waits for it, if there is one.
func (r *Replica) putPart(name PartName, data json.RawMessage, revision protocol.ModRevision) error {
	if err := putRecord(r.parts, name, data, revision, decodeJSON); err != nil {
		return err
	}
	key := name.RecordKey()
	waiting, isIncomplete := r.incomplete[key]
	if !isIncomplete {
		return nil
	}
	_, err := r.Put(key, waiting.data, waiting.modRevision)
	return err
}

// partText is a PartLookup in the replica.
func (r *Replica) partText(name PartName) (text string, ok bool) {
	if part := r.parts[name]; part != nil {
		return part.Record.Text, true
	}
	return "", false
}

// HasPart reports whether the replica has a part.
func (r *Replica) HasPart(name PartName) bool { return r.parts[name] != nil }

// IncompleteCount returns the number of records of which a part has not arrived.
func (r *Replica) IncompleteCount() int { return len(r.incomplete) }

// partBytes returns the total size of the texts of parts of a record, in bytes.
func (r *Replica) partBytes(recordKey string, hashes []PartHash) (size int) {
	for _, hash := range hashes {
		text, _ := r.partText(partName(recordKey, hash))
		size += len(text)
	}
	return size
}

// UnusedParts returns the names of the parts that no record uses or will use, sorted. A record that
// is not in parts may have parts that were written in advance for its next change, unless it is the
// record of a job that has ended.
func (r *Replica) UnusedParts() (names []PartName) {
	for name := range r.parts {
		if r.isUnused(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// isUnused reports whether no record uses a part or will use it.
func (r *Replica) isUnused(name PartName) bool {
	recordKey := name.RecordKey()
	if _, isIncomplete := r.incomplete[recordKey]; isIncomplete {
		return false
	}
	switch key := parseKey(recordKey); key.kind {
	case jobKind:
		entry := r.Jobs[key.job()]
		if entry == nil {
			return false
		}
		record := &entry.Record
		isPrepared := len(record.SpecParts) == 0 && !record.State.IsTerminal()
		return !isPrepared && !slices.Contains(record.SpecParts, name.hash()) && !slices.Contains(record.StateParts, name.hash())
	case shardKind:
		shard := r.Shards[key.shard()]
		return shard == nil || !slices.Contains(shard.Parts, name.hash())
	}
	return false
}

// OwnerOfPart returns the incarnation that owns the record of a part, or an empty name if the record
// has no owner or does not exist.
func (r *Replica) OwnerOfPart(name PartName) Incarnation {
	key := parseKey(name.RecordKey())
	if entry := r.Jobs[key.job()]; key.kind == jobKind && entry != nil {
		return entry.Record.Owner
	}
	if shard := r.Shards[key.shard()]; key.kind == shardKind && shard != nil {
		return shard.Owner
	}
	return ""
}

// IsPartKey reports whether a key is the key of a part.
func IsPartKey(key string) bool { return strings.HasPrefix(key, partPrefix) }

// DecodePart decodes the name and the text of a part.
func DecodePart(key string, data json.RawMessage) (part Part, err error) {
	record, err := decodeJSON[partRecord](data)
	return Part{PartName(strings.TrimPrefix(key, partPrefix)), record.Text}, err
}
