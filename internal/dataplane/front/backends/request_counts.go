package backends

import "sync"

// requestCounts counts what this front node has in flight to one server: all requests, and the generations of training
// steps among them. Both are read under one lock, because callers subtract one from the other and need a consistent
// pair.
type requestCounts struct {
	mutex    sync.Mutex
	inFlight int32
	steps    int32
}

// addRequests changes the number of requests that are not generations of steps.
func (c *requestCounts) addRequests(change int32) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inFlight += change
}

// addSteps changes the number of generations of steps, which also count as requests in flight.
func (c *requestCounts) addSteps(change int32) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inFlight += change
	c.steps += change
}

func (c *requestCounts) load() (inFlight, steps int32) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.inFlight, c.steps
}
