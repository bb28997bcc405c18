package turnindex

import (
	"sync"
	"time"
)

// SegmentExpiry records until when each segment of the log of turns is retained. The zero value
// contains no segments. Any goroutine may use it.
type SegmentExpiry struct {
	// mutex guards all fields.
	mutex sync.Mutex
	// retainUntil is the latest end of retention, in Unix seconds, by segment.
	retainUntil map[uint64]uint32
}

// Record extends the retention of an entry's segment to that of the new or changed entry.
func (s *SegmentExpiry) Record(entry Entry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.retainUntil == nil {
		s.retainUntil = map[uint64]uint32{}
	}
	segment := uint64(entry.Segment)
	s.retainUntil[segment] = max(s.retainUntil[segment], entry.RetainUntil)
}

// FirstRetained returns the oldest segment from first on, below newest, that contains a turn which
// is still retained; newest when there is none. It deletes the records of older segments. Every
// turn of the segments below newest must have been recorded: one without turns counts as expired.
func (s *SegmentExpiry) FirstRetained(first, newest uint64, now time.Time) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for ; first < newest; first++ {
		if until := s.retainUntil[first]; until != 0 && !IsExpired(until, now) {
			break
		}
		delete(s.retainUntil, first)
	}
	return first
}
