package bookkeeping

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

// FormatKey holds the format that may be written. It is raised once every controller of
// the deployment has been seen to read that format, and never lowered. A version that
// does not know the key ignores it.
const FormatKey = Prefix + "format"

// FormatRecord is the value of FormatKey.
type FormatRecord struct {
	Write Format `json:"w"`
	By    Run    `json:"b"`
}

// plainJobSize is the size from which a job's record is packed as a whole.
const plainJobSize = 1200

// compactJob is a job's record with its done tasks in compact form.
type compactJob struct {
	JobRecord
	Done compactRanges `json:"v,omitzero"` // stands in place of JobRecord.Done
}

// packedJob is a job's record that is compressed as a whole.
type packedJob struct {
	Packed string `json:"z"`
}

// EncodeJob gives a job record's written form.
func EncodeJob(format Format, r *JobRecord) json.RawMessage {
	if format < FormatPacked {
		return JSON(r)
	}
	plain := JSON(compactJob{JobRecord: *r, Done: compactRanges{r.Done}})
	if len(plain) < plainJobSize {
		return plain
	}
	return JSON(packedJob{deflate(plain)})
}

// decodeJob reads a job's record in any form.
func decodeJob(data json.RawMessage) (r JobRecord, err error) {
	if strings.HasPrefix(string(data), `{"z":`) {
		var packed packedJob
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
