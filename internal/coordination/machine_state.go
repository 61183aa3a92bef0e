package coordination

import (
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// machineState is what this process remembers of a machine beyond its record.
type machineState struct {
	id protocol.MachineID

	latestHeartbeat     *protocol.Heartbeat // newest report
	taskStatuses        map[protocol.Task]*protocol.TaskStatus
	confirmedToken      protocol.FencingToken // highest token that the worker has shown
	tokenConfirmedAt    protocol.Instant      // when it first did
	lastAgentEpoch      protocol.AgentEpoch   // order of the reports
	lastSequence        protocol.Sequence     //
	answeredHeartbeatAt protocol.Instant      // receipt of the last report that was answered with 200
	answeredToken       protocol.FencingToken // under which it was
	lastContactAt       protocol.Instant      // any sign of life, or the begin of this ownership
	lastHeartbeatAt     protocol.Instant      // last report that came by itself, or the begin of this ownership

	deferredRequest  RequestID // a report that waits for its answer
	deferredAt       protocol.Instant
	awaitsOwnership  bool // it waits until this node owns the machine
	hasAnsweredProbe bool // the worker of a machine that is on no record has answered here

	// Whether what is sent to the worker arrives. Its reports may come in all
	// the while: they say nothing of the way back.
	awaitsDelivery     bool // the last answer had a start, or a token, that the worker must show
	deliveryAgentEpoch protocol.AgentEpoch
	suspectedAt        protocol.Instant // since when it is not sure that it hears; 0: it does
	firstCallFailureAt protocol.Instant // when the first of the direct commands failed that have failed in a row
	callFailures       int              // and how many those are
	commandsLostAt     protocol.Instant // since when it is sure that it does not

	// Starts in the answer that the worker may not have carried out yet. A
	// report that lacks them proves nothing while they are in flight.
	inflightStarts map[protocol.Task]protocol.Attempt
	// Attempts that are being taken back: never started from then on, since
	// the transaction that takes them back may still be applied.
	revokedAttempts map[protocol.Task]protocol.Attempt
	stopRequests    map[protocol.Task]stopRequest
	callStartedAt   protocol.Instant
	isCallInFlight  bool

	firstSeenAt          map[protocol.Task]protocol.Instant
	runningSince         map[protocol.Task]protocol.Instant // since when tasks are seen to run
	awaitsFirstHeartbeat bool                               // no report has come under this ownership
	slowdown             slowdown                           // of the machine against others
	cachedImages         []cachedImage                      // most recently used last
	jobsWithErrors       map[protocol.JobID]bool
	quarantinedUntil     protocol.Instant
	preemptionAt         protocol.Instant // 0: none; else when the cloud takes it
	idleSince            protocol.Instant
	isFaulty             bool
	scaleInReason        string              // why the machine is to go back
	handOffTarget        storage.Incarnation // a run to which the worker reports instead
	handOffRequestedAt   protocol.Instant
	ownerIncarnation     storage.Incarnation
	ownershipEpoch       storage.ShardEpoch
	ownershipRevision    protocol.Revision // the replica must be as new before a report is answered: it lacks what came before else
}

type cachedImage struct {
	name   string
	sizeGB float64
}

type stopRequest struct {
	attempt      protocol.Attempt
	graceSeconds float64
}

// jobState is what this process remembers of a job beyond its record.
type jobState struct {
	nextAttempt, attemptsEnd protocol.Attempt // attempts set aside for this claim
	attemptsOwner            storage.Incarnation
	failedMachines           map[protocol.MachineID]bool
	placements               int // tasks placed so far, each time counted
	measuredTasks            int // tasks that were seen from their begin to their end
	measuredRuntime          time.Duration
	notBefore                protocol.Instant
	gangIncompleteAt         protocol.Instant
	seenAttempt              protocol.Attempt
	earlyExits               int              // replicas that ended soon after their start, in a row
	gangAttemptInProgress    protocol.Attempt // of a gang whose assignment takes several transactions
}

func (m *machineState) reset() {
	m.inflightStarts = map[protocol.Task]protocol.Attempt{}
	m.revokedAttempts = map[protocol.Task]protocol.Attempt{}
	m.stopRequests = map[protocol.Task]stopRequest{}
	m.firstSeenAt = map[protocol.Task]protocol.Instant{}
	m.runningSince = map[protocol.Task]protocol.Instant{}
	m.awaitsFirstHeartbeat = true
	m.jobsWithErrors = map[protocol.JobID]bool{}
}

// slowdown is how long a machine's tasks run, as a multiple of what others of the same
// jobs do, smoothed over the last few.
type slowdown struct {
	samples int
	ratio   float64
}

// isSlow tells whether a machine is surely slower than its like: a tenth is usual,
// and tasks differ by themselves.
func (p slowdown) isSlow() bool { return p.samples >= minRuntimeSamples && p.ratio > slowMachineRatio }

// startTimeUnknown stands for the begin of a task that another owner saw, or nobody.
const startTimeUnknown protocol.Instant = -1

const (
	minRuntimeSamples = 4   // one long task says nothing
	slowMachineRatio  = 1.8 // estimates of one job's tasks, seen through reports, differ by less
)

// currentHeartbeat is the newest report if it was sent under the current token and in
// the recorded session: only then does what it lacks prove anything.
func (m *machineState) currentHeartbeat(record *storage.MachineRecord) *protocol.Heartbeat {
	if m.latestHeartbeat == nil || storage.ShardEpochOf(m.latestHeartbeat.FencingToken) != record.ShardEpoch || m.latestHeartbeat.AgentEpoch != record.AgentEpoch {
		return nil
	}
	return m.latestHeartbeat
}

func (m *machineState) recordHeartbeat(heartbeat *protocol.Heartbeat, now protocol.Instant) {
	m.latestHeartbeat = heartbeat
	m.lastContactAt = now
	if storage.ShardEpochOf(heartbeat.FencingToken) > storage.ShardEpochOf(m.confirmedToken) {
		m.tokenConfirmedAt = now
	}
	m.confirmedToken = max(m.confirmedToken, heartbeat.FencingToken)
	m.taskStatuses = make(map[protocol.Task]*protocol.TaskStatus, len(heartbeat.Tasks))
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		m.taskStatuses[status.Task] = status
		if status.State != protocol.TaskExited && m.firstSeenAt[status.Task] == 0 {
			m.firstSeenAt[status.Task] = now
		}
		if status.State == protocol.TaskRunning && m.runningSince[status.Task] == 0 {
			if m.runningSince[status.Task] = now; m.awaitsFirstHeartbeat {
				m.runningSince[status.Task] = startTimeUnknown
			}
		}
	}
	m.awaitsFirstHeartbeat = false
	for t := range m.runningSince {
		if m.taskStatuses[t] == nil {
			delete(m.runningSince, t)
		}
	}
	for t := range m.firstSeenAt {
		if status := m.taskStatuses[t]; status == nil || status.State == protocol.TaskExited {
			delete(m.firstSeenAt, t)
		}
	}
	for t, s := range m.stopRequests {
		if status := m.taskStatuses[t]; status != nil && status.Attempt != s.attempt {
			delete(m.stopRequests, t)
		}
	}
	if heartbeat.PreemptionNoticeSeconds != nil {
		preemptionAt := now.Add(protocol.Seconds(*heartbeat.PreemptionNoticeSeconds))
		if m.preemptionAt == 0 || preemptionAt < m.preemptionAt {
			m.preemptionAt = preemptionAt
		}
	} else {
		m.preemptionAt = 0
	}
}

func isStale(heartbeat *protocol.Heartbeat, agentEpoch protocol.AgentEpoch, sequence protocol.Sequence) bool {
	return heartbeat.AgentEpoch < agentEpoch || heartbeat.AgentEpoch == agentEpoch && heartbeat.Sequence <= sequence
}

func hasAttempt(record *storage.MachineRecord, a *storage.Assignment) bool {
	for i := range record.Assignments {
		if other := &record.Assignments[i]; other.Job == a.Job && other.Attempt == a.Attempt {
			return true
		}
	}
	return false
}
