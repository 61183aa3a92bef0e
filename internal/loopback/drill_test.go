package loopback

import (
	"encoding/json"
	"os/exec"
	"testing"
	"time"

	"tillerarch/internal/admin"
	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/standin"
)

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
	tool := func(code int, answer any, args ...string) {
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
		f.Do(func(w *standin.World) {
			for _, n := range w.Nodes {
				if string(n.Member) == member {
					machines = w.OwnedBy(n)
				}
			}
		})
		return machines
	}
	var shares admin.Shares
	tool(0, &shares, "list")
	for _, c := range shares.Controllers {
		if n := owned(c.Member); n != c.Machines || n == 0 {
			t.Errorf("%s owns %d machines, the tool says %d", c.Member, n, c.Machines)
		}
	}
	var move admin.Move
	tool(0, &move, "move", "--name", "drill", "--from", "stall-0", "--to", "stall-1", "--wait", "30s")
	if move.Phase != string(bk.MoveClosed) || owned("stall-1") < move.Machines || move.Machines == 0 {
		t.Errorf("%+v, stall-1 owns %d", move, owned("stall-1"))
	}
	tool(0, &move, "move", "--name", "drill", "--from", "stall-0", "--to", "stall-1")
	tool(2, nil, "move", "--from", "stall-0", "--to", "stall-7")
	tool(2, nil, "abort", "drill")
	tool(0, nil, "drain", "stall-0", "--wait", "60s")
	if n := owned("stall-0"); n != 0 {
		t.Errorf("drained, and owns %d machines", n)
	}
	if err := f.Controllers[0].Restart(time.Second); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	if n := owned("stall-0"); n != 0 {
		t.Errorf("its next process was given %d machines", n)
	}
	tool(0, nil, "undrain", "stall-0")
	f.Do(func(w *standin.World) { w.State.Down = true })
	time.Sleep(4 * time.Second)
	tool(3, nil, "drain", "stall-1")
	f.Do(func(w *standin.World) { w.State.Down = false })
	settle(f, jobs)
	f.Do(func(w *standin.World) { judge(t, w, jobs, 1, nil, 0) })
}
