package provisioning

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TestMissingInstances checks that a machine counts as missing once it is absent from two lists that were
// requested after the last list with the machine. Lists may arrive out of order.
func TestMissingInstances(t *testing.T) {
	type list struct {
		requestedAt protocol.Instant
		hasMachine  bool
	}
	for _, test := range []struct {
		name        string
		lists       []list
		wantMissing bool
		wantKnown   bool
	}{
		{"listed", []list{{1, true}}, false, true},
		{"absent from one list", []list{{1, true}, {2, false}}, false, true},
		{"absent from two lists", []list{{1, true}, {2, false}, {3, false}}, true, true},
		{"earlier lists without it arrive late", []list{{3, true}, {1, false}, {2, false}}, false, true},
		{"listed again", []list{{1, true}, {2, false}, {3, false}, {4, true}}, false, true},
		{"forgotten after missedListsUntilForgotten lists without it", []list{
			{1, true}, {2, false}, {3, false}, {4, false}, {5, false}, {6, false}, {7, false},
		}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			inventory := newTestParts(t).Inventory
			for _, list := range test.lists {
				result := step.ListInstancesResult{RequestedAt: list.requestedAt}
				if list.hasMachine {
					result.Instances = []protocol.Instance{{ID: "m-1"}}
				}
				inventory.countMissedLists(inventory.recordListedInstances(result), list.requestedAt)
			}
			if got := inventory.isMissing("m-1"); got != test.wantMissing {
				t.Errorf("isMissing(m-1) = %v, want %v", got, test.wantMissing)
			}
			if got := inventory.listedInstances["m-1"] != nil; got != test.wantKnown {
				t.Errorf("machine m-1 is remembered: %v, want %v", got, test.wantKnown)
			}
		})
	}
}

// TestNeverListedInstances checks that a recorded machine that no list has contained also counts as
// missing, but only once it must have been listed.
func TestNeverListedInstances(t *testing.T) {
	for _, test := range []struct {
		name        string
		age         time.Duration
		wantMissing bool
	}{
		{"may not be listed yet", 17 * time.Second, false},
		{"must have been listed", 18 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			parts := newTestParts(t)
			// A machine must have been listed after 17 s, which is 3 times the lag plus 5 s.
			parts.Config.InstanceListLag = 4 * time.Second
			record := storage.MachineRecord{AddedAt: parts.Now.Wall}
			parts.Replica.Machines["m-1"] = &storage.Machine{ID: "m-1", Record: record}
			parts.Advance(test.age)
			for requestedAt := protocol.Instant(1); requestedAt <= 3; requestedAt++ {
				listedIDs := parts.Inventory.recordListedInstances(step.ListInstancesResult{RequestedAt: requestedAt})
				parts.Inventory.countMissedLists(listedIDs, requestedAt)
				parts.Inventory.recordNeverListedMachines(listedIDs, requestedAt)
			}
			if got := parts.Inventory.isMissing("m-1"); got != test.wantMissing {
				t.Errorf("isMissing(m-1) = %v, want %v", got, test.wantMissing)
			}
		})
	}
}

// TestAdoptableInstances checks that only machines that certainly exist are adopted, and only once the
// controller that requested them has had the time to record them.
func TestAdoptableInstances(t *testing.T) {
	oldInstance := protocol.Instance{ID: "m-1", Type: "small", AgeSeconds: 20}
	youngInstance, untypedInstance := oldInstance, oldInstance
	youngInstance.AgeSeconds = 19.9
	untypedInstance.Type = ""
	for _, test := range []struct {
		name   string
		listed listedInstance
		want   bool
	}{
		{"old enough", listedInstance{instance: oldInstance}, true},
		{"too young", listedInstance{instance: youngInstance}, false},
		{"not in the last list", listedInstance{instance: oldInstance, missedListCount: 1}, false},
		{"without a machine type", listedInstance{instance: untypedInstance}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.listed.isAdoptable(); got != test.want {
				t.Errorf("isAdoptable() = %v, want %v", got, test.want)
			}
		})
	}
}
