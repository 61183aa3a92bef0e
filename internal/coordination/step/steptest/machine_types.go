package steptest

import "tillerarch/internal/protocol"

// SmallMachineType returns a machine type that is cheaper per core than LargeMachineType on spot and
// slower to boot.
func SmallMachineType() protocol.MachineType {
	return protocol.MachineType{
		Name:                 "small",
		Cores:                4,
		MemoryGB:             8,
		OnDemandPrice:        0.16,
		SpotPrice:            0.06,
		BootSeconds:          40,
		ImagePullGBPerSecond: 0.25,
		Zones:                []protocol.Zone{"a", "b"},
	}
}

// LargeMachineType returns a machine type that is more expensive per core than SmallMachineType on
// spot and boots faster.
func LargeMachineType() protocol.MachineType {
	return protocol.MachineType{
		Name:                 "large",
		Cores:                16,
		MemoryGB:             32,
		OnDemandPrice:        0.64,
		SpotPrice:            0.27,
		BootSeconds:          15,
		ImagePullGBPerSecond: 0.8,
		Zones:                []protocol.Zone{"a", "b"},
	}
}
