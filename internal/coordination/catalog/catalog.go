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
	isListing    bool             // a request for the list is under way
	nextListAt   protocol.Instant // earliest time of the next request
}

// PollMachineTypes requests the machine types and their prices if a request is due.
func (c *Catalog) PollMachineTypes() {
	if !c.isListing && c.Now.Monotonic >= c.nextListAt {
		c.isListing = true
		c.Emit(step.ListMachineTypes{})
	}
}

// OnListMachineTypesResult replaces the list of machine types, or schedules a retry if the request
// failed.
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

// MachineTypes returns the machine types that the cloud offers. The list is empty before the cloud's
// first response. Callers must not change it.
func (c *Catalog) MachineTypes() []protocol.MachineType { return c.machineTypes }

// MachineType returns the machine type with the given name, or nil if the cloud does not offer it.
func (c *Catalog) MachineType(name protocol.MachineTypeName) *protocol.MachineType {
	for i := range c.machineTypes {
		if c.machineTypes[i].Name == name {
			return &c.machineTypes[i]
		}
	}
	return nil
}

// Zones returns, in ascending order, the zones in which the cloud offers any machine type.
func (c *Catalog) Zones() []protocol.Zone {
	var zones []protocol.Zone
	for i := range c.machineTypes {
		zones = append(zones, c.machineTypes[i].Zones...)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// ProvisioningTime returns the shortest time until a task of a job can run on a machine that is
// provisioned for it. It returns 0 if no machine type has capacity for a task.
func (c *Catalog) ProvisioningTime(job *protocol.Job) time.Duration {
	return c.ShortestTime(job, func(machineType *protocol.MachineType) time.Duration {
		return MachineStartupTime(machineType, job)
	})
}

// ShortestTime returns the shortest time that timeFor returns for any machine type with capacity for
// a task of a job. It returns 0 if there is no such type.
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
