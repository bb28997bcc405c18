package limit

const (
	// DefaultRetryPercent is the share of traffic that retries may add.
	DefaultRetryPercent = 10
	// retryReserve lets a front node with little traffic retry at all.
	retryReserve = 10
	retryCeiling = 100
)

// RetryBudget lets retries be a bounded share of the traffic.
type RetryBudget struct {
	percent float64
	balance float64
}

// NewRetryBudget makes a budget; a percentage of zero means DefaultRetryPercent.
func NewRetryBudget(percent uint32) *RetryBudget {
	budget := &RetryBudget{balance: retryReserve}
	budget.SetPercent(percent)
	return budget
}

// SetPercent changes the share.
func (r *RetryBudget) SetPercent(percent uint32) {
	if percent == 0 {
		percent = DefaultRetryPercent
	}
	r.percent = float64(percent)
}

// Request counts one request of the traffic.
func (r *RetryBudget) Request() {
	r.balance = min(retryCeiling, r.balance+r.percent/100)
}

// Retry takes one retry out of the budget and reports whether it was there.
func (r *RetryBudget) Retry() bool {
	if r.balance < 1 {
		return false
	}
	r.balance--
	return true
}
