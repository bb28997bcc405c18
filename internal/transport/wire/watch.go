package wire

import "time"

// watch checks all connections, every activeInterval while one of them is active and every idleInterval otherwise.
func (p *Pool) watch() {
	defer p.routines.Done()
	interval, last := idleInterval, time.Now()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-p.activeSignal:
			if interval > activeInterval {
				interval, last = activeInterval, time.Now()
				timer.Reset(interval)
			}
		case <-timer.C:
			now := time.Now()
			stalled := now.Sub(last) > stallFactor*interval
			p.frequentChecks.Store(false)
			interval, last = p.checkConnections(now, stalled), now
			timer.Reset(interval)
		}
	}
}

// checkConnections checks all connections and returns the time until the next check.
func (p *Pool) checkConnections(now time.Time, stalled bool) time.Duration {
	interval := idleInterval
	for _, connection := range p.connections() {
		if connection.checkActivity(now, p.options.IdleTimeout, stalled) {
			interval = activeInterval
		}
	}
	if interval == activeInterval {
		p.frequentChecks.Store(true)
	}
	return interval
}

// signalActive makes watch check the connections every activeInterval from now on.
func (p *Pool) signalActive() {
	if p.frequentChecks.Swap(true) {
		return
	}
	select {
	case p.activeSignal <- struct{}{}:
	default:
	}
}
