package storage

import (
	"bytes"
	"encoding/json"
)

// Format is the version of the records' encodings. Every version of this program reads all
// formats up to its own.
type Format int

// Formats of records. 1 is not in use.
const (
	FormatPlain  Format = 0 // all records in plain JSON
	FormatPacked Format = 2 // shards and large job records packed, completed tasks compact
)

// FormatRecord is the value of FormatKey.
type FormatRecord struct {
	WriteFormat Format      `json:"w"`
	UpdatedBy   Incarnation `json:"b"`
}

// jobCompressionThreshold is the size in bytes from which a job's record is packed as a whole.
const jobCompressionThreshold = 1200

// compactJobRecord is a job's record with its completed tasks in compact form.
type compactJobRecord struct {
	JobRecord
	CompletedTasks compactTaskSet `json:"v,omitzero"` // hides JobRecord.CompletedTasks
}

// packedJobRecord is a job's record that is compressed as a whole.
type packedJobRecord struct {
	Packed string `json:"z"`
}

// packedJobPrefix begins the encoded form of a packedJobRecord, and of no other record.
const packedJobPrefix = `{"z":`

// EncodeJob encodes a job's record in a format.
func EncodeJob(format Format, r *JobRecord) json.RawMessage {
	if format < FormatPacked {
		return MustMarshal(r)
	}
	plain := MustMarshal(compactJobRecord{JobRecord: *r, CompletedTasks: compactTaskSet{r.CompletedTasks}})
	if len(plain) < jobCompressionThreshold {
		return plain
	}
	return MustMarshal(packedJobRecord{deflate(plain)})
}

// decodeJob reads a job's record in any format.
func decodeJob(data json.RawMessage) (r JobRecord, err error) {
	if bytes.HasPrefix(data, []byte(packedJobPrefix)) {
		var packed packedJobRecord
		if err := json.Unmarshal(data, &packed); err != nil {
			return r, err
		}
		if data, err = inflate(packed.Packed); err != nil {
			return r, err
		}
	}
	err = json.Unmarshal(data, &r)
	return r, err
}
