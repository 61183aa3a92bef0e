package integration

import (
	"context"
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

// buildProgram builds the program under test and returns the path of the binary.
func buildProgram(t *testing.T) string {
	t.Helper()
	binaryPath := filepath.Join(t.TempDir(), "tillerarch")
	if out, err := exec.Command("go", "build", "-o", binaryPath, "tillerarch/cmd/tillerarch").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binaryPath
}

// startTestCluster starts three controllers and 24 machines, and closes the cluster at the end of the
// test.
func startTestCluster(t *testing.T, binaryPath string, seed uint64) *Cluster {
	t.Helper()
	cluster, err := StartCluster(Options{
		Seed:            seed,
		ControllerCount: 3,
		BinaryPath:      binaryPath,
		WorkDir:         t.TempDir(),
		MachineTypes:    simulation.SmallAndLargeTypes,
		Teams:           map[string]step.Quota{"core": {}, "tight": {MaxCores: 10}},
		Properties:      "moves.recorded = true\nage.after = 60s\nidle.factor = 100",
	})
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

// transferGoal returns the number of shards to transfer. It is the value of the environment variable
// MOVES, or 60 without it, which makes a short run for CI.
func transferGoal() int {
	if n, err := strconv.Atoi(os.Getenv("MOVES")); err == nil {
		return n
	}
	return 60
}

// jobGenerator submits jobs of every kind until it is stopped.
type jobGenerator struct {
	jobIDs     []protocol.JobID
	serviceIDs []protocol.JobID
	isStopped  bool
}

// submitNext submits a job and schedules the submission of the next one. The caller holds the world's
// lock.
func (g *jobGenerator) submitNext(w *simulation.World) {
	if g.isStopped {
		return
	}
	index := len(g.jobIDs)
	job := &protocol.Job{ID: protocol.JobID(fmt.Sprintf("j-%06d", index)), Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "standard",
		TaskCount: 1 + w.Rand.IntN(8), Cores: 1, MemoryGB: 1, Image: fmt.Sprintf("img-%d", index%3), ImageGB: 1, EstimatedRunSeconds: 5}
	switch index % 8 {
	case 1:
		job.Kind, job.Priority, job.TaskCount, job.Cores = protocol.KindGang, "high", 2+w.Rand.IntN(3), 3
	case 3:
		job.Team = "tight"
	case 5:
		job.Priority, job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds = "low", 3, 1
	case 7:
		if index%24 == 7 && len(g.serviceIDs) < 3 {
			job.Kind, job.Priority, job.TaskCount, job.EstimatedRunSeconds, job.Class = protocol.KindService, "high", 2, 0, "d"
			g.serviceIDs = append(g.serviceIDs, job.ID)
		}
	}
	g.jobIDs = append(g.jobIDs, job.ID)
	w.Submit(job)
	if index%9 == 4 {
		w.After(time.Duration(500+w.Rand.IntN(8000))*time.Millisecond, func() { w.Cancel(job.ID) })
	}
	w.After(time.Duration(500+w.Rand.IntN(1000))*time.Millisecond, func() { g.submitNext(w) })
}

// requestTransfers requests transfers between random controllers, as an operator does, until stop is
// closed.
func requestTransfers(t *testing.T, cluster *Cluster, requester int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(uint64(requester), 3))
	for requestNumber := 0; ; requestNumber++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+random.IntN(500)) * time.Millisecond):
		}
		source := random.IntN(len(cluster.Controllers))
		target := (source + 1 + random.IntN(len(cluster.Controllers)-1)) % len(cluster.Controllers)
		request := &admin.TransferRequest{Name: fmt.Sprintf("drill-%d-%d", requester, requestNumber), Source: string(cluster.Controllers[source].ID), Target: string(cluster.Controllers[target].ID)}
		client, err := cluster.Controllers[random.IntN(len(cluster.Controllers))].DialAdmin()
		if err != nil {
			t.Error(err)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		client.StartTransfer(ctx, request) // the request may be refused
		cancel()
		client.Close()
	}
}

// faultInjector injects one fault at a time, at random times or when a transfer enters a phase.
type faultInjector struct {
	t            *testing.T
	cluster      *Cluster
	random       *rand.Rand
	killRequests chan protocol.ControllerID // controllers to kill immediately
	faultCounts  map[string]int             // number of injected faults by kind
}

