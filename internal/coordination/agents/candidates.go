package agents

func (m *MachineState) HasImage(name string) bool {
	if m == nil {
		return false
	}
	for i := range m.CachedImages {
		if m.CachedImages[i].name == name {
			return true
		}
	}
	return false
}
