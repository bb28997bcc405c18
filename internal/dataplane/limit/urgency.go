package limit

import "time"

const (
	// unknownSlack is the time to spare of a ticket that tells no deadline of its program.
	unknownSlack = time.Second
	// lateSlack puts the tickets of programs that are late already behind those that can still be in time.
	lateSlack = 2 * time.Second
	// refusalCredit brings a ticket forward for each time that it was refused before.
	refusalCredit = 250 * time.Millisecond
)

// latestStart is when the ticket has to run for its program to be in time; zero is unknown.
func (t Ticket) latestStart() time.Time {
	if t.ProgramDeadline.IsZero() {
		return time.Time{}
	}
	return t.ProgramDeadline.Add(-t.ExpectedWork)
}

// urgency is the time by which a ticket that enters now should run. It stays as it is while the ticket waits, so that
// each ticket is overtaken only by those that come within its slack.
func (t Ticket) urgency(now time.Time) time.Time {
	urgency := now.Add(unknownSlack)
	if latest := t.latestStart(); latest.Before(now) && !latest.IsZero() {
		urgency = now.Add(lateSlack)
	} else if !latest.IsZero() && latest.Before(now.Add(lateSlack)) {
		urgency = latest
	} else if !latest.IsZero() {
		urgency = now.Add(lateSlack)
	}
	return urgency.Add(-time.Duration(t.Rejections) * refusalCredit)
}
