package operator

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/protocol"
)

// maxFrontsAsked bounds the front nodes asked in turn; each one asks other processes by itself.
const maxFrontsAsked = 5

// frontQuestion is what any front node can be asked.
type frontQuestion struct {
	path string
	// subject names what is asked for in an error.
	subject string
}

func (s *shell) addFrontFlag(command *cobra.Command) {
	command.Flags().StringSliceVar(&s.fronts, "front", nil, "HTTP addresses (IP:port) of front nodes, tried in turn")
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

// askFronts asks one front node after the other until one knows the answer. The token is not sent to them.
func (s *shell) askFronts(ctx context.Context, question frontQuestion) ([]byte, error) {
	fronts, err := s.frontAddresses(ctx)
	if err != nil {
		return nil, err
	}
	var last error
	missing := false
	for _, address := range fronts[:min(len(fronts), maxFrontsAsked)] {
		answer, err := s.askFront(ctx, address, question.path)
		var refused *RejectedError
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
		return nil, &NotFoundError{What: question.subject}
	}
	return nil, &UnreachableError{Addresses: fronts, Last: last}
}

func (s *shell) askFront(ctx context.Context, address, path string) ([]byte, error) {
	client := NewClient(ClientOptions{Addresses: []string{address}, Timeout: s.timeout, Wait: s.environment.Wait})
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	attempt := &attempts{client: client, request: Request{Method: http.MethodGet, Path: path}}
	answer, next, err := attempt.try(ctx, address)
	if err == nil && next != "" {
		return nil, &RedirectError{From: address, To: next}
	}
	return answer, err
}
