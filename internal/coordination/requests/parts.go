package requests

import (
	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/step"
)

// Parts are the parts of users' and operators' requests, connected with each other.
type Parts struct {
	Operators *OperatorRequests
	Users     *UserRequests
}

// New makes the parts. They can be used once they are connected with those of other packages.
func New(ctx *step.Context) *Parts {
	return &Parts{
		Operators: &OperatorRequests{Context: ctx},
		Users:     newUserRequests(ctx),
	}
}

// Dependencies are what the parts need of other packages.
type Dependencies struct {
	Lease         *commit.Lease
	Overload      *ownership.OverloadDetector
	Replication   *commit.Replication
	Transfers     *ownership.Transfers
	Cancellations *cancellation.Canceller
	Catalog       *catalog.Catalog
	Limits        *commit.WriteLimiter
	Store         *commit.StoreHealth
}

// Connect gives the parts what they need of other packages.
func (p *Parts) Connect(d Dependencies) {
	p.Operators.lease = d.Lease
	p.Operators.overload = d.Overload
	p.Operators.replication = d.Replication
	p.Operators.transfers = d.Transfers
	p.Users.cancellations = d.Cancellations
	p.Users.catalog = d.Catalog
	p.Users.lease = d.Lease
	p.Users.limits = d.Limits
	p.Users.replication = d.Replication
	p.Users.store = d.Store
}
