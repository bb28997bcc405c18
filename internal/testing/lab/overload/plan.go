// Package overload offers a fleet a multiple of the load that its model servers can
// serve and measures goodput, the time to a rejection, the shares of classes and
// tenants and the recovery afterwards.
package overload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/lab/caller"
)

// Plan describes the load of one run.
type Plan struct {
	Seed uint64
	// Factor is the offered load during the burst as a multiple of the capacity measured.
	Factor float64
	// Burst and After are the lengths of the burst and of the light load that follows it.
	Burst time.Duration
	After time.Duration
	// AfterShare is the light load as a share of the capacity.
	AfterShare float64
	// Tenants share the load by their demand.
	Tenants []Tenant
	// MaxRequests bounds the requests of the whole run.
	MaxRequests int
}

// Tenant is a tenant of the burst.
type Tenant struct {
	Name string
	// Demand is its part of the offered load, relative to the others.
	Demand float64
}

// classShare is the part of the offered load that a class has.
type classShare struct {
	priority string
	share    float64
}

// classShares: urgent requests alone need half of the capacity at a factor of ten.
func classShares() []classShare {
	return []classShare{{caller.PriorityUrgent, 0.05}, {caller.PriorityInteractive, 0.45}, {caller.PriorityProbe, 0.5}}
}

// Tenants of the burst. All have the same weight; one sends much more than the others.
func Tenants() []Tenant {
	return []Tenant{{Name: "burst-greedy", Demand: 7}, {Name: "burst-north", Demand: 2}, {Name: "burst-south", Demand: 1}}
}

// AddTenants gives a bundle the tenants of the burst, with the routes of the model's other tenant.
func AddTenants(made *protocol.Bundle, model, group string) {
	for _, tenant := range Tenants() {
		made.Tenants = append(made.Tenants, &protocol.TenantPolicy{
			Name: tenant.Name, Weight: 1,
			DefaultProgramBudget: 10_000,
		})
		made.Routes = append(made.Routes, &protocol.Route{
			Name: tenant.Name, Tenant: tenant.Name, Model: model, Group: group,
		})
	}
}

// request is one arrival of the plan.
type request struct {
	at       time.Duration
	id       string
	tenant   string
	priority string
	after    bool
}

// TooManyError says that a plan would offer more requests than its bound.
type TooManyError struct{ Planned, Max int }

// Error implements error.
func (e *TooManyError) Error() string {
	return fmt.Sprintf("the burst would offer %d requests, more than %d", e.Planned, e.Max)
}

// arrivals draws all requests of the run; equal arguments give equal ones.
func (p Plan) arrivals(run string, capacity float64) ([]request, error) {
	expected := int(capacity * (p.Factor*p.Burst.Seconds() + p.AfterShare*p.After.Seconds()))
	if expected > p.MaxRequests {
		return nil, &TooManyError{Planned: expected, Max: p.MaxRequests}
	}
	const stream = 7
	random := rand.New(rand.NewPCG(p.Seed, stream))
	var requests []request
	for at := time.Duration(0); ; {
		rate := capacity * p.Factor
		if at >= p.Burst {
			rate = capacity * p.AfterShare
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= p.Burst+p.After || len(requests) >= 2*p.MaxRequests {
			return requests, nil
		}
		requests = append(requests, request{
			at: at, id: fmt.Sprintf("%s-%d", run, len(requests)), after: at >= p.Burst,
			tenant: p.drawTenant(random), priority: drawClass(random),
		})
	}
}

func (p Plan) drawTenant(random *rand.Rand) string {
	total := 0.0
	for _, tenant := range p.Tenants {
		total += tenant.Demand
	}
	at := random.Float64() * total
	for _, tenant := range p.Tenants {
		if at -= tenant.Demand; at < 0 {
			return tenant.Name
		}
	}
	return p.Tenants[len(p.Tenants)-1].Name
}

func drawClass(random *rand.Rand) string {
	at := random.Float64()
	for _, class := range classShares() {
		if at -= class.share; at < 0 {
			return class.priority
		}
	}
	return caller.PriorityProbe
}
