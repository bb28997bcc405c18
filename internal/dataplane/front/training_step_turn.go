package front

import (
	"fmt"
	"math"
	"net/http"

	"github.com/rosestand/rosestand/internal/dataplane/front/admission"
	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/dataplane/front/callerapi"
	"github.com/rosestand/rosestand/internal/dataplane/front/versionpin"
	"github.com/rosestand/rosestand/internal/dataplane/promptcache"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/dataplane/trainingstep"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	trainingModelPath = "training_model"
	// unboundedBudget is the budget of a program of a training step whose caller names none.
	unboundedBudget = math.MaxInt64
)

// readStep reads the training step of a turn. Calls belong to none, whatever their headers say.
func (a *routeAPI) readStep(accepted *acceptedRequest, header http.Header, route *protocol.HttpRoute) error {
	if a.dialect.TrainingStep == "" || route.GetKind() != protocol.HttpRouteKind_HTTP_STREAMING {
		return nil
	}
	step, err := readName(header, a.dialect.TrainingStep, versionpin.StepPath)
	if err != nil || step == "" {
		return err
	}
	model, err := readName(header, a.dialect.TrainingModel, trainingModelPath)
	if err != nil {
		return err
	}
	if accepted.program == "" {
		return failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "a turn of a training step must name its program",
			failure.WithPath("program"))
	}
	accepted.step, accepted.model = step, model
	return nil
}

// readName reads a name that a header may state once; it is empty without the header.
func readName(header http.Header, name, path string) (string, error) {
	values := header[name]
	if name == "" || len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", callerapi.InvalidField(path, "must be named once")
	}
	if err := trainingstep.CheckName(values[0]); err != nil {
		return "", callerapi.InvalidField(path, err.Error())
	}
	return values[0], nil
}

// routedBudget is the budget that a turn opens its program with.
func routedBudget(request *protocol.TurnRequest) uint64 {
	if request.GetTrainingStep() != "" && request.GetProgramBudget() == 0 {
		return unboundedBudget
	}
	return request.GetProgramBudget()
}

// resolveStep finds the version of the turn's step, and ends the turn at once when no server has it.
func (r *turnRun) resolveStep(step string) turn.Event {
	pin, rejection := r.service.versionPins.Resolve(r.ctx, versionpin.Key{Step: step, Model: r.request.GetModel()},
		r.route.GetGroup())
	if rejection != nil {
		r.explanation.RecordStep("training step refused", step+": "+rejection.GetMessage())
		return turn.StepNotResolved{Failure: rejection}
	}
	r.pin = pin
	r.explanation.RecordStep("training step",
		fmt.Sprintf("%s, pinned to version %d of model %s", step, pin.Version, pin.Model))
	if !r.service.backEnds.Load().HasVersion(r.route.GetGroup(), pin, r.now()) {
		return turn.StepNotResolved{Failure: r.versionUnavailable().Failure}
	}
	return turn.StepResolved{WeightVersion: pin.Version}
}

func (r *turnRun) versionUnavailable() turn.NotChosen {
	r.explanation.RecordStep("no back end", fmt.Sprintf("version %d", r.pin.Version))
	return turn.NotChosen{Failure: versionpin.Unavailable(
		fmt.Sprintf("no server of group %s has version %d of model %s", r.route.GetGroup(), r.pin.Version, r.pin.Model))}
}

func (r *turnRun) isTrainingStep() bool { return r.request.GetTrainingStep() != "" }

// stepGate names the servers that the turn may run at.
func (r *turnRun) stepGate() admission.StepKey {
	return admission.StepKey{Group: r.route.GetGroup(), Model: r.pin.Model, Version: r.pin.Version}
}

// stepPlacement is what the choice of a server needs to know of a generation of a step; nil for other turns.
func (r *turnRun) stepPlacement(prompt promptcache.Prompt) *backends.StepPlacement {
	if r.pin == nil {
		return nil
	}
	return &backends.StepPlacement{
		Pin: r.pin, FrontNodes: r.service.frontNodes(),
		Work: schedule.StepWork{
			PromptTokens: backends.PromptTokens(r.request.GetHttp(), prompt),
			OutputTokens: routedReservationLimit(r.request),
		},
	}
}

// countEnd counts the last event of a turn.
func (r *turnRun) countEnd(event *protocol.TurnEvent) {
	if !r.isTrainingStep() {
		r.counters.RecordEnd(r.tokens, event.GetFailed())
		return
	}
	f := event.GetFailed()
	switch {
	case f == nil:
		r.service.metrics.stepGenerations.WithLabelValues("completed").Inc()
	case f.GetOutcome() == protocol.Outcome_NOT_RUN:
		r.service.metrics.stepRejections.WithLabelValues(f.GetCode()).Inc()
	default:
		r.service.metrics.stepGenerations.WithLabelValues(f.GetCode()).Inc()
	}
}
