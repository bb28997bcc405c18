package front

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/dataplane/front/explain"
	"github.com/rosestand/rosestand/internal/dataplane/front/rollout"
	"github.com/rosestand/rosestand/internal/dataplane/front/sessions"
	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/protocol"
)

// ownedRequest is a turn or a tool call, as far as its owner serves both alike.
type ownedRequest interface {
	GetRequestId() string
	GetSession() string
	GetProgram() string
	GetTenant() string
	GetIngress() string
	GetPriority() protocol.Priority
	GetHttp() *protocol.HttpRequest
}

// ownedRun is what the runs of turns and of tool calls have in common. The goroutine of the run uses it.
type ownedRun struct {
	service  *Service
	ctx      context.Context
	grant    Grant
	key      sessions.Key
	variant  rollout.Variant
	route    *protocol.Route
	deadline time.Time
	// explanation is the owner's; the ingress has one of its own.
	explanation *explain.Explanation
	// server is the one chosen last.
	server *backends.Server
}

// newOwnedRun begins the explanation of a request at its owner.
func (s *Service) newOwnedRun(
	ctx context.Context, request ownedRequest, grant Grant, decided rollout.Variant, route *protocol.Route,
	deadline time.Time,
) ownedRun {
	explanation := s.explanations.Begin(request.GetRequestId(), request.GetSession(), request.GetProgram())
	explanation.Update(func(record *protocol.Explanation) {
		record.Owner, record.BundleVersion, record.CandidateArm = s.name, decided.Version(), decided.Candidate
		record.Route, record.Group = route.GetName(), route.GetGroup()
		record.Algorithm = decided.Bundle().GetScheduling().GetAlgorithm().String()
	})
	explanation.RecordStep("taken by the owner", "from "+request.GetIngress())
	return ownedRun{
		service: s, ctx: ctx, grant: grant, variant: decided, route: route, deadline: deadline, explanation: explanation,
		key: sessions.Key{Session: request.GetSession(), Program: request.GetProgram()},
	}
}

func (r *ownedRun) now() time.Time { return r.service.clock.Now() }

// stopReason is why the turn or call must end now; zero when it need not.
func (r *ownedRun) stopReason() turn.StopReason {
	if !r.grant.Valid() {
		return turn.StopAuthority
	}
	if r.ctx.Err() == nil {
		return 0
	}
	var stopped *sessions.StopError
	if errors.As(context.Cause(r.ctx), &stopped) {
		return stopped.Reason
	}
	return turn.StopCallerDisconnected
}

// claim returns the session's epoch, from the ledger only once per owned session.
func (r *ownedRun) claim(operation *protocol.ClaimSession) *protocol.LedgerResult {
	result := r.service.claim(r.ctx, r.key, operation)
	r.explanation.Update(func(record *protocol.Explanation) { record.Epoch = result.GetEpoch() })
	r.explanation.RecordStep("epoch claimed", fmt.Sprintf("%s, epoch %d", result.GetStatus(), result.GetEpoch()))
	return result
}

// ledger carries out one operation on the run's program and records its status.
func (r *ownedRun) ledger(name string, operation *protocol.LedgerOperation) *protocol.LedgerResult {
	operation.Program = r.key.Program
	result := r.service.ledgerOperations.Do(r.ctx, operation)
	r.explanation.RecordStep("ledger "+name, result.GetStatus().String())
	return result
}

// ticket is the request's ticket for a slot of its group.
func (r *ownedRun) ticket(request ownedRequest) limit.Ticket {
	if routed := request.GetHttp(); routed != nil {
		return routedTicket(routed, request.GetTenant(), r.deadline, r.now())
	}
	return limit.Ticket{
		Class: request.GetPriority(), Tenant: request.GetTenant(),
		Weight: r.variant.Tenant(request.GetTenant()).GetWeight(), Deadline: r.deadline,
	}
}

// waitBackoff waits before the ledger is asked again. Lost authority ends the wait
// for good: the next epoch charges the reservation.
func (r *ownedRun) waitBackoff(wait time.Duration) turn.Event {
	select {
	case <-r.service.clock.After(wait):
	case <-r.service.stopped:
		return turn.Stopped{Reason: turn.StopAuthority}
	}
	if !r.grant.Valid() {
		return turn.Stopped{Reason: turn.StopAuthority}
	}
	return turn.BackoffElapsed{}
}
