package simulation

import (
	"fmt"
	"slices"
	"testing"

	"tillerarch/internal/coordination/requests"
	"tillerarch/internal/coordination/step"
)

// A day is the same every time it is played: scenarios whose faults depend on who is the busiest
// controller, which shards a controller has or which machines hang, are played twice each.
func TestDaysAreRepeatable(t *testing.T) {
	combination := func(inject func(w *World)) func(t *testing.T) *World {
		return func(t *testing.T) *World {
			w := newMixedWorld(t, 1)
			submitMixedJobs(w, 24)
			inject(w)
			return w
		}
	}
	cancellation := func(inject func(w *World)) func(t *testing.T) *World {
		return func(t *testing.T) *World {
			w, ids := newCancellationWorld(t, 1)
			inject(w)
			w.requestEverywhere(ids)
			return w
		}
	}
	for _, c := range []struct {
		name string
		plan func(t *testing.T) *World
	}{
		{"the busiest controller restarts", combination(leaderChangesInOutage)},
		{"the busiest controller fails, machines hang and are partitioned", combination(quotaFullMachinesLostLeaderChanges)},
		{"machines hang in an outage", cancellation(machinesHangInOutage)},
		{"machines hang, and the busiest controller fails", cancellation(machinesHangAndCommanderFails)},
		{"machines hang while they pull the image", cancellation(machinesHangPullingImage)},
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
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			play := func() (digest string, violations []string) {
				w := c.plan(t)
				effects := w.digestEffects(t)
				w.Advance(seconds(100))
				return fmt.Sprintf("%x of %d effects", effects.sum.Sum(nil), effects.effects), w.Rules.Violations
			}
			first, firstViolations := play()
			second, secondViolations := play()
			if first != second {
				t.Errorf("two days of one seed differ: %s, %s", first, second)
			}
			if !slices.Equal(firstViolations, secondViolations) {
				t.Errorf("two days of one seed break different rules: %v, %v", firstViolations, secondViolations)
			}
		})
	}
}
