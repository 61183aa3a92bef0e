package agents

import (
	"tillerarch/internal/protocol"
)

// IsFetchingImage tells whether the newest report shows an image that is being fetched.
func (m *MachineState) IsFetchingImage() bool {
	if m == nil {
		return false
	}
	for _, p := range m.taskStatuses {
		if p.State == protocol.TaskPullingImage {
			return true
		}
	}
	return false
}
