package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	configs["backlog"] = accraConfig
	cases["backlog"] = caseBacklog
}

// caseBacklog: a user submits one-task jobs over one connection, four a second, while the large machine is busy.
// Then the task on that machine ends, and there is room for all of them.
func caseBacklog(w *World, trouble bool) {
	machine := w.cloud.addUp("foundry", "tema-rack")
	w.cloud.capacity[pool{"foundry", "tema-rack", false}] = 1
	w.startNodes()
	w.waitReady(20 * time.Second)
	soak := &Job{UID: "j-000999", Lane: "loop-soak", Desk: "standards-bench", Shape: "group", Rank: "high", Pieces: 1,
		Cores: 60, MemGB: 200, Bundle: "img-soak", PullGB: 0.4, Together: true, Reckon: 35, Bookmark: 45, Stow: 5, runS: 17}
	if !w.submit(soak, nil) {
		w.fatal("job not accepted")
	}
	if !await(30*time.Second, func() bool { return w.running(soak.UID) == 1 }) {
		w.fatal("the first job does not run")
	}
	node, interval, n := w.pick(), time.Second, 15
	if trouble {
		interval, n = 250*time.Millisecond, 60
		w.log("trouble: four jobs a second instead of one")
	}
	user := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}} // one connection, which stays at its node
	var jobs []*Job
	for i := range n {
		job := &Job{UID: fmt.Sprintf("j-%06d", 100+i), Lane: "firmware-sweep", Desk: "standards-bench", Shape: "batch", Rank: "standard",
			Pieces: 1, Cores: 1, MemGB: 0.5, Bundle: "img-soak", PullGB: 0.4, Reckon: 10, runS: 10, user: user}
		jobs = append(jobs, job)
		go w.submit(job, node)
		time.Sleep(interval)
	}
	if !await(20*time.Second, func() bool { return w.running(soak.UID) == 0 }) {
		w.fatal("the first job does not end")
	}
	freed := time.Now()
	left := func() (waiting []*Job) {
		for _, j := range jobs {
			w.mu.Lock()
			done := w.doneBy[j.UID+"/0"]
			w.mu.Unlock()
			if !done && w.running(j.UID) == 0 {
				waiting = append(waiting, j)
			}
		}
		return waiting
	}
	const step = 100 * time.Millisecond
	room := time.Duration(0)
	for ; len(left()) > 0 && time.Since(w.began) < 115*time.Second; time.Sleep(step) {
		if machine.worker.hasRoom(jobs[0]) {
			room += step
		}
	}
	late := 0
	for _, j := range jobs {
		w.mu.Lock()
		done := w.doneBy[j.UID+"/0"]
		w.mu.Unlock()
		if done && len(left()) > 0 {
			if status, v := w.ask(w.pick(), j.UID); status == 200 && v["stage"] != "done" {
				late++
			}
		}
	}
	w.log("%d jobs have completed and are not called done", late)
	if waiting := left(); len(waiting) > 0 && room > 90*time.Second {
		w.ask(w.pick(), waiting[0].UID)
		w.breaks("%d of %d accepted jobs have not started %.0f s after the machine has become free; it had room for %.0f s of these",
			len(waiting), n, time.Since(freed).Seconds(), room.Seconds())
	}
}
