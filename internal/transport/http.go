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
	MaxHead        = 8 << 10
	MaxHeaders     = 64
	MaxRequestBody = 64 << 10
	MaxAnswerBody  = 32 << 20
)

// Request is one HTTP request, whole.
type Request struct {
	Method, Path, Query string
	Body                []byte
	Close               bool
}

// HTTPError is a request that cannot be taken; the connection ends with Status.
type HTTPError struct {
	Status int
	What   string
}

func (e *HTTPError) Error() string { return fmt.Sprintf("%d %s", e.Status, e.What) }

func refuse(status int, what string) *HTTPError { return &HTTPError{status, what} }

func token(s string) bool {
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
	length     int64 // -1: none given
	chunked    bool
	close      bool
	keepAlive  bool
	retryAfter int
}

func parseHeader(lines []string) (h header, err *HTTPError) {
	h.length = -1
	if len(lines) > MaxHeaders {
		return h, refuse(431, "too many headers")
	}
	for _, l := range lines {
		name, value, ok := strings.Cut(l, ":")
		if !ok || !token(name) {
			return h, refuse(400, "malformed header")
		}
		value = strings.Trim(value, " \t")
		for i := 0; i < len(value); i++ {
			if value[i] < ' ' && value[i] != '\t' || value[i] == 0x7f {
				return h, refuse(400, "malformed header value")
			}
		}
		switch strings.ToLower(name) {
		case "content-length":
			if value == "" || len(value) > 18 || strings.Trim(value, "0123456789") != "" {
				return h, refuse(400, "malformed content-length")
			}
			n, _ := strconv.ParseInt(value, 10, 64)
			if h.length >= 0 && h.length != n {
				return h, refuse(400, "conflicting content-lengths")
			}
			h.length = n
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") || h.chunked {
				return h, refuse(400, "unknown transfer-encoding")
			}
			h.chunked = true
		case "connection":
			for _, v := range strings.Split(value, ",") {
				switch strings.ToLower(strings.TrimSpace(v)) {
				case "close":
					h.close = true
				case "keep-alive":
					h.keepAlive = true
				}
			}
		case "retry-after":
			h.retryAfter, _ = strconv.Atoi(value)
		}
	}
	if h.chunked && h.length >= 0 {
		return h, refuse(400, "content-length with transfer-encoding")
	}
	return h, nil
}

// ParseRequest takes one request from the front of buf. It returns nil with no
// error while the request is not yet whole, and how many bytes it took.
func ParseRequest(buf []byte) (*Request, int, *HTTPError) {
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	if end < 0 {
		if len(buf) > MaxHead {
			return nil, 0, refuse(431, "head too long")
		}
		// An unreadable request line needs no wait for the rest.
		if i := bytes.IndexByte(buf, '\n'); i >= 0 && (i == 0 || buf[i-1] != '\r') {
			return nil, 0, refuse(400, "bare line feed")
		}
		return nil, 0, nil
	}
	if end > MaxHead {
		return nil, 0, refuse(431, "head too long")
	}
	lines := strings.Split(string(buf[:end]), "\r\n")
	parts := strings.Split(lines[0], " ")
	if len(parts) != 3 || !token(parts[0]) || !strings.HasPrefix(parts[1], "/") {
		return nil, 0, refuse(400, "malformed request line")
	}
	for i := 0; i < len(parts[1]); i++ {
		if parts[1][i] <= ' ' || parts[1][i] >= 0x7f {
			return nil, 0, refuse(400, "malformed target")
		}
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return nil, 0, refuse(400, "not HTTP/1.1")
	}
	h, err := parseHeader(lines[1:])
	if err != nil {
		return nil, 0, err
	}
	r := &Request{Method: parts[0], Close: h.close || parts[2] == "HTTP/1.0" && !h.keepAlive}
	r.Path, r.Query, _ = strings.Cut(parts[1], "?")
	switch {
	case h.chunked:
		return nil, 0, refuse(411, "length required")
	case h.length < 0 && (r.Method == "POST" || r.Method == "PUT"):
		return nil, 0, refuse(411, "length required")
	case h.length > MaxRequestBody:
		return nil, 0, refuse(413, "body too large")
	}
	total := end + 4
	if h.length > 0 {
		total += int(h.length)
	}
	if len(buf) < total {
		return nil, 0, nil
	}
	if h.length > 0 {
		r.Body = append([]byte(nil), buf[end+4:total]...)
	}
	return r, total, nil
}

