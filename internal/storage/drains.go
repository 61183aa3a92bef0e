package storage

import "tillerarch/internal/protocol"

// drainPrefix begins the keys of controllers that are drained. A version that does not
// know them passes them over.
const drainPrefix = KeyPrefix + "d/"

// DrainKey is the key by which a controller is drained: as long as it is there, the
// controller gives its machines away and is given none, also as another process.
func DrainKey(controller protocol.ControllerID) string { return drainPrefix + string(controller) }

// DrainRecord is the value of a DrainKey.
type DrainRecord struct {
	Since protocol.Millis `json:"s"`
}

// IsDraining tells whether a controller is drained.
func (r *Replica) IsDraining(controller protocol.ControllerID) bool {
	return r.Drains[controller] != nil
}
