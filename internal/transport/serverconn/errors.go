package serverconn

// NotSentError is the error of a request of which no byte reached the server.
type NotSentError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *NotSentError) Error() string { return "not sent to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// BrokenError is the error of an exchange that broke after bytes of the request may have
// reached the server, so the request may have run.
type BrokenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return "the exchange with " + e.Address + " broke: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// TooLargeError is the error of an answer whose body exceeds the limit, in bytes.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (e *TooLargeError) Error() string { return "the answer is too large" }

// HeadTooLargeError is the error of an answer whose status line and headers exceed the limit, in bytes.
type HeadTooLargeError struct{ Limit int64 }

// Error implements error.
func (e *HeadTooLargeError) Error() string { return "the head of the answer is too large" }

// ClosedError is the error of requests after the pool was closed.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "the pool is closed" }
