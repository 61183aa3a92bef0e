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

// The packed encoding of a page holds the same machine lines as the plain one in a
// fraction of the space: the lines are turned into columns, each value keeps only what
// differs from the one before, and the whole is compressed. Versions before FormatPacked
// can't read it, so it is written only once all controllers can.

// maxUnpackedSize bounds what a packed value may expand to.
const maxUnpackedSize = 1 << 20

// lineColumns is the number of columns; the assignments share the last one.
const lineColumns = 8

// errMalformedPacked is the cause of every failure to read a packed value.
var errMalformedPacked = errors.New("malformed packed value")

// encoding of packed values within JSON strings.
var packedEncoding = base64.RawStdEncoding

var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(fmt.Sprintf("storage: %v", err))
	}
	return w
}}

// deflate compresses data to text that fits a JSON string as it is.
func deflate(data []byte) string {
	var out bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&out)
	w.Write(data) // a bytes.Buffer takes everything
	w.Close()
	return packedEncoding.EncodeToString(out.Bytes())
}

// inflate reverses deflate.
func inflate(text string) ([]byte, error) {
	raw, err := packedEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedPacked, err)
	}
	r := flate.NewReader(bytes.NewReader(raw))
	data, err := io.ReadAll(io.LimitReader(r, maxUnpackedSize+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedPacked, err)
	}
	if len(data) > maxUnpackedSize {
		return nil, fmt.Errorf("%w: too long", errMalformedPacked)
	}
	return data, nil
}

// packShard encodes the machine lines and the done tasks of a page.
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
		return nil, nil, errMalformedPacked
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
	for _, entry := range completedEntries {
		job, tasksText, ok := strings.Cut(entry, "=")
		var tasks TaskSet
		if !ok || tasks.UnmarshalText([]byte(tasksText)) != nil {
			return nil, nil, errMalformedPacked
		}
		if completed == nil {
			completed = map[protocol.JobID]TaskSet{}
		}
		completed[protocol.JobID(job)] = tasks
	}
	return lines, completed, nil
}

// appendColumn writes values as the lengths of their common prefixes with the one
// before, the lengths of what differs, and what differs.
func appendColumn(data []byte, values []string) []byte {
	var suffixes []byte
	prefixes := make([]int, len(values))
	previous := ""
	for i, value := range values {
		n := 0
		for n < len(value) && n < len(previous) && value[n] == previous[n] {
			n++
		}
		prefixes[i] = n
		data = binary.AppendUvarint(data, uint64(n))
		suffixes = append(suffixes, value[n:]...)
		previous = value
	}
	for i, value := range values {
		data = binary.AppendUvarint(data, uint64(len(value)-prefixes[i]))
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
	v, n := binary.Uvarint(r.data)
	if n <= 0 || v > maxUnpackedSize {
		r.failed = true
		return 0
	}
	r.data = r.data[n:]
	return int(v)
}

// readCount reads the number of values in a column: each takes two bytes at least.
func (r *columnReader) readCount() int {
	n := r.readUvarint()
	if 2*n > len(r.data) {
		r.failed = true
		return 0
	}
	return n
}

func (r *columnReader) readColumn(count int) []string {
	values := make([]string, count)
	prefixes, lengths := make([]int, count), make([]int, count)
	for i := range prefixes {
		prefixes[i] = r.readUvarint()
	}
	for i := range lengths {
		lengths[i] = r.readUvarint()
	}
	previous := ""
	for i := range values {
		if r.failed || prefixes[i] > len(previous) || lengths[i] > len(r.data) {
			r.failed = true
			return values
		}
		values[i] = previous[:prefixes[i]] + string(r.data[:lengths[i]])
		r.data = r.data[lengths[i]:]
		previous = values[i]
	}
	return values
}
