package turn

import (
	"strings"
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// DefaultAttemptLimit is the maximum number of times that one turn is issued to a back end.
	DefaultAttemptLimit = 4

	// confirmationTimeout is how long a caller waits for the ledger to acknowledge the end of
	// its turn. The owner keeps retrying as long as it has authority. After that, the next epoch
	// charges the open reservation at its limit and never runs the turn again.
	confirmationTimeout = 2 * time.Second
	// commitAnswerTimeout is the confirmation timeout of a turn that ran. It is longer, because the caller loses the
	// answer when it expires.
	commitAnswerTimeout = 15 * time.Second
	// initialBackoff and maxBackoff bound the wait between two attempts of one ledger operation.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// The delays after which a caller may retry: when turns in flight have reserved the budget, when the ledger is
	// unavailable, and when a session or server is busy.
	reservedRetryAfter = 500 * time.Millisecond
	ledgerRetryAfter   = time.Second
	busyRetryAfter     = 500 * time.Millisecond
	// A turn that has emitted more than its reservation limit divided by restartDivisor is not restarted, because the
	// remaining tokens are too few for a complete answer.
	restartDivisor = 2
	// minCharge is the minimum number of tokens charged for a turn that may have run; a release of 0 tokens records that
	// it did not run.
	minCharge = 1
)

// Parameters are fixed when a turn begins.
type Parameters struct {
	Request *protocol.TurnRequest
	// TurnID is the id under which the turn is retained.
	TurnID string
	// Owner and Incarnation name this front node.
	Owner       string
	Incarnation uint64
	// Budget is the program's token budget, used if the turn creates the program.
	Budget uint64
	// ReservationLimit is the maximum number of output tokens that the turn may emit over all attempts.
	ReservationLimit uint64
	Retention        time.Duration
	BundleVersion    uint64
	// AttemptLimit bounds the attempts at back ends; 0 means DefaultAttemptLimit.
	AttemptLimit uint32
}

type state int

