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
	// SampleTimeout bounds one request for a load.
	SampleTimeout  = 500 * time.Millisecond
	maxSampleBytes = 4 << 10
)

// CanSample reports whether a server answers requests for its load.
func (c *RouteClient) CanSample(server *backends.Server) bool {
	if c.dialect.DecodeReport == nil {
		return false
	}
	return c.dialect.ToolsReport || server.Description().GetKind() == protocol.BackEndKind_MODEL_SERVER
}

// LoadStatusError reports an answer that is no load report, by its HTTP status.
type LoadStatusError struct{ Status int }

// Error implements error.
func (e *LoadStatusError) Error() string {
	return fmt.Sprintf("the load report has status %d", e.Status)
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
		return errors.Wrap(err, "ask for load")
	}
	defer response.Close()
	body, err := response.ReadAll(maxSampleBytes)
	if err != nil {
		return errors.Wrap(err, "read load report")
	}
	if response.Status != http.StatusOK {
		return &LoadStatusError{Status: response.Status}
	}
	report, err := c.dialect.DecodeReport(body)
	if err != nil {
		return errors.Wrap(err, "decode load report")
	}
	server.ApplyReport(report, c.clock.Now())
	c.models.RecordReport(server.Description().GetGroup(), server.ID(), report.CacheUsed, report.CacheTotal)
	return nil
}
