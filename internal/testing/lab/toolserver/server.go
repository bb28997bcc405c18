// Package toolserver emulates the tool servers of both sites: sensors, alarms
// and valve plans of the greenhouses; seats, check-ins and invoices of the desk
// ledger. Each run is written to the journal before it takes effect, so that a
// second run of a call that may not be repeated is seen.
package toolserver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/rosestand/rosestand/internal/testing/lab/standin"
	"github.com/rosestand/rosestand/internal/testing/lab/wait"
)

const (
	maxBodyBytes    = 1 << 20
	defaultWork     = 5 * time.Millisecond
	defaultCapacity = 64
)

// Settings describe one tool server.
type Settings struct {
	Tools []string `json:"tools"`
	// WorkMicros is how long a call takes.
	WorkMicros int `json:"work_micros"`
	Capacity   int `json:"capacity"`
}

// Server is one emulated tool server.
type Server struct {
	settings Settings
	journal  *standin.Journal
	faults   *standin.FaultSwitch
	commands chan any
	stop     chan struct{}
	stopped  chan struct{}
	running  atomic.Int64
}

// New starts the owner of the server's tables; Close ends it.
func New(settings Settings, journal *standin.Journal, faults *standin.FaultSwitch) *Server {
	if settings.Capacity <= 0 {
		settings.Capacity = defaultCapacity
	}
	s := &Server{
		settings: settings, journal: journal, faults: faults,
		commands: make(chan any), stop: make(chan struct{}), stopped: make(chan struct{}),
	}
	go s.loop()
	return s
}

// Close ends the owner goroutine and waits for it.
func (s *Server) Close() {
	close(s.stop)
	<-s.stopped
}

// Load is the report as of now.
func (s *Server) Load() standin.Load {
	return standin.Load{Running: int(s.running.Load()), Capacity: s.settings.Capacity}
}

// Routes adds one route for each tool.
func (s *Server) Routes(router *gin.Engine) {
	for _, tool := range s.settings.Tools {
		router.POST("/v1/tools/"+tool+"/calls", func(c *gin.Context) { s.call(c, tool) })
	}
}

// Arguments is the part of a call's arguments that the server looks at.
type Arguments struct {
	// Object is the thing that the call changes or reads.
	Object string `json:"object"`
}

// Result is the answer of a call.
type Result struct {
	Tool   string `json:"tool"`
	Object string `json:"object"`
	Nonce  string `json:"nonce"`
	// Value is made up from the object, so that equal reads agree.
	Value string `json:"value"`
}

// admission is the owner's word on one call.
type admission struct {
	serial uint64
	run    int
	fault  standin.Fault
	fenced bool
}

type admitCommand struct {
	call  standin.Call
	reply chan admission
}

func (s *Server) loop() {
	defer close(s.stopped)
	epochs := map[string]uint64{}
	runs := map[string]int{}
	serial := uint64(0)
	for {
		select {
		case <-s.stop:
			return
		case command := <-s.commands:
			admit := command.(admitCommand)
			serial++
			runs[admit.call.RequestID]++
			answer := admission{serial: serial, run: runs[admit.call.RequestID]}
			answer.fenced = admit.call.Epoch < epochs[admit.call.Session]
			if !answer.fenced {
				epochs[admit.call.Session] = admit.call.Epoch
				answer.fault = s.faults.Plan().Pick(admit.call.RequestID, answer.run)
			}
			admit.reply <- answer
		}
	}
}

func (s *Server) call(c *gin.Context, tool string) {
	call, err := standin.ReadCall(c)
	if err != nil {
		standin.Abort(c, http.StatusBadRequest, "invalid_header", err.Error())
		return
	}
	content, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes))
	if err != nil {
		standin.Abort(c, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	var arguments Arguments
	if err := json.Unmarshal(content, &arguments); err != nil {
		standin.Abort(c, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	arrived := time.Now()
	admit := admitCommand{call: call, reply: make(chan admission, 1)}
	select {
	case s.commands <- admit:
	case <-s.stopped:
		standin.Abort(c, http.StatusServiceUnavailable, "stopped", "")
		return
	}
	answer := <-admit.reply
	c.Header(standin.HeaderLoad, s.Load().Header())
	entry := standin.Entry{
		Serial: answer.serial, RequestID: call.RequestID, Session: call.Session, Epoch: call.Epoch,
		Nonce: call.Nonce, Run: answer.run, Tool: tool, Object: arguments.Object, Fault: answer.fault,
		ArrivedMicros: arrived.UnixMicro(),
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	s.act(c, entry, answer.fenced)
}

// act rejects or runs the call and answers according to its fault.
func (s *Server) act(c *gin.Context, entry standin.Entry, fenced bool) {
	plan := s.faults.Plan()
	switch {
	case fenced:
		s.record(entry, standin.PhaseRejected, "fenced")
		standin.Abort(c, http.StatusConflict, "fenced", "a newer owner of the session was seen")
	case int(s.running.Load()) > s.settings.Capacity:
		s.record(entry, standin.PhaseRejected, "busy")
		c.Header("Retry-After", "1")
		standin.Abort(c, http.StatusTooManyRequests, "busy", "")
	case entry.Fault == standin.FaultReject:
		s.record(entry, standin.PhaseRejected, "refused_by_fault")
		c.Header("Retry-After", strconv.Itoa(plan.RetryAfter()))
		standin.Abort(c, http.StatusServiceUnavailable, "refused", "")
	case entry.Fault == standin.FaultDieBefore:
		s.record(entry, standin.PhaseRejected, "died_before")
		standin.AbortConnection(c)
	default:
		s.run(c, entry, plan)
	}
}

func (s *Server) run(c *gin.Context, entry standin.Entry, plan *standin.FaultPlan) {
	s.record(entry, standin.PhaseStarted, "")
	// The effect does not depend on the caller staying.
	wait.For(context.WithoutCancel(c.Request.Context()), s.work())
	s.record(entry, standin.PhaseFinished, "whole")
	ctx := c.Request.Context()
	switch entry.Fault {
	case standin.FaultDieDuring, standin.FaultDieAfter, standin.FaultLoseAnswer:
		standin.AbortConnection(c)
		return
	case standin.FaultLate:
		wait.For(ctx, plan.Late())
	case standin.FaultStall:
		wait.For(ctx, plan.Stall())
		standin.AbortConnection(c)
		return
	case standin.FaultGarbage:
		c.Data(http.StatusOK, "application/json", []byte("{\"tool\":\x00garbage"))
		return
	}
	c.JSON(http.StatusOK, Result{
		Tool: entry.Tool, Object: entry.Object, Nonce: entry.Nonce,
		Value: "value-of-" + entry.Object,
	})
}

func (s *Server) work() time.Duration {
	if s.settings.WorkMicros > 0 {
		return time.Duration(s.settings.WorkMicros) * time.Microsecond
	}
	return defaultWork
}

func (s *Server) record(entry standin.Entry, phase standin.Phase, reason string) {
	entry.Phase = phase
	entry.Reason = reason
	_ = s.journal.Append(entry)
}
