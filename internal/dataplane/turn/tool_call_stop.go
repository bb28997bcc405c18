package turn

import (
	"time"
)

func (m *CallMachine) handleStop(event Stopped, now time.Time) []Command {
	f := stopFailure(event.Reason)
	switch m.state {
	case callNew, callClaiming, callAdmitting:
		if event.Reason == StopAuthority {
			return prepend(m.fail(f), ForgetSession{})
		}
		return m.reject(f)
	case callRecordingIntent, callChoosing, callRequestingRetry:
		m.failure = f
		return m.giveUp(now)
	case callIssued:
		m.failure = f
		if event.WithoutEffect {
			return m.giveUp(now)
		}
		m.mayHaveRunBefore = true
		return prepend(m.giveUp(now), StopBackEnd{})
	case callRecordingOutcome:
		if event.Reason == StopAuthority {
			return m.answer(m.unrecordedResponse())
		}
	case callRejecting, callDone:
	}
	return nil
}
