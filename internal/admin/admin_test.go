package admin

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"testing"
	"time"
)

// fakeBackend is a Backend that responds with the values of its fields.
type fakeBackend struct {
	status              ShardingStatus
	err                 error
	blocksTransfers     bool // StartTransfer blocks until its context ends
	lastTransferRequest *TransferRequest
}

func (b *fakeBackend) GetShardingStatus(context.Context, *ShardingStatusRequest) (*ShardingStatus, error) {
	return &b.status, b.err
}

func (b *fakeBackend) StartTransfer(ctx context.Context, r *TransferRequest) (*Transfer, error) {
	b.lastTransferRequest = r
	if b.blocksTransfers {
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

// startTestServer serves a backend on a loopback address until the test ends and returns a
// client of the server.
func startTestServer(t *testing.T, backend Backend) *Client {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(backend)
	go server.Serve(LimitConnections(listener))
	t.Cleanup(server.Stop)
	client, err := Dial(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	return client
}

// Each call must reach the backend with its request and return the response of the backend.
func TestClientCalls(t *testing.T) {
	proposedAt := time.Date(2026, 12, 2, 13, 0, 0, 0, time.UTC)
	backend := &fakeBackend{status: ShardingStatus{
		Revision: 412,
		Stale:    true,
		Controllers: []Controller{{
			ID:                "stall-0",
			Incarnation:       "stall-0#7",
			Shards:            3,
			Machines:          51,
			SupportsTransfers: true,
		}},
		Shards: []Shard{{ID: "stall-0#7-1", Owner: "stall-0#7", Epoch: 4, Machines: 17, Tasks: 9}},
		Transfers: []Transfer{{
			Name:       "m",
			Phase:      "closed",
			ProposedAt: proposedAt,
			EndedAt:    proposedAt.Add(time.Second),
		}},
		PlannedTransfers: []PlannedTransfer{{Shard: "p", Source: "a", Target: "b"}},
	}}
	client := startTestServer(t, backend)
	ctx := context.Background()
	t.Run("GetShardingStatus", func(t *testing.T) {
		want := &backend.status
		got, err := client.GetShardingStatus(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if got.Revision != want.Revision || got.Stale != want.Stale {
			t.Errorf("got revision %d, stale %v, want revision 412, stale true", got.Revision, got.Stale)
		}
		if !slices.Equal(got.Controllers, want.Controllers) || !slices.Equal(got.Shards, want.Shards) ||
			!slices.Equal(got.PlannedTransfers, want.PlannedTransfers) {
			t.Errorf("got status %+v, want %+v", got, want)
		}
		if len(got.Transfers) != 1 || !got.Transfers[0].ProposedAt.Equal(proposedAt) ||
			!got.Transfers[0].PreparedAt.IsZero() {
			t.Errorf("got transfers %+v, want %+v", got.Transfers, want.Transfers)
		}
	})
	t.Run("StartTransfer", func(t *testing.T) {
		request := TransferRequest{Name: "m", Source: "stall-0", Target: "stall-1"}
		transfer, err := client.StartTransfer(ctx, &request)
		if err != nil || transfer.Phase != "proposed" || *backend.lastTransferRequest != request {
			t.Errorf("got transfer %+v, error %v, want phase proposed; backend got %+v, want the request of the client",
				transfer, err, backend.lastTransferRequest)
		}
	})
	t.Run("SetDraining", func(t *testing.T) {
		controller, err := client.SetDraining(ctx, &SetDrainingRequest{Controller: "stall-1", Draining: true})
		if err != nil || controller.ID != "stall-1" || !controller.Draining {
			t.Errorf("got controller %+v, error %v, want stall-1 draining", controller, err)
		}
	})
	t.Run("AbortTransfer", func(t *testing.T) {
		transfer, err := client.AbortTransfer(ctx, &AbortTransferRequest{Name: "m"})
		if err != nil || transfer.Phase != "aborted" || transfer.Name != "m" {
			t.Errorf("got transfer %+v, error %v, want transfer m in phase aborted", transfer, err)
		}
	})
}

// A tool must be able to distinguish a request that is refused permanently from one that may
// be repeated.
func TestRequestErrors(t *testing.T) {
	for _, test := range []struct {
		name          string
		err           error
		wantReason    string
		wantRetryable bool
	}{
		{"permanent", &RequestError{Reason: "no such shard"}, "no such shard", false},
		{"transient", &RequestError{Reason: "store unavailable", Retryable: true}, "store unavailable", true},
		{"timed out", context.DeadlineExceeded, "did not answer in time", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := startTestServer(t, &fakeBackend{err: test.err})
			_, err := client.StartTransfer(context.Background(), &TransferRequest{Name: "m"})
			var requestErr *RequestError
			if !errors.As(err, &requestErr) || !strings.Contains(requestErr.Reason, test.wantReason) ||
				requestErr.Retryable != test.wantRetryable {
				t.Errorf("got error %v, want a RequestError with %q, retryable %v", err, test.wantReason, test.wantRetryable)
			}
		})
	}
	t.Run("fault of the controller", func(t *testing.T) {
		client := startTestServer(t, &fakeBackend{err: errors.New("broken")})
		_, err := client.GetShardingStatus(context.Background())
		var requestErr *RequestError
		if err == nil || errors.As(err, &requestErr) || !strings.Contains(err.Error(), "broken") {
			t.Errorf("got error %v, want one that names the fault and is no RequestError", err)
		}
	})
}

// A call to an unreachable or slow controller must end with an error that allows a retry. A request
// over the size limit must not reach the backend.
func TestServiceLimits(t *testing.T) {
	checkRetryable := func(t *testing.T, err error) {
		t.Helper()
		var requestErr *RequestError
		if !errors.As(err, &requestErr) || !requestErr.Retryable {
			t.Errorf("got error %v, want a retryable RequestError", err)
		}
	}
	t.Run("nobody listens", func(t *testing.T) {
		client, err := Dial("127.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		_, err = client.GetShardingStatus(context.Background())
		checkRetryable(t, err)
	})
	t.Run("no response in time", func(t *testing.T) {
		client := startTestServer(t, &fakeBackend{blocksTransfers: true})
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := client.StartTransfer(ctx, &TransferRequest{Name: "m"})
		checkRetryable(t, err)
	})
	t.Run("request too large", func(t *testing.T) {
		backend := &fakeBackend{}
		client := startTestServer(t, backend)
		request := &TransferRequest{Name: strings.Repeat("x", maxRequestBytes)}
		_, err := client.StartTransfer(context.Background(), request)
		if err == nil || backend.lastTransferRequest != nil {
			t.Errorf("request of over %d bytes: got error %v, want an error before the backend is called", maxRequestBytes, err)
		}
	})
}
