package transport

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
)

// A malformed or oversized request must be refused with its status, and an incomplete one must wait
// for more input.
func TestParseRequest(t *testing.T) {
	const (
		completeRequest   = 0
		incompleteRequest = -1
	)
	for _, test := range []struct {
		name, input string
		wantOutcome int // status of an error, completeRequest or incompleteRequest
	}{
		{"get", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", completeRequest},
		{"post", "POST /work HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", completeRequest},
		{"lower case header", "POST /work HTTP/1.1\r\ncontent-length: 2\r\n\r\n{}", completeRequest},
		{"incomplete head", "GET /healthz HTTP/1.1\r\nHost", incompleteRequest},
		{"incomplete body", "POST /work HTTP/1.1\r\nContent-Length: 5\r\n\r\n{}", incompleteRequest},
		{"same length twice", "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n{}", completeRequest},
		{"conflicting lengths", "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}", 400},
		{"length and chunked", "POST / HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}", 400},
		{"chunked", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 411},
		{"no length", "POST / HTTP/1.1\r\n\r\n", 411},
		{"negative length", "POST / HTTP/1.1\r\nContent-Length: -2\r\n\r\n", 400},
		{"signed length", "POST / HTTP/1.1\r\nContent-Length: +2\r\n\r\n{}", 400},
		{"huge length", "POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413},
		{"overflowing length", "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", 400},
		{"no version", "GET /\r\n\r\n", 400},
		{"old version", "GET / HTTP/0.9\r\n\r\n", 400},
		{"no path", "GET x HTTP/1.1\r\n\r\n", 400},
		{"control byte in path", "GET /\x01 HTTP/1.1\r\n\r\n", 400},
		{"space before colon", "GET / HTTP/1.1\r\nHost : x\r\n\r\n", 400},
		{"header without colon", "GET / HTTP/1.1\r\nHost\r\n\r\n", 400},
		{"folded header", "GET / HTTP/1.1\r\nA: x\r\n y\r\n\r\n", 400},
		{"bare line feed", "GET / HTTP/1.1\nHost: x\n\n", 400},
		{"long head", "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", maxHeaderBytes) + "\r\n\r\n", 431},
		{"long incomplete head", "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", maxHeaderBytes), 431},
		{"many headers", "GET / HTTP/1.1\r\n" + strings.Repeat("A: x\r\n", maxHeaderCount+1) + "\r\n", 431},
		{"empty input", "", incompleteRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			request, consumed, err := parseRequest([]byte(test.input))
			outcome := completeRequest
			switch {
			case err != nil:
				outcome = err.Status
			case request == nil:
				outcome = incompleteRequest
			case consumed != len(test.input):
				t.Errorf("consumed %d of %d bytes, want all", consumed, len(test.input))
			}
			if outcome != test.wantOutcome {
				t.Errorf("got outcome %d, want %d (a status, 0 for a complete request, -1 for an incomplete one)", outcome, test.wantOutcome)
			}
		})
	}
}

// A malformed, truncated, oversized or ambiguous response must be refused.
func TestReadResponse(t *testing.T) {
	for _, test := range []struct {
		name, input, wantBody string
		wantStatus            int // 0 means that the response is refused
	}{
		{"content length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "{}", 200},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1;x=y\r\n}\r\n0\r\n\r\n", "{}", 200},
		{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nA: b\r\n\r\n", "{}", 200},
		{"body until the connection closes", "HTTP/1.1 409 Conflict\r\n\r\n{}", "{}", 409},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", "", 0},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{}", "", 0},
		{"chunk longer than its size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{}\r\n0\r\n\r\n", "", 0},
		{"no status", "HTTP/1.1 OK\r\n\r\n", "", 0},
		{"not HTTP", "SSH-2.0-x\r\n\r\n", "", 0},
		{"huge length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "", 0},
		{"length and chunked", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}", "", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			response, err := readResponse(bufio.NewReader(strings.NewReader(test.input)))
			if test.wantStatus == 0 {
				if err == nil {
					t.Errorf("got status %d, body %q, want an error", response.Status, response.Body)
				}
				return
			}
			if err != nil || response.Status != test.wantStatus || string(response.Body) != test.wantBody {
				t.Errorf("got response %+v, error %v, want status %d, body %q", response, err, test.wantStatus, test.wantBody)
			}
		})
	}
}

// parseRequest must parse what appendRequest writes, and must treat every shorter part of a
// request as incomplete. No input may make it panic or consume more bytes than the input
// has.
func FuzzParseRequest(f *testing.F) {
	f.Add(appendRequest(nil, "POST", "h", "/work", []byte("{}")))
	f.Add([]byte("GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\nGET"))
	f.Add([]byte("GET / HTTP/1.1\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		request, consumed, err := parseRequest(input)
		hasUnexpectedStatus := err != nil && (err.Status < 400 || err.Status > 431)
		if hasUnexpectedStatus || consumed > len(input) || request != nil && consumed == 0 {
			t.Fatalf("got request %v, consumed %d of %d bytes, error %v, want at most all bytes, at least one with a request, and a status of 400 to 431 in an error",
				request, consumed, len(input), err)
		}
		if request == nil {
			return
		}
		for cut := 0; cut < consumed; cut += 1 + consumed/8 {
			if partialRequest, _, err := parseRequest(input[:cut]); partialRequest != nil && err == nil {
				t.Fatalf("got a complete request from %d of its %d bytes, want an incomplete one", cut, consumed)
			}
		}
		reparsed, _, err := parseRequest(appendRequest(nil, request.Method, "h", request.Path, request.Body))
		if err != nil && err.Status != 411 { // a POST with an empty body is written without a length
			t.Fatal(err)
		}
		if reparsed != nil && !bytes.Equal(reparsed.Body, request.Body) {
			t.Fatalf("body %q became %q after a round trip, want the same body", request.Body, reparsed.Body)
		}
	})
}

// No input may make readResponse panic or return a body longer than the input.
func FuzzReadResponse(f *testing.F) {
	f.Add(appendResponse(nil, 200, 3, []byte("{}"), true))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		response, err := readResponse(bufio.NewReader(bytes.NewReader(input)))
		if err == nil && (response.Status < 200 || len(response.Body) > len(input)) {
			t.Fatalf("got response %+v, want status 200 or more and a body no longer than the input", response)
		}
	})
}
