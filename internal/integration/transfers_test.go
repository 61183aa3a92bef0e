package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"tillerarch/internal/admin"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/simulation"
	"tillerarch/internal/storage"
)

// buildProgram builds the program under test.
func buildProgram(t *testing.T) string {
	t.Helper()
	binaryPath := filepath.Join(t.TempDir(), "tillerarch")
	if out, err := exec.Command("go", "build", "-o", binaryPath, "tillerarch/cmd/tillerarch").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binaryPath
}

// startCluster brings up three controllers and some machines.
func startCluster(t *testing.T, binaryPath string, seed uint64) *Cluster {
	t.Helper()
	cluster, err := StartCluster(Options{Seed: seed, Controllers: 3, BinaryPath: binaryPath, WorkDir: t.TempDir(), MachineTypes: simulation.SmallAndLargeTypes,
		Teams: map[string]step.Quota{"core": {}, "tight": {MaxCores: 10}}, Properties: "moves.recorded = true\nage.after = 60s\nidle.factor = 100"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	cluster.WithWorld(func(w *simulation.World) {
		for i := range 24 {
			w.AddMachine("small", []protocol.Zone{"a", "b"}[i%2], false, 0)
		}
	})
	return cluster
}

// transferGoal is how many pages are to change hands: MOVES, or a scaled-down run for CI.
func transferGoal() int {
	if n, err := strconv.Atoi(os.Getenv("MOVES")); err == nil {
		return n
	}
	return 60
}

// jobGenerator submits jobs of every kind until it is told to stop.
type jobGenerator struct {
	ids      []protocol.JobID
	services []protocol.JobID
	stopped  bool
}

// submitNext submits a job, and plans the one behind it. The world's lock is held.
func (a *jobGenerator) submitNext(w *simulation.World) {
	if a.stopped {
		return
	}
	n := len(a.ids)
	job := &protocol.Job{ID: protocol.JobID(fmt.Sprintf("j-%06d", n)), Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "standard",
		TaskCount: 1 + w.Rand.IntN(8), Cores: 1, MemoryGB: 1, Image: fmt.Sprintf("img-%d", n%3), ImageGB: 1, EstimatedRunSeconds: 5}
	switch n % 8 {
	case 1:
		job.Kind, job.Priority, job.TaskCount, job.Cores = protocol.KindGang, "high", 2+w.Rand.IntN(3), 3
	case 3:
		job.Team = "tight"
	case 5:
		job.Priority, job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds = "low", 3, 1
	case 7:
		if n%24 == 7 && len(a.services) < 3 {
			job.Kind, job.Priority, job.TaskCount, job.EstimatedRunSeconds, job.Class = protocol.KindService, "high", 2, 0, "d"
			a.services = append(a.services, job.ID)
		}
	}
	a.ids = append(a.ids, job.ID)
	w.Submit(job)
	if n%9 == 4 {
		w.After(time.Duration(500+w.Rand.IntN(8000))*time.Millisecond, func() { w.Cancel(job.ID) })
	}
	w.After(time.Duration(500+w.Rand.IntN(1000))*time.Millisecond, func() { a.submitNext(w) })
}

// requestTransfers asks one controller after the other for moves, as an operator does.
func requestTransfers(t *testing.T, cluster *Cluster, index int, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(uint64(index), 3))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+rng.IntN(500)) * time.Millisecond):
		}
		source := rng.IntN(len(cluster.Controllers))
		target := (source + 1 + rng.IntN(len(cluster.Controllers)-1)) % len(cluster.Controllers)
		request := &admin.TransferRequest{Name: fmt.Sprintf("drill-%d-%d", index, n), Source: string(cluster.Controllers[source].ID), Target: string(cluster.Controllers[target].ID)}
		client, err := cluster.Controllers[rng.IntN(len(cluster.Controllers))].AdminClient()
		if err != nil {
			t.Error(err)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		client.StartTransfer(ctx, request) // a refusal is as good as a move here
		cancel()
		client.Close()
	}
}

// faultInjector lets things fail one after the other: at random, or as a move comes to a phase.
type faultInjector struct {
	t            *testing.T
	cluster      *Cluster
	rng          *rand.Rand
	killRequests chan protocol.ControllerID // a controller to end at once
	counts       map[string]int
}

