package catalog

import (
	"log/slog"
	"sort"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// Catalog holds the machine types that the cloud offers.
type Catalog struct {
	*step.Context

	spot *SpotPricing

	machineTypes          []protocol.MachineType
	isListingMachineTypes bool
	nextMachineTypesAt    protocol.Instant
}

// MachineTypes lists what the cloud offers, empty before its first answer. It is not to be
// changed.
func (mc *Catalog) MachineTypes() []protocol.MachineType { return mc.machineTypes }

func (mc *Catalog) OnMachineTypes(v step.ListMachineTypesResult) {
	mc.isListingMachineTypes = false
	if v.Err != nil {
		mc.nextMachineTypesAt = mc.Now.Monotonic.Add(mc.Jitter(2 * time.Second))
		mc.Log(slog.LevelWarn, "listing machine types failed", "error", v.Err.Error())
		return
	}
	mc.machineTypes = v.MachineTypes
	mc.nextMachineTypesAt = mc.Now.Monotonic.Add(mc.Jitter(mc.Config.PriceCheckInterval))
	for _, f := range v.MachineTypes {
		for _, z := range f.Zones {
			k := PriceKey{MachineType: f.Name, Zone: z}
			t := mc.spot.thresholds[k]
			if t == nil {
				mc.spot.thresholds[k] = NewSpotPriceThreshold(mc.Config.SpotPriceWindow, mc.Now.Monotonic, f.SpotPrice, f.OnDemandPrice)
				continue
			}
			if t.Observe(mc.Now.Monotonic, f.SpotPrice, f.OnDemandPrice) {
				mc.Log(slog.LevelInfo, "spot provisioning suspended", "machine_type", string(f.Name), "zone", string(z),
					"price", f.SpotPrice, "threshold", t.Value())
			}
		}
	}
}

// PollMachineTypes reads the machine types and their prices again when that is due.
func (mc *Catalog) PollMachineTypes() {
	if !mc.isListingMachineTypes && mc.Now.Monotonic >= mc.nextMachineTypesAt {
		mc.isListingMachineTypes = true
		mc.Emit(step.ListMachineTypes{})
	}
}

func (mc *Catalog) Zones() []protocol.Zone {
	seen := map[protocol.Zone]bool{}
	var out []protocol.Zone
	for i := range mc.machineTypes {
		for _, z := range mc.machineTypes[i].Zones {
			if !seen[z] {
				seen[z] = true
				out = append(out, z)
			}
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i] < out[k] })
	return out
}

func (mc *Catalog) MachineType(name protocol.MachineTypeName) *protocol.MachineType {
	for i := range mc.machineTypes {
		if mc.machineTypes[i].Name == name {
			return &mc.machineTypes[i]
		}
	}
	return nil
}

// ProvisioningTime is how long it takes until a task runs on a machine that is rented for it.
func (mc *Catalog) ProvisioningTime(d *protocol.Job) time.Duration {
	return mc.ShortestTime(d, func(f *protocol.MachineType) time.Duration { return MachineStartupTime(f, d) })
}

// ShortestTime is the least time that a machine type which fits the job needs.
func (mc *Catalog) ShortestTime(d *protocol.Job, timeFor func(*protocol.MachineType) time.Duration) time.Duration {
	shortest := time.Duration(0)
	for i := range mc.machineTypes {
		f := &mc.machineTypes[i]
		if MachineTypeCapacity(f, d) == 0 {
			continue
		}
		if t := timeFor(f); shortest == 0 || t < shortest {
			shortest = t
		}
	}
	return shortest
}
