package front

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// stepTraceTimeout bounds a trace, which reads every program of the step.
const stepTraceTimeout = 15 * time.Second

// getTrainingStep shows operators what the ledger knows of a training step.
func (a *api) getTrainingStep(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), stepTraceTimeout)
	defer cancel()
	trace, err := a.service.traceTrainingStep(ctx, strings.TrimPrefix(c.Param("step"), "/"))
	if err != nil {
		writeError(c, err)
		return
	}
	text, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(trace)
	if err != nil {
		writeError(c, err)
		return
	}
	c.Data(http.StatusOK, "application/json", text)
}

func (s *Service) traceTrainingStep(ctx context.Context, step string) (*protocol.TrainingStepTrace, error) {
	result, err := s.ledger.Do(ctx, &protocol.LedgerOperation{
		Program: ledger.TrainingStepProgram(step),
		Body:    &protocol.LedgerOperation_TraceTrainingStep{TraceTrainingStep: &protocol.TraceTrainingStep{Step: step}},
	})
	switch {
	case err != nil:
		return nil, err
	case result.GetStatus() == protocol.LedgerStatus_LEDGER_OK:
		return result.GetTrainingStepTrace(), nil
	case result.GetStatus() == protocol.LedgerStatus_LEDGER_STEP_UNKNOWN:
		return nil, failure.New(failure.NotFound, protocol.Outcome_NOT_RUN, "the training step is not known",
			failure.WithPath("step"))
	default:
		return nil, ledgerUnavailable()
	}
}
