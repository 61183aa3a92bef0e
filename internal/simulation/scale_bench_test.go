package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

// newLargeWorld is a deployment of n machines that all stay.
func newLargeWorld(n int) *World {
	w := NewWorld(77, 3, testMachineTypes, testTeams())
	w.Config.IdleTimeoutFactor = 1000
	w.Config.WritesPerSecond, w.Config.TransactionOps, w.Store.MaxOperations = 90, 24, 24
	w.HeartbeatInterval, w.AgentLeaseTTL = 8*time.Second, 42*time.Second
	w.Config.HeartbeatInterval, w.Config.AgentLeaseTTL = w.HeartbeatInterval, w.AgentLeaseTTL
	w.CloudOutOfCapacity = true
	for _, c := range w.Controllers {
		c.Start()
	}
	for i := 0; i < n; i++ {
		w.AddMachine([]protocol.MachineTypeName{"small", "small", "small", "small", "large"}[i%5], protocol.Zone([]string{"a", "b"}[i%2]), false, 0)
	}
	return w
}

// newBusyLargeWorld makes a deployment of n machines on which tasks begin and end all the
// time, the more the more machines there are.
func newBusyLargeWorld(n int) *World {
	w := newLargeWorld(n)
	k := 0
	w.Every(time.Duration(2400*float64(time.Second)/float64(n)/2), func() {
		k++
		w.Submit(newArray(protocol.JobID(fmt.Sprintf("j-%d", k)), "l", "standard", 60, 2, 35))
	})
	return w
}

// What an input costs the core as the fleet grows: the figures stand in
// docs/limits.md. Run with -bench Inputs -benchtime 1x.
func BenchmarkInputs(b *testing.B) {
	for _, n := range []int{100, 1000, 2300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				w := newBusyLargeWorld(n)
				w.Advance(60 * time.Second)
				w.StepCosts = StepCosts{}
				w.Advance(30 * time.Second)
				for kind, c := range w.StepCosts {
					b.ReportMetric(float64(c.Time.Nanoseconds())/float64(c.Count), kind+"-ns")
					b.ReportMetric(float64(c.Count), kind+"-n")
				}
			}
		})
	}
}

// What moves cost those who wait: gangs and arrays that come while pages move all the time,
// and the same without moves. The figures stand in docs/shares.md. Run with
// -bench MovesAndWaits -benchtime 1x.
func BenchmarkTransfersAndWaitTimes(b *testing.B) {
	for _, every := range []time.Duration{0, 3 * time.Second, time.Second} {
		name := "no moves"
		if every > 0 {
			name = fmt.Sprintf("one asked for every %v", every)
		}
		b.Run(name, func(b *testing.B) {
			for range b.N {
				var gangs, others []time.Duration
				transferred, writes, machines, idle := 0, 0, 0, time.Duration(0)
				for seed := uint64(1); seed <= 8; seed++ {
					w := newBusyWorld(seed)
					if every > 0 {
						w.requestRandomTransfers(every, 120*time.Second)
					}
					w.Advance(160 * time.Second)
					gangs = append(gangs, w.Rules.WaitTimes(func(j *protocol.Job) bool { return j.IsGang() })...)
					others = append(others, w.Rules.WaitTimes(func(j *protocol.Job) bool { return !j.IsGang() })...)
					transferred += w.History.ShardsTransferred
					writes += w.History.TransferWrites
					machines += w.History.MachinesTransferred
					idle += w.History.MachineIdleTime
				}
				slices.Sort(gangs)
				slices.Sort(others)
				b.ReportMetric(gangs[len(gangs)/2].Seconds(), "gang-median-s")
				b.ReportMetric(gangs[len(gangs)*95/100].Seconds(), "gang-95%-s")
				b.ReportMetric(others[len(others)/2].Seconds(), "array-median-s")
				b.ReportMetric(others[len(others)*95/100].Seconds(), "array-95%-s")
				b.ReportMetric(float64(transferred), "pages")
				b.ReportMetric(float64(writes)/float64(max(machines, 1)), "puts/machine")
				b.ReportMetric(idle.Seconds()/float64(max(machines, 1)), "idle-s/machine")
			}
		})
	}
}

// newBusyWorld is a deployment of 24 machines that is half full of arrays and gangs.
func newBusyWorld(seed uint64) *World {
	w := NewWorld(seed, 3, testMachineTypes, testTeams())
	w.Config.RecordTransfers = true
	w.Config.ValueBytes = 2500
	w.Config.IdleTimeoutFactor = 1000
	w.CloudOutOfCapacity = true
	for _, n := range w.Controllers {
		n.Start()
	}
	for i := range 24 {
		w.AddMachine("small", protocol.Zone([]string{"a", "b"}[i%2]), false, 0)
	}
	n := 0
	w.Every(2*time.Second, func() {
		if n++; w.Now > 120*time.Second {
			return
		}
		id := protocol.JobID(fmt.Sprintf("j-%06d", n))
		if n%3 == 0 {
			w.Submit(newGang(id, "l", "high", 2+w.Rand.IntN(4), 3, 8))
		} else {
			w.Submit(newArray(id, "l", "standard", 1+w.Rand.IntN(12), 1, 8))
		}
	})
	return w
}
