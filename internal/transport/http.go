// Package transport carries bytes: the HTTP/1.1 parser, the evio server, the
// outbound clients and the gob link between controllers.
package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Limits of what is taken from the other side.
const (
	MaxHeaderBytes  = 8 << 10
	MaxHeaderCount  = 64
	MaxRequestBody  = 64 << 10
	MaxResponseBody = 32 << 20
)

// Request is one HTTP request, whole.
type Request struct {
	Method, Path, Query string
	Body                []byte
	Close               bool
}

// HTTPError is a request that cannot be taken; the connection ends with Status.
type HTTPError struct {
	Status  int
	Message string
}

func (e *HTTPError) Error() string { return fmt.Sprintf("%d %s", e.Status, e.Message) }

func newHTTPError(status int, message string) *HTTPError { return &HTTPError{status, message} }

func isToken(s string) bool {
	if s == "" {
		return false
	}
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return true
}

// header is what matters of a message's head.
type header struct {
	contentLength     int64 // -1: none given
	chunked           bool
	closeConn         bool
	keepAlive         bool
	retryAfterSeconds int
}

func parseHeader(lines []string) (h header, err *HTTPError) {
	h.contentLength = -1
	if len(lines) > MaxHeaderCount {
		return h, newHTTPError(431, "too many headers")
	}
	for _, line := range lines {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return h, newHTTPError(400, "malformed header")
		}
		value = strings.Trim(value, " \t")
		for i := 0; i < len(value); i++ {
			if value[i] < ' ' && value[i] != '\t' || value[i] == 0x7f {
				return h, newHTTPError(400, "malformed header value")
			}
		}
		switch strings.ToLower(name) {
		case "content-length":
			if value == "" || len(value) > 18 || strings.Trim(value, "0123456789") != "" {
				return h, newHTTPError(400, "malformed content-length")
			}
			n, _ := strconv.ParseInt(value, 10, 64)
			if h.contentLength >= 0 && h.contentLength != n {
				return h, newHTTPError(400, "conflicting content-lengths")
			}
			h.contentLength = n
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") || h.chunked {
				return h, newHTTPError(400, "unknown transfer-encoding")
			}
			h.chunked = true
		case "connection":
			for _, v := range strings.Split(value, ",") {
				switch strings.ToLower(strings.TrimSpace(v)) {
				case "close":
					h.closeConn = true
				case "keep-alive":
					h.keepAlive = true
				}
			}
		case "retry-after":
			h.retryAfterSeconds, _ = strconv.Atoi(value)
		}
	}
	if h.chunked && h.contentLength >= 0 {
		return h, newHTTPError(400, "content-length with transfer-encoding")
	}
	return h, nil
}

// ParseRequest takes one request from the front of buf. It returns nil with no
// error while the request is not yet whole, and how many bytes it took.
func ParseRequest(buf []byte) (*Request, int, *HTTPError) {
	headEnd := bytes.Index(buf, []byte("\r\n\r\n"))
	if headEnd < 0 {
		if len(buf) > MaxHeaderBytes {
			return nil, 0, newHTTPError(431, "head too long")
		}
		// An unreadable request line needs no wait for the rest.
		if i := bytes.IndexByte(buf, '\n'); i >= 0 && (i == 0 || buf[i-1] != '\r') {
			return nil, 0, newHTTPError(400, "bare line feed")
		}
		return nil, 0, nil
	}
	if headEnd > MaxHeaderBytes {
		return nil, 0, newHTTPError(431, "head too long")
	}
	lines := strings.Split(string(buf[:headEnd]), "\r\n")
	parts := strings.Split(lines[0], " ")
	if len(parts) != 3 || !isToken(parts[0]) || !strings.HasPrefix(parts[1], "/") {
		return nil, 0, newHTTPError(400, "malformed request line")
	}
	for i := 0; i < len(parts[1]); i++ {
		if parts[1][i] <= ' ' || parts[1][i] >= 0x7f {
			return nil, 0, newHTTPError(400, "malformed target")
		}
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return nil, 0, newHTTPError(400, "not HTTP/1.1")
	}
	h, err := parseHeader(lines[1:])
	if err != nil {
		return nil, 0, err
	}
	request := &Request{Method: parts[0], Close: h.closeConn || parts[2] == "HTTP/1.0" && !h.keepAlive}
	request.Path, request.Query, _ = strings.Cut(parts[1], "?")
	switch {
	case h.chunked:
		return nil, 0, newHTTPError(411, "length required")
	case h.contentLength < 0 && (request.Method == "POST" || request.Method == "PUT"):
		return nil, 0, newHTTPError(411, "length required")
	case h.contentLength > MaxRequestBody:
		return nil, 0, newHTTPError(413, "body too large")
	}
	total := headEnd + 4
	if h.contentLength > 0 {
		total += int(h.contentLength)
	}
	if len(buf) < total {
		return nil, 0, nil
	}
	if h.contentLength > 0 {
		request.Body = append([]byte(nil), buf[headEnd+4:total]...)
	}
	return request, total, nil
}

