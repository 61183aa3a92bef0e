package main

import "time"

func init() {
	configs["gang"] = accraConfig
	cases["gang"] = caseGang
}

// caseGang: a gang of two tasks runs on two machines that have its image. One of them stops with all that is
// on it. The machine that is left has the image, the third one has to fetch it, a third slower than its type.
func caseGang(w *World, trouble bool) {
	const bundle, pullGB = "img-soak", 6.0
	var machines []*Machine
	add := func(hasImage bool, speed float64) *Machine {
		m := w.cloud.addUp("foundry", "tema-rack")
		m.worker.mu.Lock()
		m.worker.speed = speed
		if hasImage {
			m.worker.images[bundle] = time.Now().Add(-time.Minute)
		}
		m.worker.mu.Unlock()
		machines = append(machines, m)
		return m
	}
	add(true, 1)
	add(true, 1)
	w.cloud.capacity[pool{"foundry", "tema-rack", false}] = 3
	w.startNodes()
	w.waitReady(20 * time.Second)
	job := &Job{UID: "j-000412", Lane: "loop-soak", Desk: "standards-bench", Shape: "group", Rank: "high", Pieces: 2,
		Cores: 60, MemGB: 200, Bundle: bundle, PullGB: pullGB, Together: true, Reckon: 35, Bookmark: 45, Stow: 5, runS: 20}
	if !w.submit(job, nil) {
		w.fatal("job not accepted")
	}
	if !await(30*time.Second, func() bool { return w.running(job.UID) == job.Pieces }) {
		w.fatal("the gang does not run")
	}
	add(false, 2.0/3)
	time.Sleep(4 * time.Second)
	if trouble {
		w.cloud.die(machines[1])
	}
	lost := time.Now()
	finished := func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.doneBy[job.UID+"/0"] && w.doneBy[job.UID+"/1"]
	}
	if !await(time.Until(w.began.Add(112*time.Second)), finished) {
		w.ask(w.pick(), job.UID)
		w.breaks("gang j-000412 has not run again within %.0f s of the loss of one of its machines: two machines that fit have room, and the fetch of its image takes %.0f s",
			time.Since(lost).Seconds(), pullGB/(0.2*2/3))
	}
}
