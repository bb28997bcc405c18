package turn

import (
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

func (m *Machine) handleStop(event Stopped, now time.Time) []Command {
	f := stopFailure(event.Reason)
	switch m.state {
	case stateNew, stateResolving, stateClaiming, stateReading, stateAdmitting:
		return m.endUnreserved(f, event.Reason)
	case stateReserving:
		if event.WithoutEffect {
			return m.endUnreserved(f, event.Reason)
		}
		return m.releaseWith(f, 0, now)
	case stateChoosing, stateRequestingRetry:
		m.failure = f
		return m.giveUp(now)
	case stateIssued:
		return m.handleStopIssued(f, event, now)
	case stateCommitting:
		if event.Reason == StopAuthority {
			return m.endNotRetained(failure.NoAuthority, "the turn ran but the front node lost its authority before it was kept")
		}
	case stateReleasing:
		if event.Reason == StopAuthority {
			m.step.recording = false
			return prepend(m.end(m.unprovenFailure()), ForgetSession{})
		}
	case stateRejecting, stateReadingRetained, stateDone:
		// The ledger's answer is awaited and ends the turn.
	}
	return nil
}

// endUnreserved ends a stopped turn that has no reservation in the ledger.
func (m *Machine) endUnreserved(f *protocol.Failure, reason StopReason) []Command {
	if reason == StopAuthority {
		return m.endLocally(f)
	}
	return m.reject(f)
}

// handleStopIssued stops a turn that is being issued to a back end. If this attempt provably did not run, the outcome
// depends on the earlier attempts.
func (m *Machine) handleStopIssued(f *protocol.Failure, event Stopped, now time.Time) []Command {
	if event.WithoutEffect && m.sequence == 0 {
		m.failure = f
		return m.giveUp(now)
	}
	m.mayHaveRunBefore = true
	return prepend(m.charge(f, now), StopBackEnd{})
}
