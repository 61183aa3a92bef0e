package simulation

import (
	"fmt"
	"sort"
	"time"

	"tillerarch/internal/protocol"
)

// maxProvisioned is how many machines the cloud provisions in all.
const maxProvisioned = 400

// ProvisionMachines executes a provisioning request. A repeated one gets the machines of the first.
func (w *World) ProvisionMachines(request protocol.ProvisionRequest) []protocol.MachineID {
	if _, isRepeated := w.machinesByRequest[request.RequestID]; !isRepeated {
		w.machinesByRequest[request.RequestID] = nil
		for i := 0; i < request.Count && len(w.Machines) < maxProvisioned; i++ {
			bootTime := time.Duration(500+w.Rand.IntN(4000)) * time.Millisecond
			id := w.AddMachine(request.Type, request.Zone, request.Spot, bootTime)
			w.machinesByRequest[request.RequestID] = append(w.machinesByRequest[request.RequestID], id)
		}
	}
	return w.machinesByRequest[request.RequestID]
}

// Instances is the cloud's list, ordered by id.
func (w *World) Instances() (instances []protocol.Instance) {
	for id, m := range w.Machines {
		if !m.Terminated {
			instances = append(instances, protocol.Instance{
				ID: id, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, State: "running", AgeSeconds: 60,
			})
		}
	}
	sort.Slice(instances, func(i, k int) bool { return instances[i].ID < instances[k].ID })
	return instances
}

// AddMachine adds a machine whose agent begins after the boot time.
func (w *World) AddMachine(machineType protocol.MachineTypeName, zone protocol.Zone, spot bool, bootTime time.Duration) protocol.MachineID {
	w.nextMachineID++
	id := protocol.MachineID(fmt.Sprintf("m-%06d", w.nextMachineID))
	m := &Machine{
		world:           w,
		ID:              id,
		Addr:            "10.1.0.1:1",
		Type:            machineType,
		Zone:            zone,
		Spot:            spot,
		epoch:           1,
		tasks:           map[protocol.Task]*taskExecution{},
		cachedImages:    map[string]bool{},
		controllerIndex: w.Rand.IntN(len(w.Controllers)),
		leaseRenewedAt:  w.Now + bootTime,
	}
	w.Machines[id] = m
	if w.OnProvision != nil {
		w.OnProvision(m)
	}
	w.After(bootTime, func() {
		m.nextHeartbeatAt = w.Now
		m.stepUntilTerminated()
	})
	return id
}

// TerminateMachine removes a machine with all that is on it.
func (w *World) TerminateMachine(id protocol.MachineID) {
	if m := w.Machines[id]; m != nil && !m.Terminated {
		m.killTasks()
		m.clearLingeringTasks()
		m.Terminated = true
	}
}

// PreemptMachine removes a machine after a notice, which its heartbeats pass on.
func (w *World) PreemptMachine(id protocol.MachineID, notice time.Duration) {
	if m := w.Machines[id]; m != nil && !m.Terminated {
		m.preemptAt = w.Now + notice
		m.hasUnreportedChange = true
		w.After(notice, func() { w.TerminateMachine(id) })
	}
}
