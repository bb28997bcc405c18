package front

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/dataplane/front/admission"
	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/dataplane/front/explain"
	"github.com/rosestand/rosestand/internal/dataplane/front/rollout"
	"github.com/rosestand/rosestand/internal/dataplane/front/sessions"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// beginTurn starts a turn as its owner, or finds the one of the same request
// that is in progress already.
func (s *Service) beginTurn(request *protocol.TurnRequest) (*sessions.TurnLog, error) {
	if request.GetHttp() != nil {
		return s.beginHTTPTurn(request)
	}
	key := sessions.Key{Session: request.GetSession(), Program: request.GetProgram()}
	variant := s.rollout.Policies().VariantFor(request.GetProgram())
	route := variant.Model(request.GetTenant(), request.GetModel())
	if route == nil {
		return nil, unknownModel()
	}
	grant, err := s.ownership.Begin(key.Session)
	if err != nil {
		return nil, err
	}
	deadline := s.clock.Now().Add(timeLeft(request.GetTimeLeftMillis()))
	ctx, cancel := context.WithCancelCause(context.Background())
	live := sessions.NewTurnLog(request, turn.ID(request.GetProgram(), request.GetRequestId()), cancel)
	current, begun := s.sessions.Begin(key, live)
	if !begun {
		cancel(nil)
		grant.End()
		return s.joinTurn(current, request)
	}
	run := s.newTurnRun(ctx, request, live, grant, variant, route, deadline)
	s.startRun(run, cancel)
	return live, nil
}

// joinTurn is the answer when the session has a turn in progress.
func (s *Service) joinTurn(current *sessions.TurnLog, request *protocol.TurnRequest) (*sessions.TurnLog, error) {
	if current == nil {
		return nil, &failure.Error{Failure: admission.StoppingFailure()}
	}
	if current.RequestID == request.GetRequestId() && current.Tenant == request.GetTenant() {
		return current, nil
	}
	return nil, failure.New(failure.SessionBusy, protocol.Outcome_NOT_RUN, "another turn of the conversation is under way",
		failure.WithPath("conversation"), failure.WithRetryAfter(busyRetry))
}

const busyRetry = 500 * time.Millisecond

func unknownModel() error {
	return failure.New(failure.UnknownModel, protocol.Outcome_NOT_RUN, "no route serves the model",
		failure.WithPath("model"))
}

func timeLeft(millis uint32) time.Duration {
	if millis == 0 {
		return defaultDeadline
	}
	return min(time.Duration(millis)*time.Millisecond, maxDeadline)
}

func (s *Service) newTurnRun(ctx context.Context, request *protocol.TurnRequest, live *sessions.TurnLog, grant Grant,
	decided rollout.Variant, route *protocol.Route, deadline time.Time,
) *turnRun {
	return &turnRun{
		ownedRun: s.newOwnedRun(ctx, request, grant, decided, route, deadline), request: request, live: live,
		counters: s.rollout.Counters(decided.Candidate), began: s.clock.Now(),
		incarnation: grant.Incarnation(), memory: s.memory.Open(),
		machine: turn.New(turn.Parameters{
			Request: request, TurnID: live.TurnID, Owner: s.name, Incarnation: grant.Incarnation(),
			Budget:           decided.Budget(request.GetProgramBudget(), request.GetTenant()),
			ReservationLimit: decided.ReservationLimit(request.GetMaxOutputTokens()),
			Retention:        time.Duration(decided.RetentionSeconds()) * time.Second, BundleVersion: decided.Version(),
		}),
	}
}

// startRun drives a turn on a goroutine of its own. It ends the turn at its deadline.
func (s *Service) startRun(run *turnRun, cancel context.CancelCauseFunc) {
	s.drive(drivenRun{run: run.run, end: run.grant.End, left: run.deadline.Sub(s.clock.Now()), cancel: cancel})
}

