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
	MaxProvisionCount = 50  // machines of a provision request
	MaxTerminateCount = 100 // names of a termination request
	instancePageSize  = 500 // machines of one page of the list
)

// MachineType is what the cloud says of a machine type.
type MachineType struct {
	Name                 MachineTypeName `json:"sku"`
	Cores                float64         `json:"cores"`
	Accelerators         float64         `json:"accelerators"`
	MemoryGB             float64         `json:"mem_gb"`
	LocalDiskGB          float64         `json:"local_gb"`
	ImagePullGBPerSecond float64         `json:"fetch_gb_per_s"` // nominal; machines differ by a third
	OnDemandPrice        float64         `json:"rate"`           // per hour
	SpotPrice            float64         `json:"low_price"`      // per hour, the current one
	BootSeconds          float64         `json:"ready_s"`        // nominal
	Zones                []Zone          `json:"yards"`
}

// CanFitTask tells whether one task of the job fits an empty machine of the type.
func (m *MachineType) CanFitTask(job *Job) bool {
	return job.Cores <= m.Cores && job.Accelerators <= m.Accelerators && job.MemoryGB <= m.MemoryGB
}

// IsOfferedIn tells whether the cloud offers the type in the zone.
func (m *MachineType) IsOfferedIn(zone Zone) bool { return slices.Contains(m.Zones, zone) }

// maxMachineTypeAmount bounds every number of a machine type.
const maxMachineTypeAmount = 1e9

// validate refuses values that cannot be, on which placement must not rely.
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
			return fmt.Errorf("machine type %q has an impossible value", m.Name)
		}
	}
	if m.Name == "" || len(m.Zones) == 0 {
		return fmt.Errorf("machine type %q has no name or zone", m.Name)
	}
	return nil
}

// ParseMachineTypes reads the cloud's machine types. One that cannot be refuses them all:
// the caller keeps the list that it has.
func ParseMachineTypes(body []byte) ([]MachineType, error) {
	var list struct {
		Types []MachineType `json:"builds"`
	}
	if err := decodeObject(body, &list); err != nil {
		return nil, err
	}
	if len(list.Types) == 0 {
		return nil, malformed("no machine types")
	}
	for i := range list.Types {
		if err := list.Types[i].validate(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
	}
	return list.Types, nil
}

// ProvisionRequest asks the cloud for machines. The cloud answers a repeated request as
// it answered the first, so a RequestID that was granted must never be used again, not
// even by another controller.
type ProvisionRequest struct {
	RequestID string          `json:"hire"`
	Type      MachineTypeName `json:"build"`
	Zone      Zone            `json:"yard"`
	Spot      bool            `json:"loaners"`
	Count     int             `json:"count"` // at most MaxProvisionCount
}

// MachineList is the response to a provision request and the body of a termination
// request.
type MachineList struct {
	Machines []MachineID `json:"stalls"`
}

// InstanceState is the cloud's view of a machine. It lags behind the machine.
type InstanceState string

// InstanceFailed is the state of machines that have stopped on their own. They cost
// nothing and stay listed until they are terminated.
const InstanceFailed InstanceState = "failed"

// Instance is a machine of the cloud's list.
type Instance struct {
	ID         MachineID       `json:"uid"`
	Addr       string          `json:"addr"`
	Type       MachineTypeName `json:"build"`
	Zone       Zone            `json:"yard"`
	Spot       bool            `json:"loaners"`
	State      InstanceState   `json:"stage"`
	AgeSeconds float64         `json:"age_s"` // since the provision request, as of the list's time
}

// InstancePage is one page of the cloud's list, in the order of the machines' names.
type InstancePage struct {
	Instances []Instance `json:"stalls"`
	HasMore   bool       `json:"more"`
}

// ListInstancesPath returns the target of the page that begins after a machine; empty:
// the first page.
func ListInstancesPath(after MachineID) string {
	path := fmt.Sprintf("%s?page=%d", PathInstances, instancePageSize)
	if after != "" {
		path += "&from=" + url.QueryEscape(string(after))
	}
	return path
}
