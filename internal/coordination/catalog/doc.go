// Package catalog holds what the cloud offers: machine types, their prices and capacities,
// and whether the spot price rule allows spot machines.
//
// It owns the last list of machine types and the price thresholds. It changes no record and
// requests no machine.
package catalog
