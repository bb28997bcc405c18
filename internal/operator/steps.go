package operator

import (
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

const trainingStepsPath = "/v1/training-steps/"

func (c *commandLine) stepsCommand() *cobra.Command {
	return groupCommand("steps", "training steps and the versions of the weights they ran on", c.traceStepCommand())
}

func (c *commandLine) traceStepCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "trace STEP",
		Short: "show on which version of the weights a training step ran",
		Long: "trace asks a front node, which reads the step's pin and all its programs from the ledger. " +
			"It exits with 8 unless every completed generation ran on the pinned version. " +
			"Without --front the front nodes are taken from the core.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			step := arguments[0]
			if step == "" || len(step) > ledger.MaxTrainingStepBytes {
				return &UsageError{Reason: fmt.Sprintf("STEP must have 1 to %d bytes", ledger.MaxTrainingStepBytes)}
			}
			response, err := c.queryFronts(command.Context(), frontQuery{
				path:    trainingStepsPath + url.PathEscape(step),
				subject: "training step " + step,
			})
			if err != nil {
				return err
			}
			return c.showTrace(step, response)
		},
	}
	c.addFrontFlag(command)
	return command
}

// showTrace prints a trace. It returns a *NotTracedError if the step does not trace to a single version.
func (c *commandLine) showTrace(step string, response []byte) error {
	trace := &protocol.TrainingStepTrace{}
	if err := decodeProto(response, trace); err != nil {
		return err
	}
	traceErr := verifyTrace(step, trace)
	err := c.print(response, func(writer io.Writer) error { return renderTrace(writer, step, trace, traceErr) })
	if err != nil {
		return err
	}
	return traceErr
}

// verifyTrace returns a *NotTracedError unless every completed generation of the step ran on its pinned version.
func verifyTrace(step string, trace *protocol.TrainingStepTrace) error {
	pinnedVersion := trace.GetPin().GetWeightVersion()
	if pinnedVersion == 0 {
		return &NotTracedError{Step: step, Reason: "no version is pinned"}
	}
	for _, program := range trace.GetPrograms() {
		if reason := untracedReason(program, pinnedVersion); reason != "" {
			return &NotTracedError{Step: step, Reason: reason}
		}
	}
	return nil
}

// untracedReason returns why a program does not trace to the pinned version, or an empty string if it does.
func untracedReason(program *protocol.TrainingStepProgram, pinnedVersion uint64) string {
	membership := program.GetMembership()
	if membership.GetWeightVersion() != pinnedVersion {
		return fmt.Sprintf("program %s generates on version %d, pinned is %d",
			program.GetProgram(), membership.GetWeightVersion(), pinnedVersion)
	}
	for _, count := range membership.GetGenerations() {
		if count.GetCompleted() > 0 && count.GetWeightVersion() != pinnedVersion {
			return fmt.Sprintf("program %s completed %d generations on version %s, pinned is %d",
				program.GetProgram(), count.GetCompleted(), versionName(count.GetWeightVersion()), pinnedVersion)
		}
	}
	return ""
}

func renderTrace(writer io.Writer, step string, trace *protocol.TrainingStepTrace, traceErr error) error {
	pin := trace.GetPin()
	facts := newGrid("fact", "value")
	facts.add("step", step)
	facts.add("model", pin.GetModel())
	facts.add("pinned version", pin.GetWeightVersion())
	facts.add("pinned by", pin.GetPinnedBy())
	facts.add("pinned at", time.UnixMilli(pin.GetPinnedAtMillis()).UTC().Format(time.RFC3339))
	if err := facts.print(writer); err != nil {
		return err
	}
	var completed uint64
	programs := newGrid("program", "tenant", "completed", "discarded")
	for _, program := range trace.GetPrograms() {
		counts := program.GetMembership().GetGenerations()
		programs.add(program.GetProgram(), program.GetTenant(),
			countsByVersion(
				counts, (*protocol.GenerationCount).GetCompleted,
			), countsByVersion(counts, (*protocol.GenerationCount).GetDiscarded))
		for _, count := range counts {
			completed += count.GetCompleted()
		}
	}
	if err := programs.print(writer); err != nil {
		return err
	}
	if traceErr != nil {
		_, err := fmt.Fprintln(writer, traceErr)
		return err
	}
	_, err := fmt.Fprintf(writer, "training step %s traces to a single version: "+
		"all %d completed generations of %d programs ran on version %d\n",
		step, completed, len(trace.GetPrograms()), pin.GetWeightVersion())
	return err
}

// countsByVersion lists the counts that are not zero, such as "12 on 4, 1 on 5".
func countsByVersion(counts []*protocol.GenerationCount, value func(*protocol.GenerationCount) uint64) string {
	var parts []string
	for _, count := range counts {
		if value(count) > 0 {
			parts = append(parts, fmt.Sprintf("%d on %s", value(count), versionName(count.GetWeightVersion())))
		}
	}
	if len(parts) == 0 {
		return "0"
	}
	return strings.Join(parts, ", ")
}

// versionName returns the printed name of a version of the weights.
func versionName(version uint64) string {
	if version == ledger.UnknownWeightVersion {
		return "unknown"
	}
	return strconv.FormatUint(version, 10)
}
