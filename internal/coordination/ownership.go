package coordination

import (
	"tillerarch/internal/coordination/commit"
)

// writeOwnershipChanges writes what changes of ownership there are: machines that report here and
// have no owner, pages whose owner is dead and that fall to this node, moves.
func (c *Core) writeOwnershipChanges(b *commit.Batch) {
	c.ownership.Manager.WriteAdoptions(b)
	if len(c.ownership.Manager.ExpiredAt) > 0 {
		c.ownership.Manager.WriteFailovers(b)
	}
	c.ownership.Transfers.AdvanceTransfers(b)
	c.requests.Operators.WriteOperatorRequests(b)
	if len(c.ownership.Manager.ExpiredAt) == 0 {
		c.ownership.Transfers.Rebalance(b)
	}
}
