package catalog

import (
	"tillerarch/internal/coordination/step"
)

// Parts holds the components of this package, connected with each other.
type Parts struct {
	Catalog *Catalog
	Spot    *SpotPricing
}

// New returns the components of this package. They depend on no other component.
func New(ctx *step.Context) *Parts {
	spot := newSpotPricing(ctx)
	return &Parts{
		Catalog: &Catalog{Context: ctx, spot: spot},
		Spot:    spot,
	}
}
