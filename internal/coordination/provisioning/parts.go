package provisioning

import (
	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/step"
)

// Parts holds the parts of this package, connected with each other.
type Parts struct {
	Inventory   *Inventory
	Provisioner *Provisioner
	Terminator  *Terminator
}

// New returns the parts of this package. They can be used once Connect has connected them with the
// parts of other packages.
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

// Dependencies holds the parts of other packages that this package uses.
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

// Connect connects the parts with those of other packages.
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
