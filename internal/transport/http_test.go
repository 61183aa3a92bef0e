package transport

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
)

func TestParseRequest(t *testing.T) {
	const ok = 0
	const more = -1
	for _, c := range []struct {
		name, in string
		want     int // status, ok or more
	}{
		{"get", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", ok},
		{"post", "POST /work HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", ok},
		{"lower case header", "POST /work HTTP/1.1\r\ncontent-length: 2\r\n\r\n{}", ok},
		{"split head", "GET /healthz HTTP/1.1\r\nHost", more},
		{"split body", "POST /work HTTP/1.1\r\nContent-Length: 5\r\n\r\n{}", more},
		{"same length twice", "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n{}", ok},
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
		{"long head", "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", MaxHeaderBytes) + "\r\n\r\n", 431},
		{"long head, no end", "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", MaxHeaderBytes), 431},
		{"many headers", "GET / HTTP/1.1\r\n" + strings.Repeat("A: x\r\n", MaxHeaderCount+1) + "\r\n", 431},
		{"nothing", "", more},
	} {
		r, n, err := ParseRequest([]byte(c.in))
		got := ok
		if err != nil {
			got = err.Status
		} else if r == nil {
			got = more
		} else if n != len(c.in) {
			t.Errorf("%s: took %d of %d bytes", c.name, n, len(c.in))
		}
		if got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

func TestReadResponse(t *testing.T) {
	for _, c := range []struct {
		name, in, body string
		status         int // 0: refused
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
		a, err := ReadResponse(bufio.NewReader(strings.NewReader(c.in)))
		if c.status == 0 {
			if err == nil {
				t.Errorf("%s: taken as %d %q", c.name, a.Status, a.Body)
			}
			continue
		}
		if err != nil || a.Status != c.status || string(a.Body) != c.body {
			t.Errorf("%s: %+v, %v", c.name, a, err)
		}
	}
}

// What the writer writes, the parser must read back, however it is cut; and no
// bytes may crash it or be taken in more than they are.
func FuzzParseRequest(f *testing.F) {
	f.Add(AppendRequest(nil, "POST", "h", "/work", []byte("{}")))
	f.Add([]byte("GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\nGET"))
	f.Add([]byte("GET / HTTP/1.1\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r, n, err := ParseRequest(in)
		if err != nil && (err.Status < 400 || err.Status > 431) || n > len(in) || r != nil && n == 0 {
			t.Fatalf("%v %d %v", r, n, err)
		}
		if r == nil {
			return
		}
		for cut := 0; cut < n; cut += 1 + n/8 {
			if r, _, err := ParseRequest(in[:cut]); r != nil && err == nil {
				t.Fatalf("whole with %d of %d bytes", cut, n)
			}
		}
		again, _, err := ParseRequest(AppendRequest(nil, r.Method, "h", r.Path, r.Body))
		if err != nil && err.Status != 411 {
			t.Fatal(err)
		}
		if again != nil && !bytes.Equal(again.Body, r.Body) {
			t.Fatalf("%q became %q", r.Body, again.Body)
		}
	})
}

func FuzzReadResponse(f *testing.F) {
	f.Add(AppendResponse(nil, 200, 3, []byte("{}"), true))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		a, err := ReadResponse(bufio.NewReader(bytes.NewReader(in)))
		if err == nil && (a.Status < 200 || len(a.Body) > len(in)) {
			t.Fatalf("%+v", a)
		}
	})
}
