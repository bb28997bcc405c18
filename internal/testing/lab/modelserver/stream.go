package modelserver

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/rosestand/rosestand/internal/testing/lab/standin"
	"github.com/rosestand/rosestand/internal/testing/lab/wait"
)

// stream writes one generation to its caller, with the fault picked for it.
type stream struct {
	context      *gin.Context
	server       *Server
	generation   *generation
	promptTokens int
	written      int
	recorded     bool
}

// ending is how a stream ended, as the journal records it.
type ending string

const (
	endedComplete  ending = "whole"
	endedCancelled ending = "cancelled"
	endedAborted   ending = "cut"
	endedStalled   ending = "stalled"
	endedGarbage   ending = "garbage"
	endedLost      ending = "lost"
)

type chunk struct {
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
	Nonce   string        `json:"nonce,omitempty"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (s *stream) run() {
	ended := s.pass()
	leave := leaveCommand{generation: s.generation, reply: make(chan bool, 1)}
	started := true
	select {
	case s.server.engine.commands <- leave:
		started = <-leave.reply
	case <-s.server.engine.stopped:
	}
	if started {
		s.record(ended)
	}
	switch ended {
	case endedAborted, endedStalled, endedLost:
		standin.AbortConnection(s.context)
	}
}

// record writes the end of the run to the journal, once.
func (s *stream) record(ended ending) {
	if s.recorded {
		return
	}
	s.recorded = true
	entry := s.generation.entry(standin.PhaseFinished, string(ended))
	entry.Tokens = s.written
	_ = s.server.journal.Append(entry)
}

// pass writes tokens until the answer or the stream ends.
func (s *stream) pass() ending {
	ctx := s.context.Request.Context()
	switch s.generation.fault {
	case standin.FaultLoseAnswer:
		return s.discard(ctx)
	case standin.FaultLate:
		if !wait.For(ctx, s.server.faults.Plan().Late()) {
			return endedCancelled
		}
	}
	breakAt := s.breakAt()
	for {
		if s.written == breakAt {
			return s.breakOff(ctx)
		}
		select {
		case <-ctx.Done():
			return endedCancelled
		case <-s.server.engine.stopped:
			return endedAborted
		case text, more := <-s.generation.tokens:
			if !more {
				return s.end()
			}
			if !s.writeToken(text) {
				return endedCancelled
			}
		}
	}
}

// breakAt is the number of tokens after which the fault strikes; -1 is never.
func (s *stream) breakAt() int {
	switch s.generation.fault {
	case standin.FaultDieDuring, standin.FaultStall, standin.FaultGarbage:
		return max(1, s.generation.seq.maxTokens/2)
	default:
		return -1
	}
}

func (s *stream) breakOff(ctx context.Context) ending {
	switch s.generation.fault {
	case standin.FaultStall:
		if !wait.For(ctx, s.server.faults.Plan().Stall()) {
			return endedCancelled
		}
		return endedStalled
	case standin.FaultGarbage:
		s.writeLine("{\"choices\":[{\"delta\":\x00garbage")
		return endedGarbage
	default:
		return endedAborted
	}
}

func (s *stream) discard(ctx context.Context) ending {
	for {
		select {
		case <-ctx.Done():
			return endedCancelled
		case <-s.server.engine.stopped:
			return endedAborted
		case _, more := <-s.generation.tokens:
			if !more {
				return endedLost
			}
		}
	}
}

func (s *stream) end() ending {
	if s.generation.fault == standin.FaultDieAfter {
		return endedAborted
	}
	stop := "stop"
	s.writeChunk(chunk{Choices: []chunkChoice{{FinishReason: &stop}}})
	s.writeChunk(chunk{
		Choices: []chunkChoice{},
		Nonce:   s.generation.call.Nonce,
		Usage: &usage{
			PromptTokens: s.promptTokens, CompletionTokens: s.written, TotalTokens: s.promptTokens + s.written,
			PromptTokensDetails: promptDetails{CachedTokens: s.generation.cached},
		},
	})
	// Whoever saw the last line finds the run in the journal.
	s.record(endedComplete)
	s.writeLine("[DONE]")
	return endedComplete
}

func (s *stream) writeToken(text string) bool {
	if s.written > 0 {
		text = " " + text
	}
	if !s.writeChunk(chunk{Choices: []chunkChoice{{Delta: delta{Content: text}}}}) {
		return false
	}
	s.written++
	return true
}

func (s *stream) writeChunk(value chunk) bool {
	content, err := json.Marshal(&value)
	return err == nil && s.writeLine(string(content))
}

func (s *stream) writeLine(data string) bool {
	if !s.context.Writer.Written() {
		s.context.Header("Content-Type", "text/event-stream")
		s.context.Status(http.StatusOK)
	}
	if _, err := s.context.Writer.WriteString("data: " + data + "\n\n"); err != nil {
		return false
	}
	s.context.Writer.Flush()
	return true
}
