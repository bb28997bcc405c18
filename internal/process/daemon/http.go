package daemon

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/pprof"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/httpdrain"
	"github.com/rosestand/rosestand/internal/transport/httpguard"
)

const (
	livePath    = "/livez"
	readyPath   = "/readyz"
	metricsPath = "/metrics"

	headerTimeout  = 5 * time.Second
	idleTimeout    = 120 * time.Second
	maxHeaderBytes = 64 << 10
)

// errorBody is the JSON body of every failure.
type errorBody struct {
	Error failure.Detail `json:"error"`
}

// WriteFailure writes a failure as the response. A retry delay is sent as Retry-After in seconds, rounded up.
func WriteFailure(writer http.ResponseWriter, problem *protocol.Failure) {
	body, err := json.Marshal(errorBody{Error: failure.NewDetail(problem)})
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	if wait := problem.GetRetryAfterMillis(); wait > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(wait)/1000))))
	}
	writer.WriteHeader(int(problem.GetStatus()))
	_, _ = writer.Write(append(body, '\n'))
}

// newEngine returns an engine that responds to unknown routes and methods with failures.
// A panic in a handler ends only that request; it is counted and logged with its stack.
func newEngine(logger *log.Logger, registry prometheus.Registerer) *gin.Engine {
	panics := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "rosestand_http_panics_total",
		Help: "HTTP requests whose handler panicked.",
	})
	registry.MustRegister(panics)
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.CustomRecoveryWithWriter(io.Discard, func(c *gin.Context, cause any) {
		panics.Inc()
		logger.Error("HTTP handler panicked", "path", c.FullPath(), "cause", cause, "stack", string(debug.Stack()))
		if !c.Writer.Written() {
			WriteFailure(c.Writer, failure.New(failure.InternalError, protocol.Outcome_UNKNOWN, "the handler failed").Failure)
		}
		c.Abort()
	}))
	engine.HandleMethodNotAllowed = true
	engine.RedirectTrailingSlash = false
	engine.UseRawPath = true
	engine.UnescapePathValues = true
	engine.NoRoute(func(c *gin.Context) {
		WriteFailure(c.Writer, failure.New(failure.UnknownRoute, protocol.Outcome_NOT_RUN,
			"no such route", failure.WithPath(c.Request.URL.Path)).Failure)
	})
	engine.NoMethod(func(c *gin.Context) {
		WriteFailure(c.Writer, failure.New(failure.MethodNotAllowed, protocol.Outcome_NOT_RUN,
			"the route has no method "+c.Request.Method, failure.WithPath(c.Request.URL.Path)).Failure)
	})
	return engine
}

// addMonitoringRoutes registers the routes for health, readiness and metrics.
func addMonitoringRoutes(engine *gin.Engine, process *Process, registry *prometheus.Registry) {
	engine.GET(livePath, func(c *gin.Context) {
		c.JSON(http.StatusOK, gin.H{"status": "live"})
	})
	engine.GET(readyPath, func(c *gin.Context) {
		if reasons := process.Readiness.Reasons(); len(reasons) > 0 {
			c.Header("Retry-After", "1")
			c.JSON(http.StatusServiceUnavailable, readinessBody{Status: "not ready", Reasons: reasons})
			return
		}
		c.JSON(http.StatusOK, readinessBody{Status: "ready"})
	})
	engine.GET(metricsPath, gin.WrapH(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
}

type readinessBody struct {
	Status  string   `json:"status"`
	Reasons []Reason `json:"reasons,omitempty"`
}

func newHTTPServer(handler http.Handler, logger *log.Logger) *http.Server {
	return &http.Server{
		ErrorLog:       logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
		Handler:        handler,
		MaxHeaderBytes: maxHeaderBytes,
		ConnContext:    httpguard.ConnContext,
	}
}

// guardHTTP guards a listener of the process's own HTTP interface.
func guardHTTP(listener net.Listener, process *Process) net.Listener {
	limits := httpguard.Limits{MaxHeadBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return httpguard.NewListener(listener, httpguard.Options{
		Budget: process.Memory, Limits: func() httpguard.Limits { return limits },
		MaxOpen: process.MaxOpenFiles / httpFilesDivisor,
	})
}

// newDebugServer returns a server for the profiler.
func newDebugServer(logger *log.Logger) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return newHTTPServer(mux, logger)
}

// httpService runs an HTTP server in a goroutine until shutDown is called.
type httpService struct {
	server *httpdrain.Server
	// done receives the result of Serve.
	done <-chan error
}

func startHTTP(server *http.Server, listener net.Listener) *httpService {
	drainable := httpdrain.New(server, listener)
	return &httpService{server: drainable, done: drainable.Start()}
}

// shutDown drains the server, and closes it forcibly if requests are still running when the context ends.
func (s *httpService) shutDown(ctx context.Context) error {
	err := s.server.Drain(ctx)
	if err != nil {
		err = s.server.Close()
	}
	return errors.CombineErrors(err, <-s.done)
}
