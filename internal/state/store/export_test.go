package store

// Running gives the store that serves at this moment, nil when there is none.
func (s *Supervisor) Running() *Store { return s.current.Load() }
