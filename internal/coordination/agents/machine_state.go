package agents

import (
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// MachineState is what this process remembers of a machine beyond its record.
type MachineState struct {
	ID protocol.MachineID

	LatestHeartbeat     *protocol.Heartbeat // newest report
	taskStatuses        map[protocol.Task]*protocol.TaskStatus
	ConfirmedToken      protocol.FencingToken // highest token that the worker has shown
	tokenConfirmedAt    protocol.Instant      // when it first did
	LastAgentEpoch      protocol.AgentEpoch   // order of the reports
	LastSequence        protocol.Sequence     //
	answeredHeartbeatAt protocol.Instant      // receipt of the last report that was answered with 200
	answeredToken       protocol.FencingToken // under which it was
	LastContactAt       protocol.Instant      // any sign of life, or the begin of this ownership
	lastHeartbeatAt     protocol.Instant      // last report that came by itself, or the begin of this ownership

	DeferredRequest  step.RequestID // a report that waits for its answer
	deferredAt       protocol.Instant
	awaitsOwnership  bool // it waits until this node owns the machine
	HasAnsweredProbe bool // the worker of a machine that is on no record has answered here

	// Whether what is sent to the worker arrives. Its reports may come in all
	// the while: they say nothing of the way back.
	awaitsDelivery     bool // the last answer had a start, or a token, that the worker must show
	deliveryAgentEpoch protocol.AgentEpoch
	suspectedAt        protocol.Instant // since when it is not sure that it hears; 0: it does
	firstCallFailureAt protocol.Instant // when the first of the direct commands failed that have failed in a row
	callFailures       int              // and how many those are
	CommandsLostAt     protocol.Instant // since when it is sure that it does not

	// Starts in the answer that the worker may not have carried out yet. A
	// report that lacks them proves nothing while they are in flight.
	InflightStarts map[protocol.Task]protocol.Attempt
	// Attempts that are being taken back: never started from then on, since
	// the transaction that takes them back may still be applied.
	RevokedAttempts map[protocol.Task]protocol.Attempt
	StopRequests    map[protocol.Task]StopRequest
	callStartedAt   protocol.Instant
	isCallInFlight  bool

	firstSeenAt          map[protocol.Task]protocol.Instant
	runningSince         map[protocol.Task]protocol.Instant // since when tasks are seen to run
	awaitsFirstHeartbeat bool                               // no report has come under this ownership
	Slowdown             slowdown                           // of the machine against others
	CachedImages         []cachedImage                      // most recently used last
	jobsWithErrors       map[protocol.JobID]bool
	quarantinedUntil     protocol.Instant
	preemptionAt         protocol.Instant // 0: none; else when the cloud takes it
	IsFaulty             bool
	ownerIncarnation     storage.Incarnation
	ownershipEpoch       storage.ShardEpoch
	OwnershipRevision    protocol.Revision // the replica must be as new before a report is answered: it lacks what came before else
}

type cachedImage struct {
	name   string
	SizeGB float64
}

type StopRequest struct {
	Attempt      protocol.Attempt
	graceSeconds float64
}

// jobState is what this process remembers of a job beyond its record.
type jobState struct {
	NextAttempt, AttemptsEnd protocol.Attempt // attempts set aside for this claim
	AttemptsOwner            storage.Incarnation
	FailedMachines           map[protocol.MachineID]bool
	Placements               int // tasks placed so far, each time counted
	MeasuredTasks            int // tasks that were seen from their begin to their end
	MeasuredRuntime          time.Duration
	NotBefore                protocol.Instant
	GangIncompleteAt         protocol.Instant
	seenAttempt              protocol.Attempt
	EarlyExits               int              // replicas that ended soon after their start, in a row
	GangAttemptInProgress    protocol.Attempt // of a gang whose assignment takes several transactions
}

func (m *MachineState) Reset() {
	m.InflightStarts = map[protocol.Task]protocol.Attempt{}
	m.RevokedAttempts = map[protocol.Task]protocol.Attempt{}
	m.StopRequests = map[protocol.Task]StopRequest{}
	m.firstSeenAt = map[protocol.Task]protocol.Instant{}
	m.runningSince = map[protocol.Task]protocol.Instant{}
	m.awaitsFirstHeartbeat = true
	m.jobsWithErrors = map[protocol.JobID]bool{}
}

// slowdown is how long a machine's tasks run, as a multiple of what others of the same
// jobs do, smoothed over the last few.
type slowdown struct {
	samples int
	Ratio   float64
}

// IsSlow tells whether a machine is surely slower than its like: a tenth is usual,
// and tasks differ by themselves.
func (p slowdown) IsSlow() bool { return p.samples >= minRuntimeSamples && p.Ratio > slowMachineRatio }

// startTimeUnknown stands for the begin of a task that another owner saw, or nobody.
const startTimeUnknown protocol.Instant = -1

const (
	minRuntimeSamples = 4   // one long task says nothing
	slowMachineRatio  = 1.8 // estimates of one job's tasks, seen through reports, differ by less
)

// CurrentHeartbeat is the newest report if it was sent under the current token and in
// the recorded session: only then does what it lacks prove anything.
func (m *MachineState) CurrentHeartbeat(record *storage.MachineRecord) *protocol.Heartbeat {
	if m.LatestHeartbeat == nil || storage.ShardEpochOf(m.LatestHeartbeat.FencingToken) != record.ShardEpoch || m.LatestHeartbeat.AgentEpoch != record.AgentEpoch {
		return nil
	}
	return m.LatestHeartbeat
}

func (m *MachineState) RecordHeartbeat(heartbeat *protocol.Heartbeat, now protocol.Instant) {
	m.LatestHeartbeat = heartbeat
	m.LastContactAt = now
	if storage.ShardEpochOf(heartbeat.FencingToken) > storage.ShardEpochOf(m.ConfirmedToken) {
		m.tokenConfirmedAt = now
	}
	m.ConfirmedToken = max(m.ConfirmedToken, heartbeat.FencingToken)
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
	for t, s := range m.StopRequests {
		if status := m.taskStatuses[t]; status != nil && status.Attempt != s.Attempt {
			delete(m.StopRequests, t)
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
