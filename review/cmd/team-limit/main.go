// Command team-limit checks that the tasks of a team never use more than the team's limit while gangs are
// placed on machines of all controllers, with and without lowered limits of the state service.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"review/world"
)

const (
	team      = "standards-bench"
	gangTasks = 28
	gangCores = 60.0
	limit     = gangTasks * gangCores
)

// oneTaskJobs submits the small jobs of another team, which stays far below its limit,
// four a second.
func oneTaskJobs(w *world.World, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		job := &world.Job{UID: fmt.Sprintf("j-9%05d", i), Lane: "cert-replay", Desk: "members", Shape: "batch", Rank: "critical",
			Pieces: 1, Cores: 1, MemGB: 1, Bundle: "img-3", PullGB: 1, Builds: []string{"kiosk"}, ReckonS: 3, RunTime: 3 * time.Second}
		go w.Submit(-1, job)
		time.Sleep(250 * time.Millisecond)
	}
}

func main() { os.Exit(run()) }

func run() int {
	root, record, trouble := os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"
	rec, err := world.NewRecorder(record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	zones := []string{"osu-room", "tema-rack", "kumasi-annex"}
	w, err := world.New(world.Config{
		Root: root, Nodes: 3, Zones: zones,
		Flavors: []world.Flavor{
			{Name: "kiosk", Cores: 4, MemGB: 8, LocalGB: 60, FetchGB: 0.8, Rate: 0.26, LowPrice: 0.1, ReadyS: 25, Yards: zones},
			{Name: "foundry", Cores: 64, MemGB: 256, LocalGB: 35, FetchGB: 5, Rate: 4.86, LowPrice: 1.72, ReadyS: 20, Yards: zones},
		},
		Limits:  world.StoreLimits{RPS: 200, WriteRPS: 25, ValueKB: 8, TxnOps: 8},
		Teams:   fmt.Sprintf("[[params.teams]]\nname = %q\ncpus = 0.0\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n\n[[params.teams]]\nname = \"members\"\ncpus = 0.0\ncpus_max = 200.0\ngpus = 0.0\ngpus_max = 0.0\n", team, limit),
		ReportS: 2, LeaseS: 14, GangWaitS: 35, GangPeerS: 4, CancelS: 44, CloudRPS: 4, ListLagS: 4,
		MemoryMB: 98, MaxSockets: 900, CoreShare: 0.12, TimeBoundMS: 25,
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
	w.Limit[team], w.Limit["members"] = limit, 200
	// The settings announce the limits that the state service will have. Without the disruption they
	// are the limits that it has.
	w.Next = "write_rps = 25.0\nvalue_kb = 8.0\ntxn_ops = 8"
	if trouble {
		w.Next = "write_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 4"
	}
	for _, zone := range zones {
		w.Cloud.AddUp("foundry", zone, 12)
		w.Cloud.AddUp("kiosk", zone, 4)
	}
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
	time.Sleep(10 * time.Second)
	if trouble {
		w.Store.SetLimits(world.StoreLimits{RPS: 200, WriteRPS: 18, ValueKB: 2, TxnOps: 4})
	}
	for key, value := range w.Store.Keys("t/p/") {
		rec.Printf("record %s: %d bytes", key, len(value))
	}
	end := time.Now().Add(90 * time.Second)
	go oneTaskJobs(w, end)
	rounds := 0
	for ; time.Now().Before(end) && len(w.Problems()) == 0; rounds++ {
		gang := &world.Job{UID: fmt.Sprintf("j-%06d", 10*rounds+1), Lane: "loop-soak", Desk: team, Shape: "group", Rank: "high",
			Pieces: gangTasks, Cores: gangCores, MemGB: 200, Bundle: "img-1", PullGB: 1, ReckonS: 3, RunTime: 3 * time.Second}
		jobs := []*world.Job{gang}
		if answer := w.Submit(-1, gang); answer.Status != 201 {
			rec.Say("%s was not accepted: %d", gang.UID, answer.Status)
			return 2
		}
		time.Sleep(100 * time.Millisecond)
		var all sync.WaitGroup
		for i := range 3 {
			array := &world.Job{UID: fmt.Sprintf("j-%06d", 10*rounds+2+i), Lane: "firmware-sweep", Desk: team, Shape: "batch", Rank: "standard",
				Pieces: 20, Cores: 1, MemGB: 1.8, Bundle: "img-2", PullGB: 1, Builds: []string{"foundry"}, ReckonS: 3, RunTime: 3 * time.Second}
			jobs = append(jobs, array)
			all.Go(func() { w.Submit(i, array) })
		}
		all.Wait()
		for time.Now().Before(end) && len(w.Problems()) == 0 {
			time.Sleep(300 * time.Millisecond)
			left := 0
			for _, job := range jobs {
				if w.Done(job.UID) < job.Pieces || w.Poll(job.UID).Stage != "done" {
					left++
				}
			}
			if left == 0 {
				break
			}
		}
	}
	rec.Say("trouble=%v: %d rounds, largest use of %s: %.1f cores, limit %.1f", trouble, rounds, team, w.Peak[team], float64(limit))
	for i, problem := range w.Problems() {
		if i < 5 {
			rec.Say("broken: %s", problem)
		}
	}
	for _, node := range w.Nodes {
		if node.HasEnded() {
			rec.Say("%s has ended by itself", node.Name)
			return 2
		}
	}
	if len(w.Problems()) > 0 {
		return 1
	}
	return 0
}
