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

// cliRunner runs `tillerarch shares`, checks its exit code and decodes its output into result, unless
// result is nil.
type cliRunner func(wantExitCode int, result any, args ...string)

// waitForOwnership waits until all machines have owners, so that no machine is adopted later, and
// returns the sharding status.
func waitForOwnership(t *testing.T, cluster *Cluster, runCLI cliRunner) admin.ShardingStatus {
	t.Helper()
	for range 60 {
		var status admin.ShardingStatus
		runCLI(0, &status, "list")
		ownedCount := 0
		for _, controller := range status.Controllers {
			ownedCount += controller.Machines
		}
		instanceCount := 0
		cluster.WithWorld(func(w *simulation.World) { instanceCount = len(w.Instances()) })
		if ownedCount == instanceCount && len(status.Controllers) == 3 {
			return status
		}
		time.Sleep(500 * time.Millisecond)
	}
	t.Fatal("some machines still have no owner, want an owner for each of them")
	return admin.ShardingStatus{}
}

// TestSharesCommand checks that the commands of the program list the controllers, transfer a shard,
// drain a controller for its restart, and end the drain. The output of the program agrees with the
// records in the store.
func TestSharesCommand(t *testing.T) {
	binaryPath := buildProgram(t)
	cluster := startTestCluster(t, binaryPath, 8)
	jobs := &jobGenerator{}
	time.Sleep(4 * time.Second)
	cluster.WithWorld(jobs.submitNext)
	time.Sleep(3 * time.Second)
	var runCLI cliRunner = func(wantExitCode int, result any, args ...string) {
		t.Helper()
		commonArgs := []string{"shares", "--json", "--admin", cluster.Controllers[2].AdminAddr}
		out, err := exec.Command(binaryPath, append(commonArgs, args...)...).Output()
		var exitErr *exec.ExitError
		if err != nil && (!errors.As(err, &exitErr) || exitErr.ExitCode() != wantExitCode) || err == nil && wantExitCode != 0 {
			t.Fatalf("%v: error %v, want exit code %d; output %s", args, err, wantExitCode, out)
		}
		if result != nil {
			if err := json.Unmarshal(out, result); err != nil {
				t.Fatalf("%v: output %s, want valid JSON: %v", args, out, err)
			}
		}
	}
	machinesOwnedBy := func(controllerID string) (machines int) {
		cluster.WithWorld(func(w *simulation.World) {
			for _, controller := range w.Controllers {
				if string(controller.ID) == controllerID {
					machines = w.OwnedMachineCount(controller)
				}
			}
		})
		return machines
	}
	status := waitForOwnership(t, cluster, runCLI)
	slices.SortFunc(status.Controllers, func(a, b admin.Controller) int { return cmp.Compare(b.Machines, a.Machines) })
	source, target := status.Controllers[0].ID, status.Controllers[1].ID
	for _, controller := range status.Controllers {
		if n := machinesOwnedBy(controller.ID); n != controller.Machines {
			t.Errorf("%s owns %d machines, but the command printed %d, want the same number", controller.ID, n, controller.Machines)
		}
	}
	var transfer admin.Transfer
	runCLI(0, &transfer, "move", "--name", "drill", "--from", source, "--to", target, "--wait", "30s")
	if transfer.Phase != string(storage.TransferClosed) || machinesOwnedBy(target) < transfer.Machines || transfer.Machines == 0 {
		t.Errorf("transfer %+v, the target owns %d machines; want a closed transfer of machines that the target owns", transfer, machinesOwnedBy(target))
	}
	runCLI(0, &transfer, "move", "--name", "drill", "--from", source, "--to", target)
	runCLI(2, nil, "move", "--from", source, "--to", "stall-7")
	runCLI(2, nil, "abort", "drill")
	runCLI(0, nil, "drain", source, "--wait", "60s")
	if n := machinesOwnedBy(source); n != 0 {
		t.Errorf("the drained controller owns %d machines, want 0", n)
	}
	for _, controller := range cluster.Controllers {
		if string(controller.ID) == source {
			if err := controller.Restart(time.Second); err != nil {
				t.Fatal(err)
			}
		}
	}
	time.Sleep(3 * time.Second)
	if n := machinesOwnedBy(source); n != 0 {
		t.Errorf("the next incarnation of the drained controller owns %d machines, want 0", n)
	}
	runCLI(0, nil, "undrain", source)
	cluster.WithWorld(func(w *simulation.World) { w.Store.Unavailable = true })
	time.Sleep(4 * time.Second)
	runCLI(3, nil, "drain", target)
	cluster.WithWorld(func(w *simulation.World) { w.Store.Unavailable = false })
	waitForCompletion(cluster, jobs)
	cluster.WithWorld(func(w *simulation.World) { checkResults(t, w, jobs, 1, nil, 0) })
}
