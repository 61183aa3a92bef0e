package agents

// imageCache is the images that a machine has, as far as its assignments tell.
type imageCache struct {
	CachedImages []cachedImage // most recently used last
}

// cachedImage is one image on a machine's local disk.
type cachedImage struct {
	name   string
	SizeGB float64
}

func (c *imageCache) has(name string) bool {
	for i := range c.CachedImages {
		if c.CachedImages[i].name == name {
			return true
		}
	}
	return false
}

// MeanImageGB is the mean size of the images, 0 if there is none.
func (c *imageCache) MeanImageGB() float64 {
	if len(c.CachedImages) == 0 {
		return 0
	}
	totalGB := 0.0
	for _, image := range c.CachedImages {
		totalGB += image.SizeGB
	}
	return totalGB / float64(len(c.CachedImages))
}

// use makes an image the most recently used one, and evicts the least recently used ones that
// the disk does not hold beside it.
func (c *imageCache) use(name string, sizeGB, diskGB float64) {
	for i := range c.CachedImages {
		if c.CachedImages[i].name == name {
			c.CachedImages = append(c.CachedImages[:i], c.CachedImages[i+1:]...)
			break
		}
	}
	c.CachedImages = append(c.CachedImages, cachedImage{name: name, SizeGB: sizeGB})
	totalGB := 0.0
	for i := len(c.CachedImages) - 1; i >= 0; i-- {
		if totalGB += c.CachedImages[i].SizeGB; totalGB > diskGB {
			c.CachedImages = append([]cachedImage(nil), c.CachedImages[i+1:]...)
			break
		}
	}
}
