package replica

// leaderSignal tells goroutines that wait for a leader once one is known. It belongs to the owner goroutine.
type leaderSignal struct {
	channel chan struct{}
	known   bool
}

// observe notes whether a leader is known and gives the channel that is closed while one is.
func (s *leaderSignal) observe(known bool) <-chan struct{} {
	switch {
	case s.channel == nil || s.known && !known:
		s.channel = make(chan struct{})
		if known {
			close(s.channel)
		}
	case known && !s.known:
		close(s.channel)
	}
	s.known = known
	return s.channel
}
