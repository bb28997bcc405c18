// Package modelserver emulates an OpenAI-compatible model server: continuous
// batching at settable rates, a KV cache of bounded blocks that is shared by
// requests with the same beginning, a bounded queue, a load report, a fence
// against older owners of a session and faults chosen by request.
package modelserver

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

const (
	maxBodyBytes     = 32 << 20
	defaultMaxTokens = 256
	maxMaxTokens     = 8192
)

// Server is one emulated model server.
type Server struct {
	engine  *engine
	journal *standin.Journal
	faults  *standin.FaultSwitch
}

// New starts the engine of a server; Close ends it.
func New(rates Rates, journal *standin.Journal, faults *standin.FaultSwitch) *Server {
	s := &Server{engine: newEngine(rates.WithDefaults(), journal, faults), journal: journal, faults: faults}
	go s.engine.loop()
	return s
}

// Close ends the engine and waits for it.
func (s *Server) Close() {
	close(s.engine.stop)
	<-s.engine.stopped
}

// Load is the report as of the last step.
func (s *Server) Load() standin.Load { return *s.engine.load.Load() }

// Routes adds the completion route.
func (s *Server) Routes(router *gin.Engine) {
	router.POST("/v1/chat/completions", s.complete)
}

type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens int `json:"max_completion_tokens"`
}

func (r *completionRequest) limit() int {
	limit := max(r.MaxTokens, r.MaxCompletionTokens)
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	return min(limit, maxMaxTokens, replyTokens(r.Messages))
}

func (s *Server) complete(c *gin.Context) {
	var request completionRequest
	body := http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		standin.Abort(c, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	if !request.Stream || len(request.Messages) == 0 {
		standin.Abort(c, http.StatusBadRequest, "invalid_body", "stream and messages are required")
		return
	}
	call, err := standin.ReadCall(c)
	if err != nil {
		standin.Abort(c, http.StatusBadRequest, "invalid_header", err.Error())
		return
	}
	tokens := promptTokens(request.Messages)
	answer, open := s.ask(admitCommand{
		call: call, tokens: tokens, maxTokens: request.limit(),
		reply: make(chan admission, 1),
	})
	if !open {
		standin.Abort(c, http.StatusServiceUnavailable, "stopped", "")
		return
	}
	c.Header(standin.HeaderLoad, s.Load().Header())
	if answer.rejection != notRejected {
		s.reject(c, answer.rejection)
		return
	}
	out := &stream{context: c, server: s, generation: answer.generation, promptTokens: len(tokens)}
	out.run()
}

func (s *Server) ask(command admitCommand) (admission, bool) {
	select {
	case s.engine.commands <- command:
		return <-command.reply, true
	case <-s.engine.stopped:
		return admission{}, false
	}
}

func (s *Server) reject(c *gin.Context, reason rejection) {
	switch reason {
	case rejectedFenced:
		standin.Abort(c, http.StatusConflict, string(reason), "a newer owner of the session was seen")
	case rejectedTooLong:
		standin.Abort(c, http.StatusBadRequest, string(reason), "the request does not fit the cache")
	case rejectedDiedBefore:
		standin.AbortConnection(c)
	case rejectedQueueFull:
		c.Header("Retry-After", "1")
		standin.Abort(c, http.StatusTooManyRequests, string(reason), "")
	default:
		c.Header("Retry-After", strconv.Itoa(s.faults.Plan().RetryAfter()))
		standin.Abort(c, http.StatusServiceUnavailable, string(reason), "")
	}
}
