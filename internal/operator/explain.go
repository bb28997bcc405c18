package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	explainPath = "/v1/explain/"
	// maxFrontsAsked bounds the front nodes asked in turn; each one asks the others by itself.
	maxFrontsAsked = 5
)

func (s *shell) explainCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "explain REQUEST_ID",
		Short: "show why a request went where it went",
		Long: "explain asks a front node, which gathers what all front nodes remember of the request. " +
			"Without --front the front nodes are taken from the core.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			fronts, err := s.frontAddresses(command.Context())
			if err != nil {
				return err
			}
			answer, err := s.askFronts(command.Context(), fronts, arguments[0])
			if err != nil {
				return err
			}
			return s.print(answer, func(writer io.Writer) error { return renderExplanations(writer, answer) })
		},
	}
	command.Flags().StringSliceVar(&s.fronts, "front", nil, "HTTP addresses (IP:port) of front nodes, tried in turn")
	return command
}

// frontAddresses takes those of the command line or the environment, or else asks the core.
func (s *shell) frontAddresses(ctx context.Context) ([]string, error) {
	if len(s.fronts) == 0 {
		s.fronts = splitList(s.environment.Lookup(frontVariable))
	}
	if len(s.fronts) > 0 {
		return s.fronts, checkAddresses("--front", s.fronts)
	}
	answer, err := s.ask(ctx, http.MethodGet, nodesPath)
	if err != nil {
		return nil, err
	}
	listed := &nodesAnswer{}
	if err := decode(answer, listed); err != nil {
		return nil, err
	}
	nodes, err := decodeList[protocol.Node](listed.Nodes)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, node := range nodes {
		if node.GetKind() == protocol.NodeKind_FRONT && !node.GetDraining() {
			addresses = append(addresses, node.GetHttpAddress())
		}
	}
	if len(addresses) == 0 {
		return nil, &NotFoundError{What: "a front node under a lease"}
	}
	return addresses, nil
}

// askFronts asks one front node after the other until one knows the request. The token is not sent to them.
func (s *shell) askFronts(ctx context.Context, fronts []string, requestID string) ([]byte, error) {
	var last error
	missing := false
	for _, address := range fronts[:min(len(fronts), maxFrontsAsked)] {
		answer, err := s.askFront(ctx, address, requestID)
		var refused *RefusedError
		switch {
		case err == nil:
			return answer, nil
		case errors.As(err, &refused) && refused.Status == http.StatusNotFound:
			missing = true
		default:
			last = err
		}
	}
	if missing {
		return nil, &NotFoundError{What: "request " + requestID}
	}
	return nil, &UnreachableError{Addresses: fronts, Last: last}
}

func (s *shell) askFront(ctx context.Context, address, requestID string) ([]byte, error) {
	client := NewClient(ClientOptions{Addresses: []string{address}, Timeout: s.timeout, Wait: s.environment.Wait})
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	attempt := &attempts{client: client, request: Request{Method: http.MethodGet, Path: explainPath + url.PathEscape(requestID)}}
	answer, next, err := attempt.try(ctx, address)
	if err == nil && next != "" {
		return nil, &RedirectError{From: address, To: next}
	}
	return answer, err
}

func renderExplanations(writer io.Writer, answer []byte) error {
	explained := &protocol.ExplainResponse{}
	if err := decodeProto(answer, explained); err != nil {
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
	arm := "active"
	if explanation.GetCandidateArm() {
		arm = "candidate"
	}
	_, err := fmt.Fprintf(writer, "request %s as seen by front node %s\n", explanation.GetRequestId(), explanation.GetNode())
	if err != nil {
		return err
	}
	facts := newGrid("fact", "value")
	facts.add("program", explanation.GetProgram())
	facts.add("session", explanation.GetSession())
	facts.add("partition holder", explanation.GetPartitionHolder())
	facts.add("owner", fmt.Sprintf("%s (epoch %d)", explanation.GetOwner(), explanation.GetEpoch()))
	facts.add("bundle", fmt.Sprintf("%d (%s)", explanation.GetBundleVersion(), arm))
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
	made := newGrid("candidate", "score", "passed over because")
	for _, candidate := range explanation.GetCandidates() {
		made.add(candidate.GetBackEnd(), fmt.Sprintf("%.4g", candidate.GetScore()), candidate.GetReason())
	}
	return made.print(writer)
}

func renderSteps(writer io.Writer, explanation *protocol.Explanation) error {
	made := newGrid("after ms", "step", "detail")
	for _, step := range explanation.GetSteps() {
		made.add(fmt.Sprintf("%.3f", float64(step.GetAtMicros())/1000), step.GetWhat(), step.GetDetail())
	}
	return made.print(writer)
}
