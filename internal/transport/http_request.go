package transport

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// Request is one whole HTTP request.
type Request struct {
	Method, Path, Query string
	Body                []byte
	Close               bool // the connection ends with the response
}

// parseRequest takes one request from the front of buf and returns how many bytes it
// took. While the request is not yet whole it returns nil without an error.
func parseRequest(buf []byte) (*Request, int, *httpError) {
	headLength := bytes.Index(buf, []byte(headEnd))
	if headLength < 0 {
		return nil, 0, checkPartialHead(buf)
	}
	if headLength > maxHeaderBytes {
		return nil, 0, errHeadTooLong()
	}
	lines := strings.Split(string(buf[:headLength]), crlf)
	request, isVersion0, err := parseRequestLine(lines[0])
	if err != nil {
		return nil, 0, err
	}
	h, err := parseHeader(lines[1:])
	if err != nil {
		return nil, 0, err
	}
	if err := checkRequestBody(request.Method, &h); err != nil {
		return nil, 0, err
	}
	request.Close = h.endsConn(isVersion0)
	bodyStart := headLength + len(headEnd)
	bodyEnd := bodyStart + max(int(h.contentLength), 0)
	if len(buf) < bodyEnd {
		return nil, 0, nil
	}
	if bodyEnd > bodyStart {
		request.Body = bytes.Clone(buf[bodyStart:bodyEnd]) // buf is used again
	}
	return request, bodyEnd, nil
}

func errHeadTooLong() *httpError {
	return newHTTPError(http.StatusRequestHeaderFieldsTooLarge, "head too long")
}

// checkPartialHead refuses a head whose end would not make it a request.
func checkPartialHead(buf []byte) *httpError {
	if len(buf) > maxHeaderBytes {
		return errHeadTooLong()
	}
	if i := bytes.IndexByte(buf, '\n'); i == 0 || i > 0 && buf[i-1] != '\r' {
		return badRequest("bare line feed")
	}
	return nil
}

func parseRequestLine(line string) (request *Request, isVersion0 bool, err *httpError) {
	parts := strings.Split(line, " ")
	if len(parts) != 3 {
		return nil, false, badRequest("malformed request line")
	}
	method, target, version := parts[0], parts[1], parts[2]
	if !isToken(method) || !strings.HasPrefix(target, "/") {
		return nil, false, badRequest("malformed request line")
	}
	for i := 0; i < len(target); i++ {
		if target[i] <= ' ' || target[i] >= 0x7f {
			return nil, false, badRequest("malformed target")
		}
	}
	if version != version1 && version != version0 {
		return nil, false, badRequest("not HTTP/1.1")
	}
	request = &Request{Method: method}
	request.Path, request.Query, _ = strings.Cut(target, "?")
	return request, version == version0, nil
}

// checkRequestBody takes only bodies whose length is known in advance and within bounds.
func checkRequestBody(method string, h *header) *httpError {
	needsBody := method == http.MethodPost || method == http.MethodPut
	switch {
	case h.chunked, h.contentLength == noContentLength && needsBody:
		return newHTTPError(http.StatusLengthRequired, "length required")
	case h.contentLength > maxRequestBody:
		return newHTTPError(http.StatusRequestEntityTooLarge, "body too large")
	}
	return nil
}

// appendRequest appends an HTTP request to b. A nil body is sent without a length.
func appendRequest(b []byte, method, host, target string, body []byte) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " "+version1+crlf+"Host: "...)
	b = append(b, host...)
	if body != nil {
		b = appendContentHeaders(b, len(body))
	}
	b = append(b, headEnd...)
	return append(b, body...)
}

// appendContentHeaders appends the header lines of a body, each with the line end in
// front.
func appendContentHeaders(b []byte, length int) []byte {
	b = append(b, crlf+"Content-Type: application/json"+crlf+"Content-Length: "...)
	return strconv.AppendInt(b, int64(length), 10)
}
