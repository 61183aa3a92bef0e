package storage

import "tillerarch/internal/protocol"

// DrainRecord is the value of a DrainKey.
type DrainRecord struct {
	Since protocol.Millis `json:"s"` // when the drain was requested
}

// IsDraining reports whether a controller is being drained.
func (r *Replica) IsDraining(controller protocol.ControllerID) bool {
	return r.Drains[controller] != nil
}
