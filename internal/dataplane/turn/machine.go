package turn

import (
	"strings"
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// DefaultMaxAttempts bounds how often one turn is sent to a back end.
	DefaultMaxAttempts = 4

	// answerWindow is how long a caller waits for the ledger to confirm the end of
	// its turn. The owner goes on trying as long as it has authority: the open
	// reservation is charged at its ceiling by the next epoch, never run anew.
	confirmationTimeout  = 2 * time.Second
	commitAnswerTimeout  = 15 * time.Second
	initialBackoff    = 50 * time.Millisecond
	maxBackoff  = 2 * time.Second
	reservedRetryAfter     = 500 * time.Millisecond
	ledgerRetryAfter   = time.Second
	busyRetryAfter     = 500 * time.Millisecond
	restartDivisor  = 2
	minCharge = 1
)

// Parameters are fixed when a turn begins.
type Parameters struct {
	Request *protocol.TurnRequest
	// TurnID is the id under which the turn will be kept.
	TurnID string
	// Owner and Incarnation name this front node.
	Owner       string
	Incarnation uint64
	// Budget is used when the turn opens its program.
	Budget uint64
	// Ceiling is the most output tokens the turn may pass on.
	ReservationLimit uint64
	Retention        time.Duration
	BundleVersion    uint64
	// Attempts bounds the tries at back ends; zero means DefaultMaxAttempts.
	MaxAttempts uint32
}

type state int

const (
	stateNew state = iota
	stateResolving
	stateClaiming
	stateReading
	stateAdmitting
	stateReserving
	stateChoosing
	stateIssued
	stateRequestingRetry
	stateCommitting
	stateReleasing
	stateRejecting
	stateReadingRetained
	stateDone
)

// Machine is the life of one turn at its owner.
type Machine struct {
	parameters Parameters
	state      state

	epoch         uint64
	history       []*protocol.Item
	historyTokens uint64
	// previousProgram is set when the turn continued belongs to another program.
	previousProgram string
	admitted        bool
	// step is what a turn of a training step keeps to.
	step     stepProgress
	reserved bool
	// ranEver is true once an attempt may have run.
	ranBefore bool

	attempt  uint32
	attemptCount    uint32
	sequence uint64
	backEnd  string
	avoid    []string
	text     strings.Builder
	// output is the data of the events of a turn of an HTTP route.
	output []byte
	// tokens of this attempt, and passed on over all attempts.
	attemptTokens    uint64
	emittedTokens    uint64
	maxTokens uint64

	done    BackEndDone
	failure *protocol.Failure
	// answered is a server's whole answer in place of a stream.
	completeAnswer *protocol.HttpAnswer
	answerEnded    bool

	operationStartedAt time.Time
	backoff          time.Duration
	commit         *protocol.SettleTurn
	releaseOperation        *protocol.ReleaseTurn
}

// New makes the machine of one turn.
func New(parameters Parameters) *Machine {
	if parameters.MaxAttempts == 0 {
		parameters.MaxAttempts = DefaultMaxAttempts
	}
	return &Machine{parameters: parameters, attempt: parameters.Request.GetLastAttempt()}
}

// Done reports whether the machine has finished.
func (m *Machine) Done() bool { return m.state == stateDone }

// Answered reports whether the readers have been given the last event.
func (m *Machine) Answered() bool { return m.answerEnded }

// Apply takes one event and returns what to do next, in order. An event that
// the current state does not wait for is ignored: it is a late answer.
func (m *Machine) Apply(event Event, now time.Time) []Command {
	if stop, stopped := event.(Stopped); stopped {
		return m.stop(stop, now)
	}
	switch m.state {
	case stateNew:
		return m.begin(event)
	case stateResolving:
		return m.stepResolved(event, now)
	case stateClaiming:
		return m.claimed(event, now)
	case stateReading:
		return m.historyRead(event, now)
	case stateAdmitting:
		return m.admission(event, now)
	case stateReserving:
		return m.reservation(event, now)
	case stateChoosing:
		return m.choice(event, now)
	case stateIssued:
		return m.issued(event, now)
	case stateRequestingRetry:
		return m.retry(event, now)
	case stateCommitting:
		return m.committing(event, now)
	case stateReleasing:
		return m.releasing(event, now)
	case stateRejecting:
		return m.rejecting(event, now)
	case stateReadingRetained:
		return m.retainedTurnRead(event, now)
	}
	return nil
}

func (m *Machine) begin(event Event) []Command {
	if _, begun := event.(Begun); !begun {
		return nil
	}
	if m.isOfStep() {
		return m.resolveStep()
	}
	return m.admit()
}

func (m *Machine) admit() []Command {
	m.state = stateAdmitting
	return []Command{Admit{}}
}

// claim asks for the session's epoch once the turn has a slot, so that a turn
// that is refused costs the ledger no more than its tombstone.
func (m *Machine) claimSession() []Command {
	m.state = stateClaiming
	request := m.parameters.Request
	return []Command{Claim{Operation: &protocol.ClaimSession{
		Session: request.GetSession(), Owner: m.parameters.Owner, OwnerIncarnation: m.parameters.Incarnation,
		Tenant: request.GetTenant(), Budget: m.parameters.Budget,
	}}}
}

