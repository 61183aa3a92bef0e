package coordination

import (
	"log/slog"
	"sort"
	"tillerarch/internal/protocol"
	"time"
)

// machineCatalog holds the machine types that the cloud offers.
type machineCatalog struct {
	*stepContext

	spot *spotPricing

	machineTypes          []protocol.MachineType
	isListingMachineTypes bool
	nextMachineTypesAt    protocol.Instant
}

func (mc *machineCatalog) onMachineTypes(v ListMachineTypesResult) {
	mc.isListingMachineTypes = false
	if v.Err != nil {
		mc.nextMachineTypesAt = mc.now.Monotonic.Add(mc.jitter(2 * time.Second))
		mc.log(slog.LevelWarn, "listing machine types failed", "error", v.Err.Error())
		return
	}
	mc.machineTypes = v.MachineTypes
	mc.nextMachineTypesAt = mc.now.Monotonic.Add(mc.jitter(mc.cfg.PriceCheckInterval))
	for _, f := range v.MachineTypes {
		for _, z := range f.Zones {
			k := priceKey{machineType: f.Name, zone: z}
			t := mc.spot.spotThresholds[k]
			if t == nil {
				mc.spot.spotThresholds[k] = NewSpotPriceThreshold(mc.cfg.SpotPriceWindow, mc.now.Monotonic, f.SpotPrice, f.OnDemandPrice)
				continue
			}
			if t.Observe(mc.now.Monotonic, f.SpotPrice, f.OnDemandPrice) {
				mc.log(slog.LevelInfo, "spot provisioning suspended", "machine_type", string(f.Name), "zone", string(z),
					"price", f.SpotPrice, "threshold", t.Value())
			}
		}
	}
}

// pollMachineTypes reads the machine types and their prices again when that is due.
func (mc *machineCatalog) pollMachineTypes() {
	if !mc.isListingMachineTypes && mc.now.Monotonic >= mc.nextMachineTypesAt {
		mc.isListingMachineTypes = true
		mc.emit(ListMachineTypes{})
	}
}

func (mc *machineCatalog) zones() []protocol.Zone {
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

func (mc *machineCatalog) machineType(name protocol.MachineTypeName) *protocol.MachineType {
	for i := range mc.machineTypes {
		if mc.machineTypes[i].Name == name {
			return &mc.machineTypes[i]
		}
	}
	return nil
}

// provisioningTime is how long it takes until a task runs on a machine that is rented for it.
func (mc *machineCatalog) provisioningTime(d *protocol.Job) time.Duration {
	return mc.shortestTime(d, func(f *protocol.MachineType) time.Duration { return machineStartupTime(f, d) })
}

// shortestTime is the least time that a machine type which fits the job needs.
func (mc *machineCatalog) shortestTime(d *protocol.Job, timeFor func(*protocol.MachineType) time.Duration) time.Duration {
	shortest := time.Duration(0)
	for i := range mc.machineTypes {
		f := &mc.machineTypes[i]
		if machineTypeCapacity(f, d) == 0 {
			continue
		}
		if t := timeFor(f); shortest == 0 || t < shortest {
			shortest = t
		}
	}
	return shortest
}
