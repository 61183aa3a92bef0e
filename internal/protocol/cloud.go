package protocol

import (
	"fmt"
	"math"
	"net/url"
)

// Paths of the cloud, and its limits.
const (
	PathFlavors = "/flavors"
	PathHosts   = "/hosts"
	PathRelease = "/hosts/release"
	MaxHire     = 50
	MaxRelease  = 100
	ListPage    = 500
)

// Flavor is a machine type.
type Flavor struct {
	Sku          Sku     `json:"sku"`
	Cores        float64 `json:"cores"`
	Accelerators float64 `json:"accelerators"`
	MemGB        float64 `json:"mem_gb"`
	LocalGB      float64 `json:"local_gb"`
	FetchGBPerS  float64 `json:"fetch_gb_per_s"`
	Rate         float64 `json:"rate"`
	LowPrice     float64 `json:"low_price"`
	ReadyS       float64 `json:"ready_s"`
	Zones        []Zone  `json:"yards"`
}

// Fits tells whether one task of the job fits an empty machine of the type.
func (f *Flavor) Fits(j *Job) bool {
	return j.Cores <= f.Cores && j.Accelerators <= f.Accelerators && j.MemGB <= f.MemGB
}

// InZone tells whether the type is rented in the zone.
func (f *Flavor) InZone(z Zone) bool {
	for _, y := range f.Zones {
		if y == z {
			return true
		}
	}
	return false
}

// Allowed tells whether the job may use the type in the zone.
func (j *Job) Allowed(s Sku, z Zone) bool {
	if j.Zone != "" && j.Zone != z {
		return false
	}
	if len(j.Types) == 0 {
		return true
	}
	for _, b := range j.Types {
		if b == s {
			return true
		}
	}
	return false
}

// ParseFlavors reads the machine types and refuses values that cannot be.
func ParseFlavors(body []byte) ([]Flavor, error) {
	var w struct {
		Types []Flavor `json:"builds"`
	}
	if err := DecodeStrict(body, &w); err != nil {
		return nil, err
	}
	if len(w.Types) == 0 {
		return nil, fmt.Errorf("no machine types")
	}
	for _, f := range w.Types {
		for _, v := range []float64{f.Cores, f.Accelerators, f.MemGB, f.LocalGB, f.FetchGBPerS, f.Rate, f.LowPrice, f.ReadyS} {
			if v < 0 || math.IsNaN(v) || v > 1e9 {
				return nil, fmt.Errorf("machine type %q has an impossible value", f.Sku)
			}
		}
		if f.Sku == "" || len(f.Zones) == 0 {
			return nil, fmt.Errorf("a machine type has no name or zone")
		}
	}
	return w.Types, nil
}

// Hire is a rental request.
type Hire struct {
	Hire  string `json:"hire"`
	Type  Sku    `json:"build"`
	Zone  Zone   `json:"yard"`
	Spot  bool   `json:"loaners"`
	Count int    `json:"count"`
}

// Machines is a list of machine names: the answer to a hire, the body of a release.
type Machines struct {
	Machines []MachineID `json:"stalls"`
}

// HostStage is the cloud's view of a machine.
type HostStage string

// HostFailed machines have stopped on their own.
const HostFailed HostStage = "failed"

// Host is a machine of the cloud's list.
type Host struct {
	UID   MachineID `json:"uid"`
	Addr  string    `json:"addr"`
	Type  Sku       `json:"build"`
	Zone  Zone      `json:"yard"`
	Spot  bool      `json:"loaners"`
	Stage HostStage `json:"stage"`
	AgeS  float64   `json:"age_s"`
}

// Hosts is one page of the cloud's list.
type Hosts struct {
	Machines []Host `json:"stalls"`
	More     bool   `json:"more"`
}

// HostsPath asks for the page behind a name.
func HostsPath(from MachineID) string {
	p := fmt.Sprintf("%s?page=%d", PathHosts, ListPage)
	if from != "" {
		p += "&from=" + url.QueryEscape(string(from))
	}
	return p
}