// transferWritesPerKill is the number of writes of transfer records for each controller that
// killAtPhaseChanges requests to be killed.
const transferWritesPerKill = 31

// killAtPhaseChanges requests that the source or the target of some transfers is killed when the
// transfer enters a phase.
func (fi *faultInjector) killAtPhaseChanges() {
	writeCount := 0
	fi.cluster.WithWorld(func(w *simulation.World) {
		w.AddTransferRecordHook(func(record storage.TransferRecord) {
			if writeCount++; writeCount%transferWritesPerKill != 0 {
				return
			}
			victim := []storage.Incarnation{record.Source, record.Target}[writeCount/transferWritesPerKill%2]
			select {
			case fi.killRequests <- victim.Controller():
			default: // another kill is pending
			}
		})
	})
}

// injectFaults injects faults until stop is closed.
func (fi *faultInjector) injectFaults(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case controllerID := <-fi.killRequests:
			for _, controller := range fi.cluster.Controllers {
				if controller.ID == controllerID {
					fi.countFault("killed at a phase")
					fi.reportError(controller.Restart(time.Duration(150+fi.random.IntN(2500)) * time.Millisecond))
				}
			}
		case <-time.After(time.Duration(2500+fi.random.IntN(3500)) * time.Millisecond):
			fi.injectFault()
		}
	}
}

// countFault counts a fault of a kind.
func (fi *faultInjector) countFault(kind string) { fi.faultCounts[kind]++ }

// reportError fails the test if err is not nil.
func (fi *faultInjector) reportError(err error) {
	if err != nil {
		fi.t.Error(err)
	}
}

// injectFault injects a fault of a random kind and waits until the fault is over.
func (fi *faultInjector) injectFault() {
	index := fi.random.IntN(len(fi.cluster.Controllers))
	controller := fi.cluster.Controllers[index]
	setFault := func(on bool, apply func(w *simulation.World, on bool)) {
		fi.cluster.WithWorld(func(w *simulation.World) { apply(w, on) })
	}
	injectFor := func(duration time.Duration, apply func(w *simulation.World, on bool)) {
		setFault(true, apply)
		time.Sleep(duration)
		setFault(false, apply)
	}
	switch fi.random.IntN(7) {
	case 0:
		fi.countFault("killed")
		fi.reportError(controller.Restart(time.Duration(100+fi.random.IntN(3000)) * time.Millisecond))
	case 1:
		fi.countFault("paused for a moment")
		fi.reportError(controller.Pause(time.Second))
	case 2:
		fi.countFault("paused past its lease")
		fi.reportError(controller.Pause(8 * time.Second))
	case 3:
		fi.countFault("cut off from the store")
		injectFor(8*time.Second, func(w *simulation.World, on bool) { w.Controllers[index].StoreUnreachable = on })
	case 4:
		fi.countFault("store outage")
		injectFor(4*time.Second, func(w *simulation.World, on bool) { w.Store.Unavailable = on })
	case 5:
		fi.countFault("write replies lost")
		injectFor(4*time.Second, func(w *simulation.World, on bool) {
			if w.LostWriteReplyRate = 0; on {
				w.LostWriteReplyRate = 0.2
			}
		})
	case 6:
		fi.countFault("heartbeats lost")
		injectFor(4*time.Second, func(w *simulation.World, on bool) { w.Controllers[index].AgentsUnreachable = on })
	}
}

// TestTransfersBetweenProcesses transfers shards between three controller processes continually
// while jobs of every kind arrive. Controllers are killed, paused, restarted and cut off at random,
// and are killed when a transfer enters a phase. At every revision each machine has one owner. No
// task runs twice, no gang runs in part, and no job is lost. MOVES=1000 selects the long run.
func TestTransfersBetweenProcesses(t *testing.T) {
	cluster := startTestCluster(t, buildProgram(t), 5)
	jobs := &jobGenerator{}
	time.Sleep(4 * time.Second)
	cluster.WithWorld(jobs.submitNext)
	stop := make(chan struct{})
	const requesterCount = 5
	var requesters, faultInjection sync.WaitGroup
	for i := range requesterCount {
		requesters.Go(func() { requestTransfers(t, cluster, i, stop) })
	}
	injector := &faultInjector{t: t, cluster: cluster, random: rand.New(rand.NewPCG(5, 9)), killRequests: make(chan protocol.ControllerID, 1), faultCounts: map[string]int{}}
	injector.killAtPhaseChanges()
	faultInjection.Go(func() { injector.injectFaults(stop) })
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
	cluster.WithWorld(func(w *simulation.World) { checkResults(t, w, jobs, transferGoal(), injector.faultCounts, duration) })
}

