package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/admin"
)

// fakeBackend implements admin.Backend with replies that a test sets.
type fakeBackend struct {
	status              admin.ShardingStatus
	transfer            admin.Transfer
	err                 error
	lastTransferRequest admin.TransferRequest
}

func (f *fakeBackend) GetShardingStatus(context.Context, *admin.ShardingStatusRequest) (*admin.ShardingStatus, error) {
	return &f.status, f.err
}

func (f *fakeBackend) StartTransfer(_ context.Context, r *admin.TransferRequest) (*admin.Transfer, error) {
	f.lastTransferRequest = *r
	return &f.transfer, f.err
}

func (f *fakeBackend) AbortTransfer(context.Context, *admin.AbortTransferRequest) (*admin.Transfer, error) {
	return &f.transfer, f.err
}

func (f *fakeBackend) SetDraining(_ context.Context, r *admin.SetDrainingRequest) (*admin.Controller, error) {
	controller := f.status.Controllers[0]
	controller.Draining = r.Draining
	return &controller, f.err
}

// runShares runs `tillerarch shares` with a fake controller. It returns the output of the command,
// or the text of its error, and the exit code.
func runShares(t *testing.T, backend *fakeBackend, args ...string) (out string, code int) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := admin.NewServer(backend)
	go server.Serve(admin.LimitConnections(listener))
	defer server.Stop()
	command := newSharesCommand()
	command.SilenceErrors, command.SilenceUsage = true, true
	var output bytes.Buffer
	command.SetOut(&output)
	command.SetArgs(append([]string{"--admin", listener.Addr().String()}, args...))
	if err := command.Execute(); err != nil {
		if strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: error %v, want one line", args, err)
		}
		return err.Error(), exitCode(err)
	}
	return output.String(), 0
}

