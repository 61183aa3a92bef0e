package protocol

import (
	"fmt"
	"math"
	"net/url"
)

// Paths of the cloud, and its limits.
const (
	PathMachineTypes  = "/flavors"
	PathInstances     = "/hosts"
	PathTerminate     = "/hosts/release"
	MaxProvisionCount = 50
	MaxTerminateCount = 100
	InstancePageSize  = 500
)

// MachineType is a machine type.
type MachineType struct {
	Name                 MachineTypeName `json:"sku"`
	Cores                float64         `json:"cores"`
	Accelerators         float64         `json:"accelerators"`
	MemoryGB             float64         `json:"mem_gb"`
	LocalDiskGB          float64         `json:"local_gb"`
	ImagePullGBPerSecond float64         `json:"fetch_gb_per_s"`
	OnDemandPrice        float64         `json:"rate"`
	SpotPrice            float64         `json:"low_price"`
	BootSeconds          float64         `json:"ready_s"`
	Zones                []Zone          `json:"yards"`
}

// CanFitTask tells whether one task of the job fits an empty machine of the type.
func (m *MachineType) CanFitTask(job *Job) bool {
	return job.Cores <= m.Cores && job.Accelerators <= m.Accelerators && job.MemoryGB <= m.MemoryGB
}

// IsOfferedIn tells whether the type is rented in the zone.
func (m *MachineType) IsOfferedIn(zone Zone) bool {
	for _, offered := range m.Zones {
		if offered == zone {
			return true
		}
	}
	return false
}

// AllowsPlacement tells whether the job may use the type in the zone.
func (j *Job) AllowsPlacement(machineType MachineTypeName, zone Zone) bool {
	if j.Zone != "" && j.Zone != zone {
		return false
	}
	if len(j.MachineTypes) == 0 {
		return true
	}
	for _, allowed := range j.MachineTypes {
		if allowed == machineType {
			return true
		}
	}
	return false
}

// ParseMachineTypes reads the machine types and refuses values that cannot be.
func ParseMachineTypes(body []byte) ([]MachineType, error) {
	var list struct {
		Types []MachineType `json:"builds"`
	}
	if err := DecodeObject(body, &list); err != nil {
		return nil, err
	}
	if len(list.Types) == 0 {
		return nil, fmt.Errorf("no machine types")
	}
	for _, machineType := range list.Types {
		for _, v := range []float64{machineType.Cores, machineType.Accelerators, machineType.MemoryGB, machineType.LocalDiskGB, machineType.ImagePullGBPerSecond, machineType.OnDemandPrice, machineType.SpotPrice, machineType.BootSeconds} {
			if v < 0 || math.IsNaN(v) || v > 1e9 {
				return nil, fmt.Errorf("machine type %q has an impossible value", machineType.Name)
			}
		}
		if machineType.Name == "" || len(machineType.Zones) == 0 {
			return nil, fmt.Errorf("a machine type has no name or zone")
		}
	}
	return list.Types, nil
}

// ProvisionRequest is a rental request.
type ProvisionRequest struct {
	RequestID string          `json:"hire"`
	Type      MachineTypeName `json:"build"`
	Zone      Zone            `json:"yard"`
	Spot      bool            `json:"loaners"`
	Count     int             `json:"count"`
}

// MachineList is a list of machine names: the answer to a hire, the body of a release.
type MachineList struct {
	Machines []MachineID `json:"stalls"`
}

// InstanceState is the cloud's view of a machine.
type InstanceState string

// InstanceFailed machines have stopped on their own.
const InstanceFailed InstanceState = "failed"

// Instance is a machine of the cloud's list.
type Instance struct {
	ID         MachineID       `json:"uid"`
	Addr       string          `json:"addr"`
	Type       MachineTypeName `json:"build"`
	Zone       Zone            `json:"yard"`
	Spot       bool            `json:"loaners"`
	State      InstanceState   `json:"stage"`
	AgeSeconds float64         `json:"age_s"`
}

// InstancePage is one page of the cloud's list.
type InstancePage struct {
	Instances []Instance `json:"stalls"`
	HasMore   bool       `json:"more"`
}

// ListInstancesPath asks for the page behind a name.
func ListInstancesPath(after MachineID) string {
	path := fmt.Sprintf("%s?page=%d", PathInstances, InstancePageSize)
	if after != "" {
		path += "&from=" + url.QueryEscape(string(after))
	}
	return path
}
