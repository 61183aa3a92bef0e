// Package steptest provides what the tests of all packages under coordination share: the
// configuration of a controller, the context of its steps, records, results of the store, and
// fakes of the interfaces that a package declares and its dependents implement. Of the packages under
// coordination it imports only step, so that the tests inside each of them can use it.
package steptest
