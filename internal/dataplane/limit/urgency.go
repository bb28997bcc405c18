package limit

import "time"

const (
	// unknownSlack is the assumed slack of a ticket whose program has no deadline.
	unknownSlack = time.Second
	// lateSlack is the slack of a ticket whose program is already late. It is the maximum slack, so that such tickets run
	// after those that can still be in time.
	lateSlack = 2 * time.Second
	// rejectionCredit is subtracted from a ticket's urgency for each earlier rejection.
	rejectionCredit = 250 * time.Millisecond
)

// latestStart returns when the ticket has to run for its program to be in time; zero if the program has no deadline.
func (t Ticket) latestStart() time.Time {
	if t.ProgramDeadline.IsZero() {
		return time.Time{}
	}
	return t.ProgramDeadline.Add(-t.ExpectedWork)
}

// urgency returns the time by which a ticket that enters now should run. It is constant while the ticket waits, so that
// the ticket is overtaken only by those that arrive within its slack.
func (t Ticket) urgency(now time.Time) time.Time {
	return t.shouldRunBy(now).Add(-time.Duration(t.Rejections) * rejectionCredit)
}

// shouldRunBy returns when the ticket should run for its program to be in time, at most lateSlack from now.
func (t Ticket) shouldRunBy(now time.Time) time.Time {
	latest := t.latestStart()
	switch {
	case latest.IsZero():
		return now.Add(unknownSlack)
	case !latest.Before(now) && latest.Before(now.Add(lateSlack)):
		return latest
	default:
		return now.Add(lateSlack)
	}
}
