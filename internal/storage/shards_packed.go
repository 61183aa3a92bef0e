package storage

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"tillerarch/internal/protocol"
)

// The packed encoding of a shard contains the same machine lines as the plain one in a fraction
// of the space. The fields of the lines are stored as columns, a value omits the prefix that it
// shares with the previous value of its column, and the result is compressed. Versions before
// FormatPacked cannot read the packed encoding, so it is written only once all controllers can
// read it.

// maxUnpackedSize is the maximum size in bytes to which a packed value may expand, and the
// maximum of each number in a packed value.
const maxUnpackedSize = 1 << 20

// lineColumns is the number of columns: one for each field of a line, and one for all its
// assignments.
const lineColumns = lineFields + 1

// minEncodedValueSize is the minimum size in bytes of a value in a column. The length of the
// prefix and the length of the suffix occupy at least one byte each.
const minEncodedValueSize = 2

// errMalformedPacked is wrapped by every error about a packed value that cannot be decoded.
var errMalformedPacked = errors.New("malformed packed value")

// packedEncoding encodes packed values as text for JSON strings.
var packedEncoding = base64.RawStdEncoding

// flateWriters keeps writers for reuse, because each occupies several hundred kilobytes.
var flateWriters = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(fmt.Sprintf("storage: create compressor: %v", err))
	}
	return writer
}}

// deflate compresses data and returns the result as text that needs no escaping in a JSON
// string.
func deflate(data []byte) string {
	var compressed bytes.Buffer
	writer := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(writer)
	writer.Reset(&compressed)
	writer.Write(data) // neither Write nor Close can fail, because a bytes.Buffer accepts all data
	writer.Close()
	return packedEncoding.EncodeToString(compressed.Bytes())
}

// inflate decompresses text that deflate has returned.
func inflate(text string) ([]byte, error) {
	compressed, err := packedEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedPacked, err)
	}
	reader := flate.NewReader(bytes.NewReader(compressed))
	data, err := io.ReadAll(io.LimitReader(reader, maxUnpackedSize+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedPacked, err)
	}
	if len(data) > maxUnpackedSize {
		return nil, fmt.Errorf("%w: expands to more than %d bytes", errMalformedPacked, maxUnpackedSize)
	}
	return data, nil
}

// packShard encodes the machine lines and the completed tasks of a shard in the packed encoding.
func packShard(lines []string, completed map[protocol.JobID]TaskSet) string {
	columns := make([][]string, lineColumns)
	for _, line := range lines {
		fields := strings.SplitN(line, " ", lineColumns)
		for i := range columns {
			value := ""
			if i < len(fields) {
				value = fields[i]
			}
			columns[i] = append(columns[i], value)
		}
	}
	data := binary.AppendUvarint(nil, uint64(len(lines)))
	for _, column := range columns {
		data = appendColumn(data, column)
	}
	var completedEntries []string
	for job, tasks := range completed {
		completedEntries = append(completedEntries, string(job)+"="+tasks.compactText())
	}
	slices.Sort(completedEntries)
	data = binary.AppendUvarint(data, uint64(len(completedEntries)))
	return deflate(appendColumn(data, completedEntries))
}

// unpackShard decodes the machine lines and the completed tasks of a shard that packShard has
// encoded.
func unpackShard(text string) (lines []string, completed map[protocol.JobID]TaskSet, err error) {
	data, err := inflate(text)
	if err != nil {
		return nil, nil, err
	}
	reader := columnReader{data: data}
	count := reader.readCount()
	var columns [lineColumns][]string
	for i := range columns {
		columns[i] = reader.readColumn(count)
	}
	completedEntries := reader.readColumn(reader.readCount())
	if reader.failed || len(reader.data) > 0 {
		return nil, nil, fmt.Errorf("%w: columns are malformed or followed by other data", errMalformedPacked)
	}
	for i := range count {
		line := columns[0][i]
		for _, column := range columns[1:] {
			if column[i] != "" {
				line += " " + column[i]
			}
		}
		lines = append(lines, line)
	}
	if completed, err = parseCompletedEntries(completedEntries); err != nil {
		return nil, nil, err
	}
	return lines, completed, nil
}

// parseCompletedEntries parses the completed tasks of a packed shard. It returns nil if there are
// none.
func parseCompletedEntries(entries []string) (map[protocol.JobID]TaskSet, error) {
	var completed map[protocol.JobID]TaskSet
	for _, entry := range entries {
		job, tasksText, ok := strings.Cut(entry, "=")
		if !ok {
			return nil, fmt.Errorf("%w: completed tasks %q: no separator", errMalformedPacked, entry)
		}
		var tasks TaskSet
		if err := tasks.UnmarshalText([]byte(tasksText)); err != nil {
			return nil, fmt.Errorf("%w: completed tasks of %s: %w", errMalformedPacked, job, err)
		}
		if completed == nil {
			completed = map[protocol.JobID]TaskSet{}
		}
		completed[protocol.JobID(job)] = tasks
	}
	return completed, nil
}

// appendColumn appends a column to data. The column consists of the length of the prefix that
// each value shares with the previous value, then the lengths of the remaining suffixes, then
// the suffixes.
func appendColumn(data []byte, values []string) []byte {
	var suffixes []byte
	prefixLengths := make([]int, len(values))
	previous := ""
	for i, value := range values {
		shared := 0
		for shared < len(value) && shared < len(previous) && value[shared] == previous[shared] {
			shared++
		}
		prefixLengths[i] = shared
		data = binary.AppendUvarint(data, uint64(shared))
		suffixes = append(suffixes, value[shared:]...)
		previous = value
	}
	for i, value := range values {
		data = binary.AppendUvarint(data, uint64(len(value)-prefixLengths[i]))
	}
	return append(data, suffixes...)
}

// columnReader reads columns that appendColumn has written. After a failure, numbers that could
// not be read are zero and values that could not be read are empty, so callers must check failed
// before they use any result.
type columnReader struct {
	data   []byte // remaining data
	failed bool   // whether the data was found to be malformed
}

// readUvarint reads a number. It fails if the number exceeds maxUnpackedSize.
func (r *columnReader) readUvarint() int {
	value, size := binary.Uvarint(r.data)
	if size <= 0 || value > maxUnpackedSize {
		r.failed = true
		return 0
	}
	r.data = r.data[size:]
	return int(value)
}

// readCount reads the number of values in a column. It fails if the remaining data is too short
// for that many values, which bounds the memory that readColumn allocates.
func (r *columnReader) readCount() int {
	count := r.readUvarint()
	if minEncodedValueSize*count > len(r.data) {
		r.failed = true
		return 0
	}
	return count
}

// readColumn reads a column of count values.
func (r *columnReader) readColumn(count int) []string {
	values := make([]string, count)
	prefixLengths, suffixLengths := make([]int, count), make([]int, count)
	for i := range prefixLengths {
		prefixLengths[i] = r.readUvarint()
	}
	for i := range suffixLengths {
		suffixLengths[i] = r.readUvarint()
	}
	previous := ""
	for i := range values {
		if r.failed || prefixLengths[i] > len(previous) || suffixLengths[i] > len(r.data) {
			r.failed = true
			return values
		}
		values[i] = previous[:prefixLengths[i]] + string(r.data[:suffixLengths[i]])
		r.data = r.data[suffixLengths[i]:]
		previous = values[i]
	}
	return values
}