func (m *Machine) claimed(event Event, now time.Time) []Command {
	claimed, matches := event.(Claimed)
	if !matches {
		return nil
	}
	status := claimed.Result.GetStatus()
	if status == protocol.LedgerStatus_LEDGER_FENCED {
		return m.endHere(ledgerFailure(status))
	}
	if status != protocol.LedgerStatus_LEDGER_OK {
		return m.reject(ledgerFailure(status), now)
	}
	m.epoch = claimed.Result.GetEpoch()
	m.state = stateReading
	return []Command{ReadHistory{LastTurn: m.parameters.Request.GetPreviousTurn()}}
}

func (m *Machine) historyRead(event Event, now time.Time) []Command {
	read, matches := event.(HistoryRead)
	if !matches {
		return nil
	}
	if read.Status != protocol.LedgerStatus_LEDGER_OK {
		f := ledgerFailure(read.Status)
		if read.Status == protocol.LedgerStatus_LEDGER_TURN_MISSING {
			f.Path = "previous_response_id"
		}
		return m.reject(f, now)
	}
	m.history, m.historyTokens, m.previousProgram = read.Items, read.Tokens, read.Program
	m.state = stateReserving
	return []Command{m.reserveCommand()}
}

func (m *Machine) admission(event Event, now time.Time) []Command {
	switch admission := event.(type) {
	case Admitted:
		m.admitted = true
		if m.isHTTP() {
			return m.admittedHTTP()
		}
		return m.claimSession()
	case NotAdmitted:
		return m.reject(admission.Failure, now)
	}
	return nil
}

func (m *Machine) reserveCommand() Command {
	if m.isHTTP() {
		return m.reserveHTTP()
	}
	request := m.parameters.Request
	return Reserve{Operation: &protocol.ReserveTurn{
		RequestId: request.GetRequestId(), Session: request.GetSession(), Epoch: m.epoch,
		Ceiling: m.parameters.ReservationLimit, PreviousTurn: request.GetPreviousTurn(),
	}}
}

func (m *Machine) reservation(event Event, now time.Time) []Command {
	reserved, matches := event.(Reserved)
	if !matches {
		return nil
	}
	switch status := reserved.Result.GetStatus(); status {
	case protocol.LedgerStatus_LEDGER_OK:
		m.reserved = true
		if m.isHTTP() {
			m.epoch = reserved.Result.GetEpoch()
		}
		m.state = stateChoosing
		return []Command{Choose{}}
	case protocol.LedgerStatus_LEDGER_ALREADY_FINISHED:
		return m.answerFinished(reserved.Result.GetFinished(), now)
	case protocol.LedgerStatus_LEDGER_ALREADY_RESERVED:
		return m.reservedBefore(reserved.Result, now)
	case protocol.LedgerStatus_LEDGER_UNAVAILABLE:
		// The reservation may have been made: it must be taken back, not merely forgotten.
		return m.releaseWith(ledgerFailure(status), 0, now)
	case protocol.LedgerStatus_LEDGER_FENCED:
		return m.endHere(ledgerFailure(status))
	default:
		return m.reject(ledgerFailure(status), now)
	}
}

// reservedBefore answers when the session has an open reservation: of an
// earlier send of this request, which may have run, or of another request.
func (m *Machine) reservedBefore(result *protocol.LedgerResult, now time.Time) []Command {
	f := failure.New(failure.SessionBusy, protocol.Outcome_UNKNOWN, "another turn of the conversation is under way",
		failure.WithRetryAfter(busyRetryAfter)).Failure
	for _, open := range result.GetProgram().GetReservations() {
		if open.GetRequestId() == m.parameters.Request.GetRequestId() {
			f.Message = "an earlier send of this request is not settled"
			return m.end(f)
		}
	}
	return m.reject(f, now)
}

func (m *Machine) choice(event Event, now time.Time) []Command {
	switch choice := event.(type) {
	case Chosen:
		return m.issue(choice.BackEnd)
	case NotChosen:
		if m.failure == nil {
			m.failure = choice.Failure
		}
		return m.giveUp(now)
	}
	return nil
}

func (m *Machine) issue(backEnd string) []Command {
	m.state = stateIssued
	m.backEnd = backEnd
	m.attemptCount++
	m.attempt++
	m.sequence, m.attemptTokens = 0, 0
	m.text.Reset()
	m.output = nil
	m.maxTokens = m.parameters.ReservationLimit - m.emittedTokens
	items := make([]*protocol.Item, 0, len(m.history)+len(m.parameters.Request.GetInput()))
	items = append(append(items, m.history...), m.parameters.Request.GetInput()...)
	return []Command{Issue{
		BackEnd: backEnd, Attempt: m.attempt, Epoch: m.epoch, Items: items, MaxTokens: m.maxTokens,
	}}
}

// first puts more commands before the ones at hand, which may end with Finish.
func prepend(commands []Command, more ...Command) []Command {
	return append(more, commands...)
}
