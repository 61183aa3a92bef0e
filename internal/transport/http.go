package transport

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Limits of what is taken from the other side.
const (
	maxHeaderBytes  = 8 << 10  // start line and header lines together
	maxHeaderCount  = 64       // header lines
	maxRequestBody  = 64 << 10 // bytes; the protocol allows no more
	maxResponseBody = 32 << 20 // bytes; a watch of the store has no limit of its own
)

const (
	crlf     = "\r\n"
	headEnd  = crlf + crlf
	version1 = "HTTP/1.1"
	version0 = "HTTP/1.0"
)

// httpError refuses a request. The server sends Status and Message and closes the
// connection, as what follows on it cannot be told apart.
type httpError struct {
	Status  int
	Message string
}

func (e *httpError) Error() string { return fmt.Sprintf("%d %s", e.Status, e.Message) }

func newHTTPError(status int, message string) *httpError {
	return &httpError{Status: status, Message: message}
}

func badRequest(message string) *httpError { return newHTTPError(http.StatusBadRequest, message) }

// isToken tells whether s is a token of RFC 9110, as methods and header names are.
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

// isHeaderValue tells whether s holds no control character but the tab.
func isHeaderValue(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// noContentLength is the content length of a message that gives none.
const noContentLength = -1

// maxContentLengthDigits bounds a content length, leading zeros included.
const maxContentLengthDigits = 18

// header is what matters of a message's header lines.
type header struct {
	contentLength     int64 // or noContentLength
	chunked           bool
	closeConn         bool
	keepAlive         bool
	retryAfterSeconds int
}

func parseHeader(lines []string) (header, *httpError) {
	h := header{contentLength: noContentLength}
	if len(lines) > maxHeaderCount {
		return h, newHTTPError(http.StatusRequestHeaderFieldsTooLarge, "too many headers")
	}
	for _, line := range lines {
		name, value, found := strings.Cut(line, ":")
		if !found || !isToken(name) {
			return h, badRequest("malformed header")
		}
		value = strings.Trim(value, " \t")
		if !isHeaderValue(value) {
			return h, badRequest("malformed header value")
		}
		if err := h.set(strings.ToLower(name), value); err != nil {
			return h, err
		}
	}
	// Both together is how requests are smuggled past a proxy (RFC 9112, 6.1).
	if h.chunked && h.contentLength != noContentLength {
		return h, badRequest("content-length with transfer-encoding")
	}
	return h, nil
}

// set records one header line; lines that do not matter are skipped.
func (h *header) set(lowerName, value string) *httpError {
	switch lowerName {
	case "content-length":
		return h.setContentLength(value)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") || h.chunked {
			return badRequest("unknown transfer-encoding")
		}
		h.chunked = true
	case "connection":
		h.setConnection(value)
	case "retry-after":
		h.retryAfterSeconds, _ = strconv.Atoi(value) // a date counts as none
	}
	return nil
}

func (h *header) setContentLength(value string) *httpError {
	digits, err := strconv.ParseUint(value, 10, 63)
	if err != nil || len(value) > maxContentLengthDigits {
		return badRequest("malformed content-length")
	}
	length := int64(digits)
	if h.contentLength != noContentLength && h.contentLength != length {
		return badRequest("conflicting content-lengths")
	}
	h.contentLength = length
	return nil
}

func (h *header) setConnection(value string) {
	for option := range strings.SplitSeq(value, ",") {
		switch strings.ToLower(strings.TrimSpace(option)) {
		case "close":
			h.closeConn = true
		case "keep-alive":
			h.keepAlive = true
		}
	}
}

// endsConn tells whether the connection ends with the message. HTTP/1.0 keeps it open
// only on demand.
func (h *header) endsConn(isVersion0 bool) bool {
	return h.closeConn || isVersion0 && !h.keepAlive
}
