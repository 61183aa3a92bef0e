package storage

import (
	"bytes"
	"encoding/json"
)

// Format is the version of the encodings of records. Every version of this program reads all
// formats up to its own.
type Format int

// Formats of records. The value 1 is not in use.
const (
	FormatPlain  Format = 0 // all records are plain JSON
	FormatPacked Format = 2 // shards and large job records are packed, completed tasks are compact
	FormatParts  Format = 3 // like FormatPacked, but records that exceed a value are cut into parts

	NewestFormat = FormatParts // newest format that this version reads
)

// FormatRecord is the value of FormatKey.
type FormatRecord struct {
	WriteFormat Format      `json:"w"` // newest format in which records may be written
	UpdatedBy   Incarnation `json:"b"` // the incarnation that raised the format last
}

// jobCompressionThreshold is the size in bytes from which a job's record is compressed as a whole.
const jobCompressionThreshold = 1200

// compactJobRecord is a job's record with its completed tasks in their shortest form.
type compactJobRecord struct {
	JobRecord
	CompletedTasks compactTaskSet `json:"v,omitzero"` // replaces JobRecord.CompletedTasks in JSON
}

// packedJobRecord is a job's record that is compressed as a whole.
type packedJobRecord struct {
	Packed string `json:"z"` // result of deflate for the JSON of a compactJobRecord
}

// packedJobPrefix is the start of every encoded packedJobRecord and of no other record.
const packedJobPrefix = `{"z":`

// EncodeJob encodes a job's record in the given format.
func EncodeJob(format Format, record *JobRecord) json.RawMessage {
	if format < FormatPacked {
		return MustMarshal(record)
	}
	plain := encodeCompactJob(record)
	if len(plain) < jobCompressionThreshold {
		return plain
	}
	return MustMarshal(packedJobRecord{deflate(plain)})
}

// encodeCompactJob encodes a job's record with its completed tasks in their shortest form.
func encodeCompactJob(record *JobRecord) json.RawMessage {
	return MustMarshal(compactJobRecord{JobRecord: *record, CompletedTasks: compactTaskSet{record.CompletedTasks}})
}

// decodeJob decodes the value of a job's record in any format.
func decodeJob(data json.RawMessage) (record JobRecord, err error) {
	if bytes.HasPrefix(data, []byte(packedJobPrefix)) {
		var packed packedJobRecord
		if err := json.Unmarshal(data, &packed); err != nil {
			return record, err
		}
		if data, err = inflate(packed.Packed); err != nil {
			return record, err
		}
	}
	err = json.Unmarshal(data, &record)
	return record, err
}
