package integration

import (
	"cmp"
	"encoding/json"
	"os/exec"
	"slices"
	"testing"
	"time"

	"tillerarch/internal/admin"
	"tillerarch/internal/simulation"
	"tillerarch/internal/storage"
)

// toolRun runs `tillerarch shares` and reads its answer.
type toolRun func(code int, answer any, args ...string)

// wholeFleet waits until all machines have owners, so that nothing is adopted meanwhile.
func wholeFleet(t *testing.T, f *Fleet, tool toolRun) admin.ShardingStatus {
	t.Helper()
	for range 60 {
		var shares admin.ShardingStatus
		tool(0, &shares, "list")
		machines := 0
		for _, c := range shares.Controllers {
			machines += c.Machines
		}
		up := 0
		f.Do(func(w *simulation.World) { up = len(w.Hosts()) })
		if machines == up && len(shares.Controllers) == 3 {
			return shares
		}
		time.Sleep(500 * time.Millisecond)
	}
	t.Fatal("machines are left without an owner")
	return admin.ShardingStatus{}
}

// A drill as an operator does it, with the program itself: look, move a page, drain a
// controller for its restart and let it take part again. What the tool says is compared with
// what is on record.
func TestSharesDrill(t *testing.T) {
	program := buildProgram(t)
	f := startFleet(t, program, 8)
	jobs := &arrivals{}
	time.Sleep(4 * time.Second)
	f.Do(jobs.next)
	time.Sleep(3 * time.Second)
	var tool toolRun = func(code int, answer any, args ...string) {
		t.Helper()
		out, err := exec.Command(program, append([]string{"shares", "--json", "--admin", f.Controllers[2].Admin}, args...)...).Output()
		exit, failed := err.(*exec.ExitError)
		if err != nil && (!failed || exit.ExitCode() != code) || err == nil && code != 0 {
			t.Fatalf("%v: %v, want exit code %d: %s", args, err, code, out)
		}
		if answer != nil {
			if err := json.Unmarshal(out, answer); err != nil {
				t.Fatalf("%v: %s: %v", args, out, err)
			}
		}
	}
	owned := func(member string) (machines int) {
		f.Do(func(w *simulation.World) {
			for _, n := range w.Nodes {
				if string(n.Member) == member {
					machines = w.OwnedBy(n)
				}
			}
		})
		return machines
	}
	shares := wholeFleet(t, f, tool)
	slices.SortFunc(shares.Controllers, func(a, z admin.Controller) int { return cmp.Compare(z.Machines, a.Machines) })
	giver, taker := shares.Controllers[0].ID, shares.Controllers[1].ID
	for _, c := range shares.Controllers {
		if n := owned(c.ID); n != c.Machines {
			t.Errorf("%s owns %d machines, the tool says %d", c.ID, n, c.Machines)
		}
	}
	var move admin.Transfer
	tool(0, &move, "move", "--name", "drill", "--from", giver, "--to", taker, "--wait", "30s")
	if move.Phase != string(storage.TransferClosed) || owned(taker) < move.Machines || move.Machines == 0 {
		t.Errorf("%+v, the taker owns %d", move, owned(taker))
	}
	tool(0, &move, "move", "--name", "drill", "--from", giver, "--to", taker)
	tool(2, nil, "move", "--from", giver, "--to", "stall-7")
	tool(2, nil, "abort", "drill")
	tool(0, nil, "drain", giver, "--wait", "60s")
	if n := owned(giver); n != 0 {
		t.Errorf("drained, and owns %d machines", n)
	}
	for _, c := range f.Controllers {
		if string(c.Member) == giver {
			if err := c.Restart(time.Second); err != nil {
				t.Fatal(err)
			}
		}
	}
	time.Sleep(3 * time.Second)
	if n := owned(giver); n != 0 {
		t.Errorf("its next process was given %d machines", n)
	}
	tool(0, nil, "undrain", giver)
	f.Do(func(w *simulation.World) { w.State.Down = true })
	time.Sleep(4 * time.Second)
	tool(3, nil, "drain", taker)
	f.Do(func(w *simulation.World) { w.State.Down = false })
	settle(f, jobs)
	f.Do(func(w *simulation.World) { judge(t, w, jobs, 1, nil, 0) })
}
