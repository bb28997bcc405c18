package operator

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/operator/apiclient"
	"github.com/rosestand/rosestand/internal/protocol"
)

// maxQueriedFronts bounds the front nodes that are queried in turn; each of them queries the others itself.
const maxQueriedFronts = 5

// frontQuery is a read that any front node can answer.
type frontQuery struct {
	path string
	// subject names in errors what is read.
	subject string
}

func (c *commandLine) addFrontFlag(command *cobra.Command) {
	command.Flags().StringSliceVar(&c.fronts, "front", nil, "HTTP addresses (IP:port) of front nodes, tried in turn")
}

// frontAddresses returns those of the command line or the environment, or else those that the core lists.
func (c *commandLine) frontAddresses(ctx context.Context) ([]string, error) {
	if len(c.fronts) == 0 {
		c.fronts = splitList(c.environment.LookupEnvironment(frontVariable))
	}
	if len(c.fronts) > 0 {
		return c.fronts, checkAddresses("--front", c.fronts)
	}
	answer, err := c.get(ctx, nodesPath)
	if err != nil {
		return nil, err
	}
	listed := &nodesResponse{}
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

// queryFronts queries one front node after the other until one knows the answer. The token is not sent to them.
func (c *commandLine) queryFronts(ctx context.Context, query frontQuery) ([]byte, error) {
	fronts, err := c.frontAddresses(ctx)
	if err != nil {
		return nil, err
	}
	var last error
	missing := false
	for _, address := range fronts[:min(len(fronts), maxQueriedFronts)] {
		answer, err := c.queryFront(ctx, address, query.path)
		var rejection *apiclient.RejectedError
		switch {
		case err == nil:
			return answer, nil
		case errors.As(err, &rejection) && rejection.Status == http.StatusNotFound:
			missing = true
		default:
			last = err
		}
	}
	if missing {
		return nil, &NotFoundError{What: query.subject}
	}
	return nil, &apiclient.UnreachableError{Addresses: fronts, Last: last}
}

func (c *commandLine) queryFront(ctx context.Context, address, path string) ([]byte, error) {
	client := apiclient.New(
		apiclient.Options{Addresses: []string{address}, Timeout: c.timeout, Sleep: c.environment.Sleep},
	)
	defer client.Close()
	return client.DoOnce(ctx, address, apiclient.Request{Method: http.MethodGet, Path: path})
}
