package issue

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/serverconn"
)

const (
	// SampleTimeout limits one request for a load report.
	SampleTimeout  = 500 * time.Millisecond
	maxSampleBytes = 4 << 10
)

// CanSample reports whether a server provides load reports.
func (c *RouteClient) CanSample(server *backends.Server) bool {
	if c.dialect.DecodeReport == nil {
		return false
	}
	return c.dialect.ToolsReport || server.Description().GetKind() == protocol.BackEndKind_MODEL_SERVER
}

// LoadStatusError reports that a server answered the request for a load report with a status other than 200.
type LoadStatusError struct{ Status int }

// Error implements error.
func (e *LoadStatusError) Error() string {
	return fmt.Sprintf("the request for a load report returned HTTP status %d", e.Status)
}

// SampleLoad requests a server's load at the dialect's report path and applies it to the server and its
// group's model. It takes at most SampleTimeout.
func (c *RouteClient) SampleLoad(ctx context.Context, server *backends.Server) error {
	ctx, cancel := c.clock.WithTimeout(ctx, SampleTimeout)
	defer cancel()
	address := server.Description().GetAddress()
	response, err := c.pool.Do(ctx, address, &serverconn.Request{
		Method: http.MethodGet, Target: c.dialect.ReportPath, Host: address,
	})
	if err != nil {
		return errors.Wrapf(err, "request load report of server %s", server.ID())
	}
	defer response.Close()
	body, err := response.ReadAll(maxSampleBytes)
	if err != nil {
		return errors.Wrapf(err, "read load report of server %s", server.ID())
	}
	if response.Status != http.StatusOK {
		return &LoadStatusError{Status: response.Status}
	}
	report, err := c.dialect.DecodeReport(body)
	if err != nil {
		return errors.Wrapf(err, "decode load report of server %s", server.ID())
	}
	server.ApplyReport(report, c.clock.Now())
	c.models.RecordReport(server.Description().GetGroup(), server.ID(), report.CacheUsed, report.CacheTotal)
	return nil
}