// waitForCompletion stops the submission of jobs and the hook of killAtPhaseChanges, tells the checkers
// that the faults have ended, cancels the services, and waits until all jobs and transfers have ended,
// but at most a minute.
func waitForCompletion(cluster *Cluster, jobs *jobGenerator) {
	cluster.WithWorld(func(w *simulation.World) {
		jobs.isStopped = true
		w.Rules.FaultsEndedAt = w.Now
		w.Store.OnRevision = w.History.ApplyRevision
		for _, id := range jobs.serviceIDs {
			w.Cancel(id)
		}
	})
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		unfinished := 0
		cluster.WithWorld(func(w *simulation.World) { unfinished = len(unfinishedJobs(w, jobs)) + len(w.History.OpenTransfers()) })
		if unfinished == 0 {
			return
		}
	}
}

// shardsTransferred returns the number of shards that were transferred so far.
func shardsTransferred(cluster *Cluster) (n int) {
	cluster.WithWorld(func(w *simulation.World) { n = w.History.ShardsTransferred })
	return n
}

// unfinishedJobs returns the submitted jobs that have not ended.
func unfinishedJobs(w *simulation.World, jobs *jobGenerator) (ids []protocol.JobID) {
	for _, id := range jobs.jobIDs {
		if !w.FinishedJobs[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// checkResults checks the results of the whole run and logs its measurements.
func checkResults(t *testing.T, w *simulation.World, jobs *jobGenerator, goal int, faults map[string]int, duration time.Duration) {
	w.Rules.CheckFinal(w.Now)
	history := w.History
	if len(w.Rules.Violations) > 0 {
		t.Errorf("rules were violated, want no violations:\n%s", strings.Join(w.Rules.Violations, "\n"))
	}
	if unfinished := unfinishedJobs(w, jobs); len(unfinished) > 0 {
		t.Errorf("jobs %v have not ended, want all jobs to end", unfinished)
	}
	if openTransfers := history.OpenTransfers(); len(openTransfers) > 0 {
		t.Errorf("transfers %v have not ended, want all transfers to end", openTransfers)
	}
	if history.ShardsTransferred < goal {
		t.Errorf("%d shards were transferred in %v, want at least %d; aborted %v", history.ShardsTransferred, duration, goal, history.AbortedByReason)
	}
	t.Logf("%d jobs, %d tasks started, %d revisions; %d shards with %d machines transferred in %v, aborted %v", len(jobs.jobIDs), w.Rules.TasksStarted, history.Revisions,
		history.ShardsTransferred, history.MachinesTransferred, duration.Round(time.Second), history.AbortedByReason)
	t.Logf("faults: %v", faults)
	if history.MachinesTransferred > 0 {
		t.Logf("quiesced: %s; from proposal to end: %s; %.1f machine-seconds without new tasks, %.2f for each machine transferred; %.2f writes of transfers for each machine transferred",
			formatQuantiles(history.QuiesceTimes), formatQuantiles(history.TransferTimes), history.MachineQuiesceTime.Seconds(),
			history.MachineQuiesceTime.Seconds()/float64(history.MachinesTransferred), float64(history.TransferWrites)/float64(history.MachinesTransferred))
	}
	t.Logf("gangs waited %s; other jobs %s", formatQuantiles(w.Rules.WaitTimes(func(j *protocol.Job) bool { return j.IsGang() })),
		formatQuantiles(w.Rules.WaitTimes(func(j *protocol.Job) bool { return !j.IsGang() })))
}

// formatQuantiles returns a text with the median and the 99th percentile of durations.
func formatQuantiles(durations []time.Duration) string {
	if len(durations) == 0 {
		return "none"
	}
	sorted := slices.Sorted(slices.Values(durations))
	quantileAt := func(fraction float64) time.Duration {
		return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)].Round(time.Millisecond)
	}
	return fmt.Sprintf("median %v, 99th percentile %v of %d", quantileAt(0.5), quantileAt(0.99), len(sorted))
}
