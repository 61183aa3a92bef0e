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
	parts := &Parts{
		Inventory:   newInventory(ctx),
		Provisioner: newProvisioner(ctx),
		Terminator:  newTerminator(ctx),
	}
	parts.Inventory.provisioner = parts.Provisioner
	parts.Inventory.terminator = parts.Terminator
	parts.Provisioner.terminator = parts.Terminator
	parts.Terminator.inventory = parts.Inventory
	return parts
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
func (p *Parts) Connect(dependencies Dependencies) {
	p.Inventory.ownership = dependencies.Ownership
	p.Inventory.replication = dependencies.Replication
	p.Provisioner.catalog = dependencies.Catalog
	p.Provisioner.lease = dependencies.Lease
	p.Provisioner.demandSource = dependencies.DemandSource
	p.Provisioner.replication = dependencies.Replication
	p.Provisioner.spot = dependencies.Spot
	p.Terminator.agents = dependencies.Agents
	p.Terminator.cancellations = dependencies.Cancellations
	p.Terminator.catalog = dependencies.Catalog
	p.Terminator.lease = dependencies.Lease
	p.Terminator.planUseChecker = dependencies.PlanUseChecker
	p.Terminator.replication = dependencies.Replication
	p.Terminator.idlePolicy = dependencies.IdlePolicy
}
