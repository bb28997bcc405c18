package simcommand

import (
	"fmt"
	"io"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim/statesuite"
)

// UnhealthyError is returned when the idle fleet did not stay healthy, so that its speed means nothing.
type UnhealthyError struct{}

// Error implements error.
func (e *UnhealthyError) Error() string { return "the fleet at rest has no leader or lacks replicas" }

// measureRest prints how much faster than real time a fleet at rest is simulated.
func measureRest(output io.Writer, seed int64, span time.Duration) error {
	rest := statesuite.NewIdleFleet(seed)
	begun := time.Now()
	events := rest.Advance(span)
	took := time.Since(begun)
	if !rest.Healthy() {
		return &UnhealthyError{}
	}
	_, err := fmt.Fprintf(output,
		"fleet of Caroni at rest: %s simulated in %s, %.0f times real time, %.0f events a simulated second\n",
		span, took.Round(time.Millisecond), span.Seconds()/took.Seconds(), float64(events)/span.Seconds())
	return err
}