// killEvery change of a move's record ends a controller.
const killEvery = 31

// killAtPhaseChanges ends giver or taker of some of the moves just as they come to a phase.
func (fi *faultInjector) killAtPhaseChanges() {
	n := 0
	fi.cluster.WithWorld(func(w *simulation.World) {
		before := w.Store.OnRevision
		w.Store.OnRevision = func(revision protocol.Revision, events []protocol.Event) {
			before(revision, events)
			for _, change := range events {
				var record storage.TransferRecord
				if !strings.HasPrefix(change.PutKey, storage.TransferKey("")) || json.Unmarshal(change.Value, &record) != nil {
					continue
				}
				if n++; n%killEvery != 0 {
					continue
				}
				select {
				case fi.killRequests <- []storage.Incarnation{record.Source, record.Target}[n/killEvery%2].Controller():
				default:
				}
			}
		}
	})
}

func (fi *faultInjector) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case controllerID := <-fi.killRequests:
			for _, controller := range fi.cluster.Controllers {
				if controller.ID == controllerID {
					fi.count("ended at a phase")
					fi.checkError(controller.Restart(time.Duration(150+fi.rng.IntN(2500)) * time.Millisecond))
				}
			}
		case <-time.After(time.Duration(2500+fi.rng.IntN(3500)) * time.Millisecond):
			fi.injectFault()
		}
	}
}

func (fi *faultInjector) count(what string) { fi.counts[what]++ }

func (fi *faultInjector) checkError(err error) {
	if err != nil {
		fi.t.Error(err)
	}
}

// injectFault lets one thing fail for a while.
func (fi *faultInjector) injectFault() {
	index := fi.rng.IntN(len(fi.cluster.Controllers))
	controller := fi.cluster.Controllers[index]
	set := func(on bool, apply func(w *simulation.World, on bool)) {
		fi.cluster.WithWorld(func(w *simulation.World) { apply(w, on) })
	}
	during := func(d time.Duration, apply func(w *simulation.World, on bool)) {
		set(true, apply)
		time.Sleep(d)
		set(false, apply)
	}
	switch fi.rng.IntN(7) {
	case 0:
		fi.count("ended")
		fi.checkError(controller.Restart(time.Duration(100+fi.rng.IntN(3000)) * time.Millisecond))
	case 1:
		fi.count("frozen for a moment")
		fi.checkError(controller.Pause(time.Second))
	case 2:
		fi.count("frozen past its lease")
		fi.checkError(controller.Pause(8 * time.Second))
	case 3:
		fi.count("cut from the state service")
		during(8*time.Second, func(w *simulation.World, on bool) { w.Controllers[index].StoreUnreachable = on })
	case 4:
		fi.count("state service away")
		during(4*time.Second, func(w *simulation.World, on bool) { w.Store.Unavailable = on })
	case 5:
		fi.count("answers of writes lost")
		during(4*time.Second, func(w *simulation.World, on bool) {
			if w.LostWriteReplyRate = 0; on {
				w.LostWriteReplyRate = 0.2
			}
		})
	case 6:
		fi.count("reports lost")
		during(4*time.Second, func(w *simulation.World, on bool) { w.Controllers[index].AgentsUnreachable = on })
	}
}

// Pages move between three controller processes all the time, jobs of every kind arrive,
// and controllers are killed, frozen, restarted and cut off at random and as moves come to
// a phase. At every revision each machine has one owner; nothing runs twice, no gang runs
// in part, no job is lost. MOVES=1000 plays the long run.
func TestTransfersBetweenProcesses(t *testing.T) {
	cluster := startCluster(t, buildProgram(t), 5)
	jobs := &jobGenerator{}
	time.Sleep(4 * time.Second)
	cluster.WithWorld(jobs.submitNext)
	stop := make(chan struct{})
	const requesterCount = 5
	var requesters, faultInjection sync.WaitGroup
	for i := range requesterCount {
		requesters.Go(func() { requestTransfers(t, cluster, i, stop) })
	}
	injector := &faultInjector{t: t, cluster: cluster, rng: rand.New(rand.NewPCG(5, 9)), killRequests: make(chan protocol.ControllerID, 1), counts: map[string]int{}}
	injector.killAtPhaseChanges()
	faultInjection.Go(func() { injector.run(stop) })
	startedAt := time.Now()
	deadline := startedAt.Add(30*time.Second + time.Duration(transferGoal())*1300*time.Millisecond)
	for shardsTransferred(cluster) < transferGoal() && time.Now().Before(deadline) {
		time.Sleep(200 * time.Millisecond)
	}
	close(stop)
	requesters.Wait()
	faultInjection.Wait()
	duration := time.Since(startedAt)
	waitForCompletion(cluster, jobs)
	cluster.WithWorld(func(w *simulation.World) { checkResults(t, w, jobs, transferGoal(), injector.counts, duration) })
}

