package storage

import "tillerarch/internal/protocol"

// DrainRecord is the value of a DrainKey.
type DrainRecord struct {
	Since protocol.Millis `json:"s"`
}

// IsDraining tells whether a controller is drained.
func (r *Replica) IsDraining(controller protocol.ControllerID) bool {
	return r.Drains[controller] != nil
}
