package main

import "time"

func init() {
	configs["mistake"] = darConfig
	cases["mistake"] = caseMistake
}

// caseMistake: a job that was submitted with a mistake fails on every machine. A sound job of the same class
// follows it.
func caseMistake(w *World, trouble bool) {
	var machines []*Machine
	for range 3 {
		machines = append(machines, w.cloud.addUp("kibanda", "kariakoo"))
	}
	w.cloud.capacity[pool{"kibanda", "kariakoo", false}] = 3
	w.startNodes()
	w.waitReady(20 * time.Second)
	time.Sleep(2 * time.Second)
	if trouble {
		bad := &Job{UID: "j-000100", Lane: "disbursal-batch", Desk: "ledger-desk", Shape: "batch", Rank: "standard", Pieces: 12,
			Cores: 2, MemGB: 2.3, Bundle: "img-1", PullGB: 0.1, Reckon: 35, runS: 35, fails: true}
		w.log("trouble: j-000100 is submitted with a mistake and fails on every machine")
		if !w.submit(bad, nil) {
			w.fatal("job not accepted")
		}
	}
	time.Sleep(3 * time.Second)
	good := &Job{UID: "j-000200", Lane: "disbursal-batch", Desk: "ledger-desk", Shape: "batch", Rank: "standard", Pieces: 6,
		Cores: 2, MemGB: 2.3, Bundle: "img-1", PullGB: 0.1, Reckon: 35, runS: 35}
	if !w.submit(good, nil) {
		w.fatal("job not accepted")
	}
	const step = 100 * time.Millisecond
	waited, room := time.Duration(0), time.Duration(0)
	for ; w.running(good.UID) == 0 && room <= 90*time.Second && time.Since(w.began) < 115*time.Second; time.Sleep(step) {
		waited = time.Since(good.accepted)
		for _, m := range machines {
			if m.worker.hasRoom(good) {
				room += step
				break
			}
		}
	}
	w.log("j-000200 has waited %.1f s; in %.1f s of these a machine that fits had room", waited.Seconds(), room.Seconds())
	if w.running(good.UID) == 0 && room > 90*time.Second {
		w.ask(w.pick(), good.UID)
		w.breaks("no task of j-000200 has started in %.1f s, in %.1f s of which a machine that fits had room", waited.Seconds(), room.Seconds())
	}
}
