package simulation

import (
	"fmt"
	"sort"
	"time"

	"tillerarch/internal/protocol"
)

// maxProvisioned is the number of machines in the world beyond which the cloud provisions none.
const maxProvisioned = 400

// ProvisionMachines executes a provision request and returns its machines. A repeated request
// returns the machines of the first one.
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

// Instances returns the cloud's list of instances, ordered by id.
func (w *World) Instances() (instances []protocol.Instance) {
	for id, machine := range w.Machines {
		if !machine.Terminated {
			instances = append(instances, protocol.Instance{
				ID: id, Addr: machine.Addr, Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot, State: "running", AgeSeconds: 60,
			})
		}
	}
	sort.Slice(instances, func(i, k int) bool { return instances[i].ID < instances[k].ID })
	return instances
}

// AddMachine adds a machine whose agent starts after the boot time, and returns its id.
func (w *World) AddMachine(machineType protocol.MachineTypeName, zone protocol.Zone, spot bool, bootTime time.Duration) protocol.MachineID {
	w.nextMachineID++
	id := protocol.MachineID(fmt.Sprintf("m-%06d", w.nextMachineID))
	machine := &Machine{
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
	w.Machines[id] = machine
	if w.OnProvision != nil {
		w.OnProvision(machine)
	}
	w.After(bootTime, func() {
		machine.nextHeartbeatAt = w.Now
		machine.stepUntilTerminated()
	})
	return id
}

// TerminateMachine kills all tasks of a machine and terminates it.
func (w *World) TerminateMachine(id protocol.MachineID) {
	if m := w.Machines[id]; m != nil && !m.Terminated {
		m.killTasks()
		m.clearLingeringTasks()
		m.Terminated = true
	}
}

// PreemptMachine terminates a machine after a notice period. The machine's heartbeats report
// the notice.
func (w *World) PreemptMachine(id protocol.MachineID, notice time.Duration) {
	if m := w.Machines[id]; m != nil && !m.Terminated {
		m.preemptAt = w.Now + notice
		m.hasUnreportedChange = true
		w.After(notice, func() { w.TerminateMachine(id) })
	}
}
