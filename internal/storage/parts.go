package storage

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"tillerarch/internal/protocol"
)

// A field of a record that is too large for a value of the store is cut into parts. Each part has a
// key of its own, and the record lists the parts in place of the field. The key of a part contains a
// hash of its text, so a part is written and deleted but never changed, and a record is never read
// with the parts of another version of it. Parts are used from FormatParts on.

// PartHash identifies a part among the parts of one record.
type PartHash string

// PartName is the name of a part: the key of its record without KeyPrefix, a slash and the part's
// hash, such as "j/j-000412/3f6c1b9a0d2e4f587a6b".
type PartName string

// Part is one piece of a field of a record.
type Part struct {
	Name PartName
	Text string
}

// PartLookup returns the text of a part. ok is false if the part is not known.
type PartLookup func(name PartName) (text string, ok bool)

// partRecord is the value of a part's key.
type partRecord struct {
	Text string `json:"p"`
}

const (
	// partOverhead is the size in bytes of an encoded partRecord without its text.
	partOverhead = len(`{"p":""}`)
	// minPartText is the minimum size in bytes of the text of a part that is not the last one.
	minPartText = 64
	// partHashBytes is the number of bytes of the digest that a part's name contains.
	partHashBytes = 10
)

// errPartsMissing is wrapped by the error about a record of which a part is not known yet.
var errPartsMissing = errors.New("parts of the record are missing")

// PartKey returns the key of a part.
func PartKey(name PartName) string { return partPrefix + string(name) }

// Encode returns the value of the part's key.
func (p Part) Encode() json.RawMessage { return MustMarshal(partRecord{p.Text}) }

// partName returns the name of the part of a record with the given hash.
func partName(recordKey string, hash PartHash) PartName {
	return PartName(strings.TrimPrefix(recordKey, KeyPrefix) + "/" + string(hash))
}

// RecordKey returns the key of the record to which the part belongs.
func (n PartName) RecordKey() string {
	return KeyPrefix + string(n[:max(strings.LastIndexByte(string(n), '/'), 0)])
}

// hash returns the hash in the part's name.
func (n PartName) hash() PartHash { return PartHash(n[strings.LastIndexByte(string(n), '/')+1:]) }

// cutIntoParts cuts a text, which must need no escaping in JSON, into parts of at most maxValueBytes
// bytes each when they are encoded.
func cutIntoParts(recordKey, text string, maxValueBytes int) (parts []Part, hashes []PartHash) {
	for chunk := range slices.Chunk([]byte(text), max(maxValueBytes-partOverhead, minPartText)) {
		digest := sha256.Sum256(chunk)
		hash := PartHash(hex.EncodeToString(digest[:partHashBytes]))
		parts = append(parts, Part{partName(recordKey, hash), string(chunk)})
		hashes = append(hashes, hash)
	}
	return parts, hashes
}

// joinParts returns the text that cutIntoParts has cut.
func joinParts(recordKey string, hashes []PartHash, lookup PartLookup) (string, error) {
	var text strings.Builder
	for _, hash := range hashes {
		name := partName(recordKey, hash)
		piece, ok := lookup(name)
		if !ok {
			return "", fmt.Errorf("%w: %s", errPartsMissing, name)
		}
		text.WriteString(piece)
	}
	return text.String(), nil
}

// inflateParts returns the data that was deflated and cut into parts.
func inflateParts(recordKey string, hashes []PartHash, lookup PartLookup) ([]byte, error) {
	text, err := joinParts(recordKey, hashes, lookup)
	if err != nil {
		return nil, err
	}
	return inflate(text)
}

// EncodeJobInParts encodes a job's record in FormatParts so that the value and each part have at most
// maxValueBytes bytes. A record that fits one value has no parts. Otherwise the description is in
// parts, and all other fields too if they do not fit one value. The parts of a description that is in
// parts already stay as they are and are not returned.
func EncodeJobInParts(id protocol.JobID, record *JobRecord, maxValueBytes int) (value json.RawMessage, parts []Part) {
	head := *record
	head.StateParts = nil
	if len(head.SpecParts) == 0 {
		if value = EncodeJob(FormatParts, &head); len(value) <= maxValueBytes || head.Spec == nil {
			return value, nil
		}
		parts, head.SpecParts = CutSpec(id, head.Spec, maxValueBytes)
	}
	head.Spec = nil
	if value = EncodeJob(FormatParts, &head); len(value) <= maxValueBytes {
		return value, parts
	}
	specParts := head.SpecParts
	head.SpecParts = nil
	state := deflate(encodeCompactJob(&head))
	stateParts, stateHashes := cutIntoParts(JobKey(id), state, maxValueBytes)
	value = EncodeJob(FormatParts, &JobRecord{SpecParts: specParts, StateParts: stateHashes})
	return value, append(parts, stateParts...)
}

// CutSpec cuts the description of a job into parts.
func CutSpec(id protocol.JobID, spec *protocol.Job, maxValueBytes int) ([]Part, []PartHash) {
	return cutIntoParts(JobKey(id), deflate(MustMarshal(spec)), maxValueBytes)
}

// SpecExceeds reports whether a description has more than maxBytes bytes, plain as well as packed.
func SpecExceeds(spec *protocol.Job, maxBytes int) bool {
	plain := MustMarshal(spec)
	return len(plain) > maxBytes && len(deflate(plain)) > maxBytes
}

// decodeJobInParts decodes a job's record in any format, and reads from its parts what is not in the
// value.
func decodeJobInParts(id protocol.JobID, data json.RawMessage, lookup PartLookup) (JobRecord, error) {
	record, err := decodeJob(data)
	if err != nil {
		return record, err
	}
	specParts, stateParts := record.SpecParts, record.StateParts
	if len(stateParts) > 0 {
		state, err := inflateParts(JobKey(id), stateParts, lookup)
		if err != nil {
			return record, err
		}
		record = JobRecord{}
		if err := json.Unmarshal(state, &record); err != nil {
			return record, err
		}
	}
	record.SpecParts, record.StateParts = specParts, stateParts
	if len(specParts) == 0 {
		return record, nil
	}
	spec, err := inflateParts(JobKey(id), specParts, lookup)
	if err != nil {
		return record, err
	}
	return record, json.Unmarshal(spec, &record.Spec)
}

// shardInParts is the value of a ShardKey whose machines and completed tasks are in parts.
type shardInParts struct {
	Owner Incarnation `json:"o"`
	Epoch ShardEpoch  `json:"b"`
	Parts []PartHash  `json:"y"` // of the result of packShard
}

// EncodeShardInParts encodes a shard's record so that the value and each part have at most
// maxValueBytes bytes. The lines are those that MachineRecord.EncodeLine returns for the machines of
// the shard.
func EncodeShardInParts(
	id ShardID, owner Incarnation, epoch ShardEpoch, lines []string, completed map[protocol.JobID]TaskSet, maxValueBytes int,
) (json.RawMessage, []Part) {
	parts, hashes := cutIntoParts(ShardKey(id), packShard(lines, completed), maxValueBytes)
	return MustMarshal(shardInParts{owner, epoch, hashes}), parts
}
