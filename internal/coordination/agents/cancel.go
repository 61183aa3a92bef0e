package agents

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// AllTasksSatisfy tells whether no start of the assigned tasks is in flight, and the newest report
// either lacks each of them or shows it as it should be.
func (m *MachineState) AllTasksSatisfy(a *storage.Assignment, isSatisfied func(*protocol.TaskStatus) bool) bool {
	satisfied := true
	a.Tasks.Each(func(n int) bool {
		task := protocol.Task{Job: a.Job, Index: n}
		_, inFlight := m.InflightStarts[task]
		status := m.taskStatuses[task]
		satisfied = !inFlight && (status == nil || isSatisfied(status))
		return satisfied
	})
	return satisfied
}