// waitForCompletion ends all troubles and lets the jobs come to their end.
func waitForCompletion(cluster *Cluster, jobs *jobGenerator) {
	cluster.WithWorld(func(w *simulation.World) {
		jobs.stopped = true
		w.Rules.FaultsEndedAt = w.Now
		w.Store.OnRevision = w.History.Apply
		for _, id := range jobs.services {
			w.Cancel(id)
		}
	})
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		left := 0
		cluster.WithWorld(func(w *simulation.World) { left = len(unfinishedJobs(w, jobs)) + len(w.History.OpenTransfers()) })
		if left == 0 {
			return
		}
	}
}

func shardsTransferred(cluster *Cluster) (n int) {
	cluster.WithWorld(func(w *simulation.World) { n = w.History.ShardsTransferred })
	return n
}

func unfinishedJobs(w *simulation.World, jobs *jobGenerator) (ids []protocol.JobID) {
	for _, id := range jobs.ids {
		if !w.FinishedJobs[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// checkResults checks the whole run, and says what was measured.
func checkResults(t *testing.T, w *simulation.World, jobs *jobGenerator, goal int, failures map[string]int, duration time.Duration) {
	w.Rules.CheckFinal(w.Now)
	h := w.History
	if len(w.Rules.Violations) > 0 {
		t.Errorf("broken:\n%s", strings.Join(w.Rules.Violations, "\n"))
	}
	if left := unfinishedJobs(w, jobs); len(left) > 0 {
		t.Errorf("not at their end: %v", left)
	}
	if open := h.OpenTransfers(); len(open) > 0 {
		t.Errorf("moves that hang: %v", open)
	}
	if h.ShardsTransferred < goal {
		t.Errorf("%d pages have changed hands in %v, %d are asked for; aborted %v", h.ShardsTransferred, duration, goal, h.AbortedByReason)
	}
	t.Logf("%d jobs, %d tasks begun, %d revisions; %d pages with %d machines passed in %v, aborted %v", len(jobs.ids), w.Rules.TasksStarted, h.Revisions,
		h.ShardsTransferred, h.MachinesTransferred, duration.Round(time.Second), h.AbortedByReason)
	t.Logf("failures: %v", failures)
	if h.MachinesTransferred > 0 {
		t.Logf("held: %s; from begin to end: %s; %.1f machine-seconds without new tasks, %.2f for each machine moved; %.2f puts of moves for each machine moved",
			quantiles(h.QuiesceTimes), quantiles(h.TransferTimes), h.MachineIdleTime.Seconds(), h.MachineIdleTime.Seconds()/float64(h.MachinesTransferred), float64(h.TransferWrites)/float64(h.MachinesTransferred))
	}
	t.Logf("gangs waited %s; other jobs %s", quantiles(w.Rules.WaitTimes(func(j *protocol.Job) bool { return j.IsGang() })),
		quantiles(w.Rules.WaitTimes(func(j *protocol.Job) bool { return !j.IsGang() })))
}

// quantiles describes times by their median and 99th percentile.
func quantiles(durations []time.Duration) string {
	if len(durations) == 0 {
		return "none"
	}
	sorted := slices.Sorted(slices.Values(durations))
	quantile := func(q float64) time.Duration {
		return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Round(time.Millisecond)
	}
	return fmt.Sprintf("median %v, 99th percentile %v of %d", quantile(0.5), quantile(0.99), len(sorted))
}
