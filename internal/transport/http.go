package transport

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Limits of received messages.
const (
	maxHeaderBytes       = 8 << 10  // start line and header lines together
	maxHeaderCount       = 64       // header lines
	maxRequestBodyBytes  = 64 << 10 // the protocol allows no more
	maxResponseBodyBytes = 32 << 20 // a watch of the store has no limit of its own
)

const (
	crlf          = "\r\n"
	headEnd       = crlf + crlf
	versionHTTP11 = "HTTP/1.1"
	versionHTTP10 = "HTTP/1.0"
)

// httpError is the reason for which a request is refused. The server sends Status and
// Message and closes the connection, because it cannot tell where the next request begins.
type httpError struct {
	Status  int
	Message string
}

func (e *httpError) Error() string { return fmt.Sprintf("%d %s", e.Status, e.Message) }

// newHTTPError returns an httpError with the status and message.
func newHTTPError(status int, message string) *httpError {
	return &httpError{Status: status, Message: message}
}

// badRequest returns an httpError with status 400.
func badRequest(message string) *httpError { return newHTTPError(http.StatusBadRequest, message) }

// isToken reports whether s is a token as defined in RFC 9110, the form of methods and
// header names.
func isToken(s string) bool {
	if s == "" {
		return false
	}
	for i := 0; i < len(s); i++ {
		char := s[i]
		if char <= ' ' || char >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", char) >= 0 {
			return false
		}
	}
	return true
}

// isHeaderValue reports whether s contains no control character other than the tab.
func isHeaderValue(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// noContentLength represents a missing content length.
const noContentLength = -1

// maxContentLengthDigits is the maximum number of digits of a content length, including
// leading zeros.
const maxContentLengthDigits = 18

// messageHeader holds the values of the header fields that the package uses.
type messageHeader struct {
	contentLength     int64 // or noContentLength
	chunked           bool
	closeConn         bool
	keepAlive         bool
	retryAfterSeconds int
}

// parseHeader parses the header lines of a message.
func parseHeader(lines []string) (messageHeader, *httpError) {
	header := messageHeader{contentLength: noContentLength}
	if len(lines) > maxHeaderCount {
		return header, newHTTPError(http.StatusRequestHeaderFieldsTooLarge, "too many headers")
	}
	for _, line := range lines {
		name, value, found := strings.Cut(line, ":")
		if !found || !isToken(name) {
			return header, badRequest("malformed header")
		}
		value = strings.Trim(value, " \t")
		if !isHeaderValue(value) {
			return header, badRequest("malformed header value")
		}
		if err := header.parseField(strings.ToLower(name), value); err != nil {
			return header, err
		}
	}
	// Both fields together can smuggle a request past a proxy (RFC 9112, section 6.1).
	if header.chunked && header.contentLength != noContentLength {
		return header, badRequest("content-length with transfer-encoding")
	}
	return header, nil
}

// parseField stores the value of one header field. It ignores fields that the package does
// not use.
func (h *messageHeader) parseField(lowerName, value string) *httpError {
	switch lowerName {
	case "content-length":
		return h.parseContentLength(value)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") || h.chunked {
			return badRequest("unknown transfer-encoding")
		}
		h.chunked = true
	case "connection":
		h.parseConnection(value)
	case "retry-after":
		h.retryAfterSeconds, _ = strconv.Atoi(value) // a date is treated as a missing value
	}
	return nil
}

// parseContentLength stores the value of a Content-Length field. It may occur more than
// once, with the same value.
func (h *messageHeader) parseContentLength(value string) *httpError {
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

// parseConnection stores the options of a Connection field.
func (h *messageHeader) parseConnection(value string) {
	for option := range strings.SplitSeq(value, ",") {
		switch strings.ToLower(strings.TrimSpace(option)) {
		case "close":
			h.closeConn = true
		case "keep-alive":
			h.keepAlive = true
		}
	}
}

// closesConn reports whether the connection is closed after the message. HTTP/1.0 keeps the
// connection open only on request.
func (h *messageHeader) closesConn(isHTTP10 bool) bool {
	return h.closeConn || isHTTP10 && !h.keepAlive
}
