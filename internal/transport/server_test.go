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

// testConfig returns a configuration with a loopback address and with timeouts that no
// test reaches.
func testConfig(t *testing.T, maxConns int) ServerConfig {
	t.Helper()
	return ServerConfig{
		Addr:        freeAddr(t),
		MaxConns:    maxConns,
		IdleTimeout: time.Minute,
		ReadTimeout: time.Minute,
	}
}

// receiveWithTimeout returns the next value of a channel. It reports a failure of the test
// if there is none within 5 s.
func receiveWithTimeout[T any](t *testing.T, values <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-values:
	case <-time.After(5 * time.Second):
		t.Error("nothing received within 5 s")
	}
	return value
}

// startServer starts a server that runs until the test ends. A goroutine other than the
// server's loop responds to each request with the request's path.
func startServer(t *testing.T, cfg ServerConfig) *Server {
	t.Helper()
	var server *Server
	server = NewServer(cfg, func(exchange *Exchange) {
		go server.Reply(exchange, 200, 0, []byte(exchange.Request.Path))
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
			t.Error("server did not stop within 5 s")
		}
	})
	for attempt := 0; ; attempt++ {
		conn, err := net.Dial("tcp4", server.config.Addr)
		if err == nil {
			conn.Close()
			return
		}
		if attempt > 100 {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// sendRequest sends bytes on a new connection. It returns the body of the response and
// whether the connection is closed after the response. The body is empty if there is no
// response.
func sendRequest(t *testing.T, addr, request string) (body string, closesConn bool) {
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

// The server must keep a connection after a complete request, and must close it if the client asks for
// it, pipelines requests or sends a malformed request. A partial request must end without a response.
func TestServerResponds(t *testing.T) {
	cfg := testConfig(t, 20)
	cfg.ReadTimeout = time.Second
	startServer(t, cfg)
	for _, test := range []struct {
		name, request, wantBody string
		wantClosesConn          bool
	}{
		{"connection is kept", "GET /a HTTP/1.1\r\n\r\n", "/a", false},
		{"connection is closed on request", "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n", "/a", true},
		{"pipelined requests get one response", "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n", "/a", true},
		{"malformed request", "BAD\r\n\r\n", `{"error":"malformed request line"}`, true},
		{"partial request times out", "GET /a HTTP", "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			body, closesConn := sendRequest(t, cfg.Addr, test.request)
			if body != test.wantBody || closesConn != test.wantClosesConn {
				t.Errorf("got body %q, closes connection %v, want body %q, closes connection %v",
					body, closesConn, test.wantBody, test.wantClosesConn)
			}
		})
	}
}

// A client that closes its half of the connection after a request, or in the middle of a
// request, must lose its connection and must not occupy one of MaxConns permanently.
func TestServerHalfClosed(t *testing.T) {
	cfg := testConfig(t, 4)
	startServer(t, cfg)
	requests := []string{"GET /a HTTP/1.1\r\n\r\n", "POST /a HTTP/1.1\r\nContent-Le"}
	for i := range 3 * cfg.MaxConns { // a connection that stays open occupies one of MaxConns
		conn, err := net.Dial("tcp4", cfg.Addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, requests[i%len(requests)])
		conn.(*net.TCPConn).CloseWrite()
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.ReadAll(conn); err != nil {
			t.Fatalf("server did not close the connection: %v", err)
		}
		conn.Close()
	}
	if body, _ := sendRequest(t, cfg.Addr, "GET /a HTTP/1.1\r\n\r\n"); body != "/a" {
		t.Fatalf("after half-closed connections: got body %q, want /a", body)
	}
}

// Beyond MaxConns, the server must close new connections and continue to serve.
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
	if body, _ := sendRequest(t, cfg.Addr, "GET /a HTTP/1.1\r\n\r\n"); body != "" {
		t.Fatalf("connection beyond the limit: got body %q, want no response", body)
	}
	conns[0].Close()
	time.Sleep(300 * time.Millisecond)
	if body, _ := sendRequest(t, cfg.Addr, "GET /a HTTP/1.1\r\n\r\n"); body != "/a" {
		t.Fatalf("after another connection was closed: got body %q, want /a", body)
	}
}

// evio ends its loop on any accept error. A process that has no descriptors left must serve
// again once it has some. The test leaves exactly one descriptor to the process, uses it for
// the client's socket, and connects that socket.
func TestServerSurvivesFailedAccept(t *testing.T) {
	cfg := testConfig(t, 1000)
	startServer(t, cfg)
	openConn, err := net.Dial("tcp4", cfg.Addr) // a connection that the restart breaks
	if err != nil {
		t.Fatal(err)
	}
	defer openConn.Close()
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
	loweredLimit := limit
	loweredLimit.Cur = uint64(fd + 1) // no descriptor is left for accept
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &loweredLimit); err != nil {
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
			if body, _ := sendRequest(t, cfg.Addr, "GET /a HTTP/1.1\r\n\r\n"); body == "/a" {
				return
			}
		}
		if i > 50 {
			t.Fatal("server did not serve a request after the failed accept")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// A second reply to a request must not be sent as the response to the next request on its connection. A late copy
// of the commands for an agent would be executed otherwise.
func TestSecondReplyIsDropped(t *testing.T) {
	exchanges := make(chan *Exchange, 2)
	server := NewServer(testConfig(t, 20), func(exchange *Exchange) { exchanges <- exchange })
	runServer(t, server)
	conn, err := net.Dial("tcp4", server.config.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(8 * time.Second))
	reader := bufio.NewReader(conn)
	exchangeWith := func(path string) *Exchange {
		io.WriteString(conn, "GET "+path+" HTTP/1.1\r\n\r\n")
		return receiveWithTimeout(t, exchanges)
	}
	receiveBody := func() string {
		response, err := readResponse(reader)
		if err != nil {
			t.Fatal(err)
		}
		return string(response.Body)
	}
	first := exchangeWith("/first")
	server.Reply(first, 200, 0, []byte("first"))
	if got := receiveBody(); got != "first" {
		t.Fatalf("body %q, want the first reply", got)
	}
	second := exchangeWith("/second")
	server.Reply(first, 200, 0, []byte("copy of first"))
	server.Reply(second, 200, 0, []byte("second"))
	if got := receiveBody(); got != "second" {
		t.Errorf("body %q, want the second reply", got)
	}
}
