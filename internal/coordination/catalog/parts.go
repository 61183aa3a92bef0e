package catalog

import (
	"tillerarch/internal/coordination/step"
)

// Parts holds the parts of this package, connected with each other.
type Parts struct {
	Catalog *Catalog
	Spot    *SpotPricing
}

// New returns the parts of this package. They use no part of another package.
func New(ctx *step.Context) *Parts {
	spot := newSpotPricing(ctx)
	return &Parts{
		Catalog: &Catalog{Context: ctx, spot: spot},
		Spot:    spot,
	}
}
