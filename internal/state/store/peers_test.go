package store

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// heldCaller hands each call to the test and waits for its answer or the context.
type heldCaller struct {
	calls chan heldCall
}

type heldCall struct {
	request *protocol.Request
	answer  chan *protocol.Response
}

func (c *heldCaller) Call(ctx context.Context, _ string, request *protocol.Request) (*protocol.Response, error) {
	call := heldCall{request: request, answer: make(chan *protocol.Response, 1)}
	c.calls <- call
	select {
	case response := <-call.answer:
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *heldCaller) Open(context.Context, string, *protocol.Request) (wire.Stream, error) {
	return nil, &PeerNotLiveError{}
}

func peersOf(t *testing.T, timeout time.Duration) (*peers, *heldCaller) {
	caller := &heldCaller{calls: make(chan heldCall, 2*defaultPeerCalls)}
	s := &Store{ctx: t.Context(), watch: newPlacementWatch(idleCore{}, &protocol.Node{Name: "a"})}
	s.options = Options{Caller: caller, PeerTimeout: timeout}
	s.watch.current.Store(&topology{addresses: map[string]string{"b": "address"}})
	s.peers = newPeers(s)
	return s.peers, caller
}

func prepareOf(program string) *protocol.Request {
	return &protocol.Request{Body: &protocol.Request_Prepare{Prepare: &protocol.PrepareRequest{
		Key: &protocol.RegisterKey{Program: program},
	}}}
}

// echo answers a prepare with its program as value.
func echo(request *protocol.Request) *protocol.Response {
	return &protocol.Response{Body: &protocol.Response_Prepare{Prepare: &protocol.PrepareResponse{
		Value: []byte(request.GetPrepare().GetKey().GetProgram()),
	}}}
}

func TestRequestsThatWaitLeaveTogetherAndAreAnsweredInOrder(t *testing.T) {
	p, caller := peersOf(t, time.Minute)
	const count = callsOfPeer + largestPeerBatch + 5
	answers := make(chan error, count)
	send := func(number int) {
		program := strconv.Itoa(number)
		p.send("b", prepareOf(program), func(response *protocol.Response, err error) {
			if got := string(response.GetPrepare().GetValue()); err == nil && got != program {
				err = errors.Newf("%s was answered as %s", program, got)
			}
			answers <- err
		})
	}
	var alone []heldCall
	for number := range callsOfPeer {
		send(number)
		alone = append(alone, <-caller.calls)
	}
	for number := callsOfPeer; number < count; number++ {
		send(number)
	}
	if len(caller.calls) > 0 {
		t.Fatalf("more than %d calls under way", callsOfPeer)
	}
	alone[0].answer <- echo(alone[0].request)
	for _, wanted := range []int{largestPeerBatch, 5} {
		call := <-caller.calls
		batch := call.request.GetStoreBatch().GetRequests()
		if len(batch) != wanted {
			t.Fatalf("%d requests left together, wanted %d", len(batch), wanted)
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
	p.wait()
	if held := p.lanes["b"].held; held != 0 {
		t.Fatalf("%d requests still held", held)
	}
}

func TestABatchWithTooFewAnswersFailsInFull(t *testing.T) {
	p, caller := peersOf(t, time.Minute)
	failed := make(chan error, 2)
	done := func(_ *protocol.Response, err error) { failed <- err }
	p.lanes["b"] = &lane{calls: callsOfPeer}
	p.send("b", prepareOf("first"), done)
	p.send("b", prepareOf("second"), done)
	p.routines.Go(func() { p.run("b", p.lanes["b"]) })
	call := <-caller.calls
	call.answer <- &protocol.Response{Body: &protocol.Response_StoreBatch{StoreBatch: &protocol.ResponseBatch{
		Responses: []*protocol.Response{echo(prepareOf("first"))},
	}}}
	var wrong *AnswerError
	for range 2 {
		if err := <-failed; !errors.As(err, &wrong) {
			t.Fatalf("ended with %v", err)
		}
	}
	p.wait()
}

func TestAStoreThatDoesNotAnswerHoldsUpNothingForLong(t *testing.T) {
	p, _ := peersOf(t, time.Nanosecond)
	failed := make(chan error, defaultPeerCalls)
	for number := range defaultPeerCalls {
		p.send("b", prepareOf(strconv.Itoa(number)), func(_ *protocol.Response, err error) { failed <- err })
	}
	for range defaultPeerCalls {
		if err := <-failed; !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("ended with %v", err)
		}
	}
	p.wait()
	if held := p.lanes["b"]; held.held != 0 || held.calls != 0 || len(held.waiting) != 0 {
		t.Fatalf("left %+v", held)
	}
	p.send("b", prepareOf("late"), func(_ *protocol.Response, err error) { failed <- err })
	var closed *PeerNotLiveError
	if err := <-failed; !errors.As(err, &closed) {
		t.Fatalf("sent after the end: %v", err)
	}
}
