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

// statusText holds the reason phrases of the statuses that controllers send, as RFC 9110
// has them; net/http still has older ones for 413 and 422.
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

// appendResponse appends an HTTP response to b. Retry-After is sent if it is above 0.
func appendResponse(b []byte, status, retryAfterSeconds int, body []byte, closeConn bool) []byte {
	b = append(b, version1+" "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, statusText[status]...)
	b = appendContentHeaders(b, len(body))
	if retryAfterSeconds > 0 {
		b = append(b, crlf+"Retry-After: "...)
		b = strconv.AppendInt(b, int64(retryAfterSeconds), 10)
	}
	if closeConn {
		b = append(b, crlf+"Connection: close"...)
	}
	b = append(b, headEnd...)
	return append(b, body...)
}

// Response is one whole HTTP response.
type Response struct {
	Status            int
	RetryAfterSeconds int // 0: none given
	Body              []byte
	Close             bool // the connection ends with the response
}

// ErrMalformedResponse is wrapped by the errors of responses that are not HTTP/1.x or
// are beyond the limits.
var ErrMalformedResponse = errors.New("malformed HTTP response")

const (
	// maxPreallocatedBody bounds the memory that an announced length alone can claim.
	maxPreallocatedBody = 64 << 10
	// maxChunkSizeLine bounds the line in front of a chunk, in bytes.
	maxChunkSizeLine = 256
	// maxChunkSizeBits keeps the size of a chunk within an int32.
	maxChunkSizeBits = 31
)

// readResponse reads one response, as strictly as requests are read.
func readResponse(r *bufio.Reader) (*Response, error) {
	remaining := maxHeaderBytes
	statusLine, err := readLine(r, &remaining)
	if err != nil {
		return nil, err
	}
	status, isVersion0, err := parseStatusLine(statusLine)
	if err != nil {
		return nil, err
	}
	lines, err := readHeaderLines(r, &remaining)
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	h, headerErr := parseHeader(lines)
	if headerErr != nil {
		return nil, fmt.Errorf("%w: %s", ErrMalformedResponse, headerErr.Message)
	}
	response := &Response{
		Status:            status,
		RetryAfterSeconds: h.retryAfterSeconds,
		Close:             h.endsConn(isVersion0),
	}
	if err := response.readBody(r, &h); err != nil {
		return nil, unexpectedEOF(err)
	}
	return response, nil
}

// parseStatusLine reads a line such as "HTTP/1.1 200 OK"; the phrase may be missing.
func parseStatusLine(line string) (status int, isVersion0 bool, err error) {
	const (
		prefix      = "HTTP/1."
		versionAt   = len(prefix)
		statusAt    = len(version1 + " ")
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

// readHeaderLines reads up to the empty line that ends a head or a trailer.
func readHeaderLines(r *bufio.Reader, remaining *int) (lines []string, err error) {
	for {
		line, err := readLine(r, remaining)
		if err != nil {
			return nil, err
		}
		if line == "" {
			return lines, nil
		}
		lines = append(lines, line)
	}
}

// readLine reads one line without its end and takes its length from remaining.
func readLine(r *bufio.Reader, remaining *int) (string, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", fmt.Errorf("%w: line too long", ErrMalformedResponse)
	}
	if err != nil {
		return "", err
	}
	if *remaining -= len(line); *remaining < 0 {
		return "", fmt.Errorf("%w: head too long", ErrMalformedResponse)
	}
	return strings.TrimSuffix(string(line[:len(line)-1]), "\r"), nil
}

func (response *Response) readBody(r *bufio.Reader, h *header) (err error) {
	switch {
	case response.Status == http.StatusNoContent || response.Status == http.StatusNotModified:
		return nil
	case h.chunked:
		response.Body, err = readChunkedBody(r)
	case h.contentLength != noContentLength:
		response.Body, err = readSizedBody(r, h.contentLength)
	default:
		response.Close = true
		response.Body, err = io.ReadAll(io.LimitReader(r, maxResponseBody))
	}
	return err
}

func readSizedBody(r *bufio.Reader, length int64) ([]byte, error) {
	if length > maxResponseBody {
		return nil, errBodyTooLarge()
	}
	var body bytes.Buffer
	if length <= maxPreallocatedBody {
		body.Grow(int(length))
	}
	_, err := io.CopyN(&body, r, length)
	return body.Bytes(), err
}

func errBodyTooLarge() error {
	return fmt.Errorf("%w: body over %d bytes", ErrMalformedResponse, maxResponseBody)
}

func readChunkedBody(r *bufio.Reader) ([]byte, error) {
	var body bytes.Buffer
	for {
		size, err := readChunkSize(r)
		if err != nil {
			return nil, err
		}
		remaining := maxHeaderBytes
		if size == 0 {
			_, err := readHeaderLines(r, &remaining) // trailers
			return body.Bytes(), err
		}
		if body.Len()+size > maxResponseBody {
			return nil, errBodyTooLarge()
		}
		if _, err := io.CopyN(&body, r, int64(size)); err != nil {
			return nil, err
		}
		end, err := readLine(r, &remaining)
		if err != nil {
			return nil, err
		}
		if end != "" {
			return nil, fmt.Errorf("%w: chunk longer than its size", ErrMalformedResponse)
		}
	}
}

// readChunkSize reads the line in front of a chunk; extensions are ignored.
func readChunkSize(r *bufio.Reader) (int, error) {
	remaining := maxChunkSizeLine
	line, err := readLine(r, &remaining)
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

// unexpectedEOF tells an end within a response from an end before it.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
