package limit

const (
	// DefaultRetryPercent is the share of the traffic, in percent, that retries may add.
	DefaultRetryPercent = 10
	// retryReserve is the initial balance, so that a front node with little traffic can retry; maxRetryBalance bounds it.
	retryReserve    = 10
	maxRetryBalance = 100
)

// RetryBudget bounds retries to a share of the traffic.
type RetryBudget struct {
	percent float64
	balance float64
}

// NewRetryBudget returns a budget; a percentage of 0 means DefaultRetryPercent.
func NewRetryBudget(percent uint32) *RetryBudget {
	budget := &RetryBudget{balance: retryReserve}
	budget.SetPercent(percent)
	return budget
}

// SetPercent changes the share; 0 means DefaultRetryPercent.
func (r *RetryBudget) SetPercent(percent uint32) {
	if percent == 0 {
		percent = DefaultRetryPercent
	}
	r.percent = float64(percent)
}

// RecordRequest counts one request, which adds its share of a retry to the budget.
func (r *RetryBudget) RecordRequest() {
	r.balance = min(maxRetryBalance, r.balance+r.percent/100)
}

// TakeRetry takes one retry from the budget and reports whether there was one.
func (r *RetryBudget) TakeRetry() bool {
	if r.balance < 1 {
		return false
	}
	r.balance--
	return true
}
