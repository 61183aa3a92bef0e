package transport

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// freeAddr returns a loopback address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// testConfig listens on loopback, with time-outs that no test reaches.
func testConfig(t *testing.T, maxConns int) ServerConfig {
	t.Helper()
	return ServerConfig{
		Addr:        freeAddr(t),
		MaxConns:    maxConns,
		IdleTimeout: time.Minute,
		ReadTimeout: time.Minute,
	}
}

// receive waits for a value that must come soon.
func receive[T any](t *testing.T, values <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-values:
	case <-time.After(5 * time.Second):
		t.Error("nothing received within 5 s")
	}
	return value
}

// startServer serves until the test ends. Another goroutine than the server's loop
// answers each request with its path.
func startServer(t *testing.T, cfg ServerConfig) *Server {
	t.Helper()
	var server *Server
	server = NewServer(cfg, func(x *Exchange) {
		go server.Reply(x, 200, 0, []byte(x.Request.Path))
	})
	runServer(t, server)
	return server
}

// runServer runs a server until the test ends and returns once it listens.
func runServer(t *testing.T, server *Server) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- server.Run() }()
	t.Cleanup(func() {
		server.Stop()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Error("server does not stop")
		}
	})
	for i := 0; ; i++ {
		conn, err := net.Dial("tcp4", server.config.Addr)
		if err == nil {
			conn.Close()
			return
		}
		if i > 100 {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// exchange sends bytes on a connection of their own. It returns the body of the response
// and whether the connection ends with it; an empty body if there is no response.
func exchange(t *testing.T, addr, request string) (body string, closes bool) {
	t.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(8 * time.Second))
	io.WriteString(conn, request)
	response, err := readResponse(bufio.NewReader(conn))
	if err != nil {
		return "", false
	}
	return string(response.Body), response.Close
}

func TestServerResponds(t *testing.T) {
	cfg := testConfig(t, 20)
	cfg.ReadTimeout = time.Second
	startServer(t, cfg)
	for _, c := range []struct {
		name, request, body string
		closes              bool
	}{
		{"connection is kept", "GET /a HTTP/1.1\r\n\r\n", "/a", false},
		{"connection is closed on demand", "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n", "/a", true},
		{"pipelined requests get one response", "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n", "/a", true},
		{"malformed request", "BAD\r\n\r\n", `{"error":"malformed request line"}`, true},
		{"partial request times out", "GET /a HTTP", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			body, closes := exchange(t, cfg.Addr, c.request)
			if body != c.body || closes != c.closes {
				t.Errorf("got %q, closes %v, want %q, closes %v", body, closes, c.body, c.closes)
			}
		})
	}
}

// A client that closes its half after the request, or in the middle of one, loses its own
// connection and takes up none of MaxConns.
func TestServerHalfClosed(t *testing.T) {
	cfg := testConfig(t, 4)
	startServer(t, cfg)
	requests := []string{"GET /a HTTP/1.1\r\n\r\n", "POST /a HTTP/1.1\r\nContent-Le"}
	for i := range 3 * cfg.MaxConns { // one that is not given up takes a place for good
		conn, err := net.Dial("tcp4", cfg.Addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, requests[i%len(requests)])
		conn.(*net.TCPConn).CloseWrite()
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.ReadAll(conn); err != nil {
			t.Fatalf("not closed: %v", err)
		}
		conn.Close()
	}
	if body, _ := exchange(t, cfg.Addr, "GET /a HTTP/1.1\r\n\r\n"); body != "/a" {
		t.Fatalf("not served any more: %q", body)
	}
}

// Beyond MaxConns the server closes new connections and goes on.
func TestServerBoundsConnections(t *testing.T) {
	cfg := testConfig(t, 3)
	startServer(t, cfg)
	time.Sleep(300 * time.Millisecond)
	var conns []net.Conn
	for range cfg.MaxConns {
		conn, err := net.Dial("tcp4", cfg.Addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
		io.WriteString(conn, "GET /x HTTP/1.1\r\n\r\n")
		if _, err := readResponse(bufio.NewReader(conn)); err != nil {
			t.Fatal(err)
		}
	}
	if body, _ := exchange(t, cfg.Addr, "GET /a HTTP/1.1\r\n\r\n"); body != "" {
		t.Fatalf("a connection beyond the limit was served %q", body)
	}
	conns[0].Close()
	time.Sleep(300 * time.Millisecond)
	if body, _ := exchange(t, cfg.Addr, "GET /a HTTP/1.1\r\n\r\n"); body != "/a" {
		t.Fatalf("not served after another connection was closed: %q", body)
	}
}

// evio ends its loop on any accept error. A process that has no descriptors left must go
// on serving once it has some again. The test leaves itself exactly one descriptor, takes
// it for the client's socket, and has that socket connect.
func TestServerSurvivesFailedAccept(t *testing.T) {
	cfg := testConfig(t, 1000)
	startServer(t, cfg)
	open, err := net.Dial("tcp4", cfg.Addr) // a connection that the restart breaks
	if err != nil {
		t.Fatal(err)
	}
	defer open.Close()
	tcpAddr, err := net.ResolveTCPAddr("tcp4", cfg.Addr)
	if err != nil {
		t.Fatal(err)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	lowered := limit
	lowered.Cur = uint64(fd + 1) // no descriptor is left for accept
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lowered); err != nil {
		t.Fatal(err)
	}
	connectErr := syscall.Connect(fd, &syscall.SockaddrInet4{Port: tcpAddr.Port, Addr: [4]byte{127, 0, 0, 1}})
	time.Sleep(400 * time.Millisecond)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	syscall.Close(fd)
	if connectErr != nil {
		t.Fatal(connectErr)
	}
	for i := 0; ; i++ {
		conn, err := net.Dial("tcp4", cfg.Addr)
		if err == nil {
			conn.Close()
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
