package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// newLargeWorld is a deployment of n machines that all stay.
func newLargeWorld(n int) *World {
	w := NewWorld(77, 3, testMachineTypes, testTeams())
	w.CloudOutOfCapacity = true
	w.HeartbeatInterval, w.AgentLeaseTTL = 8*time.Second, 42*time.Second
	w.Store.MaxTransactionOperations = 24
	w.restartWithConfig(func(config *step.Config) {
		config.IdleTimeoutFactor = 1000
		config.WritesPerSecond, config.TransactionOps = 90, w.Store.MaxTransactionOperations
		config.HeartbeatInterval, config.AgentLeaseTTL = w.HeartbeatInterval, w.AgentLeaseTTL
	})
	for i := range n {
		machineType := protocol.MachineTypeName("small")
		if i%5 == 4 {
			machineType = "large"
		}
		w.AddMachine(machineType, testZones[i%2], false, 0)
	}
	return w
}

// newBusyLargeWorld is a deployment of n machines on which tasks start and end all the time, the
// more the more machines there are.
func newBusyLargeWorld(n int) *World {
	w := newLargeWorld(n)
	k := 0
	w.Every(time.Duration(2400*float64(time.Second)/float64(n)/2), func() {
		k++
		w.Submit(newArray(protocol.JobID(fmt.Sprintf("j-%d", k)), "l", "standard", 60, 2, 35))
	})
	return w
}

// BenchmarkInputs measures what an input costs the core as the fleet grows; the figures stand in
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

// BenchmarkTransfersAndWaitTimes measures what transfers cost pending jobs: gangs and arrays that
// come while shards are transferred all the time, and the same without transfers. The figures
// stand in docs/sharding.md. Run with -bench TransfersAndWaitTimes -benchtime 1x.
func BenchmarkTransfersAndWaitTimes(b *testing.B) {
	for _, every := range []time.Duration{0, 3 * time.Second, time.Second} {
		name := "no transfers"
		if every > 0 {
			name = fmt.Sprintf("one requested every %v", every)
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
					idle += w.History.MachineQuiesceTime
				}
				slices.Sort(gangs)
				slices.Sort(others)
				b.ReportMetric(gangs[len(gangs)/2].Seconds(), "gang-median-s")
				b.ReportMetric(gangs[len(gangs)*95/100].Seconds(), "gang-95%-s")
				b.ReportMetric(others[len(others)/2].Seconds(), "array-median-s")
				b.ReportMetric(others[len(others)*95/100].Seconds(), "array-95%-s")
				b.ReportMetric(float64(transferred), "shards")
				b.ReportMetric(float64(writes)/float64(max(machines, 1)), "writes/machine")
				b.ReportMetric(idle.Seconds()/float64(max(machines, 1)), "idle-s/machine")
			}
		})
	}
}

// newBusyWorld is a deployment of 24 machines that is half full of arrays and gangs.
func newBusyWorld(seed uint64) *World {
	w := NewWorld(seed, 3, testMachineTypes, testTeams())
	w.CloudOutOfCapacity = true
	w.restartWithConfig(func(config *step.Config) {
		config.RecordTransfers = true
		config.ValueBytes = 2500
		config.IdleTimeoutFactor = 1000
	})
	w.addSmallMachines(24, testZones...)
	count := 0
	w.Every(2*time.Second, func() {
		if count++; w.Now > 120*time.Second {
			return
		}
		id := protocol.JobID(fmt.Sprintf("j-%06d", count))
		if count%3 == 0 {
			w.Submit(newGang(id, "l", "high", 2+w.Rand.IntN(4), 3, 8))
		} else {
			w.Submit(newArray(id, "l", "standard", 1+w.Rand.IntN(12), 1, 8))
		}
	})
	return w
}
