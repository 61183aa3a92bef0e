package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// statusText holds the reason phrases of the statuses that controllers send, as defined in
// RFC 9110. net/http still has older phrases for 413 and 422.
var statusText = map[int]string{
	http.StatusOK:                          "OK",
	http.StatusCreated:                     "Created",
	http.StatusBadRequest:                  "Bad Request",
	http.StatusNotFound:                    "Not Found",
	http.StatusMethodNotAllowed:            "Method Not Allowed",
	http.StatusRequestTimeout:              "Request Timeout",
	http.StatusLengthRequired:              "Length Required",
	http.StatusRequestEntityTooLarge:       "Content Too Large",
	http.StatusMisdirectedRequest:          "Misdirected Request",
	http.StatusUnprocessableEntity:         "Unprocessable Content",
	http.StatusTooManyRequests:             "Too Many Requests",
	http.StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	http.StatusInternalServerError:         "Internal Server Error",
	http.StatusServiceUnavailable:          "Service Unavailable",
}

// appendResponse appends an HTTP response to dst. The response has a Retry-After field only
// if retryAfterSeconds is positive.
func appendResponse(dst []byte, status, retryAfterSeconds int, body []byte, closeConn bool) []byte {
	dst = append(dst, versionHTTP11+" "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, statusText[status]...)
	dst = appendContentHeaders(dst, len(body))
	if retryAfterSeconds > 0 {
		dst = append(dst, crlf+"Retry-After: "...)
		dst = strconv.AppendInt(dst, int64(retryAfterSeconds), 10)
	}
	if closeConn {
		dst = append(dst, crlf+"Connection: close"...)
	}
	dst = append(dst, headEnd...)
	return append(dst, body...)
}

// Response is a complete HTTP response.
type Response struct {
	Status            int
	RetryAfterSeconds int // 0 means that the response has no Retry-After in seconds
	Body              []byte
	Close             bool // the connection is closed after the response
}

// ErrMalformedResponse is wrapped by the errors for responses that are not HTTP/1.x or
// exceed a limit.
var ErrMalformedResponse = errors.New("malformed HTTP response")

const (
	// maxPreallocatedBodyBytes limits the memory that is allocated for an announced
	// length alone.
	maxPreallocatedBodyBytes = 64 << 10
	// maxChunkSizeLineBytes is the maximum length of the line before a chunk.
	maxChunkSizeLineBytes = 256
	// maxChunkSizeBits limits the size of a chunk to an int32.
	maxChunkSizeBits = 31
)

// readResponse reads one response. It is as strict as parseRequest.
func readResponse(reader *bufio.Reader) (*Response, error) {
	remaining := maxHeaderBytes
	statusLine, err := readLine(reader, &remaining)
	if err != nil {
		return nil, err
	}
	status, isHTTP10, err := parseStatusLine(statusLine)
	if err != nil {
		return nil, err
	}
	lines, err := readHeaderLines(reader, &remaining)
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	header, headerErr := parseHeader(lines)
	if headerErr != nil {
		return nil, fmt.Errorf("%w: %s", ErrMalformedResponse, headerErr.Message)
	}
	response := &Response{
		Status:            status,
		RetryAfterSeconds: header.retryAfterSeconds,
		Close:             header.closesConn(isHTTP10),
	}
	if err := response.readBody(reader, &header); err != nil {
		return nil, unexpectedEOF(err)
	}
	return response, nil
}

// parseStatusLine parses a line such as "HTTP/1.1 200 OK". The reason phrase may be
// missing.
func parseStatusLine(line string) (status int, isHTTP10 bool, err error) {
	const (
		prefix      = "HTTP/1."
		versionAt   = len(prefix)
		statusAt    = len(versionHTTP11 + " ")
		statusEndAt = statusAt + len("200")
	)
	if len(line) < statusEndAt || !strings.HasPrefix(line, prefix) || line[versionAt+1] != ' ' ||
		len(line) > statusEndAt && line[statusEndAt] != ' ' {
		return 0, false, fmt.Errorf("%w: status line %q", ErrMalformedResponse, line)
	}
	status, err = strconv.Atoi(line[statusAt:statusEndAt])
	if err != nil || status < 200 || status > 599 {
		return 0, false, fmt.Errorf("%w: status line %q", ErrMalformedResponse, line)
	}
	return status, line[versionAt] == '0', nil
}

