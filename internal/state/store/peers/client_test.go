package peers

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
)

// blockingCaller sends each call to the test and waits for its answer or for the end of the context.
type blockingCaller struct {
	calls chan blockedCall
}

// blockedCall is a call that waits until the test sends a response to answer.
type blockedCall struct {
	request *protocol.Request
	answer  chan *protocol.Response
}

func (c *blockingCaller) Call(ctx context.Context, _ string, request *protocol.Request) (*protocol.Response, error) {
	call := blockedCall{request: request, answer: make(chan *protocol.Response, 1)}
	c.calls <- call
	select {
	case response := <-call.answer:
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func newTestClient(t *testing.T, timeout time.Duration) (*Client, *blockingCaller) {
	caller := &blockingCaller{calls: make(chan blockedCall, 2*maxInFlight)}
	return New(t.Context(), Options{
		Caller:  caller,
		Address: func(store string) string { return map[string]string{"b": "address"}[store] },
		Timeout: timeout,
	}), caller
}

func prepareOf(program string) *protocol.Request {
	return &protocol.Request{Body: &protocol.Request_Prepare{Prepare: &protocol.PrepareRequest{
		Key: &protocol.RegisterKey{Program: program},
	}}}
}

// echo returns a response to a prepare request with the request's program as value.
func echo(request *protocol.Request) *protocol.Response {
	return &protocol.Response{Body: &protocol.Response_Prepare{Prepare: &protocol.PrepareResponse{
		Value: []byte(request.GetPrepare().GetKey().GetProgram()),
	}}}
}

func TestWaitingRequestsAreBatchedAndMatchedToTheirAnswers(t *testing.T) {
	p, caller := newTestClient(t, time.Minute)
	const count = maxConcurrentBatches + maxBatchRequests + 5
	answers := make(chan error, count)
	send := func(number int) {
		program := strconv.Itoa(number)
		p.Send("b", prepareOf(program), func(response *protocol.Response, err error) {
			if got := string(response.GetPrepare().GetValue()); err == nil && got != program {
				err = errors.Newf("request %s got the answer of %s", program, got)
			}
			answers <- err
		})
	}
	var alone []blockedCall
	for number := range maxConcurrentBatches {
		send(number)
		alone = append(alone, <-caller.calls)
	}
	for number := maxConcurrentBatches; number < count; number++ {
		send(number)
	}
	if len(caller.calls) > 0 {
		t.Fatalf("more than the maximum of %d calls in flight", maxConcurrentBatches)
	}
	alone[0].answer <- echo(alone[0].request)
	for _, wanted := range []int{maxBatchRequests, 5} {
		call := <-caller.calls
		batch := call.request.GetStoreBatch().GetRequests()
		if len(batch) != wanted {
			t.Fatalf("the batch contains %d requests, want %d", len(batch), wanted)
		}
		responses := &protocol.ResponseBatch{}
		for _, request := range batch {
			responses.Responses = append(responses.Responses, echo(request))
		}
		call.answer <- &protocol.Response{Body: &protocol.Response_StoreBatch{StoreBatch: responses}}
	}
	for _, call := range alone[1:] {
		call.answer <- echo(call.request)
	}
	for range count {
		if err := <-answers; err != nil {
			t.Fatal(err)
		}
	}
	p.Close()
	if inFlight := p.queues["b"].inFlight; inFlight != 0 {
		t.Fatalf("%d requests in flight after Close, want none", inFlight)
	}
}

func TestEveryRequestOfABatchWithTooFewAnswersFails(t *testing.T) {
	p, caller := newTestClient(t, time.Minute)
	failed := make(chan error, 2)
	done := func(_ *protocol.Response, err error) { failed <- err }
	p.queues["b"] = &queue{senders: maxConcurrentBatches}
	p.Send("b", prepareOf("first"), done)
	p.Send("b", prepareOf("second"), done)
	p.routines.Go(func() { p.sendBatches("b", p.queues["b"]) })
	call := <-caller.calls
	call.answer <- &protocol.Response{Body: &protocol.Response_StoreBatch{StoreBatch: &protocol.ResponseBatch{
		Responses: []*protocol.Response{echo(prepareOf("first"))},
	}}}
	var wrong *AnswerError
	for range 2 {
		if err := <-failed; !errors.As(err, &wrong) {
			t.Fatalf("a request of the batch ended with error %v, want an AnswerError", err)
		}
	}
	p.Close()
}

func TestRequestsToAnUnresponsiveStoreFailAfterTheTimeout(t *testing.T) {
	p, _ := newTestClient(t, time.Nanosecond)
	failed := make(chan error, maxInFlight)
	for number := range maxInFlight {
		p.Send("b", prepareOf(strconv.Itoa(number)), func(_ *protocol.Response, err error) { failed <- err })
	}
	for range maxInFlight {
		if err := <-failed; !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("a request ended with error %v, want context.DeadlineExceeded", err)
		}
	}
	p.Close()
	if q := p.queues["b"]; q.inFlight != 0 || q.senders != 0 || len(q.waiting) != 0 {
		t.Fatalf("queue after Close: %+v, want it empty without senders", q)
	}
	p.Send("b", prepareOf("late"), func(_ *protocol.Response, err error) { failed <- err })
	var closed *NotLiveError
	if err := <-failed; !errors.As(err, &closed) {
		t.Fatalf("Send after Close returned error %v, want a NotLiveError", err)
	}
}
