package main

import (
	"fmt"
	"time"
)

// darTypes are the machine types of the Dar es Salaam deployment.
func darTypes() []MachineType {
	return []MachineType{
		{Sku: "kibanda", Cores: 4, MemGB: 16, LocalGB: 35, FetchGBps: 0.1, Rate: 0.23, LowPrice: 0.05, ReadyS: 20, Yards: []string{"kariakoo", "dodoma-hall"}},
	}
}

func darConfig() *Config {
	return &Config{
		Nodes: 3, Areas: []string{"kariakoo", "dodoma-hall"}, Zones: []string{"kariakoo", "dodoma-hall"},
		ReportS: 3, LeaseS: 42, GangWaitS: 40, GangPeerS: 5, CancelS: 72,
		StateRPS: 100, StateWriteRPS: 40, ValueKB: 8, TxnOps: 24, CloudRPS: 10, ListLagS: 5,
		MemoryMB: 342, Sockets: 4000, Types: darTypes(),
		Teams: []Team{{Name: "ledger-desk"}},
	}
}

func init() {
	configs["guarantee"] = func() *Config {
		c := darConfig()
		c.Teams = []Team{{Name: "ledger-desk", CPUs: 8, CPUMax: 16}, {Name: "field-officers", CPUs: 4, CPUMax: 16}}
		return c
	}
	cases["guarantee"] = caseGuarantee
}

// caseGuarantee: a burst of standing services of one team fills the fleet beyond that team's guarantee.
// Another team's only job fits into its own guarantee.
func caseGuarantee(w *World, trouble bool) {
	for range 4 {
		w.cloud.addUp("kibanda", "kariakoo")
	}
	w.cloud.capacity[pool{"kibanda", "kariakoo", false}] = 4
	w.startNodes()
	w.waitReady(20 * time.Second)
	services := 1
	if trouble {
		services = 4
		w.log("trouble: four times as many services")
	}
	for i := range services {
		j := &Job{UID: fmt.Sprintf("j-%06d", 100+i), Lane: "borrower-portal", Desk: "field-officers", Shape: "daemon", Rank: "critical",
			Pieces: 4, Cores: 1, MemGB: 1.6, Bundle: "img-portal", PullGB: 0.2}
		if !w.submit(j, nil) {
			w.fatal("service not accepted")
		}
	}
	if !await(30*time.Second, func() bool {
		n := 0
		for i := range services {
			n += w.running(fmt.Sprintf("j-%06d", 100+i))
		}
		return n == 4*services
	}) {
		w.fatal("the services do not run")
	}
	w.log("all services run")
	time.Sleep(3 * time.Second)
	batch := &Job{UID: "j-000200", Lane: "disbursal-batch", Desk: "ledger-desk", Shape: "batch", Rank: "high",
		Pieces: 4, Cores: 2, MemGB: 2.3, Bundle: "img-batch", PullGB: 0.2, Reckon: 10, runS: 10}
	if !w.submit(batch, nil) {
		w.fatal("batch not accepted")
	}
	deadline := time.Now().Add(60 * time.Second)
	started := false
	for time.Now().Before(deadline) && !started {
		started = await(5*time.Second, func() bool { return w.running(batch.UID) > 0 })
		w.ask(w.pick(), batch.UID)
	}
	if !started {
		w.breaks("no task of j-000200 (ledger-desk, 8 of 8 guaranteed CPUs, nothing else unfinished) has started in 60 s, while field-officers runs %d CPUs beyond its guarantee of 4", 4*services-4)
	}
}
