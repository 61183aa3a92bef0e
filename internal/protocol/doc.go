// Package protocol is the one edge at which the names of the wire are mapped to the
// terms of the field. It owns the typed JSON messages that controllers exchange with
// users, agents, the cloud and the key-value store (the store), the HTTP paths of these
// interfaces, and the validation of what comes in. Everything behind it uses the Go
// names; a wire name of these interfaces elsewhere is a mistake, except in texts shown to
// users. Job and Task are also stored in records, so their wire form must stay readable.
//
// The package is pure: it opens no connection, reads no clock and starts no goroutine.
// The form of the records (package storage) and of the messages between controllers
// (package coordination) is not its business.
//
// The words of the wire and their terms here:
//
//	wire                            here                      meaning
//	uid (of a job)                  Job.ID, JobID             id of a job
//	lane, desk                      Class, Team               objective class, team with a quota
//	shape: batch, group, daemon     Kind: array, gang,        how the tasks of a job belong
//	                                service                   together
//	rank                            Priority                  priority
//	pieces                          TaskCount, Tasks          tasks of a job, tasks on a machine
//	piece, try                      Task, Attempt             one task, one start of it
//	bundle, pull_gb                 Image, ImageGB            container image and its size
//	builds, build, sku              MachineTypes, Type, Name  machine types, by name
//	yard, yards                     Zone, Zones               availability zones
//	together, scatter               SingleZone, SpreadZones   placement constraints on zones
//	loaners                         Spot, AllowSpot           spot machines
//	reckon_s                        EstimatedRunSeconds       estimate of a task's run time
//	bookmark_s, stow_s              CheckpointIntervalSeconds,
//	                                CheckpointSaveSeconds     checkpoints
//	due_s                           DeadlineSeconds           deadline, from the submission
//	stage, cause                    State, Reason             states and reasons of an end
//	withdrawn, abort                JobCancelled, Cancel      cancellation
//	beat (a path)                   Heartbeat                 an agent's report
//	stall, stalls                   Machine, Machines,
//	                                Instances                 machines
//	shift, tally                    AgentEpoch, Sequence      order of an agent's messages
//	baton                           FencingToken              fencing token
//	recall_s                        PreemptionNoticeSeconds   spot preemption notice
//	orders, verb, reap              Commands, Type, Forget    commands to an agent
//	wind_down_s                     GracePeriodSeconds        time to save before a stop
//	foreman                         Redirect.Controller       controller to report to
//	flavors (a path)                MachineType               machine types of the cloud
//	hosts (a path)                  Instance                  machines of the cloud
//	hire                            RequestID                 idempotency key of a provision request
//	ready_s, fetch_gb_per_s         BootSeconds,
//	                                ImagePullGBPerSecond      nominal speeds of a machine type
//	rate, low_price                 OnDemandPrice, SpotPrice  price per hour
//	multi: when, then               Transaction: Conditions,
//	                                Operations                transaction of the store
//	stamp, ledger_rev               ModRevision, Revision     revision of a key, of the store
//	holds, tenancy, extend          Lease, LeaseID, Renew     leases of the store
//	follow, news                    Watch, Events             watches of the store
package protocol