const (
	stateNew state = iota
	stateResolving
	stateAdmitting
	stateClaiming
	stateReading
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

// Machine is the state machine of one turn at its owner. The package comment lists its states.
type Machine struct {
	parameters Parameters
	state      state

	epoch         uint64
	history       []*protocol.Item
	historyTokens uint64
	// previousProgram is set when the continued turn belongs to another program.
	previousProgram string
	slot            slot
	// step is the state of a turn of a training step.
	step     stepProgress
	reserved bool
	// mayHaveRunBefore is true once an attempt may have run the turn.
	mayHaveRunBefore bool

	attempt        uint32
	attemptCount   uint32
	sequence       uint64
	backEnd        string
	failedBackEnds []string
	text           strings.Builder
	// output is the data of the events of a turn of an HTTP route, with a newline after each.
	output []byte
	// attemptTokens counts the output tokens of this attempt, emittedTokens those of all attempts; maxTokens bounds this
	// attempt.
	attemptTokens uint64
	emittedTokens uint64
	maxTokens     uint64

	backEndDone BackEndDone
	failure     *protocol.Failure
	// completeAnswer is the server's complete answer if it did not answer with a stream.
	completeAnswer *protocol.HttpAnswer
	answerEnded    bool

	// operation times the ledger operation in flight.
	operation        ledgerOperation
	commitOperation  *protocol.SettleTurn
	releaseOperation *protocol.ReleaseTurn
}

// New returns the machine of one turn.
func New(parameters Parameters) *Machine {
	if parameters.AttemptLimit == 0 {
		parameters.AttemptLimit = DefaultAttemptLimit
	}
	return &Machine{parameters: parameters, attempt: parameters.Request.GetLastAttempt()}
}

// Done reports whether the machine has finished.
func (m *Machine) Done() bool { return m.state == stateDone }

// Answered reports whether the event that ends the answer was emitted.
func (m *Machine) Answered() bool { return m.answerEnded }

// Apply applies one event and returns the next commands, in order. An event that
// the current state does not await is ignored: it is a late answer.
func (m *Machine) Apply(event Event, now time.Time) []Command {
	if stop, stopped := event.(Stopped); stopped {
		return m.handleStop(stop, now)
	}
	switch m.state {
	case stateNew:
		return m.begin(event)
	case stateResolving:
		return m.handleStepResolution(event)
	case stateClaiming:
		return m.handleClaimed(event)
	case stateReading:
		return m.handleHistoryRead(event)
	case stateAdmitting:
		return m.handleAdmission(event)
	case stateReserving:
		return m.handleReserved(event, now)
	case stateChoosing:
		return m.handleChoice(event, now)
	case stateIssued:
		return m.handleBackEndEvent(event, now)
	case stateRequestingRetry:
		return m.handleRetryDecided(event, now)
	case stateCommitting:
		return m.handleCommitEvent(event, now)
	case stateReleasing:
		return m.handleReleaseEvent(event, now)
	case stateRejecting:
		return m.handleRejected(event)
	case stateReadingRetained:
		return m.handleRetainedTurnRead(event)
	}
	return nil
}

func (m *Machine) begin(event Event) []Command {
	if _, begun := event.(Begun); !begun {
		return nil
	}
	if m.hasTrainingStep() {
		return m.resolveStep()
	}
	return m.admit()
}

func (m *Machine) admit() []Command {
	m.state = stateAdmitting
	return []Command{Admit{}}
}

// claimSession requests the session's epoch once the turn has a slot, so that a turn
// that is rejected costs the ledger no more than its tombstone.
func (m *Machine) claimSession() []Command {
	m.state = stateClaiming
	request := m.parameters.Request
	return []Command{Claim{Operation: &protocol.ClaimSession{
		Session: request.GetSession(), Owner: m.parameters.Owner, OwnerIncarnation: m.parameters.Incarnation,
		Tenant: request.GetTenant(), Budget: m.parameters.Budget,
	}}}
}

func (m *Machine) handleClaimed(event Event) []Command {
	claimed, matches := event.(Claimed)
	if !matches {
		return nil
	}
	status := claimed.Result.GetStatus()
	if status == protocol.LedgerStatus_LEDGER_FENCED {
		return m.endLocally(ledgerFailure(status))
	}
	if status != protocol.LedgerStatus_LEDGER_OK {
		return m.reject(ledgerFailure(status))
	}
	m.epoch = claimed.Result.GetEpoch()
	m.state = stateReading
	return []Command{ReadHistory{LastTurn: m.parameters.Request.GetPreviousTurn()}}
}

func (m *Machine) handleHistoryRead(event Event) []Command {
	history, matches := event.(HistoryRead)
	if !matches {
		return nil
	}
	if history.Status != protocol.LedgerStatus_LEDGER_OK {
		f := ledgerFailure(history.Status)
		if history.Status == protocol.LedgerStatus_LEDGER_TURN_MISSING {
			f.Path = "previous_response_id"
		}
		return m.reject(f)
	}
	m.history, m.historyTokens, m.previousProgram = history.Items, history.Tokens, history.Program
	m.state = stateReserving
	return []Command{m.reserveCommand()}
}

func (m *Machine) handleAdmission(event Event) []Command {
	switch admission := event.(type) {
	case Admitted:
		m.slot = true
		if m.isHTTP() {
			return m.handleHTTPAdmitted()
		}
		return m.claimSession()
	case NotAdmitted:
		return m.reject(admission.Failure)
	}
	return nil
}

func (m *Machine) reserveCommand() Command {
	if m.isHTTP() {
		return m.httpReserveCommand()
	}
	request := m.parameters.Request
	return Reserve{Operation: &protocol.ReserveTurn{
		RequestId: request.GetRequestId(), Session: request.GetSession(), Epoch: m.epoch,
		Ceiling: m.parameters.ReservationLimit, PreviousTurn: request.GetPreviousTurn(),
	}}
}

func (m *Machine) handleReserved(event Event, now time.Time) []Command {
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
		return m.answerFinished(reserved.Result.GetFinished())
	case protocol.LedgerStatus_LEDGER_ALREADY_RESERVED:
		return m.handleOpenReservation(reserved.Result)
	case protocol.LedgerStatus_LEDGER_UNAVAILABLE:
		// The reservation may have been made: it must be released.
		return m.releaseWith(ledgerFailure(status), 0, now)
	case protocol.LedgerStatus_LEDGER_FENCED:
		return m.endLocally(ledgerFailure(status))
	default:
		return m.reject(ledgerFailure(status))
	}
}

// handleOpenReservation ends a turn whose session has an open reservation: of an
// earlier send of this request, which may have run, or of another request.
func (m *Machine) handleOpenReservation(result *protocol.LedgerResult) []Command {
	f := failure.New(failure.SessionBusy, protocol.Outcome_UNKNOWN, "another turn of the conversation is under way",
		failure.WithRetryAfter(busyRetryAfter)).Failure
	for _, open := range result.GetProgram().GetReservations() {
		if open.GetRequestId() == m.parameters.Request.GetRequestId() {
			f.Message = "an earlier send of this request is not settled"
			return m.end(f)
		}
	}
	return m.reject(f)
}

func (m *Machine) handleChoice(event Event, now time.Time) []Command {
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

// prepend returns more followed by commands, so that a Finish at the end of commands stays last.
func prepend(commands []Command, more ...Command) []Command {
	return append(more, commands...)
}
