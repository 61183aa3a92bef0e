package standin

import (
	"fmt"
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

// fleet makes a deployment of n machines on which tasks begin and end all the
// time, the more the more machines there are.
func fleet(n int) *World {
	w := NewWorld(77, 3, testFlavors, testTeams())
	w.Config.IdleFactor = 1000
	w.Config.WriteRPS, w.Config.TxnOps, w.State.Ops = 90, 24, 24
	w.Report, w.Lease = 8*time.Second, 42*time.Second
	w.Config.Report, w.Config.Lease = w.Report, w.Lease
	w.NoHire = true
	for _, c := range w.Nodes {
		c.Start()
	}
	for i := 0; i < n; i++ {
		w.Machine([]protocol.Sku{"small", "small", "small", "small", "large"}[i%5], protocol.Zone([]string{"a", "b"}[i%2]), false, 0)
	}
	k := 0
	w.Every(time.Duration(2400*float64(time.Second)/float64(n)/2), func() {
		k++
		w.Submit(array(protocol.JobID(fmt.Sprintf("j-%d", k)), "l", "standard", 60, 2, 35))
	})
	return w
}

// What an input costs the core as the fleet grows: the figures stand in
// docs/limits.md. Run with -bench Inputs -benchtime 1x.
func BenchmarkInputs(b *testing.B) {
	for _, n := range []int{100, 1000, 2300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				w := fleet(n)
				w.Run(60 * time.Second)
				w.Cost = Costs{}
				w.Run(30 * time.Second)
				for kind, c := range w.Cost {
					b.ReportMetric(float64(c.Time.Nanoseconds())/float64(c.Count), kind+"-ns")
					b.ReportMetric(float64(c.Count), kind+"-n")
				}
			}
		})
	}
}
