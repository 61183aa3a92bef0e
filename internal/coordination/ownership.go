package coordination

import (
	"tillerarch/internal/coordination/commit"
)

// writeOwnershipChanges writes what changes of ownership there are: machines that report here and
// have no owner, pages whose owner is dead and that fall to this node, moves.
func (c *Core) writeOwnershipChanges(b *commit.Batch) {
	c.ownership.WriteAdoptions(b)
	if len(c.ownership.ExpiredAt) > 0 {
		c.ownership.WriteFailovers(b)
	}
	c.transfers.AdvanceTransfers(b)
	c.operators.WriteOperatorRequests(b)
	if len(c.ownership.ExpiredAt) == 0 {
		c.transfers.Rebalance(b)
	}
}
