package serverconn

// NotSentError says that no byte of the request reached the server.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string { return "not sent to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// BrokenError says that the exchange broke after bytes of the request may have
// reached the server: it may have run.
type BrokenError struct {
	Address string
	Cause   error
}

func (e *BrokenError) Error() string {
	return "the exchange with " + e.Address + " broke: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// TooLargeError says that an answer is larger than this process takes.
type TooLargeError struct{ Limit int64 }

func (e *TooLargeError) Error() string { return "the answer is too large" }

// HeadTooLargeError says that the status line and headers of an answer are larger than this process takes.
type HeadTooLargeError struct{ Limit int64 }

func (e *HeadTooLargeError) Error() string { return "the head of the answer is too large" }

// ClosedError says that the pool is closed.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "the pool is closed" }