// readHeaderLines reads the lines up to the empty line that ends a head or a trailer.
func readHeaderLines(reader *bufio.Reader, remaining *int) (lines []string, err error) {
	for {
		line, err := readLine(reader, remaining)
		if err != nil {
			return nil, err
		}
		if line == "" {
			return lines, nil
		}
		lines = append(lines, line)
	}
}

// readLine reads one line, returns it without its line break and subtracts its length from
// remaining.
func readLine(reader *bufio.Reader, remaining *int) (string, error) {
	line, err := reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", fmt.Errorf("%w: line of over %d bytes", ErrMalformedResponse, reader.Size())
	}
	if err != nil {
		return "", err
	}
	if *remaining -= len(line); *remaining < 0 {
		return "", fmt.Errorf("%w: lines exceed their limit by %d bytes", ErrMalformedResponse, -*remaining)
	}
	return strings.TrimSuffix(string(line[:len(line)-1]), "\r"), nil
}

// readBody reads the body of a response whose head has been read. A body without a length
// extends to the end of the connection.
func (response *Response) readBody(reader *bufio.Reader, header *messageHeader) (err error) {
	switch {
	case response.Status == http.StatusNoContent || response.Status == http.StatusNotModified:
		return nil
	case header.chunked:
		response.Body, err = readChunkedBody(reader)
	case header.contentLength != noContentLength:
		response.Body, err = readSizedBody(reader, header.contentLength)
	default:
		response.Close = true
		response.Body, err = io.ReadAll(io.LimitReader(reader, maxResponseBodyBytes))
	}
	return err
}

// readSizedBody reads a body of the given length.
func readSizedBody(reader *bufio.Reader, length int64) ([]byte, error) {
	if length > maxResponseBodyBytes {
		return nil, errBodyTooLarge()
	}
	var body bytes.Buffer
	if length <= maxPreallocatedBodyBytes {
		body.Grow(int(length))
	}
	_, err := io.CopyN(&body, reader, length)
	return body.Bytes(), err
}

// errBodyTooLarge returns the error for a body over maxResponseBodyBytes.
func errBodyTooLarge() error {
	return fmt.Errorf("%w: body over %d bytes", ErrMalformedResponse, maxResponseBodyBytes)
}

// readChunkedBody reads a body in the chunked transfer encoding and its trailers, which it
// ignores.
func readChunkedBody(reader *bufio.Reader) ([]byte, error) {
	var body bytes.Buffer
	for {
		size, err := readChunkSize(reader)
		if err != nil {
			return nil, err
		}
		remaining := maxHeaderBytes
		if size == 0 {
			_, err := readHeaderLines(reader, &remaining) // trailers
			return body.Bytes(), err
		}
		if body.Len()+size > maxResponseBodyBytes {
			return nil, errBodyTooLarge()
		}
		if _, err := io.CopyN(&body, reader, int64(size)); err != nil {
			return nil, err
		}
		chunkEnd, err := readLine(reader, &remaining)
		if err != nil {
			return nil, err
		}
		if chunkEnd != "" {
			return nil, fmt.Errorf("%w: chunk longer than its size", ErrMalformedResponse)
		}
	}
}

// readChunkSize reads the line before a chunk and returns the size of the chunk. It ignores
// chunk extensions.
func readChunkSize(reader *bufio.Reader) (int, error) {
	remaining := maxChunkSizeLineBytes
	line, err := readLine(reader, &remaining)
	if err != nil {
		return 0, err
	}
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, maxChunkSizeBits)
	if err != nil {
		return 0, fmt.Errorf("%w: chunk size %q", ErrMalformedResponse, digits)
	}
	return int(size), nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF in place of io.EOF and any other error as it
// is. It distinguishes an end within a response from an end before the response.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
