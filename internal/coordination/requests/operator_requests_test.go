package requests

import (
	"errors"
	"slices"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// operatorReply returns whether an operator's request has been answered since the last call, and the
// error in the answer. It fails the test if there is more than one answer.
func (f *requestsFixture) operatorReply(t *testing.T) (isAnswered bool, err error) {
	t.Helper()
	answers := 0
	for _, effect := range f.Effects {
		switch reply := effect.(type) {
		case TransferReply:
			err = reply.Err
			answers++
		case DrainReply:
			err = reply.Err
			answers++
		}
	}
	f.Effects = nil
	if answers > 1 {
		t.Fatalf("%d answers to one request, want at most 1", answers)
	}
	return answers == 1, err
}

// wantRefusal checks that the last request is refused with the given reason.
func (f *requestsFixture) wantRefusal(t *testing.T, reason string, transient bool) {
	t.Helper()
	_, err := f.operatorReply(t)
	var requestErr *RequestError
	if !errors.As(err, &requestErr) {
		t.Fatalf("the answer has error %v, want a RequestError", err)
	}
	if requestErr.Reason != reason || requestErr.Transient != transient {
		t.Errorf("refused with %q, transient %v; want %q, transient %v",
			requestErr.Reason, requestErr.Transient, reason, transient)
	}
}

// putControllers puts two more controllers, a shard of the controller under test and a shard of an
// ended incarnation into the replica.
func (f *requestsFixture) putControllers(t *testing.T) {
	t.Helper()
	f.Put(t, storage.ControllerKey("stall-1"), []byte(`{"r":"stall-1#1","m":true}`), 2)
	f.Put(t, storage.ControllerKey("stall-2"), []byte(`{"r":"stall-2#1"}`), 2)
	record := storage.MachineRecord{MachineType: "s", Zone: "a"}
	f.Put(t, storage.ShardKey("p"), storage.EncodePlainShard(testIncarnation, 3, []string{record.EncodeLine("m-1")}, nil), 2)
	f.Put(t, storage.ShardKey("q"), storage.EncodePlainShard("stall-9#1", 3, []string{record.EncodeLine("m-2")}, nil), 2)
}

// Refused transfers and drains must give the operator the exact reasons listed here.
func TestOperatorRequestRefusals(t *testing.T) {
	for _, test := range []struct {
		name      string
		request   any
		reason    string
		transient bool
	}{
		{
			name:    "transfer without a name",
			request: TransferRequest{Shard: "p", Target: "stall-1"},
			reason:  "a move needs a name of 1 to 100 bytes",
		},
		{
			name:    "transfer from an unknown controller",
			request: TransferRequest{Name: "m", Source: "stall-8", Target: "stall-1"},
			reason:  `no controller "stall-8" is up`,
		},
		{
			name:    "transfer to an unknown controller",
			request: TransferRequest{Name: "m", Shard: "p", Target: "stall-9"},
			reason:  `no controller "stall-9" is up`,
		},
		{
			name:    "transfer of an unknown shard",
			request: TransferRequest{Name: "m", Shard: "x", Target: "stall-1"},
			reason:  `no page "x"`,
		},
		{
			name:    "transfer of nothing",
			request: TransferRequest{Name: "m", Target: "stall-1"},
			reason:  "neither a page nor a controller to take one from is named",
		},
		{
			name:    "transfer to its owner",
			request: TransferRequest{Name: "m", Shard: "p", Target: "stall-0"},
			reason:  `the page is "stall-0"'s already`,
		},
		{
			name:      "transfer of a shard whose owner has ended",
			request:   TransferRequest{Name: "m", Shard: "q", Target: "stall-1"},
			reason:    "the page's owner has ended; another controller takes it over",
			transient: true,
		},
		{
			name:    "transfer from a controller to itself",
			request: TransferRequest{Name: "m", Source: "stall-1", Target: "stall-1"},
			reason:  "giver and taker are the same",
		},
		{
			name:      "transfer from a controller without shards",
			request:   TransferRequest{Name: "m", Source: "stall-1", Target: "stall-0"},
			reason:    `"stall-1" has no page that could move`,
			transient: true,
		},
		{
			name:    "transfer to a version without support",
			request: TransferRequest{Name: "m", Shard: "p", Target: "stall-2"},
			reason:  `controller "stall-2" runs a version, or with settings, that take no part in moves on record`,
		},
		{
			name:    "abort of an unknown transfer",
			request: TransferRequest{Name: "m", Abort: true},
			reason:  `no move "m"`,
		},
		{
			name:    "drain of an unknown controller",
			request: DrainRequest{Controller: "stall-9", Drain: true},
			reason:  `no controller "stall-9" is up`,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newRegisteredFixture(t)
			fixture.putControllers(t)
			fixture.sendRequest(test.request)
			fixture.Operators.WriteOperatorRequests(fixture.commit.ShardWriter.NewBatch(8))
			fixture.wantRefusal(t, test.reason, test.transient)
		})
	}
	t.Run("drain of the last controller", func(t *testing.T) {
		fixture := newRegisteredFixture(t)
		fixture.sendRequest(DrainRequest{Controller: "stall-0", Drain: true})
		fixture.wantRefusal(t, `no other controller is up that could take the machines of "stall-0"`, false)
	})
	t.Run("recorded transfers disabled", func(t *testing.T) {
		fixture := newRegisteredFixture(t)
		fixture.putControllers(t)
		fixture.Config.RecordTransfers = false
		fixture.sendRequest(TransferRequest{Name: "m", Shard: "p", Target: "stall-1"})
		fixture.wantRefusal(t, "moves are not on record here: moves.recorded is off", false)
	})
	t.Run("controller not registered", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.sendRequest(DrainRequest{Controller: "stall-9", Drain: true})
		fixture.wantRefusal(t, "this controller does not reach the state service", true)
	})
}

