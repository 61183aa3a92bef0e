package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// newLargeWorld returns a deployment of machineCount machines, none of which is scaled in as idle.
func newLargeWorld(machineCount int) *World {
	w := NewWorld(77, 3, testMachineTypes, testTeams())
	w.CloudOutOfCapacity = true
	w.HeartbeatInterval, w.AgentLeaseTTL = 8*time.Second, 42*time.Second
	w.Store.MaxTransactionOperations = 24
	w.restartWithConfig(func(config *step.Config) {
		config.IdleTimeoutFactor = 1000
		config.WritesPerSecond, config.TransactionOps = 90, w.Store.MaxTransactionOperations
		config.HeartbeatInterval, config.AgentLeaseTTL = w.HeartbeatInterval, w.AgentLeaseTTL
	})
	for i := range machineCount {
		machineType := protocol.MachineTypeName("small")
		if i%5 == 4 {
			machineType = "large"
		}
		w.AddMachine(machineType, testZones[i%2], false, 0)
	}
	return w
}

// newBusyLargeWorld returns a deployment of machineCount machines on which tasks start and end all the
// time. The rate at which jobs are submitted is proportional to the number of machines.
func newBusyLargeWorld(machineCount int) *World {
	w := newLargeWorld(machineCount)
	submittedJobs := 0
	w.Every(time.Duration(2400*float64(time.Second)/float64(machineCount)/2), func() {
		submittedJobs++
		w.Submit(newArray(protocol.JobID(fmt.Sprintf("j-%d", submittedJobs)), "l", "standard", 60, 2, 35))
	})
	return w
}

// BenchmarkInputs measures the time that the core takes to handle an input of each kind, for fleets of
// several sizes. docs/limits.md lists the results. Run it with -bench Inputs -benchtime 1x.
func BenchmarkInputs(b *testing.B) {
	for _, machineCount := range []int{100, 1000, 2300} {
		b.Run(fmt.Sprint(machineCount), func(b *testing.B) {
			for range b.N {
				w := newBusyLargeWorld(machineCount)
				w.Advance(60 * time.Second)
				w.StepCosts = StepCosts{}
				w.Advance(30 * time.Second)
				for kind, cost := range w.StepCosts {
					b.ReportMetric(float64(cost.Time.Nanoseconds())/float64(cost.Count), kind+"-ns")
					b.ReportMetric(float64(cost.Count), kind+"-n")
				}
			}
		})
	}
}

// BenchmarkTransfersAndWaitTimes measures how much longer pending jobs wait because of transfers. Gangs
// and arrays are submitted while shards are transferred all the time, and for comparison while none is
// transferred. docs/sharding.md lists the results. Run it with -bench TransfersAndWaitTimes -benchtime 1x.
func BenchmarkTransfersAndWaitTimes(b *testing.B) {
	for _, transferInterval := range []time.Duration{0, 3 * time.Second, time.Second} {
		name := "no transfers"
		if transferInterval > 0 {
			name = fmt.Sprintf("one requested every %v", transferInterval)
		}
		b.Run(name, func(b *testing.B) {
			for range b.N {
				var gangWaits, arrayWaits []time.Duration
				transferredShards, transferWrites, transferredMachines, quiesceTime := 0, 0, 0, time.Duration(0)
				for seed := uint64(1); seed <= 8; seed++ {
					w := newBusyWorld(seed)
					if transferInterval > 0 {
						w.requestRandomTransfers(transferInterval, 120*time.Second)
					}
					w.Advance(160 * time.Second)
					gangWaits = append(gangWaits, w.Rules.WaitTimes(func(job *protocol.Job) bool { return job.IsGang() })...)
					arrayWaits = append(arrayWaits, w.Rules.WaitTimes(func(job *protocol.Job) bool { return !job.IsGang() })...)
					transferredShards += w.History.ShardsTransferred
					transferWrites += w.History.TransferWrites
					transferredMachines += w.History.MachinesTransferred
					quiesceTime += w.History.MachineQuiesceTime
				}
				slices.Sort(gangWaits)
				slices.Sort(arrayWaits)
				b.ReportMetric(gangWaits[len(gangWaits)/2].Seconds(), "gang-median-s")
				b.ReportMetric(gangWaits[len(gangWaits)*95/100].Seconds(), "gang-95%-s")
				b.ReportMetric(arrayWaits[len(arrayWaits)/2].Seconds(), "array-median-s")
				b.ReportMetric(arrayWaits[len(arrayWaits)*95/100].Seconds(), "array-95%-s")
				b.ReportMetric(float64(transferredShards), "shards")
				b.ReportMetric(float64(transferWrites)/float64(max(transferredMachines, 1)), "writes/machine")
				b.ReportMetric(quiesceTime.Seconds()/float64(max(transferredMachines, 1)), "idle-s/machine")
			}
		})
	}
}

// newBusyWorld returns a deployment of 24 machines whose capacity is about half used by arrays and gangs.
func newBusyWorld(seed uint64) *World {
	w := NewWorld(seed, 3, testMachineTypes, testTeams())
	w.CloudOutOfCapacity = true
	w.restartWithConfig(func(config *step.Config) {
		config.RecordTransfers = true
		config.ValueBytes = 2500
		config.IdleTimeoutFactor = 1000
	})
	w.addSmallMachines(24, testZones...)
	lastJobNumber := 0
	w.Every(2*time.Second, func() {
		if lastJobNumber++; w.Now > 120*time.Second {
			return
		}
		id := protocol.JobID(fmt.Sprintf("j-%06d", lastJobNumber))
		if lastJobNumber%3 == 0 {
			w.Submit(newGang(id, "l", "high", 2+w.Rand.IntN(4), 3, 8))
		} else {
			w.Submit(newArray(id, "l", "standard", 1+w.Rand.IntN(12), 1, 8))
		}
	})
	return w
}
