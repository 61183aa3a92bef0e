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

// The packed encoding of a shard holds the same machine lines as the plain one in a fraction
// of the space: the lines are turned into columns, each value keeps only what differs from
// the one before, and the whole is compressed. Versions before FormatPacked can't read it, so
// it is written only once all controllers can.

// maxUnpackedSize bounds, in bytes, what a packed value may expand to, and each number in it.
const maxUnpackedSize = 1 << 20

// lineColumns is the number of columns: the fields of a line, and its assignments as one.
const lineColumns = lineFields + 1

// minEncodedValueSize is the least that a value takes in a column: a byte each for the lengths of
// its prefix and its suffix.
const minEncodedValueSize = 2

// errMalformedPacked is the cause of every failure to read a packed value.
var errMalformedPacked = errors.New("malformed packed value")

// packedEncoding is the encoding of packed values within JSON strings.
var packedEncoding = base64.RawStdEncoding

// flateWriters keeps writers for reuse: each takes several hundred kilobytes.
var flateWriters = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(fmt.Sprintf("storage: %v", err))
	}
	return writer
}}

// deflate compresses data to text that fits a JSON string as it is.
func deflate(data []byte) string {
	var compressed bytes.Buffer
	writer := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(writer)
	writer.Reset(&compressed)
	writer.Write(data) // neither call can fail: a bytes.Buffer takes everything
	writer.Close()
	return packedEncoding.EncodeToString(compressed.Bytes())
}

// inflate reverses deflate.
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
		return nil, fmt.Errorf("%w: more than %d bytes", errMalformedPacked, maxUnpackedSize)
	}
	return data, nil
}

// packShard encodes the machine lines and the completed tasks of a shard.
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

// unpackShard reverses packShard.
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
		return nil, nil, fmt.Errorf("%w: damaged columns", errMalformedPacked)
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

// parseCompletedEntries reads the completed tasks of a packed shard; nil if there are none.
func parseCompletedEntries(entries []string) (map[protocol.JobID]TaskSet, error) {
	var completed map[protocol.JobID]TaskSet
	for _, entry := range entries {
		job, tasksText, ok := strings.Cut(entry, "=")
		if !ok {
			return nil, fmt.Errorf("%w: completed tasks %q", errMalformedPacked, entry)
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

// appendColumn writes values as the lengths of the prefixes that they share with the one
// before, the lengths of the suffixes, and the suffixes.
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

// columnReader reads what appendColumn wrote. After a failure everything it returns is
// empty.
type columnReader struct {
	data   []byte
	failed bool
}

func (r *columnReader) readUvarint() int {
	value, size := binary.Uvarint(r.data)
	if size <= 0 || value > maxUnpackedSize {
		r.failed = true
		return 0
	}
	r.data = r.data[size:]
	return int(value)
}

// readCount reads the number of values in a column. It bounds what readColumn allocates.
func (r *columnReader) readCount() int {
	count := r.readUvarint()
	if minEncodedValueSize*count > len(r.data) {
		r.failed = true
		return 0
	}
	return count
}

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
