package catalog

import (
	"log/slog"
	"slices"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// listRetryInterval is the mean time after which a failed list request is retried.
const listRetryInterval = 2 * time.Second

// Catalog holds the machine types that the cloud offers.
type Catalog struct {
	*step.Context

	spot *SpotPricing

	machineTypes []protocol.MachineType
	isListing    bool // a request for the list is under way
	nextListAt   protocol.Instant
}

// PollMachineTypes requests the machine types and their prices again when that is due.
func (c *Catalog) PollMachineTypes() {
	if !c.isListing && c.Now.Monotonic >= c.nextListAt {
		c.isListing = true
		c.Emit(step.ListMachineTypes{})
	}
}

// OnListMachineTypesResult replaces the list of machine types, or schedules a retry if the cloud did
// not answer.
func (c *Catalog) OnListMachineTypesResult(result step.ListMachineTypesResult) {
	c.isListing = false
	if result.Err != nil {
		c.nextListAt = c.Now.Monotonic.Add(c.Jitter(listRetryInterval))
		c.Log(slog.LevelWarn, "listing machine types failed", "error", result.Err)
		return
	}
	c.machineTypes = result.MachineTypes
	c.nextListAt = c.Now.Monotonic.Add(c.Jitter(c.Config.PriceCheckInterval))
	for i := range c.machineTypes {
		c.spot.observePrices(&c.machineTypes[i])
	}
}

// MachineTypes lists what the cloud offers, empty before its first answer. Callers must not change
// the list.
func (c *Catalog) MachineTypes() []protocol.MachineType { return c.machineTypes }

// MachineType is the machine type of a name, nil if the cloud does not offer it.
func (c *Catalog) MachineType(name protocol.MachineTypeName) *protocol.MachineType {
	for i := range c.machineTypes {
		if c.machineTypes[i].Name == name {
			return &c.machineTypes[i]
		}
	}
	return nil
}

// Zones lists, in order, the zones in which the cloud offers any machine type.
func (c *Catalog) Zones() []protocol.Zone {
	var zones []protocol.Zone
	for i := range c.machineTypes {
		zones = append(zones, c.machineTypes[i].Zones...)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// ProvisioningTime is how long it takes until a task of a job runs on a machine that is provisioned
// for it.
func (c *Catalog) ProvisioningTime(job *protocol.Job) time.Duration {
	return c.ShortestTime(job, func(machineType *protocol.MachineType) time.Duration {
		return MachineStartupTime(machineType, job)
	})
}

// ShortestTime is the least time that a machine type with capacity for a task of a job needs, 0 if
// there is no such type.
func (c *Catalog) ShortestTime(job *protocol.Job, timeFor func(*protocol.MachineType) time.Duration) time.Duration {
	shortest := time.Duration(0)
	for i := range c.machineTypes {
		machineType := &c.machineTypes[i]
		if MachineTypeCapacity(machineType, job) == 0 {
			continue
		}
		if needed := timeFor(machineType); shortest == 0 || needed < shortest {
			shortest = needed
		}
	}
	return shortest
}