// sendRequest passes a transfer or drain request to the part under test.
func (f *requestsFixture) sendRequest(request step.Input) {
	switch request := request.(type) {
	case TransferRequest:
		f.Operators.OnTransferRequest(request)
	case DrainRequest:
		f.Operators.OnDrainRequest(request)
	}
}

// A drain is offered to every batch until it is recorded in the store, and only then answered.
func TestDrainIsAnsweredOnceRecorded(t *testing.T) {
	fixture := newRegisteredFixture(t)
	fixture.putControllers(t)
	fixture.sendRequest(DrainRequest{Controller: "stall-1", Drain: true})
	for range 2 { // the first transaction may fail
		batch := fixture.commit.ShardWriter.NewBatch(8)
		fixture.Operators.WriteOperatorRequests(batch)
		if !batch.ChangesDrain("stall-1") {
			t.Fatal("the drain is not offered to the batch")
		}
		if isAnswered, _ := fixture.operatorReply(t); isAnswered {
			t.Fatal("the drain is answered before it is recorded")
		}
	}
	fixture.Put(t, storage.DrainKey("stall-1"), []byte(`{"s":1}`), 3)
	fixture.Operators.WriteOperatorRequests(fixture.commit.ShardWriter.NewBatch(8))
	if isAnswered, err := fixture.operatorReply(t); err != nil || !isAnswered {
		t.Errorf("after the drain is recorded: answered %v with error %v, want an answer without error", isAnswered, err)
	}
}

