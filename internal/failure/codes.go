package failure

import "net/http"

// Code identifies a kind of failure. Codes are part of the HTTP API: their values and meanings must never change, even
// where the Go name differs from the value.
type Code string

// Codes that any process returns. With DeadlineExceeded and Cancelled it is unknown whether the request ran, unless the
// failure's outcome specifies it. Unavailable, Draining and NotReady are temporary.
const (
	InternalError    Code = "internal_error"
	DeadlineExceeded Code = "deadline_exceeded"
	Cancelled        Code = "cancelled"
	Unavailable      Code = "unavailable"
	UnknownRequest   Code = "unknown_request"
	Draining         Code = "draining"
	NotReady         Code = "not_ready"
)

// Codes for invalid requests and missing permissions.
const (
	UnknownRoute     Code = "unknown_route"
	MethodNotAllowed Code = "method_not_allowed"
	InvalidBody      Code = "invalid_body"
	UnknownField     Code = "unknown_field"
	BodyTooLarge     Code = "body_too_large"
	HeaderTooLarge   Code = "header_too_large"
	MissingField     Code = "missing_field"
	InvalidField     Code = "invalid_field"
	Unauthorized     Code = "unauthorized"
	Forbidden        Code = "forbidden"
	NotFound         Code = "not_found"
)

// Codes of the data plane.
const (
	UnknownModel      Code = "unknown_model"
	UnknownTool       Code = "unknown_tool"
	UnknownProgram    Code = "unknown_program"
	WrongContinuation Code = "wrong_continuation"
	TurnMissing       Code = "turn_missing"
	BudgetSpent       Code = "budget_spent"
	BudgetReserved    Code = "budget_held"
	SessionBusy       Code = "session_busy"
	RequestRejected   Code = "request_refused"
	Overloaded        Code = "overloaded"
	RateLimited       Code = "rate_limited"
	NoBackEnd         Code = "no_back_end"
	BackEndFailed     Code = "back_end_failed"
	OutcomeUnknown    Code = "outcome_unknown"
	CallInFlight      Code = "call_under_way"
	NotOwner          Code = "not_owner"
	NoAuthority       Code = "no_authority"
	Fenced            Code = "fenced"
	SlowReader        Code = "slow_reader"
	AnswerMismatch    Code = "answer_mismatch"
	LedgerUnavailable Code = "ledger_unavailable"
	StaleView         Code = "stale_view"
	// StepMismatch: the program generates for another training step or for none, or the step belongs to another model.
	StepMismatch Code = "step_mismatch"
	// StepVersionUnavailable: no server has the weights version that is pinned for the training step.
	StepVersionUnavailable Code = "step_version_unavailable"
	// StepVersionChanged: a server responded with weights other than those pinned for the training step.
	StepVersionChanged Code = "step_version_changed"
)

// Codes of the control plane.
const (
	NotLeader        Code = "not_leader"
	NoLeader         Code = "no_leader"
	VersionTaken     Code = "version_taken"
	WrongBase        Code = "wrong_base"
	InvalidBundle    Code = "invalid_bundle"
	InvalidOrder     Code = "invalid_order"
	BadSignature     Code = "bad_signature"
	NotSigned        Code = "not_signed"
	LeaseRejected    Code = "lease_refused"
	WrongCluster     Code = "wrong_cluster"
	ChangeInProgress Code = "change_under_way"
	StoreNotEmptied  Code = "store_not_emptied"
	// TooFewStores: without the store that an order would empty, the remaining stores could not hold every shard.
	TooFewStores Code = "too_few_stores"
)

// statusClientClosedRequest is the status commonly used for a request that its client cancelled; no RFC defines it.
const statusClientClosedRequest = 499

var statusByCode = map[Code]int{
	InternalError:          http.StatusInternalServerError,
	DeadlineExceeded:       http.StatusGatewayTimeout,
	Cancelled:              statusClientClosedRequest,
	Unavailable:            http.StatusServiceUnavailable,
	UnknownRequest:         http.StatusNotFound,
	Draining:               http.StatusServiceUnavailable,
	NotReady:               http.StatusServiceUnavailable,
	UnknownRoute:           http.StatusNotFound,
	MethodNotAllowed:       http.StatusMethodNotAllowed,
	InvalidBody:            http.StatusBadRequest,
	UnknownField:           http.StatusBadRequest,
	BodyTooLarge:           http.StatusRequestEntityTooLarge,
	HeaderTooLarge:         http.StatusRequestHeaderFieldsTooLarge,
	MissingField:           http.StatusBadRequest,
	InvalidField:           http.StatusBadRequest,
	Unauthorized:           http.StatusUnauthorized,
	Forbidden:              http.StatusForbidden,
	NotFound:               http.StatusNotFound,
	UnknownModel:           http.StatusNotFound,
	UnknownTool:            http.StatusNotFound,
	UnknownProgram:         http.StatusNotFound,
	WrongContinuation:      http.StatusConflict,
	TurnMissing:            http.StatusNotFound,
	BudgetSpent:            http.StatusPaymentRequired,
	BudgetReserved:         http.StatusTooManyRequests,
	SessionBusy:            http.StatusConflict,
	RequestRejected:        http.StatusConflict,
	Overloaded:             http.StatusServiceUnavailable,
	RateLimited:            http.StatusTooManyRequests,
	NoBackEnd:              http.StatusServiceUnavailable,
	BackEndFailed:          http.StatusBadGateway,
	OutcomeUnknown:         http.StatusBadGateway,
	CallInFlight:           http.StatusConflict,
	NotOwner:               http.StatusMisdirectedRequest,
	NoAuthority:            http.StatusServiceUnavailable,
	Fenced:                 http.StatusConflict,
	SlowReader:             http.StatusRequestTimeout,
	AnswerMismatch:         http.StatusBadGateway,
	LedgerUnavailable:      http.StatusServiceUnavailable,
	StaleView:              http.StatusServiceUnavailable,
	StepMismatch:           http.StatusConflict,
	StepVersionUnavailable: http.StatusServiceUnavailable,
	StepVersionChanged:     http.StatusBadGateway,
	NotLeader:              http.StatusMisdirectedRequest,
	NoLeader:               http.StatusServiceUnavailable,
	VersionTaken:           http.StatusConflict,
	WrongBase:              http.StatusConflict,
	InvalidBundle:          http.StatusUnprocessableEntity,
	InvalidOrder:           http.StatusUnprocessableEntity,
	BadSignature:           http.StatusForbidden,
	NotSigned:              http.StatusConflict,
	LeaseRejected:          http.StatusConflict,
	WrongCluster:           http.StatusConflict,
	ChangeInProgress:       http.StatusConflict,
	StoreNotEmptied:        http.StatusConflict,
	TooFewStores:           http.StatusConflict,
}

// Status returns the HTTP status of the code, or 500 for an unknown code.
func (c Code) Status() int {
	if status, known := statusByCode[c]; known {
		return status
	}
	return http.StatusInternalServerError
}
