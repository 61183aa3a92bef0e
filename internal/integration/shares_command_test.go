package integration

import (
	"cmp"
	"encoding/json"
	"errors"
	"os/exec"
	"slices"
	"testing"
	"time"

	"tillerarch/internal/admin"
	"tillerarch/internal/simulation"
	"tillerarch/internal/storage"
)

// cliRunner runs `tillerarch shares`, checks its exit code and decodes what it prints.
type cliRunner func(code int, answer any, args ...string)

// waitForOwnership waits until all machines have owners, so that nothing is adopted meanwhile.
func waitForOwnership(t *testing.T, cluster *Cluster, runCLI cliRunner) admin.ShardingStatus {
	t.Helper()
	for range 60 {
		var shares admin.ShardingStatus
		runCLI(0, &shares, "list")
		machines := 0
		for _, c := range shares.Controllers {
			machines += c.Machines
		}
		running := 0
		cluster.WithWorld(func(w *simulation.World) { running = len(w.Instances()) })
		if machines == running && len(shares.Controllers) == 3 {
			return shares
		}
		time.Sleep(500 * time.Millisecond)
	}
	t.Fatal("machines are left without an owner")
	return admin.ShardingStatus{}
}

// An operator's drill with the program itself: list, transfer a shard, drain a controller for its
// restart and let it take part again. What the program prints is compared with what is on record.
func TestSharesCommand(t *testing.T) {
	binaryPath := buildProgram(t)
	cluster := startCluster(t, binaryPath, 8)
	jobs := &jobGenerator{}
	time.Sleep(4 * time.Second)
	cluster.WithWorld(jobs.submitNext)
	time.Sleep(3 * time.Second)
	var runCLI cliRunner = func(code int, answer any, args ...string) {
		t.Helper()
		common := []string{"shares", "--json", "--admin", cluster.Controllers[2].AdminAddr}
		out, err := exec.Command(binaryPath, append(common, args...)...).Output()
		var exit *exec.ExitError
		if err != nil && (!errors.As(err, &exit) || exit.ExitCode() != code) || err == nil && code != 0 {
			t.Fatalf("%v: %v, want exit code %d: %s", args, err, code, out)
		}
		if answer != nil {
			if err := json.Unmarshal(out, answer); err != nil {
				t.Fatalf("%v: %s: %v", args, out, err)
			}
		}
	}
	owned := func(controllerID string) (machines int) {
		cluster.WithWorld(func(w *simulation.World) {
			for _, controller := range w.Controllers {
				if string(controller.ID) == controllerID {
					machines = w.OwnedMachineCount(controller)
				}
			}
		})
		return machines
	}
	shares := waitForOwnership(t, cluster, runCLI)
	slices.SortFunc(shares.Controllers, func(a, z admin.Controller) int { return cmp.Compare(z.Machines, a.Machines) })
	source, target := shares.Controllers[0].ID, shares.Controllers[1].ID
	for _, c := range shares.Controllers {
		if n := owned(c.ID); n != c.Machines {
			t.Errorf("%s owns %d machines, the command says %d", c.ID, n, c.Machines)
		}
	}
	var transfer admin.Transfer
	runCLI(0, &transfer, "move", "--name", "drill", "--from", source, "--to", target, "--wait", "30s")
	if transfer.Phase != string(storage.TransferClosed) || owned(target) < transfer.Machines || transfer.Machines == 0 {
		t.Errorf("%+v, the target owns %d", transfer, owned(target))
	}
	runCLI(0, &transfer, "move", "--name", "drill", "--from", source, "--to", target)
	runCLI(2, nil, "move", "--from", source, "--to", "stall-7")
	runCLI(2, nil, "abort", "drill")
	runCLI(0, nil, "drain", source, "--wait", "60s")
	if n := owned(source); n != 0 {
		t.Errorf("drained, and owns %d machines", n)
	}
	for _, c := range cluster.Controllers {
		if string(c.ID) == source {
			if err := c.Restart(time.Second); err != nil {
				t.Fatal(err)
			}
		}
	}
	time.Sleep(3 * time.Second)
	if n := owned(source); n != 0 {
		t.Errorf("its next incarnation was given %d machines", n)
	}
	runCLI(0, nil, "undrain", source)
	cluster.WithWorld(func(w *simulation.World) { w.Store.Unavailable = true })
	time.Sleep(4 * time.Second)
	runCLI(3, nil, "drain", target)
	cluster.WithWorld(func(w *simulation.World) { w.Store.Unavailable = false })
	waitForCompletion(cluster, jobs)
	cluster.WithWorld(func(w *simulation.World) { checkResults(t, w, jobs, 1, nil, 0) })
}
