package main

import (
	"time"
)

// accraConfig holds the settings of the Accra deployment.
func accraConfig() *Config {
	return &Config{
		Nodes: 3, Areas: []string{"osu-room", "tema-rack", "kumasi-annex"}, Zones: []string{"osu-room", "tema-rack", "kumasi-annex"},
		ReportS: 2, LeaseS: 14, GangWaitS: 35, GangPeerS: 4, CancelS: 44,
		StateRPS: 200, StateWriteRPS: 25, ValueKB: 8, TxnOps: 8, CloudRPS: 4, ListLagS: 4,
		MemoryMB: 98, Sockets: 900,
		Teams: []Team{{Name: "standards-bench"}},
		Types: []MachineType{
			{Sku: "kiosk", Cores: 4, MemGB: 8, LocalGB: 60, FetchGBps: 0.8, Rate: 0.26, LowPrice: 0.1, ReadyS: 25, Yards: []string{"osu-room", "tema-rack", "kumasi-annex"}},
			{Sku: "foundry", Cores: 64, MemGB: 256, LocalGB: 35, FetchGBps: 0.2, Rate: 4.86, LowPrice: 1.72, ReadyS: 20, Yards: []string{"osu-room", "tema-rack", "kumasi-annex"}},
		},
		Objectives: "[[params.objectives]]\nkind = \"finished\"\nclass = \"cert-replay\"\nwithin_s = 150.0\nshare = 0.88",
	}
}

func init() {
	configs["hang"] = func() *Config {
		c := accraConfig()
		c.OwnZoneFirst = true
		return c
	}
	cases["hang"] = caseHang
}

// hang makes a machine stand still: its worker neither acts nor answers, and its tasks stay on it.
func (k *Worker) hang() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hung = true
	k.w.log("trouble: machine %s hangs", k.m.id)
}

// goOn makes a machine that hung continue.
func (k *Worker) goOn() {
	k.mu.Lock()
	k.hung = false
	k.mu.Unlock()
	k.w.log("machine %s continues", k.m.id)
}

// caseHang: two jobs of eight tasks run on sixteen machines. The machines of one job hang, and its user cancels
// it at that moment.
func caseHang(w *World, trouble bool) {
	for _, zone := range w.cfg.Zones[:2] {
		w.cloud.capacity[pool{"kiosk", zone, false}] = 8
	}
	w.cloud.boot = func(m *Machine) time.Duration { return 15 * time.Second } // 0.6 of ready_s
	w.startNodes()
	w.waitReady(20 * time.Second)
	job := &Job{UID: "j-000412", Lane: "cert-replay", Desk: "standards-bench", Shape: "batch", Rank: "low", Pieces: 8,
		Cores: 4, MemGB: 5.3, Bundle: "img-07", PullGB: 1.5, Reckon: 300, Bookmark: 20, Stow: 2, runS: 300}
	other := *job
	other.UID = "j-000413"
	for i, j := range []*Job{job, &other} {
		if !w.submit(j, w.nodes[1-i]) {
			w.fatal("job not accepted")
		}
		if !await(30*time.Second, func() bool { return w.running(j.UID) == j.Pieces }) {
			w.fatal("the tasks do not run")
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, m := range w.machinesOf(job.UID) {
			m.worker.hang()
		}
		hung := time.Now()
		time.AfterFunc(50*time.Second, func() {
			for _, m := range w.machinesOf(job.UID) {
				m.worker.goOn()
			}
			w.log("the machines hung for %.1f s", time.Since(hung).Seconds())
		})
		time.Sleep(100 * time.Millisecond)
	}
	if !w.cancel(job.UID) || job.called.IsZero() {
		w.fatal("the user was not told that the job is cancelled")
	}
	// Half a second beyond cancel_s, so that no difference of clocks matters.
	time.Sleep(time.Until(job.called.Add(time.Duration((w.cfg.CancelS + 0.5) * float64(time.Second)))))
	if n := w.running(job.UID); n > 0 {
		w.breaks("ran_cancelled: %.1f s after its user was told that %s is cancelled, %d of its tasks are on machines (cancel_s is %.0f)",
			time.Since(job.called).Seconds(), job.UID, n, w.cfg.CancelS)
		await(25*time.Second, func() bool { return w.running(job.UID) == 0 })
		w.log("%.1f s after the user was told, %d tasks are on machines", time.Since(job.called).Seconds(), w.running(job.UID))
	}
}
