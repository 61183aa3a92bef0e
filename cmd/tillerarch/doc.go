// Command tillerarch is one controller of the tillerarch cluster scheduler, and the operators'
// tool that shows and changes which controller owns which machines (`tillerarch shares`).
//
// The daemon ties the core (internal/coordination) to the world: its event loop hands the core
// one input at a time and carries out the effects (event_loop.go), with one file for each of its
// counterparts: users and agents (http_requests.go, agent_calls.go), the key-value store and the
// cloud (calls.go, cloud_calls.go), other controllers (peers.go) and operators (admin_backend.go).
// It decides nothing; that is the core's.
package main