// At most 16 requests are pending, each for at most 5 s.
func TestOperatorRequestBounds(t *testing.T) {
	fixture := newRegisteredFixture(t)
	fixture.putControllers(t)
	drain := DrainRequest{Controller: "stall-1", Drain: true}
	for range 16 {
		fixture.sendRequest(drain)
	}
	if isAnswered, _ := fixture.operatorReply(t); isAnswered {
		t.Fatal("one of the first 16 requests is answered at once, want all pending")
	}
	fixture.sendRequest(drain)
	fixture.wantRefusal(t, "too many requests wait to be written", true)

	fixture.Advance(5 * time.Second)
	fixture.Operators.ExpireOperatorRequests()
	if isAnswered, _ := fixture.operatorReply(t); isAnswered {
		t.Error("a request is refused at its timeout, want it refused only after the timeout")
	}
	fixture.Advance(time.Millisecond)
	fixture.Operators.ExpireOperatorRequests()
	replies := takeEffects[DrainReply](fixture)
	if len(replies) != 16 {
		t.Fatalf("%d requests are refused after their timeout, want 16", len(replies))
	}
	for _, reply := range replies {
		if reply.Err.Error() != "it could not be written in time; ask again under the same name" {
			t.Errorf("refused after the timeout with %q, want the write timeout", reply.Err)
		}
	}
}

// Two simultaneous drains must not drain the last two controllers. Each write is conditional on the
// drain keys of all controllers, and a request whose write failed is checked again.
func TestDrainsExcludeEachOther(t *testing.T) {
	fixture := newRegisteredFixture(t)
	fixture.putControllers(t)
	fixture.Put(t, storage.DrainKey("stall-2"), []byte(`{"s":1}`), 2)
	fixture.sendRequest(DrainRequest{Controller: "stall-1", Drain: true})
	batch := fixture.commit.ShardWriter.NewBatch(8)
	fixture.Operators.WriteOperatorRequests(batch)
	conditions := batch.Transaction().Conditions
	drainRevisions := map[protocol.ControllerID]protocol.ModRevision{"stall-0": 0, "stall-1": 0, "stall-2": 2}
	for controller, modRevision := range drainRevisions {
		want := protocol.Condition{Key: storage.DrainKey(controller), ModRevision: modRevision}
		if !slices.Contains(conditions, want) {
			t.Errorf("the write is not conditional on %+v", want)
		}
	}
	fixture.Put(t, storage.DrainKey("stall-0"), []byte(`{"s":1}`), 3)
	fixture.Operators.WriteOperatorRequests(fixture.commit.ShardWriter.NewBatch(8))
	fixture.wantRefusal(t, `no other controller is up that could take the machines of "stall-1"`, false)
}

// A request that names no shard transfers the source's shard with the fewest machines, except shards
// that are being transferred already.
func TestRequestedShard(t *testing.T) {
	fixture := newRegisteredFixture(t)
	fixture.putControllers(t)
	putShard := func(id storage.ShardID, machines ...protocol.MachineID) {
		record := storage.MachineRecord{MachineType: "s", Zone: "a"}
		lines := []string{}
		for _, machine := range machines {
			lines = append(lines, record.EncodeLine(machine))
		}
		fixture.Put(t, storage.ShardKey(id), storage.EncodePlainShard(testIncarnation, 3, lines, nil), 3)
	}
	putShard("p", "m-1", "m-3", "m-4")
	putShard("r", "m-5", "m-6")
	putShard("s", "m-7")
	fixture.Put(t, storage.TransferKey(storage.NewTransferSlot("stall-1", 0)), storage.MustMarshal(storage.TransferRecord{
		Name:   "first",
		Shard:  "s",
		Source: testIncarnation,
		Target: "stall-1#1",
		Phase:  storage.TransferProposed,
	}), 2)

	shard, err := fixture.Operators.requestedShard(&TransferRequest{Name: "m", Source: "stall-0", Target: "stall-1"})
	if err != nil || shard != "r" {
		t.Errorf("requested shard is %q with error %v, want r, the smallest shard of the source that is not being transferred",
			shard, err)
	}
	_, err = fixture.Operators.requestedShard(&TransferRequest{Name: "m", Shard: "s", Target: "stall-1"})
	if want := `the page is on its way with move "first"`; err == nil || err.Reason != want || !err.Transient {
		t.Errorf("request for a shard that is being transferred has error %v, want transient %q", err, want)
	}
}
