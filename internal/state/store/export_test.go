package store

// Running returns the store that serves now, or nil when there is none.
func (s *Supervisor) Running() *Store { return s.current.Load() }

// ScrubOnce compares all shards with the other replicas once.
func (s *Store) ScrubOnce() { s.replication.Scrub() }
