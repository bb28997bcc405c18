package wire

import "time"

// watch looks at all connections, often while one of them is active and seldom at rest.
func (p *Pool) watch() {
	defer p.routines.Done()
	interval, last := restInterval, time.Now()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-p.becameActive:
			if interval > activeInterval {
				interval, last = activeInterval, time.Now()
				timer.Reset(interval)
			}
		case <-timer.C:
			now := time.Now()
			stalled := now.Sub(last) > stallFactor*interval
			p.watchful.Store(false)
			interval, last = p.look(now, stalled), now
			timer.Reset(interval)
		}
	}
}

// look checks all connections and returns the time until the next look.
func (p *Pool) look(now time.Time, stalled bool) time.Duration {
	interval := restInterval
	for _, connection := range p.connections() {
		if connection.check(now, p.options.IdleTimeout, stalled) {
			interval = activeInterval
		}
	}
	if interval == activeInterval {
		p.watchful.Store(true)
	}
	return interval
}

// noteActive has the connections looked at often from now on.
func (p *Pool) noteActive() {
	if p.watchful.Swap(true) {
		return
	}
	select {
	case p.becameActive <- struct{}{}:
	default:
	}
}
