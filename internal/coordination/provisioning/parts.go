package provisioning

import (
	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/step"
)

// Parts are the parts of scale-out and scale-in, connected with each other.
type Parts struct {
	Inventory   *Inventory
	Provisioner *Provisioner
	Terminator  *Terminator
}

// New makes the parts. They can be used once they are connected with those of other packages.
func New(ctx *step.Context) *Parts {
	p := &Parts{
		Inventory:   newInventory(ctx),
		Provisioner: newProvisioner(ctx),
		Terminator:  newTerminator(ctx),
	}
	p.Inventory.provisioner = p.Provisioner
	p.Inventory.terminator = p.Terminator
	p.Provisioner.terminator = p.Terminator
	p.Terminator.inventory = p.Inventory
	return p
}

// Dependencies are what the parts need of other packages.
type Dependencies struct {
	Ownership      *ownership.Manager
	Replication    *commit.Replication
	Catalog        *catalog.Catalog
	Lease          *commit.Lease
	DemandSource   DemandSource
	Spot           *catalog.SpotPricing
	Agents         *agents.Table
	Cancellations  *cancellation.Canceller
	PlanUseChecker PlanUseChecker
	IdlePolicy     IdlePolicy
}

// Connect gives the parts what they need of other packages.
func (p *Parts) Connect(d Dependencies) {
	p.Inventory.ownership = d.Ownership
	p.Inventory.replication = d.Replication
	p.Provisioner.catalog = d.Catalog
	p.Provisioner.lease = d.Lease
	p.Provisioner.demandSource = d.DemandSource
	p.Provisioner.replication = d.Replication
	p.Provisioner.spot = d.Spot
	p.Terminator.agents = d.Agents
	p.Terminator.cancellations = d.Cancellations
	p.Terminator.catalog = d.Catalog
	p.Terminator.lease = d.Lease
	p.Terminator.planUse = d.PlanUseChecker
	p.Terminator.replication = d.Replication
	p.Terminator.idlePolicy = d.IdlePolicy
}
