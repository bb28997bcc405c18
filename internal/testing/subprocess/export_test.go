package subprocess

import "time"

// StopBefore is Stop with a grace that is over when expired gives something.
func (p *Process) StopBefore(expired <-chan time.Time) (gentle bool, err error) {
	return p.stopBefore(expired)
}