// drivenRun is a turn or a tool call that its owner drives.
type drivenRun struct {
	run func()
	// end releases the session's grant.
	end func()
	// left is the time until its deadline.
	left time.Duration
	// callerDisconnected is closed when its caller has left; nil goes on without the caller.
	callerDisconnected <-chan struct{}
	cancel             context.CancelCauseFunc
}

// drive runs it on a goroutine of its own and cancels it when it may not go on.
func (s *Service) drive(driven drivenRun) {
	expired := s.clock.After(driven.left)
	finished := make(chan struct{})
	s.runs.Go(func() {
		select {
		case <-expired:
			driven.cancel(sessions.ErrDeadline)
		case <-driven.callerDisconnected:
			driven.cancel(sessions.ErrCallerDisconnected)
		case <-s.stopped:
			driven.cancel(sessions.ErrAuthority)
		case <-finished:
		}
	})
	s.beginRun()
	s.runs.Go(func() {
		defer s.endRun()
		driven.run()
		close(finished)
		driven.cancel(nil)
		driven.end()
	})
}

// claim returns a session's epoch, from the ledger only when it is not cached here.
func (s *Service) claim(
	ctx context.Context, key sessions.Key, operation *protocol.ClaimSession,
) *protocol.LedgerResult {
	current := s.sessions.FindClaim(key, operation.GetTenant(), operation.GetOwnerIncarnation())
	if current.Known {
		return &protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_OK, Epoch: current.Epoch}
	}
	result := s.ledgerOperations.Do(ctx, &protocol.LedgerOperation{
		Program: key.Program, Body: &protocol.LedgerOperation_ClaimSession{ClaimSession: operation},
	})
	if result.GetStatus() == protocol.LedgerStatus_LEDGER_OK {
		s.sessions.RecordClaim(key, operation.GetTenant(), operation.GetOwnerIncarnation(), result.GetEpoch())
	}
	return result
}

// newServerQuery gathers what a decision needs.
func (s *Service) newServerQuery(
	index *bundle.Index, wanted backends.GroupKey, key sessions.Key, avoid []string,
) backends.ServerQuery {
	return backends.ServerQuery{
		Key: wanted, Index: index, Affinity: key.Program, Last: s.sessions.LastBackEnd(key), Avoid: avoid,
		Zone: s.zone, Region: s.region, Front: s.name, FrontNodes: s.frontNodes(), Sequence: s.sequence.Add(1),
	}
}

// choose runs the policy and returns the server chosen, or nil.
func (s *Service) choose(wanted backends.ServerQuery) (*backends.Server, schedule.Decision) {
	servers := s.backEnds.Load()
	decision := servers.Choose(wanted, s.models, s.clock.Now())
	return servers.ByID[decision.Chosen], decision
}

// chooseShadow records what the shadow bundle would have chosen; nothing is run by it.
func (s *Service) chooseShadow(
	shadow *bundle.Index, wanted backends.ServerQuery, tenant string, route *protocol.Route,
	explanation *explain.Explanation,
) {
	other := shadow.Model(tenant, route.GetModel())
	if wanted.Key.Tool {
		other = shadow.Tool(tenant, route.GetTool())
	}
	wanted.Index, wanted.Key.Group = shadow, other.GetGroup()
	_, decision := s.choose(wanted)
	explanation.Update(func(record *protocol.Explanation) {
		record.ShadowChosen = decision.Chosen
		if decision.Chosen != record.GetChosen() {
			s.metrics.shadowDiffers.Inc()
		}
	})
}

// forgetSession drops what is cached of a session; fenced is set when another owner has its epoch.
func (s *Service) forgetSession(key sessions.Key, fenced bool) {
	s.sessions.Forget(key)
	if fenced {
		s.ownership.Fenced(key.Session)
		return
	}
	s.ownership.Forget(key.Session)
}

func (s *Service) beginRun() {
	s.inProgress.Add(1)
	s.metrics.inProgress.Inc()
}

func (s *Service) endRun() {
	s.inProgress.Add(-1)
	s.metrics.inProgress.Dec()
}
