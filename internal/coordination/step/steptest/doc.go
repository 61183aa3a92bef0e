// Package steptest is what the tests of all packages under coordination share: the
// configuration of a controller, the context of its steps, records, results of the store, and
// fakes of what the packages ask of later ones. It imports none of these packages but step, so
// that the tests inside each of them can use it.
package steptest
