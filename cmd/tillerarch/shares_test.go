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

// fakeDaemon answers operators with what a test sets.
type fakeDaemon struct {
	shares admin.Shares
	move   admin.Move
	err    error
	asked  admin.MoveRequest
}

func (f *fakeDaemon) Shares(context.Context, *admin.SharesRequest) (*admin.Shares, error) {
	return &f.shares, f.err
}

func (f *fakeDaemon) Move(_ context.Context, r *admin.MoveRequest) (*admin.Move, error) {
	f.asked = *r
	return &f.move, f.err
}

func (f *fakeDaemon) Abort(context.Context, *admin.AbortRequest) (*admin.Move, error) {
	return &f.move, f.err
}

func (f *fakeDaemon) Drain(_ context.Context, r *admin.DrainRequest) (*admin.Controller, error) {
	c := f.shares.Controllers[0]
	c.Draining = r.Drain
	return &c, f.err
}

// run runs `tillerarch shares` against a daemon: what it prints, and its exit code.
func run(t *testing.T, f *fakeDaemon, args ...string) (out string, code int) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := admin.NewServer(f)
	go server.Serve(admin.Limit(listener))
	defer server.Stop()
	command := sharesCommand()
	command.SilenceErrors, command.SilenceUsage = true, true
	var b bytes.Buffer
	command.SetOut(&b)
	command.SetArgs(append([]string{"--admin", listener.Addr().String()}, args...))
	if err := command.Execute(); err != nil {
		if strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: more than a line: %v", args, err)
		}
		return err.Error(), exitCode(err)
	}
	return b.String(), 0
}

func TestSharesCommands(t *testing.T) {
	begun := time.Date(2026, 12, 2, 13, 0, 0, 0, time.UTC)
	move := admin.Move{Name: "m-1", Page: "stall-0#7-1", From: "stall-0#7", To: "stall-1#8", Phase: "closed", Machines: 17, Begun: begun,
		Prepared: begun.Add(time.Second), Passed: begun.Add(3 * time.Second), Ended: begun.Add(5 * time.Second)}
	aborted := move
	aborted.Phase, aborted.Why = "aborted", "the taker has ended"
	daemon := func() *fakeDaemon {
		return &fakeDaemon{move: move, shares: admin.Shares{Revision: 412, Controllers: []admin.Controller{{Member: "stall-0", Run: "stall-0#7", Pages: 3, Machines: 51}},
			Pages: []admin.Page{{Page: "stall-0#7-1", Owner: "stall-0#7", Epoch: 4, Machines: 17, Tasks: 9}}, Moves: []admin.Move{move},
			Plan: []admin.Planned{{Page: "stall-0#7-2", From: "stall-0#7", To: "stall-1#8"}}}}
	}
	for _, c := range []struct {
		name string
		args []string
		set  func(*fakeDaemon)
		code int
		says []string
	}{
		{"list", []string{"list"}, nil, 0, []string{"revision 412", "stall-0#7", "51"}},
		{"list of pages", []string{"list", "--pages"}, nil, 0, []string{"stall-0#7-1", "EPOCH"}},
		{"plan", []string{"plan"}, nil, 0, []string{"stall-0#7-2"}},
		{"history", []string{"history"}, nil, 0, []string{"m-1", "closed", "2s", "5s"}},
		{"move", []string{"move", "--from", "stall-0", "--to", "stall-1"}, nil, 0, []string{"m-1", "17"}},
		{"move, waited for", []string{"move", "--page", "p", "--to", "stall-1", "--wait", "2s"}, nil, 0, []string{"closed"}},
		{"move that is aborted", []string{"move", "--page", "p", "--to", "stall-1"}, func(f *fakeDaemon) { f.move = aborted }, exitAborted, []string{"the taker has ended"}},
		{"abort", []string{"abort", "m-1"}, func(f *fakeDaemon) { f.move = aborted }, 0, []string{"aborted"}},
		{"drain", []string{"drain", "stall-0"}, nil, 0, []string{"DRAINING", "true", "51"}},
		{"drain, waited for in vain", []string{"drain", "stall-0", "--wait", "400ms"}, nil, exitUnavailable, []string{"51 machines"}},
		{"drain, waited for", []string{"drain", "stall-0", "--wait", "2s"}, func(f *fakeDaemon) { f.shares.Controllers[0].Machines = 0 }, 0, []string{"stall-0"}},
		{"undrain", []string{"undrain", "stall-0"}, nil, 0, []string{"false"}},
		{"drain of nobody", []string{"drain"}, nil, exitUsage, []string{"1 arg"}},
		{"move without a taker", []string{"move", "--from", "stall-0"}, nil, exitUsage, []string{"--to"}},
		{"move of a page and of any", []string{"move", "--from", "stall-0", "--page", "p", "--to", "x"}, nil, exitUsage, []string{"one of"}},
		{"abort of nothing", []string{"abort"}, nil, exitUsage, []string{"1 arg"}},
		{"no such command", []string{"list", "--machines"}, nil, exitUsage, []string{"unknown flag"}},
		{"refused", []string{"move", "--from", "stall-0", "--to", "x"}, func(f *fakeDaemon) { f.err = &admin.Refusal{Reason: `no controller "x" is up`} }, exitRefused, []string{`"x"`}},
		{"not now", []string{"list"}, func(f *fakeDaemon) { f.err = &admin.Refusal{Reason: "overloaded", Again: true} }, exitUnavailable, []string{"overloaded"}},
		{"no address", []string{"list", "--admin", "nowhere"}, nil, exitUsage, []string{"--admin"}},
		{"nobody there", []string{"list", "--admin", "127.0.0.1:1"}, nil, exitUnavailable, []string{"refused"}},
		{"not at its end in time", []string{"move", "--page", "p", "--to", "stall-1", "--wait", "400ms"}, func(f *fakeDaemon) {
			f.move.Phase = "prepared"
			f.shares.Moves = []admin.Move{f.move}
		}, exitUnavailable, []string{"goes on"}},
	} {
		f := daemon()
		if c.set != nil {
			c.set(f)
		}
		out, code := run(t, f, c.args...)
		if code != c.code {
			t.Errorf("%s: exit code %d, want %d: %s", c.name, code, c.code, out)
		}
		for _, part := range c.says {
			if !strings.Contains(out, part) {
				t.Errorf("%s: %q lacks %q", c.name, out, part)
			}
		}
	}
}

// JSON is whole, and a move that is not named gets a name of its own.
func TestSharesAsJSON(t *testing.T) {
	f := &fakeDaemon{shares: admin.Shares{Revision: 9, Controllers: []admin.Controller{{Member: "stall-0"}}}}
	out, code := run(t, f, "list", "--json")
	var s admin.Shares
	if err := json.Unmarshal([]byte(out), &s); err != nil || code != 0 || s.Revision != 9 || len(s.Controllers) != 1 {
		t.Errorf("%d %q: %v", code, out, err)
	}
	run(t, f, "move", "--from", "stall-0", "--to", "stall-1")
	first := f.asked.Name
	run(t, f, "move", "--from", "stall-0", "--to", "stall-1")
	if first == "" || f.asked.Name == first {
		t.Errorf("names %q, %q", first, f.asked.Name)
	}
}
