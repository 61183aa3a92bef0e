package transport

import (
	"bufio"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startServer serves with answers that come from another goroutine.
func startServer(t *testing.T, cfg ServerConfig) *Server {
	t.Helper()
	var s *Server
	s = NewServer(cfg, func(x *Exchange) {
		go s.Reply(x, 200, 0, append([]byte(nil), x.Request.Path...))
	})
	done := make(chan error, 1)
	go func() { done <- s.Run() }()
	t.Cleanup(func() {
		s.Stop()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Error("server does not stop")
		}
	})
	for i := 0; ; i++ {
		c, err := net.Dial("tcp4", cfg.Addr)
		if err == nil {
			c.Close()
			return s
		}
		if i > 100 {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func exchange(t *testing.T, addr, send string) (string, bool) {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(8 * time.Second))
	io.WriteString(c, send)
	a, err := ReadResponse(bufio.NewReader(c))
	if err != nil {
		return "", false
	}
	return string(a.Body), a.Close
}

func TestServerResponds(t *testing.T) {
	cfg := ServerConfig{Addr: freeAddr(t), MaxConns: 20, IdleTimeout: time.Minute, ReadTimeout: time.Second}
	startServer(t, cfg)
	for _, c := range []struct {
		name, send, body string
		closes           bool
	}{
		{"kept", "GET /a HTTP/1.1\r\n\r\n", "/a", false},
		{"closed on demand", "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n", "/a", true},
		{"pipelined requests get one answer", "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n", "/a", true},
		{"malformed", "BAD\r\n\r\n", `{"error":"malformed request line"}`, true},
		{"half a request is closed in time", "GET /a HTTP", "", false},
	} {
		body, closes := exchange(t, cfg.Addr, c.send)
		if body != c.body || closes != c.closes {
			t.Errorf("%s: %q, closes %v", c.name, body, closes)
		}
	}
}

// A peer that closes its half after the request, or in the middle of one, costs
// nothing but its own connection.
func TestServerHalfClosed(t *testing.T) {
	cfg := ServerConfig{Addr: freeAddr(t), MaxConns: 4, IdleTimeout: time.Minute, ReadTimeout: time.Minute}
	startServer(t, cfg)
	for i := 0; i < 12; i++ { // more than there may be at once: each must be given up
		c, err := net.Dial("tcp4", cfg.Addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, []string{"GET /a HTTP/1.1\r\n\r\n", "POST /a HTTP/1.1\r\nContent-Le"}[i%2])
		c.(*net.TCPConn).CloseWrite()
		c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.ReadAll(c); err != nil {
			t.Fatalf("not closed: %v", err)
		}
		c.Close()
	}
	if body, _ := exchange(t, cfg.Addr, "GET /a HTTP/1.1\r\n\r\n"); body != "/a" {
		t.Fatalf("not served any more: %q", body)
	}
}

// Past its limit of connections the server closes new ones and goes on.
func TestServerBoundsConnections(t *testing.T) {
	cfg := ServerConfig{Addr: freeAddr(t), MaxConns: 3, IdleTimeout: time.Minute, ReadTimeout: time.Minute}
	startServer(t, cfg)
	time.Sleep(300 * time.Millisecond)
	var conns []net.Conn
	for i := 0; i < 3; i++ {
		c, err := net.Dial("tcp4", cfg.Addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, c)
		io.WriteString(c, "GET /x HTTP/1.1\r\n\r\n")
		if _, err := ReadResponse(bufio.NewReader(c)); err != nil {
			t.Fatal(err)
		}
	}
	if body, _ := exchange(t, cfg.Addr, "GET /a HTTP/1.1\r\n\r\n"); body != "" {
		t.Fatalf("a fourth connection was served %q", body)
	}
	conns[0].Close()
	time.Sleep(300 * time.Millisecond)
	if body, _ := exchange(t, cfg.Addr, "GET /a HTTP/1.1\r\n\r\n"); body != "/a" {
		t.Fatalf("not served after one left: %q", body)
	}
}

// evio ends its loop on any accept error. A process that is out of descriptors
// must go on serving once it has some again.
func TestServerSurvivesFailedAccept(t *testing.T) {
	cfg := ServerConfig{Addr: freeAddr(t), MaxConns: 1000, IdleTimeout: time.Minute, ReadTimeout: time.Minute}
	startServer(t, cfg)
	waiting, err := net.Dial("tcp4", cfg.Addr) // takes the client's descriptor beforehand
	if err != nil {
		t.Fatal(err)
	}
	defer waiting.Close()
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	fds := make([]int, 0, 2)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	fds = append(fds, fd)
	low := old
	low.Cur = uint64(fd + 1) // no descriptor is left for accept
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &low); err != nil {
		t.Fatal(err)
	}
	port := 0
	for _, d := range strings.Split(cfg.Addr, ":")[1] {
		port = port*10 + int(d-'0')
	}
	err = syscall.Connect(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	time.Sleep(400 * time.Millisecond)
	if e := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old); e != nil {
		t.Fatal(e)
	}
	for _, f := range fds {
		syscall.Close(f)
	}
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; ; i++ {
		c, err := net.Dial("tcp4", cfg.Addr)
		if err == nil {
			c.Close()
			if body, _ := exchange(t, cfg.Addr, "GET /a HTTP/1.1\r\n\r\n"); body == "/a" {
				return
			}
		}
		if i > 50 {
			t.Fatal("not served any more")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestFrames(t *testing.T) {
	type v struct{ A string }
	b, err := AppendFrame(nil, v{"x"})
	if err != nil {
		t.Fatal(err)
	}
	two := append(append([]byte(nil), b...), b...)
	for cut := 0; cut < len(b); cut++ {
		if f, _, err := SplitFrame(two[:cut]); f != nil || err != nil {
			t.Fatalf("cut at %d: %v %v", cut, f, err)
		}
	}
	f, rest, err := SplitFrame(two)
	var got v
	if err != nil || DecodeFrame(f, &got) != nil || got.A != "x" || len(rest) != len(b) {
		t.Fatalf("%v %v %v", got, rest, err)
	}
	for _, bad := range [][]byte{{0, 0, 0, 0}, {255, 255, 255, 255}} {
		if _, _, err := SplitFrame(bad); err == nil {
			t.Errorf("%v is taken", bad)
		}
	}
}
