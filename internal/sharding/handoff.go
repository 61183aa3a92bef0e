package sharding

// minMisdirectedMachines is the minimum number of misdirected machines for which a shard is handed
// off as a whole. Fewer machines are handed off one by one.
const minMisdirectedMachines = 3

// ShouldHandOffShard reports whether a shard passes as a whole to the controller that its agents
// send heartbeats to. machines is the number of machines in the shard, misdirected the number
// whose heartbeats reach that controller, and heartbeating the number whose heartbeats reach the
// owner. The misdirected machines must be the majority of all machines, and more than twice as
// many as those that reach the owner. Machines that reach neither controller are no evidence for
// either.
func ShouldHandOffShard(machines, misdirected, heartbeating int) bool {
	return misdirected >= minMisdirectedMachines &&
		misdirected > 2*heartbeating &&
		2*misdirected > machines
}
