package ledgerclient

import (
	"slices"
	"sync"
	"time"
)

// suspectTime is how long a replica that did not answer is tried after the others.
const suspectTTL = 2 * time.Second

// suspects remembers replicas that did not answer, so that one that is frozen
// costs one operation its time and not all of them.
type suspects struct {
	mutex sync.Mutex
	until map[string]time.Time
}

func (s *suspects) add(address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	s.until[address] = time.Now().Add(suspectTTL)
}

func (s *suspects) clear(address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.until, address)
}

// last moves suspected addresses behind the others and keeps the order otherwise.
func (s *suspects) sortLast(addresses []string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.until) == 0 {
		return addresses
	}
	now := time.Now()
	isSuspect := func(address string) bool { return now.Before(s.until[address]) }
	ordered := slices.Clone(addresses)
	slices.SortStableFunc(ordered, func(a, b string) int {
		switch {
		case isSuspect(a) == isSuspect(b):
			return 0
		case isSuspect(a):
			return 1
		default:
			return -1
		}
	})
	return ordered
}
