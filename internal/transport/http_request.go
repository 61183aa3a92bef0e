package transport

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// Request is a complete HTTP request.
type Request struct {
	Method, Path, Query string
	Body                []byte
	Close               bool // the connection is closed after the response
}

// parseRequest parses the request at the start of buf and returns the number of bytes that
// the request occupies. While the request is incomplete, it returns a nil request and no
// error.
func parseRequest(buf []byte) (*Request, int, *httpError) {
	headLength := bytes.Index(buf, []byte(headEnd))
	if headLength < 0 {
		return nil, 0, checkPartialHead(buf)
	}
	if headLength > maxHeaderBytes {
		return nil, 0, errHeadTooLong()
	}
	lines := strings.Split(string(buf[:headLength]), crlf)
	request, isHTTP10, err := parseRequestLine(lines[0])
	if err != nil {
		return nil, 0, err
	}
	header, err := parseHeader(lines[1:])
	if err != nil {
		return nil, 0, err
	}
	if err := checkRequestBody(request.Method, &header); err != nil {
		return nil, 0, err
	}
	request.Close = header.closesConn(isHTTP10)
	bodyStart := headLength + len(headEnd)
	bodyEnd := bodyStart + max(int(header.contentLength), 0)
	if len(buf) < bodyEnd {
		return nil, 0, nil
	}
	if bodyEnd > bodyStart {
		request.Body = bytes.Clone(buf[bodyStart:bodyEnd]) // buf is reused
	}
	return request, bodyEnd, nil
}

// errHeadTooLong returns the error for a head over maxHeaderBytes.
func errHeadTooLong() *httpError {
	return newHTTPError(http.StatusRequestHeaderFieldsTooLarge, "head too long")
}

// checkPartialHead returns an error if no further input can make an incomplete head valid.
func checkPartialHead(buf []byte) *httpError {
	if len(buf) > maxHeaderBytes {
		return errHeadTooLong()
	}
	if lineFeed := bytes.IndexByte(buf, '\n'); lineFeed == 0 || lineFeed > 0 && buf[lineFeed-1] != '\r' {
		return badRequest("bare line feed")
	}
	return nil
}

// parseRequestLine parses a line such as "GET /healthz HTTP/1.1".
func parseRequestLine(line string) (request *Request, isHTTP10 bool, err *httpError) {
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
	if version != versionHTTP11 && version != versionHTTP10 {
		return nil, false, badRequest("not HTTP/1.1")
	}
	request = &Request{Method: method}
	request.Path, request.Query, _ = strings.Cut(target, "?")
	return request, version == versionHTTP10, nil
}

// checkRequestBody returns an error unless the length of the body is known in advance and
// is within the limit.
func checkRequestBody(method string, header *messageHeader) *httpError {
	needsBody := method == http.MethodPost || method == http.MethodPut
	switch {
	case header.chunked, header.contentLength == noContentLength && needsBody:
		return newHTTPError(http.StatusLengthRequired, "length required")
	case header.contentLength > maxRequestBodyBytes:
		return newHTTPError(http.StatusRequestEntityTooLarge, "body too large")
	}
	return nil
}

// appendRequest appends an HTTP request to dst. A nil body is sent without a length.
func appendRequest(dst []byte, method, host, target string, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " "+versionHTTP11+crlf+"Host: "...)
	dst = append(dst, host...)
	if body != nil {
		dst = appendContentHeaders(dst, len(body))
	}
	dst = append(dst, headEnd...)
	return append(dst, body...)
}

// appendContentHeaders appends the header lines that describe a body to dst. Each line
// begins with the line break that ends the previous line.
func appendContentHeaders(dst []byte, length int) []byte {
	dst = append(dst, crlf+"Content-Type: application/json"+crlf+"Content-Length: "...)
	return strconv.AppendInt(dst, int64(length), 10)
}
