package storage

import (
	"encoding/json"
	"strings"
)

// Format numbers the encodings of records. Every version reads all formats up to its own.
type Format int

// Formats of records.
const (
	FormatPlain  Format = 0 // all records in plain JSON
	FormatPacked Format = 2 // pages packed, large job records packed, done tasks compact
)

// FormatRecord is the value of FormatKey.
type FormatRecord struct {
	WriteFormat Format      `json:"w"`
	UpdatedBy   Incarnation `json:"b"`
}

// jobCompressionThreshold is the size from which a job's record is packed as a whole.
const jobCompressionThreshold = 1200

// compactJobRecord is a job's record with its done tasks in compact form.
type compactJobRecord struct {
	JobRecord
	CompletedTasks compactTaskSet `json:"v,omitzero"` // stands in place of JobRecord.Done
}

// packedJobRecord is a job's record that is compressed as a whole.
type packedJobRecord struct {
	Packed string `json:"z"`
}

// EncodeJob gives a job record's written form.
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

// decodeJob reads a job's record in any form.
func decodeJob(data json.RawMessage) (r JobRecord, err error) {
	if strings.HasPrefix(string(data), `{"z":`) {
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
