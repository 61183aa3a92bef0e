package protocol

import (
	"fmt"
	"math"
	"net/url"
	"slices"
)

// Paths of the cloud.
const (
	PathMachineTypes = "/flavors"
	PathInstances    = "/hosts"
	PathTerminate    = "/hosts/release"
)

// Limits that the cloud sets for one request.
const (
	MaxProvisionCount = 50  // machines in a provision request
	MaxTerminateCount = 100 // machines in a termination request
	instancePageSize  = 500 // machines on one page of the cloud's list
)

// MachineType is the cloud's description of a machine type.
type MachineType struct {
	Name                 MachineTypeName `json:"sku"`
	Cores                float64         `json:"cores"`
	Accelerators         float64         `json:"accelerators"`
	MemoryGB             float64         `json:"mem_gb"`
	LocalDiskGB          float64         `json:"local_gb"`
	ImagePullGBPerSecond float64         `json:"fetch_gb_per_s"` // nominal; machines differ by a third
	OnDemandPrice        float64         `json:"rate"`           // per hour
	SpotPrice            float64         `json:"low_price"`      // per hour, at present
	BootSeconds          float64         `json:"ready_s"`        // nominal
	Zones                []Zone          `json:"yards"`
}

// CanFitTask reports whether one task of the job fits on an empty machine of the type.
func (m *MachineType) CanFitTask(job *Job) bool {
	return job.Cores <= m.Cores && job.Accelerators <= m.Accelerators && job.MemoryGB <= m.MemoryGB
}

// IsOfferedIn reports whether the cloud offers the type in the zone.
func (m *MachineType) IsOfferedIn(zone Zone) bool { return slices.Contains(m.Zones, zone) }

// maxMachineTypeAmount is the upper limit of every number of a machine type.
const maxMachineTypeAmount = 1e9

// validate returns an error if the machine type has an impossible value. Placement must
// not rely on such a value.
func (m *MachineType) validate() error {
	for _, amount := range []float64{
		m.Cores,
		m.Accelerators,
		m.MemoryGB,
		m.LocalDiskGB,
		m.ImagePullGBPerSecond,
		m.OnDemandPrice,
		m.SpotPrice,
		m.BootSeconds,
	} {
		if amount < 0 || math.IsNaN(amount) || amount > maxMachineTypeAmount {
			return fmt.Errorf("machine type %q has the value %g, want 0 to %g", m.Name, amount, maxMachineTypeAmount)
		}
	}
	if m.Name == "" || len(m.Zones) == 0 {
		return fmt.Errorf("machine type %q has no name or no zone", m.Name)
	}
	return nil
}

// ParseMachineTypes parses and validates the cloud's list of machine types. If one machine
// type is invalid, it returns an error for the whole list, and the caller keeps the
// previous list. Its errors wrap ErrMalformed.
func ParseMachineTypes(body []byte) ([]MachineType, error) {
	var list struct {
		Types []MachineType `json:"builds"`
	}
	if err := decodeObject(body, &list); err != nil {
		return nil, err
	}
	if len(list.Types) == 0 {
		return nil, malformedError("no machine types")
	}
	for i := range list.Types {
		if err := list.Types[i].validate(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
	}
	return list.Types, nil
}

// ProvisionRequest is a request to the cloud for machines. The cloud answers a repeated
// request as it answered the first one, so a RequestID that was granted must never be used
// again, not even by another controller.
type ProvisionRequest struct {
	RequestID string          `json:"hire"`
	Type      MachineTypeName `json:"build"`
	Zone      Zone            `json:"yard"`
	Spot      bool            `json:"loaners"`
	Count     int             `json:"count"` // at most MaxProvisionCount
}

// MachineList is both the response to a provision request and the body of a termination
// request.
type MachineList struct {
	Machines []MachineID `json:"stalls"`
}

// InstanceState is the state of a machine as the cloud lists it. It lags behind the actual
// state of the machine.
type InstanceState string

// InstanceFailed is the state of a machine that stopped on its own. Such a machine costs
// nothing and stays listed until it is terminated.
const InstanceFailed InstanceState = "failed"

// Instance is a machine as the cloud lists it.
type Instance struct {
	ID         MachineID       `json:"uid"`
	Addr       string          `json:"addr"`
	Type       MachineTypeName `json:"build"`
	Zone       Zone            `json:"yard"`
	Spot       bool            `json:"loaners"`
	State      InstanceState   `json:"stage"`
	AgeSeconds float64         `json:"age_s"` // from the provision request to the time of the list
}

// InstancePage is one page of the cloud's list of machines, sorted by machine id.
type InstancePage struct {
	Instances []Instance `json:"stalls"`
	HasMore   bool       `json:"more"`
}

// ListInstancesPath returns the request target of the page that begins after the machine.
// With an empty id, it returns the target of the first page.
func ListInstancesPath(after MachineID) string {
	path := fmt.Sprintf("%s?page=%d", PathInstances, instancePageSize)
	if after != "" {
		path += "&from=" + url.QueryEscape(string(after))
	}
	return path
}
