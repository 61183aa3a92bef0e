package simulation

import (
	"fmt"
	"slices"
	"testing"

	"tillerarch/internal/coordination/requests"
	"tillerarch/internal/coordination/step"
)

// TestScenariosAreRepeatable runs each scenario twice and checks that both runs of the same seed have
// the same effects. The faults of these scenarios depend on which controller is the busiest, which
// shards a controller owns or which machines hang.
func TestScenariosAreRepeatable(t *testing.T) {
	newCombinationWorld := func(inject func(w *World)) func(t *testing.T) *World {
		return func(t *testing.T) *World {
			w := newMixedWorld(t, 1)
			submitMixedJobs(w, 24)
			inject(w)
			return w
		}
	}
	newHangingCancellationWorld := func(inject func(w *World)) func(t *testing.T) *World {
		return func(t *testing.T) *World {
			w, jobIDs := newCancellationWorld(t, 1)
			inject(w)
			w.requestAtAllControllers(jobIDs)
			return w
		}
	}
	for _, test := range []struct {
		name     string
		newWorld func(t *testing.T) *World
	}{
		{"the busiest controller restarts", newCombinationWorld(repeatedRestartsAndOutage)},
		{"the busiest controller fails, machines hang and are partitioned", newCombinationWorld(quotaFullMachinesLostControllersRestart)},
		{"machines hang in an outage", newHangingCancellationWorld(machinesHangInOutage)},
		{"machines hang, and the busiest controller fails", newHangingCancellationWorld(machinesHangAndOwnerFails)},
		{"machines hang while they pull the image", newHangingCancellationWorld(machinesHangPullingImage)},
		{"all shards of controllers are transferred", func(t *testing.T) *World {
			w := newTransferWorld(t, 4)
			submitMixedJobs(w, 20)
			w.After(seconds(20), func() {
				for i, controller := range w.Controllers {
					for _, shard := range w.shardsOf(controller) {
						target := w.Controllers[(i+1)%len(w.Controllers)].ID
						controller.DeliverOperatorRequest(func(id step.RequestID) step.Input {
							return requests.TransferRequest{RequestID: id, Name: string(shard), Shard: shard, Target: target}
						}, func(step.Effect) {})
					}
				}
			})
			return w
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			runScenario := func() (digest string, violations []string) {
				w := test.newWorld(t)
				effects := w.digestEffects(t)
				w.Advance(seconds(100))
				return fmt.Sprintf("%x of %d effects", effects.hash.Sum(nil), effects.effectCount), w.Rules.Violations
			}
			firstDigest, firstViolations := runScenario()
			secondDigest, secondViolations := runScenario()
			if firstDigest != secondDigest {
				t.Errorf("two runs of one seed have different effects, want the same: %s and %s", firstDigest, secondDigest)
			}
			if !slices.Equal(firstViolations, secondViolations) {
				t.Errorf("two runs of one seed have different rule violations, want the same: %v and %v", firstViolations, secondViolations)
			}
		})
	}
}
