// Command tillerarch runs one controller of the tillerarch cluster scheduler. Its subcommand
// `tillerarch shares` shows and changes which controller owns which machines.
//
// The daemon connects the core (internal/coordination) to the network. Its event loop
// (event_loop.go) passes one input at a time to the core and executes the effects that the core
// returns. The connections to other systems are in one or two files each: users and agents
// (http_requests.go, agent_calls.go), the key-value store and the cloud (effect_calls.go,
// cloud_calls.go), other controllers (peers.go) and operators (admin_backend.go). The daemon makes
// no scheduling decisions; the core makes them.
package main
