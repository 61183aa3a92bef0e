// Package protocol maps the names that are used on the wire to the terms of the field. It
// defines the typed JSON messages that controllers exchange with users, agents, the cloud
// and the key-value store (the store), defines the HTTP paths of these interfaces, and
// validates incoming messages. All other packages use the Go names. A wire name of these
// interfaces in another package is a mistake, except in texts shown to users. Job and Task
// are also stored in records, so their wire form must remain readable.
//
// The package is pure: it opens no connection, reads no clock and starts no goroutine.
// It does not define the form of the records (package storage) or of the messages between
// controllers (package coordination/step).
//
// Wire names and their Go names:
//
//	wire                            Go                        meaning
//	work (a path)                   PathJobs                  users' requests on jobs
//	uid (of a job)                  Job.ID, JobID             id of a job
//	lane, desk                      Class, Team               objective class, team with a quota
//	shape: batch, group, daemon     Kind: KindArray,          kind of a job
//	                                KindGang, KindService
//	rank                            Priority                  priority
//	pieces                          TaskCount, Tasks          tasks of a job, tasks on a machine
//	piece, try                      Task, Attempt             one task, one start of the task
//	bundle, pull_gb                 Image, ImageGB            container image and its size
//	builds, build, sku              MachineTypes, Type, Name  machine types, by name
//	yard, yards                     Zone, Zones               availability zones
//	together, scatter               SingleZone, SpreadZones   placement constraints on zones
//	loaners                         Spot, AllowSpot           spot machines
//	reckon_s                        EstimatedRunSeconds       estimate of a task's run time
//	bookmark_s, stow_s              CheckpointIntervalSeconds,
//	                                CheckpointSaveSeconds     checkpoints
//	due_s                           DeadlineSeconds           deadline, from the submission
//	stage, cause                    State, Reason             state, reason why a task ended
//	withdrawn, abort (a path)       JobCancelled,             cancellation
//	                                RequestCancel
//	done, running                   CompletedTasks,           numbers of tasks for display
//	                                RunningTasks
//	beat (a path)                   Heartbeat                 an agent's report
//	do, show (paths)                PathAgentCommands,        paths of an agent's own address
//	                                PathAgentStatus
//	stall, stalls                   Machine, Machines,        machines
//	                                Instances
//	shift, tally                    AgentEpoch, Sequence      order of an agent's messages
//	baton                           FencingToken              fencing token
//	recall_s                        PreemptionNoticeSeconds   spot preemption notice
//	fetching, gathering             TaskPullingImage,         states of a task on its machine
//	                                TaskAwaitingGang
//	flushing, ended                 TaskSaving, TaskExited    states of a task on its machine
//	saved                           ProgressSaved             whether the task's progress is saved
//	no_room, busy                   ReasonInsufficientResources,
//	                                ReasonAttemptConflict     reasons of a refused start
//	no_such                         ReasonNotFound            reason of a refused start
//	orders, verb                    Commands, Type            commands to an agent
//	reap                            CommandForget             command to forget an exited task
//	wind_down_s                     GracePeriodSeconds        time to save before a stop
//	foreman                         Redirect.Controller       controller to report to
//	flavors (a path)                MachineType               machine types of the cloud
//	hosts (a path)                  Instance                  machines of the cloud
//	hosts/release (a path)          PathTerminate             termination of machines
//	hire                            RequestID                 idempotency key of a provision request
//	ready_s, fetch_gb_per_s         BootSeconds,
//	                                ImagePullGBPerSecond      nominal speeds of a machine type
//	local_gb                        LocalDiskGB               local disk of a machine type
//	rate, low_price                 OnDemandPrice, SpotPrice  price per hour
//	age_s                           AgeSeconds                age of a machine of the cloud
//	keys (a path)                   Entry                     keys of the store
//	items, more                     Entries, HasMore          page of a listing
//	multi (a path): when, then      Transaction: Conditions,  transaction of the store
//	                                Operations
//	put, delete, data               PutKey, DeleteKey, Value  change of a key
//	failed                          FailedKeys                keys whose conditions do not hold
//	stamp, ledger_rev               ModRevision, Revision     revision of a key, of the store
//	holds (a path), tenancy         Lease, LeaseID            leases of the store
//	extend (a path)                 RenewLeasePath            renewal of a lease
//	follow (a path), news           WatchResponse, Events     watches of the store
package protocol
