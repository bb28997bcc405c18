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
	// subject names the requested object in errors.
	subject string
}

func (c *commandLine) addFrontFlag(command *cobra.Command) {
	command.Flags().StringSliceVar(&c.fronts, "front", nil, "HTTP addresses (IP:port) of front nodes, tried in turn")
}

// frontAddresses returns the addresses set by flag or environment, or else those of the front nodes that the
// core lists and that are not draining.
func (c *commandLine) frontAddresses(ctx context.Context) ([]string, error) {
	if len(c.fronts) == 0 {
		c.fronts = splitList(c.environment.LookupEnvironment(frontVariable))
	}
	if len(c.fronts) > 0 {
		return c.fronts, checkAddresses("--front", c.fronts)
	}
	response, err := c.get(ctx, nodesPath)
	if err != nil {
		return nil, err
	}
	listed := &nodesResponse{}
	if err := decode(response, listed); err != nil {
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
		return nil, &NotFoundError{Subject: "a front node under a lease"}
	}
	return addresses, nil
}

// queryFronts queries the front nodes in turn until one returns a result. The token is not sent to them.
func (c *commandLine) queryFronts(ctx context.Context, query frontQuery) ([]byte, error) {
	fronts, err := c.frontAddresses(ctx)
	if err != nil {
		return nil, err
	}
	var lastErr error
	notFound := false
	for _, address := range fronts[:min(len(fronts), maxQueriedFronts)] {
		response, err := c.queryFront(ctx, address, query.path)
		var rejection *apiclient.RejectedError
		switch {
		case err == nil:
			return response, nil
		case errors.As(err, &rejection) && rejection.Status == http.StatusNotFound:
			notFound = true
		default:
			lastErr = err
		}
	}
	if notFound {
		return nil, &NotFoundError{Subject: query.subject}
	}
	return nil, &apiclient.UnreachableError{Addresses: fronts, Last: lastErr}
}

func (c *commandLine) queryFront(ctx context.Context, address, path string) ([]byte, error) {
	client := apiclient.New(
		apiclient.Options{Addresses: []string{address}, Timeout: c.timeout, Sleep: c.environment.Sleep},
	)
	defer client.Close()
	return client.DoOnce(ctx, address, apiclient.Request{Method: http.MethodGet, Path: path})
}
