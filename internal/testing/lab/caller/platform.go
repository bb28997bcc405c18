package caller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// Front is the HTTP address of a front node and its zone (counted from 0).
type Front struct {
	Address string
	Zone    int
}

// platform hands out ready front nodes of a zone in turn, as the sites'
// platform does; it polls their readiness.
type platform struct {
	fronts []Front
	client *http.Client
	ready  []atomic.Bool
	next   atomic.Uint64
}

const (
	readinessInterval = 200 * time.Millisecond
	readinessTimeout  = 400 * time.Millisecond
)

func newPlatform(fronts []Front, client *http.Client) *platform {
	p := &platform{fronts: fronts, client: client, ready: make([]atomic.Bool, len(fronts))}
	for i := range p.ready {
		p.ready[i].Store(true)
	}
	return p
}

// poll keeps the readiness of one front node up to date until the context ends.
func (p *platform) poll(ctx context.Context, i int) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		p.ready[i].Store(p.isReady(ctx, p.fronts[i].Address))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *platform) isReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	answer, err := p.client.Do(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// pick gives a ready front node of the zone, else any ready one, else any.
func (p *platform) pick(zone int) string {
	start := int(p.next.Add(1) % uint64(len(p.fronts)))
	ofZone := func(i int) bool { return p.fronts[i].Zone == zone && p.ready[i].Load() }
	anyReady := func(i int) bool { return p.ready[i].Load() }
	for _, accept := range []func(int) bool{ofZone, anyReady} {
		for offset := range p.fronts {
			if i := (start + offset) % len(p.fronts); accept(i) {
				return p.fronts[i].Address
			}
		}
	}
	return p.fronts[start].Address
}
