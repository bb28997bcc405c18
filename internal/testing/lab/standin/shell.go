package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/rosestand/rosestand/internal/transport/httpdrain"
)

// Service is the part of a stand-in that does the work.
type Service interface {
	// Routes adds the routes that front nodes call.
	Routes(router *gin.Engine)
	// Load is the report as of now.
	Load() Load
	// Close ends its goroutines.
	Close()
}

// ShellOptions say what one stand-in is and what it stands between.
type ShellOptions struct {
	Announcement Announcement
	Listener     net.Listener
	Announcer    *Announcer
	Service      Service
	Journal      *Journal
	Faults       *FaultSwitch
	Logger       *log.Logger
}

// Shell is the HTTP server, the heartbeat and the draining of one stand-in.
type Shell struct {
	options  ShellOptions
	server   *http.Server
	draining atomic.Bool
	cancel   context.CancelFunc
	done     sync.WaitGroup
	drain    chan drainOrder
}

type drainOrder struct {
	ctx   context.Context
	reply chan error
}

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 90 * time.Second
	maxAdminBody      = 1 << 20
	firstHeartbeat    = 100 * time.Millisecond
	defaultInterval   = time.Second
)

// NewShell prepares a stand-in; nothing runs before Start.
func NewShell(options ShellOptions) *Shell {
	s := &Shell{options: options, drain: make(chan drainOrder)}
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	options.Service.Routes(router)
	router.GET("/load", func(c *gin.Context) { c.JSON(http.StatusOK, s.load()) })
	router.GET("/readyz", func(c *gin.Context) { c.Status(http.StatusOK) })
	router.GET("/admin/faults", func(c *gin.Context) { c.JSON(http.StatusOK, options.Faults.Plan()) })
	router.PUT("/admin/faults", s.putFaults)
	router.POST("/admin/drain", s.postDrain)
	s.server = &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	httpdrain.AllowHeaderValues(s.server)
	return s
}

func (s *Shell) load() Load {
	load := s.options.Service.Load()
	load.Draining = s.draining.Load()
	return load
}

func (s *Shell) putFaults(c *gin.Context) {
	content, err := io.ReadAll(io.LimitReader(c.Request.Body, maxAdminBody))
	if err != nil {
		Abort(c, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	var plan FaultPlan
	if err := json.Unmarshal(content, &plan); err != nil {
		Abort(c, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	if err := s.options.Faults.Replace(plan); err != nil {
		Abort(c, http.StatusBadRequest, "invalid_field", err.Error())
		return
	}
	c.Status(http.StatusNoContent)
}

func (s *Shell) postDrain(c *gin.Context) {
	if err := s.Drain(c.Request.Context()); err != nil {
		Abort(c, http.StatusBadGateway, "drain_failed", err.Error())
		return
	}
	c.JSON(http.StatusOK, struct {
		AcknowledgedAtMicros int64 `json:"acknowledged_at_micros"`
	}{time.Now().UnixMicro()})
}

// Start serves and announces the stand-in until Stop.
func (s *Shell) Start(ctx context.Context) error {
	if err := s.options.Journal.Append(Entry{Phase: PhaseReady}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.cancel = cancel
	s.done.Go(func() {
		err := s.server.Serve(s.options.Listener)
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.options.Logger.Error("stand-in stopped serving", "err", err)
		}
	})
	s.done.Go(func() { s.announce(ctx) })
	return nil
}

// announce owns the announcer: heartbeats and drains go out one after another.
func (s *Shell) announce(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	reached := true
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-s.drain:
			order.reply <- s.leave(order.ctx) //nolint:contextcheck // the drain is bounded by its caller, not by the shell
		case <-timer.C:
			interval, err := s.options.Announcer.Heartbeat(ctx, s.body())
			if (err == nil) != reached && ctx.Err() == nil {
				reached = err == nil
				s.options.Logger.Info("front node reachability changed", "id", s.options.Announcement.ID, "reached", reached, "err",
					err)
			}
			timer.Reset(nextHeartbeat(interval, err))
		}
	}
}

func nextHeartbeat(interval time.Duration, err error) time.Duration {
	switch {
	case err != nil:
		return firstHeartbeat
	case interval <= 0:
		return defaultInterval
	default:
		return interval
	}
}

func (s *Shell) body() Announcement {
	body := s.options.Announcement
	if s.draining.Load() {
		body.State = StateDraining
	}
	return body
}

func (s *Shell) leave(ctx context.Context) error {
	s.draining.Store(true)
	err := s.options.Announcer.Drain(ctx, s.options.Announcement.ID, s.options.Announcement.Incarnation)
	if err != nil {
		return err
	}
	return s.options.Journal.Append(Entry{Phase: PhaseDrainAcknowledged})
}

// Drain marks the server draining and returns when a front node has
// acknowledged it. The server continues to serve the requests that still reach it.
func (s *Shell) Drain(ctx context.Context) error {
	order := drainOrder{ctx: ctx, reply: make(chan error, 1)}
	select {
	case s.drain <- order:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain")
	}
	select {
	case err := <-order.reply:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain")
	}
}

// Stop drains unless that happened before, lets running requests end within the
// context and closes everything.
func (s *Shell) Stop(ctx context.Context) error {
	var failed error
	if !s.draining.Load() {
		failed = s.Drain(ctx)
	}
	if err := s.server.Shutdown(ctx); err != nil {
		failed = errors.CombineErrors(failed, errors.Wrap(err, "shut down"))
		failed = errors.CombineErrors(failed, s.server.Close())
	}
	s.cancel()
	s.done.Wait()
	s.options.Service.Close()
	return failed
}
