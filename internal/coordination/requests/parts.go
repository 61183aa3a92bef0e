package requests

import (
	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/step"
)

// Parts holds the parts of this package, connected with each other.
type Parts struct {
	Operators *OperatorRequests
	Users     *UserRequests
}

// New returns the parts of this package. They can be used once Connect has connected them with the
// parts of other packages.
func New(ctx *step.Context) *Parts {
	return &Parts{
		Operators: &OperatorRequests{Context: ctx},
		Users:     newUserRequests(ctx),
	}
}

// Dependencies holds the parts of other packages that this package uses.
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

// Connect connects the parts with those of other packages.
func (p *Parts) Connect(dependencies Dependencies) {
	p.Operators.lease = dependencies.Lease
	p.Operators.overload = dependencies.Overload
	p.Operators.replication = dependencies.Replication
	p.Operators.transfers = dependencies.Transfers
	p.Users.cancellations = dependencies.Cancellations
	p.Users.catalog = dependencies.Catalog
	p.Users.lease = dependencies.Lease
	p.Users.limits = dependencies.Limits
	p.Users.replication = dependencies.Replication
	p.Users.store = dependencies.Store
}
