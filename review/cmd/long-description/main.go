// Command long-description announces tighter limits of the state service by a restart of the
// controllers one after the other, while a job with a long description is accepted and waits. The
// job must stay known and must run.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"review/world"
)

func main() { os.Exit(run()) }

func run() int {
	root, record, trouble := os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"
	rec, err := world.NewRecorder(record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	zones := []string{"kariakoo", "dodoma-hall"}
	flavors := []world.Flavor{
		{Name: "kibanda", Cores: 4, MemGB: 16, LocalGB: 35, FetchGB: 2, Rate: 0.23, LowPrice: 0.05, ReadyS: 20, Yards: zones},
		{Name: "ghala", Cores: 32, MemGB: 64, LocalGB: 30, FetchGB: 2, Rate: 1.58, LowPrice: 0.36, ReadyS: 35, Yards: zones},
	}
	// Builds of the smaller type, under names that hold the digest of their configuration. The cloud
	// offers them and has none free.
	random := rand.New(rand.NewPCG(1, 1))
	var builds []string
	for i := range 48 {
		name := fmt.Sprintf("ghala-%02d-sha256-", i)
		for range 64 {
			name += string("0123456789abcdef"[random.IntN(16)])
		}
		builds = append(builds, name)
		flavors = append(flavors, world.Flavor{Name: name, Cores: 16, MemGB: 64, LocalGB: 30, FetchGB: 2, Rate: 0.8, LowPrice: 0.2, ReadyS: 35, Yards: zones})
	}
	builds = append(builds, "ghala")
	w, err := world.New(world.Config{
		Root: root, Nodes: 3, Zones: zones, Flavors: flavors,
		Limits:  world.StoreLimits{RPS: 100, WriteRPS: 40, ValueKB: 8, TxnOps: 24},
		Teams:   "[[params.teams]]\nname = \"ledger-desk\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n",
		ReportS: 3, LeaseS: 42, GangWaitS: 40, GangPeerS: 5, CancelS: 72, CloudRPS: 10, ListLagS: 5,
		MemoryMB: 342, MaxSockets: 4000, CoreShare: 0.18, TimeBoundMS: 1000,
	}, rec)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer w.Close()
	time.AfterFunc(116*time.Second, func() {
		rec.Say("the case takes too long")
		w.Close()
		os.Exit(2)
	})
	w.Cloud.Capacity["ghala/dodoma-hall"] = 3
	w.Cloud.AddUp("kibanda", "kariakoo", 14)
	w.Cloud.AddUp("ghala", "dodoma-hall", 3)
	for _, node := range w.Nodes {
		if err := node.Start(); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	if !w.WaitHealthy(20 * time.Second) {
		rec.Say("the controllers did not become healthy")
		return 2
	}
	time.Sleep(time.Second)
	first := &world.Job{UID: "j-000001", Lane: "repayment-run", Desk: "ledger-desk", Shape: "batch", Rank: "high",
		Pieces: 3, Cores: 30, MemGB: 51, Bundle: "img-1", PullGB: 1, Builds: []string{"ghala"}, ReckonS: 12, RunTime: 12 * time.Second}
	long := &world.Job{UID: "j-000002", Lane: "repayment-run", Desk: "ledger-desk", Shape: "batch", Rank: "high",
		Pieces: 3, Cores: 30, MemGB: 51, Bundle: "img-1", PullGB: 1, Builds: builds, ReckonS: 5, RunTime: 5 * time.Second}
	for _, job := range []*world.Job{first, long} {
		if answer := w.Submit(-1, job); answer.Status != 201 {
			rec.Say("%s was not accepted: %d %s", job.UID, answer.Status, answer.Body)
			return 2
		}
		time.Sleep(500 * time.Millisecond)
	}
	rec.Printf("record of j-000002: %d bytes", len(w.Store.Keys("t/j/j-000002")["t/j/j-000002"]))
	if trouble {
		w.Next = "write_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 8"
	}
	for _, node := range w.Nodes {
		node.Kill()
		time.Sleep(500 * time.Millisecond)
		if err := node.Start(); err != nil {
			return 2
		}
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w.Store.SetLimits(world.StoreLimits{RPS: 100, WriteRPS: 28, ValueKB: 2, TxnOps: 8})
	}
	// From here on there is no trouble.
	broken := false
	for i := range w.Nodes {
		for range 3 { // a user's repeated submission; 503 is repeated
			answer := w.Ask(i, "POST", "/work", long, 5*time.Second)
			if answer.Status == 400 || answer.Status == 422 {
				rec.Say("broken: forgotten: a repeated submission of j-000002, which was accepted, gets %d at stall-%d", answer.Status, i)
				broken = true
			}
			if answer.Status != 503 {
				break
			}
			time.Sleep(time.Second)
		}
	}
	waited := time.Duration(0)
	for waited < 90*time.Second && w.Done("j-000002") < long.Pieces {
		time.Sleep(500 * time.Millisecond)
		if w.FreeFor("ghala", 30, 51) > 0 && w.On("j-000002") == 0 {
			waited += 500 * time.Millisecond
		} else {
			waited = 0 // the 90 s are counted without a break
		}
		if int(waited.Milliseconds())%5000 == 0 {
			w.Poll("j-000002")
		}
	}
	answer := w.Poll("j-000002")
	rec.Say("trouble=%v: %d of %d tasks of j-000002 were run; it waited %v while a machine that fits had room; poll: %d %s",
		trouble, w.Done("j-000002"), long.Pieces, waited, answer.Status, answer.Body)
	if waited >= 90*time.Second {
		rec.Say("broken: j-000002 is left waiting for 90 s while a machine that fits has room and its team has no limit")
		broken = true
	}
	if broken {
		return 1
	}
	return 0
}