var statusText = map[int]string{200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 411: "Length Required", 413: "Content Too Large", 421: "Misdirected Request",
	422: "Unprocessable Content", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 503: "Service Unavailable"}

// AppendResponse writes an HTTP answer behind b.
func AppendResponse(b []byte, status, retryAfterSeconds int, body []byte, closeConn bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, statusText[status]...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	if retryAfterSeconds > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendInt(b, int64(retryAfterSeconds), 10)
	}
	if closeConn {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// AppendRequest writes an HTTP request behind b.
func AppendRequest(b []byte, method, host, target string, body []byte) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	if body != nil {
		b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// Response is one HTTP answer, whole.
type Response struct {
	Status            int
	RetryAfterSeconds int
	Body              []byte
	Close             bool
}

var errMalformedResponse = errors.New("malformed HTTP answer")

func readLine(r *bufio.Reader, remaining *int) (string, error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		if err == bufio.ErrBufferFull {
			err = errMalformedResponse
		}
		return "", err
	}
	if *remaining -= len(line); *remaining < 0 {
		return "", errMalformedResponse
	}
	return strings.TrimSuffix(string(line[:len(line)-1]), "\r"), nil
}

// ReadResponse reads one answer, with the same strictness as requests.
func ReadResponse(r *bufio.Reader) (*Response, error) {
	remaining := MaxHeaderBytes
	statusLine, err := readLine(r, &remaining)
	if err != nil {
		return nil, err
	}
	if len(statusLine) < 12 || !strings.HasPrefix(statusLine, "HTTP/1.") || statusLine[8] != ' ' || len(statusLine) > 12 && statusLine[12] != ' ' {
		return nil, errMalformedResponse
	}
	status, err := strconv.Atoi(statusLine[9:12])
	if err != nil || status < 200 || status > 599 {
		return nil, errMalformedResponse
	}
	var lines []string
	for {
		line, err := readLine(r, &remaining)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if line == "" {
			break
		}
		lines = append(lines, line)
	}
	h, headerErr := parseHeader(lines)
	if headerErr != nil {
		return nil, headerErr
	}
	response := &Response{Status: status, RetryAfterSeconds: h.retryAfterSeconds, Close: h.closeConn || statusLine[7] == '0' && !h.keepAlive}
	switch {
	case status == 204 || status == 304:
	case h.chunked:
		response.Body, err = readChunkedBody(r)
	case h.contentLength > MaxResponseBody:
		err = errMalformedResponse
	case h.contentLength >= 0:
		// Grows with what really comes, whatever length was announced.
		var b bytes.Buffer
		if h.contentLength <= 1<<16 {
			b.Grow(int(h.contentLength))
		}
		_, err = io.CopyN(&b, r, h.contentLength)
		response.Body = b.Bytes()
	default:
		response.Close = true
		response.Body, err = io.ReadAll(io.LimitReader(r, MaxResponseBody))
	}
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	return response, nil
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readChunkedBody(r *bufio.Reader) ([]byte, error) {
	var body bytes.Buffer
	for {
		remaining := 256
		line, err := readLine(r, &remaining)
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil || body.Len()+int(n) > MaxResponseBody {
			return nil, errMalformedResponse
		}
		if n > 0 {
			if _, err := io.CopyN(&body, r, int64(n)); err != nil {
				return nil, err
			}
		}
		remaining = MaxHeaderBytes
		end, err := readLine(r, &remaining)
		if err != nil {
			return nil, err
		}
		if n == 0 {
			for end != "" { // trailers
				if end, err = readLine(r, &remaining); err != nil {
					return nil, err
				}
			}
			return body.Bytes(), nil
		}
		if end != "" {
			return nil, errMalformedResponse
		}
	}
}
