package front

import "sync/atomic"

// requestStage is how far the answer to a caller's request has come.
type requestStage int

const (
	// stageReading: the request is being read.
	stageReading requestStage = iota
	// stageUnanswered: it was read, and nothing of its answer was sent.
	stageUnanswered
	// stageAnswering: a part of its answer was sent.
	stageAnswering
	requestStages
)

// openRequests counts the requests of callers of HTTP routes that are in progress, by stage. It is safe for concurrent
// use.
type openRequests struct {
	counts [requestStages]atomic.Int64
}

// openRequest is one request in progress. The goroutine that serves it owns it.
type openRequest struct {
	open  *openRequests
	stage requestStage
}

// begin counts a request that is being read; end must be called for it.
func (o *openRequests) begin() *openRequest {
	o.counts[stageReading].Add(1)
	return &openRequest{open: o, stage: stageReading}
}

// count returns how many requests are at a stage.
func (o *openRequests) count(stage requestStage) int64 { return o.counts[stage].Load() }

// advance moves the request to a later stage.
func (r *openRequest) advance(stage requestStage) {
	r.open.counts[r.stage].Add(-1)
	r.stage = stage
	r.open.counts[stage].Add(1)
}

// end ends the count of the request.
func (r *openRequest) end() { r.open.counts[r.stage].Add(-1) }
