package simulation

import "time"

// restartIfAlive kills the controller and starts it again after the downtime, unless it is
// down already.
func (c *Controller) restartIfAlive(downtime time.Duration) {
	if c.Alive {
		c.Kill()
		c.world.After(downtime, c.Start)
	}
}
