package admin

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"
)

// fakeBackend answers as it is told to.
type fakeBackend struct {
	status              ShardingStatus
	err                 error
	lastTransferRequest *TransferRequest
	blocks              bool // it does not answer in time
}

func (b *fakeBackend) GetShardingStatus(context.Context, *ShardingStatusRequest) (*ShardingStatus, error) {
	return &b.status, b.err
}

func (b *fakeBackend) StartTransfer(ctx context.Context, r *TransferRequest) (*Transfer, error) {
	b.lastTransferRequest = r
	if b.blocks {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &Transfer{Name: r.Name, Phase: "proposed"}, b.err
}

func (b *fakeBackend) AbortTransfer(_ context.Context, r *AbortTransferRequest) (*Transfer, error) {
	return &Transfer{Name: r.Name, Phase: "aborted"}, b.err
}

func (b *fakeBackend) SetDraining(_ context.Context, r *SetDrainingRequest) (*Controller, error) {
	return &Controller{ID: r.Controller, Draining: r.Draining}, b.err
}

// startTestServer serves a backend on loopback and makes a client of it.
func startTestServer(t *testing.T, b Backend) *Client {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(b)
	go server.Serve(LimitConnections(listener))
	t.Cleanup(server.Stop)
	client, err := Dial(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	return client
}

func TestCalls(t *testing.T) {
	startedAt := time.Date(2026, 12, 2, 13, 0, 0, 0, time.UTC)
	b := &fakeBackend{status: ShardingStatus{Revision: 412, Stale: true, Controllers: []Controller{{ID: "stall-0", Incarnation: "stall-0#7", Shards: 3, Machines: 51, SupportsTransfers: true}},
		Shards:    []Shard{{ID: "stall-0#7-1", Owner: "stall-0#7", Epoch: 4, Machines: 17, Tasks: 9}},
		Transfers: []Transfer{{Name: "m", Phase: "closed", ProposedAt: startedAt, EndedAt: startedAt.Add(time.Second)}}, PlannedTransfers: []PlannedTransfer{{Shard: "p", Source: "a", Target: "b"}}}}
	client := startTestServer(t, b)
	s, err := client.GetShardingStatus(context.Background())
	if err != nil || s.Revision != 412 || !s.Stale || s.Controllers[0] != b.status.Controllers[0] || s.Shards[0] != b.status.Shards[0] ||
		s.PlannedTransfers[0] != b.status.PlannedTransfers[0] || !s.Transfers[0].ProposedAt.Equal(startedAt) || !s.Transfers[0].PreparedAt.IsZero() {
		t.Errorf("%+v, %v", s, err)
	}
	request := TransferRequest{Name: "m", Source: "stall-0", Target: "stall-1"}
	if transfer, err := client.StartTransfer(context.Background(), &request); err != nil || transfer.Phase != "proposed" || *b.lastTransferRequest != request {
		t.Errorf("%+v, %v, asked %+v", transfer, err, b.lastTransferRequest)
	}
	if c, err := client.SetDraining(context.Background(), &SetDrainingRequest{Controller: "stall-1", Draining: true}); err != nil || c.ID != "stall-1" || !c.Draining {
		t.Errorf("%+v, %v", c, err)
	}
	if transfer, err := client.AbortTransfer(context.Background(), &AbortTransferRequest{Name: "m"}); err != nil || transfer.Phase != "aborted" || transfer.Name != "m" {
		t.Errorf("%+v, %v", transfer, err)
	}
}

// A tool can tell what will never do from what may be tried again.
func TestRequestErrors(t *testing.T) {
	for _, c := range []struct {
		name   string
		err    error
		reason string
		again  bool
	}{
		{"for good", &RequestError{Reason: "no page"}, "no page", false},
		{"for now", &RequestError{Reason: "state service away", Retryable: true}, "state service away", true},
		{"in no time", context.DeadlineExceeded, "did not answer in time", true},
	} {
		client := startTestServer(t, &fakeBackend{err: c.err})
		_, err := client.StartTransfer(context.Background(), &TransferRequest{Name: "m"})
		var requestErr *RequestError
		if !errors.As(err, &requestErr) || !strings.Contains(requestErr.Reason, c.reason) || requestErr.Retryable != c.again {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	client := startTestServer(t, &fakeBackend{err: errors.New("broken")})
	var requestErr *RequestError
	if _, err := client.GetShardingStatus(context.Background()); err == nil || errors.As(err, &requestErr) || !strings.Contains(err.Error(), "broken") {
		t.Errorf("an error of the daemon: %v", err)
	}
}

// Nobody there, somebody who does not answer, and more than the service takes.
func TestLimits(t *testing.T) {
	var requestErr *RequestError
	unreachable, err := Dial("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	defer unreachable.Close()
	if _, err := unreachable.GetShardingStatus(context.Background()); !errors.As(err, &requestErr) || !requestErr.Retryable {
		t.Errorf("nobody there: %v", err)
	}
	blocked := startTestServer(t, &fakeBackend{blocks: true})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if _, err := blocked.StartTransfer(ctx, &TransferRequest{Name: "m"}); !errors.As(err, &requestErr) || !requestErr.Retryable {
		t.Errorf("no answer: %v", err)
	}
	b := &fakeBackend{}
	large := startTestServer(t, b)
	if _, err := large.StartTransfer(context.Background(), &TransferRequest{Name: strings.Repeat("x", maxRequestBytes)}); err == nil || b.lastTransferRequest != nil {
		t.Errorf("a request of over %d bytes: %v", maxRequestBytes, err)
	}
}