var statusText = map[int]string{200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 411: "Length Required", 413: "Content Too Large", 421: "Misdirected Request",
	422: "Unprocessable Content", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 503: "Service Unavailable"}

// AppendAnswer writes an HTTP answer behind b.
func AppendAnswer(b []byte, status, retryAfter int, body []byte, close bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, statusText[status]...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	if retryAfter > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendInt(b, int64(retryAfter), 10)
	}
	if close {
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

// Answer is one HTTP answer, whole.
type Answer struct {
	Status     int
	RetryAfter int
	Body       []byte
	Close      bool
}

var errAnswer = errors.New("malformed HTTP answer")

func readLine(r *bufio.Reader, left *int) (string, error) {
	l, err := r.ReadSlice('\n')
	if err != nil {
		if err == bufio.ErrBufferFull {
			err = errAnswer
		}
		return "", err
	}
	if *left -= len(l); *left < 0 {
		return "", errAnswer
	}
	return strings.TrimSuffix(string(l[:len(l)-1]), "\r"), nil
}

// ReadAnswer reads one answer, with the same strictness as requests.
func ReadAnswer(r *bufio.Reader) (*Answer, error) {
	left := MaxHead
	first, err := readLine(r, &left)
	if err != nil {
		return nil, err
	}
	if len(first) < 12 || !strings.HasPrefix(first, "HTTP/1.") || first[8] != ' ' || len(first) > 12 && first[12] != ' ' {
		return nil, errAnswer
	}
	status, err := strconv.Atoi(first[9:12])
	if err != nil || status < 200 || status > 599 {
		return nil, errAnswer
	}
	var lines []string
	for {
		l, err := readLine(r, &left)
		if err != nil {
			return nil, noEOF(err)
		}
		if l == "" {
			break
		}
		lines = append(lines, l)
	}
	h, herr := parseHeader(lines)
	if herr != nil {
		return nil, herr
	}
	a := &Answer{Status: status, RetryAfter: h.retryAfter, Close: h.close || first[7] == '0' && !h.keepAlive}
	switch {
	case status == 204 || status == 304:
	case h.chunked:
		a.Body, err = readChunks(r)
	case h.length > MaxAnswerBody:
		err = errAnswer
	case h.length >= 0:
		// Grows with what really comes, whatever length was announced.
		var b bytes.Buffer
		if h.length <= 1<<16 {
			b.Grow(int(h.length))
		}
		_, err = io.CopyN(&b, r, h.length)
		a.Body = b.Bytes()
	default:
		a.Close = true
		a.Body, err = io.ReadAll(io.LimitReader(r, MaxAnswerBody))
	}
	if err != nil {
		return nil, noEOF(err)
	}
	return a, nil
}

func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readChunks(r *bufio.Reader) ([]byte, error) {
	var body bytes.Buffer
	for {
		left := 256
		l, err := readLine(r, &left)
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(l, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil || body.Len()+int(n) > MaxAnswerBody {
			return nil, errAnswer
		}
		if n > 0 {
			if _, err := io.CopyN(&body, r, int64(n)); err != nil {
				return nil, err
			}
		}
		left = MaxHead
		end, err := readLine(r, &left)
		if err != nil {
			return nil, err
		}
		if n == 0 {
			for end != "" { // trailers
				if end, err = readLine(r, &left); err != nil {
					return nil, err
				}
			}
			return body.Bytes(), nil
		}
		if end != "" {
			return nil, errAnswer
		}
	}
}
