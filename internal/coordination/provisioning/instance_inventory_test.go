package provisioning

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// A machine is missing once two lists lack it that were requested after the last one that had it.
// Lists may come out of order.
func TestMissingInstances(t *testing.T) {
	type list struct {
		requestedAt protocol.Instant
		hasMachine  bool
	}
	for _, c := range []struct {
		name    string
		lists   []list
		missing bool
		known   bool
	}{
		{"listed", []list{{1, true}}, false, true},
		{"one list lacks it", []list{{1, true}, {2, false}}, false, true},
		{"two lists lack it", []list{{1, true}, {2, false}, {3, false}}, true, true},
		{"an earlier list comes late", []list{{3, true}, {1, false}, {2, false}}, false, true},
		{"listed again", []list{{1, true}, {2, false}, {3, false}, {4, true}}, false, true},
		{"forgotten", []list{
			{1, true}, {2, false}, {3, false}, {4, false}, {5, false}, {6, false}, {7, false},
		}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			inventory := newTestParts(t).Inventory
			for _, l := range c.lists {
				result := step.ListInstancesResult{RequestedAt: l.requestedAt}
				if l.hasMachine {
					result.Instances = []protocol.Instance{{ID: "m-1"}}
				}
				inventory.recordMissed(inventory.recordListed(result), l.requestedAt)
			}
			if got := inventory.isMissing("m-1"); got != c.missing {
				t.Errorf("missing: %v, want %v", got, c.missing)
			}
			if got := inventory.listedInstances["m-1"] != nil; got != c.known {
				t.Errorf("known: %v, want %v", got, c.known)
			}
		})
	}
}

// A machine on record that no list has had counts as missing, too, but only once it must have
// been listed.
func TestNeverListedInstances(t *testing.T) {
	for _, c := range []struct {
		name    string
		age     time.Duration
		missing bool
	}{
		{"may not be listed yet", 17 * time.Second, false},
		{"must have been listed", 18 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			parts := newTestParts(t)
			parts.Config.InstanceListLag = 4 * time.Second // and the margin: 17 s
			record := storage.MachineRecord{AddedAt: parts.Now.Wall}
			parts.Replica.Machines["m-1"] = &storage.Machine{ID: "m-1", Record: record}
			parts.Advance(c.age)
			for requestedAt := protocol.Instant(1); requestedAt <= 3; requestedAt++ {
				listed := parts.Inventory.recordListed(step.ListInstancesResult{RequestedAt: requestedAt})
				parts.Inventory.recordMissed(listed, requestedAt)
				parts.Inventory.recordNeverListed(listed, requestedAt)
			}
			if got := parts.Inventory.isMissing("m-1"); got != c.missing {
				t.Errorf("missing: %v, want %v", got, c.missing)
			}
		})
	}
}

// Only machines that surely exist are adopted, and only when the controller that requested them has had
// the time to record them.
func TestAdoptableInstances(t *testing.T) {
	old := protocol.Instance{ID: "m-1", Type: "small", AgeSeconds: 20}
	young, nameless := old, old
	young.AgeSeconds = 19.9
	nameless.Type = ""
	for _, c := range []struct {
		name  string
		known listedInstance
		want  bool
	}{
		{"old enough", listedInstance{instance: old}, true},
		{"too young", listedInstance{instance: young}, false},
		{"not in the last list", listedInstance{instance: old, missedLists: 1}, false},
		{"of no type", listedInstance{instance: nameless}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.known.isAdoptable(); got != c.want {
				t.Errorf("adoptable: %v, want %v", got, c.want)
			}
		})
	}
}
