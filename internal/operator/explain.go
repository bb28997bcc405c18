package operator

import (
	"fmt"
	"io"
	"net/url"

	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/protocol"
)

const explainPath = "/v1/explain/"

func (c *commandLine) explainCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "explain REQUEST_ID",
		Short: "show why a request went where it went",
		Long: "explain asks a front node, which gathers what all front nodes remember of the request. " +
			"Without --front the front nodes are taken from the core.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			response, err := c.queryFronts(command.Context(), frontQuery{
				path:    explainPath + url.PathEscape(arguments[0]),
				subject: "request " + arguments[0],
			})
			if err != nil {
				return err
			}
			return c.print(response, func(writer io.Writer) error { return renderExplanations(writer, response) })
		},
	}
	c.addFrontFlag(command)
	return command
}

func renderExplanations(writer io.Writer, response []byte) error {
	explained := &protocol.ExplainResponse{}
	if err := decodeProto(response, explained); err != nil {
		return err
	}
	for _, explanation := range explained.GetExplanations() {
		if err := renderExplanation(writer, explanation); err != nil {
			return err
		}
	}
	return nil
}

func renderExplanation(writer io.Writer, explanation *protocol.Explanation) error {
	variant := "active"
	if explanation.GetCandidateArm() {
		variant = "candidate"
	}
	_, err := fmt.Fprintf(
		writer, "request %s as seen by front node %s\n", explanation.GetRequestId(), explanation.GetNode(),
	)
	if err != nil {
		return err
	}
	facts := newGrid("fact", "value")
	facts.add("program", explanation.GetProgram())
	facts.add("session", explanation.GetSession())
	facts.add("partition holder", explanation.GetPartitionHolder())
	facts.add("owner", fmt.Sprintf("%s (epoch %d)", explanation.GetOwner(), explanation.GetEpoch()))
	facts.add("bundle", fmt.Sprintf("%d (%s)", explanation.GetBundleVersion(), variant))
	facts.add("route, group", explanation.GetRoute()+", "+explanation.GetGroup())
	facts.add("algorithm", explanation.GetAlgorithm())
	facts.add("chosen", explanation.GetChosen())
	if explanation.GetShadowChosen() != "" {
		facts.add("chosen by the shadow", explanation.GetShadowChosen())
	}
	if err := facts.print(writer); err != nil {
		return err
	}
	if err := renderCandidates(writer, explanation); err != nil {
		return err
	}
	return renderSteps(writer, explanation)
}

func renderCandidates(writer io.Writer, explanation *protocol.Explanation) error {
	if len(explanation.GetCandidates()) == 0 {
		return nil
	}
	rows := newGrid("candidate", "score", "passed over because")
	for _, candidate := range explanation.GetCandidates() {
		rows.add(candidate.GetBackEnd(), fmt.Sprintf("%.4g", candidate.GetScore()), candidate.GetReason())
	}
	return rows.print(writer)
}

func renderSteps(writer io.Writer, explanation *protocol.Explanation) error {
	rows := newGrid("after ms", "step", "detail")
	for _, step := range explanation.GetSteps() {
		rows.add(fmt.Sprintf("%.3f", float64(step.GetAtMicros())/1000), step.GetWhat(), step.GetDetail())
	}
	return rows.print(writer)
}
