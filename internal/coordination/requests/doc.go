// Package requests answers users and operators. A request whose answer needs a newer replica,
// or a change on record, is deferred until that is there or its time is up.
//
// It owns the submissions that are not on record yet and the deferred requests.
package requests