// Each command prints its result, or an error, and ends with the exit code of its outcome.
func TestSharesCommands(t *testing.T) {
	startedAt := time.Date(2026, 12, 2, 13, 0, 0, 0, time.UTC)
	transfer := admin.Transfer{
		Name:        "m-1",
		Shard:       "stall-0#7-1",
		Source:      "stall-0#7",
		Target:      "stall-1#8",
		Phase:       "closed",
		Machines:    17,
		ProposedAt:  startedAt,
		PreparedAt:  startedAt.Add(time.Second),
		CommittedAt: startedAt.Add(3 * time.Second),
		EndedAt:     startedAt.Add(5 * time.Second),
	}
	aborted := transfer
	aborted.Phase, aborted.Reason = "aborted", "the taker has ended"
	newBackend := func() *fakeBackend {
		return &fakeBackend{
			transfer: transfer,
			status: admin.ShardingStatus{
				Revision:         412,
				Controllers:      []admin.Controller{{ID: "stall-0", Incarnation: "stall-0#7", Shards: 3, Machines: 51}},
				Shards:           []admin.Shard{{ID: "stall-0#7-1", Owner: "stall-0#7", Epoch: 4, Machines: 17, Tasks: 9}},
				Transfers:        []admin.Transfer{transfer},
				PlannedTransfers: []admin.PlannedTransfer{{Shard: "stall-0#7-2", Source: "stall-0#7", Target: "stall-1#8"}},
			},
		}
	}
	for _, test := range []struct {
		name         string
		args         []string
		setUp        func(*fakeBackend)
		wantExitCode int
		wantParts    []string // parts of the output or of the error's text
	}{
		{"list", []string{"list"}, nil, 0, []string{"revision 412", "stall-0#7", "51"}},
		{"list of shards", []string{"list", "--pages"}, nil, 0, []string{"stall-0#7-1", "EPOCH"}},
		{"plan", []string{"plan"}, nil, 0, []string{"stall-0#7-2"}},
		{"history", []string{"history"}, nil, 0, []string{"m-1", "closed", "2s", "5s"}},
		{"transfer", []string{"move", "--from", "stall-0", "--to", "stall-1"}, nil, 0, []string{"m-1", "17"}},
		{
			"transfer with wait",
			[]string{"move", "--page", "p", "--to", "stall-1", "--wait", "2s"},
			nil, 0, []string{"closed"},
		},
		{
			"transfer that is aborted",
			[]string{"move", "--page", "p", "--to", "stall-1"},
			func(f *fakeBackend) { f.transfer = aborted }, exitAborted, []string{"the taker has ended"},
		},
		{"abort", []string{"abort", "m-1"}, func(f *fakeBackend) { f.transfer = aborted }, 0, []string{"aborted"}},
		{"drain", []string{"drain", "stall-0"}, nil, 0, []string{"DRAINING", "true", "51"}},
		{
			"drain with wait that times out",
			[]string{"drain", "stall-0", "--wait", "400ms"},
			nil, exitUnavailable, []string{"51 machines"},
		},
		{
			"drain with wait",
			[]string{"drain", "stall-0", "--wait", "2s"},
			func(f *fakeBackend) { f.status.Controllers[0].Machines = 0 }, 0, []string{"stall-0"},
		},
		{"undrain", []string{"undrain", "stall-0"}, nil, 0, []string{"false"}},
		{"drain without a controller", []string{"drain"}, nil, exitUsage, []string{"1 arg"}},
		{"transfer without a target", []string{"move", "--from", "stall-0"}, nil, exitUsage, []string{"--to"}},
		{
			"transfer with both a shard and a source",
			[]string{"move", "--from", "stall-0", "--page", "p", "--to", "x"},
			nil, exitUsage, []string{"one of"},
		},
		{"abort without a transfer", []string{"abort"}, nil, exitUsage, []string{"1 arg"}},
		{"unknown flag", []string{"list", "--machines"}, nil, exitUsage, []string{"unknown flag"}},
		{
			"transfer that is rejected",
			[]string{"move", "--from", "stall-0", "--to", "x"},
			func(f *fakeBackend) { f.err = &admin.RequestError{Reason: `no controller "x" is up`} },
			exitRejected, []string{`"x"`},
		},
		{
			"list from an overloaded controller",
			[]string{"list"},
			func(f *fakeBackend) { f.err = &admin.RequestError{Reason: "overloaded", Retryable: true} },
			exitUnavailable, []string{"overloaded"},
		},
		{"malformed address", []string{"list", "--admin", "nowhere"}, nil, exitUsage, []string{"--admin"}},
		{"connection refused", []string{"list", "--admin", "127.0.0.1:1"}, nil, exitUnavailable, []string{"refused"}},
		{
			"transfer with wait that times out",
			[]string{"move", "--page", "p", "--to", "stall-1", "--wait", "400ms"},
			func(f *fakeBackend) {
				f.transfer.Phase = "prepared"
				f.status.Transfers = []admin.Transfer{f.transfer}
			},
			exitUnavailable, []string{"goes on"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			backend := newBackend()
			if test.setUp != nil {
				test.setUp(backend)
			}
			out, code := runShares(t, backend, test.args...)
			if code != test.wantExitCode {
				t.Errorf("exit code %d, want %d; output %s", code, test.wantExitCode, out)
			}
			for _, part := range test.wantParts {
				if !strings.Contains(out, part) {
					t.Errorf("output %q, want one that contains %q", out, part)
				}
			}
		})
	}
}

// The JSON output holds the whole status, and a transfer without a given name gets a unique name.
func TestSharesAsJSON(t *testing.T) {
	backend := &fakeBackend{status: admin.ShardingStatus{Revision: 9, Controllers: []admin.Controller{{ID: "stall-0"}}}}
	out, code := runShares(t, backend, "list", "--json")
	var status admin.ShardingStatus
	err := json.Unmarshal([]byte(out), &status)
	if err != nil || code != 0 || status.Revision != 9 || len(status.Controllers) != 1 {
		t.Errorf("exit code %d, output %q, error %v, want exit code 0, revision 9 and one controller", code, out, err)
	}
	runShares(t, backend, "move", "--from", "stall-0", "--to", "stall-1")
	first := backend.lastTransferRequest.Name
	runShares(t, backend, "move", "--from", "stall-0", "--to", "stall-1")
	if first == "" || backend.lastTransferRequest.Name == first {
		t.Errorf("transfer names %q and %q, want two different names that are not empty", first, backend.lastTransferRequest.Name)
	}
}
