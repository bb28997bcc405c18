package ledgerclient

import (
	"slices"
	"sync"
	"time"
)

// suspectTTL is how long a replica that did not answer is attempted after the others. It is short, so that a replica
// that recovers soon proposes for its programs again.
const suspectTTL = 2 * time.Second

// suspects are replicas that did not answer recently. They are attempted last, so that an unresponsive replica delays
// one operation and not all of them. It is safe for concurrent use.
type suspects struct {
	mutex sync.Mutex
	// until maps an address to the end of its suspicion.
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

// sortLast returns the addresses with the suspected ones last, and otherwise in the same order.
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
