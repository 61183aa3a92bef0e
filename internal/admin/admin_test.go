package admin

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"
)

// backend answers as it is told to.
type backend struct {
	shares Shares
	err    error
	moved  *MoveRequest
	stands bool // it does not answer in time
}

func (b *backend) Shares(context.Context, *SharesRequest) (*Shares, error) { return &b.shares, b.err }

func (b *backend) Move(ctx context.Context, r *MoveRequest) (*Move, error) {
	b.moved = r
	if b.stands {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &Move{Name: r.Name, Phase: "proposed"}, b.err
}

func (b *backend) Abort(_ context.Context, r *AbortRequest) (*Move, error) {
	return &Move{Name: r.Name, Phase: "aborted"}, b.err
}

func (b *backend) Drain(_ context.Context, r *DrainRequest) (*Controller, error) {
	return &Controller{Member: r.Member, Draining: r.Drain}, b.err
}

// start serves a backend on loopback and makes a client of it.
func start(t *testing.T, b Backend) *Client {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(b)
	go server.Serve(Limit(listener))
	t.Cleanup(server.Stop)
	client, err := Dial(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	return client
}

func TestCalls(t *testing.T) {
	begun := time.Date(2026, 12, 2, 13, 0, 0, 0, time.UTC)
	b := &backend{shares: Shares{Revision: 412, Stale: true, Controllers: []Controller{{Member: "stall-0", Run: "stall-0#7", Pages: 3, Machines: 51, Moves: true}},
		Pages: []Page{{Page: "stall-0#7-1", Owner: "stall-0#7", Epoch: 4, Machines: 17, Tasks: 9}},
		Moves: []Move{{Name: "m", Phase: "closed", Begun: begun, Ended: begun.Add(time.Second)}}, Plan: []Planned{{Page: "p", From: "a", To: "b"}}}}
	client := start(t, b)
	s, err := client.Shares(context.Background())
	if err != nil || s.Revision != 412 || !s.Stale || s.Controllers[0] != b.shares.Controllers[0] || s.Pages[0] != b.shares.Pages[0] ||
		s.Plan[0] != b.shares.Plan[0] || !s.Moves[0].Begun.Equal(begun) || !s.Moves[0].Prepared.IsZero() {
		t.Errorf("%+v, %v", s, err)
	}
	request := MoveRequest{Name: "m", From: "stall-0", To: "stall-1"}
	if move, err := client.Move(context.Background(), &request); err != nil || move.Phase != "proposed" || *b.moved != request {
		t.Errorf("%+v, %v, asked %+v", move, err, b.moved)
	}
	if c, err := client.Drain(context.Background(), &DrainRequest{Member: "stall-1", Drain: true}); err != nil || c.Member != "stall-1" || !c.Draining {
		t.Errorf("%+v, %v", c, err)
	}
	if move, err := client.Abort(context.Background(), &AbortRequest{Name: "m"}); err != nil || move.Phase != "aborted" || move.Name != "m" {
		t.Errorf("%+v, %v", move, err)
	}
}

// A tool can tell what will never do from what may be tried again.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name   string
		err    error
		reason string
		again  bool
	}{
		{"for good", &Refusal{Reason: "no page"}, "no page", false},
		{"for now", &Refusal{Reason: "state service away", Again: true}, "state service away", true},
		{"in no time", context.DeadlineExceeded, "did not answer in time", true},
	} {
		client := start(t, &backend{err: c.err})
		_, err := client.Move(context.Background(), &MoveRequest{Name: "m"})
		var refusal *Refusal
		if !errors.As(err, &refusal) || !strings.Contains(refusal.Reason, c.reason) || refusal.Again != c.again {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	client := start(t, &backend{err: errors.New("broken")})
	var refusal *Refusal
	if _, err := client.Shares(context.Background()); err == nil || errors.As(err, &refusal) || !strings.Contains(err.Error(), "broken") {
		t.Errorf("an error of the daemon: %v", err)
	}
}

// Nobody there, somebody who does not answer, and more than the service takes.
func TestBounds(t *testing.T) {
	var refusal *Refusal
	nobody, err := Dial("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	defer nobody.Close()
	if _, err := nobody.Shares(context.Background()); !errors.As(err, &refusal) || !refusal.Again {
		t.Errorf("nobody there: %v", err)
	}
	standing := start(t, &backend{stands: true})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if _, err := standing.Move(ctx, &MoveRequest{Name: "m"}); !errors.As(err, &refusal) || !refusal.Again {
		t.Errorf("no answer: %v", err)
	}
	b := &backend{}
	large := start(t, b)
	if _, err := large.Move(context.Background(), &MoveRequest{Name: strings.Repeat("x", maxRequestBytes)}); err == nil || b.moved != nil {
		t.Errorf("a request of over %d bytes: %v", maxRequestBytes, err)
	}
}
