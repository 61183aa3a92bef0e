package transport

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
)

func TestParseRequest(t *testing.T) {
	const (
		whole   = 0
		partial = -1
	)
	for _, c := range []struct {
		name, input string
		want        int // the status of an error, whole or partial
	}{
		{"get", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", whole},
		{"post", "POST /work HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", whole},
		{"lower case header", "POST /work HTTP/1.1\r\ncontent-length: 2\r\n\r\n{}", whole},
		{"split head", "GET /healthz HTTP/1.1\r\nHost", partial},
		{"split body", "POST /work HTTP/1.1\r\nContent-Length: 5\r\n\r\n{}", partial},
		{"same length twice", "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n{}", whole},
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
		{"long head, no end", "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", maxHeaderBytes), 431},
		{"many headers", "GET / HTTP/1.1\r\n" + strings.Repeat("A: x\r\n", maxHeaderCount+1) + "\r\n", 431},
		{"no bytes", "", partial},
	} {
		t.Run(c.name, func(t *testing.T) {
			request, consumed, err := parseRequest([]byte(c.input))
			got := whole
			switch {
			case err != nil:
				got = err.Status
			case request == nil:
				got = partial
			case consumed != len(c.input):
				t.Errorf("took %d of %d bytes", consumed, len(c.input))
			}
			if got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

func TestReadResponse(t *testing.T) {
	for _, c := range []struct {
		name, input, body string
		status            int // 0: refused
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "{}", 200},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1;x=y\r\n}\r\n0\r\n\r\n", "{}", 200},
		{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nA: b\r\n\r\n", "{}", 200},
		{"until close", "HTTP/1.1 409 Conflict\r\n\r\n{}", "{}", 409},
		{"cut off", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", "", 0},
		{"cut off chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{}", "", 0},
		{"chunk without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{}\r\n0\r\n\r\n", "", 0},
		{"no status", "HTTP/1.1 OK\r\n\r\n", "", 0},
		{"not HTTP", "SSH-2.0-x\r\n\r\n", "", 0},
		{"huge", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "", 0},
		{"both", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}", "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			response, err := readResponse(bufio.NewReader(strings.NewReader(c.input)))
			if c.status == 0 {
				if err == nil {
					t.Errorf("taken as %d %q", response.Status, response.Body)
				}
				return
			}
			if err != nil || response.Status != c.status || string(response.Body) != c.body {
				t.Errorf("got %+v, %v, want %d %q", response, err, c.status, c.body)
			}
		})
	}
}

// What appendRequest writes, parseRequest must read back, however it is cut; and no input
// may crash it or be taken for more bytes than it has.
func FuzzParseRequest(f *testing.F) {
	f.Add(appendRequest(nil, "POST", "h", "/work", []byte("{}")))
	f.Add([]byte("GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\nGET"))
	f.Add([]byte("GET / HTTP/1.1\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		request, consumed, err := parseRequest(input)
		isOddError := err != nil && (err.Status < 400 || err.Status > 431)
		if isOddError || consumed > len(input) || request != nil && consumed == 0 {
			t.Fatalf("%v, %d of %d bytes, %v", request, consumed, len(input), err)
		}
		if request == nil {
			return
		}
		for cut := 0; cut < consumed; cut += 1 + consumed/8 {
			if part, _, err := parseRequest(input[:cut]); part != nil && err == nil {
				t.Fatalf("whole with %d of %d bytes", cut, consumed)
			}
		}
		again, _, err := parseRequest(appendRequest(nil, request.Method, "h", request.Path, request.Body))
		if err != nil && err.Status != 411 { // a POST with an empty body is written without a length
			t.Fatal(err)
		}
		if again != nil && !bytes.Equal(again.Body, request.Body) {
			t.Fatalf("%q became %q", request.Body, again.Body)
		}
	})
}

// No input may crash readResponse or become a body longer than it.
func FuzzReadResponse(f *testing.F) {
	f.Add(appendResponse(nil, 200, 3, []byte("{}"), true))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		response, err := readResponse(bufio.NewReader(bytes.NewReader(input)))
		if err == nil && (response.Status < 200 || len(response.Body) > len(input)) {
			t.Fatalf("%+v", response)
		}
	})
}
