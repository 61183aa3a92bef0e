package bookkeeping

import "tillerarch/internal/protocol"

// drainPrefix begins the keys of controllers that are drained. A version that does not
// know them passes them over.
const drainPrefix = Prefix + "d/"

// DrainKey is the key by which a controller is drained: as long as it is there, the
// controller gives its machines away and is given none, also as another process.
func DrainKey(m protocol.Member) string { return drainPrefix + string(m) }

// DrainRecord is the value of a DrainKey.
type DrainRecord struct {
	Since protocol.Millis `json:"s"`
}

// Draining tells whether a controller is drained.
func (m *Replica) Draining(member protocol.Member) bool { return m.Drains[member] != nil }
