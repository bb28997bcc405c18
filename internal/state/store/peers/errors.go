package peers

// AnswerError reports that a store sent an answer that does not match the request.
type AnswerError struct {
	Store string
}

// Error implements error.
func (e *AnswerError) Error() string { return "store " + e.Store + ": answer does not fit the request" }

// NotLiveError reports that a store has no lease, or that too many requests to it are in flight.
type NotLiveError struct {
	Store string
}

// Error implements error.
func (e *NotLiveError) Error() string { return "store " + e.Store + ": not reachable" }
