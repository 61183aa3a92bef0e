package agents

// imageCache lists the images on a machine's local disk, as derived from the machine's assignments.
type imageCache struct {
	images []cachedImage // most recently used last
}

// cachedImage is one image on a machine's local disk.
type cachedImage struct {
	name   string
	sizeGB float64
}

// contains reports whether the machine has an image.
func (c *imageCache) contains(name string) bool {
	for i := range c.images {
		if c.images[i].name == name {
			return true
		}
	}
	return false
}

// MeanImageGB returns the mean size of the images, or 0 if there are none.
func (c *imageCache) MeanImageGB() float64 {
	if len(c.images) == 0 {
		return 0
	}
	totalGB := 0.0
	for _, image := range c.images {
		totalGB += image.sizeGB
	}
	return totalGB / float64(len(c.images))
}

// recordUse makes an image the most recently used one and evicts the least recently used images that
// no longer fit on the disk.
func (c *imageCache) recordUse(name string, sizeGB, diskGB float64) {
	for i := range c.images {
		if c.images[i].name == name {
			c.images = append(c.images[:i], c.images[i+1:]...)
			break
		}
	}
	c.images = append(c.images, cachedImage{name: name, sizeGB: sizeGB})
	totalGB := 0.0
	for i := len(c.images) - 1; i >= 0; i-- {
		if totalGB += c.images[i].sizeGB; totalGB > diskGB {
			c.images = append([]cachedImage(nil), c.images[i+1:]...)
			break
		}
	}
}
