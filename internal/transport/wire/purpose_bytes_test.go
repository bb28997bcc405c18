package wire_test

import (
	"context"
	"testing"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// lookupHandler answers polls and lookups with empty answers of their kind.
type lookupHandler struct{}

func (lookupHandler) Serve(_ context.Context, request *protocol.Request, send func(*protocol.Response) error) error {
	if request.GetPollControl() != nil {
		return send(&protocol.Response{Body: &protocol.Response_PollControl{PollControl: &protocol.PollControlResponse{}}})
	}
	return send(
		&protocol.Response{Body: &protocol.Response_LookupSession{LookupSession: &protocol.LookupSessionResponse{}}},
	)
}

func TestBytesAreCountedByPurpose(t *testing.T) {
	address, _ := startServer(t, lookupHandler{})
	pool := startPool(t, testKey)
	requests := []*protocol.Request{
		{Body: &protocol.Request_PollControl{PollControl: &protocol.PollControlRequest{Node: "front-1"}}},
		{Body: &protocol.Request_LookupSession{LookupSession: &protocol.LookupSessionRequest{Session: "s"}}},
	}
	for _, request := range requests {
		if _, err := pool.Call(t.Context(), address, request); err != nil {
			t.Fatal(err)
		}
	}
	for _, purpose := range wire.Purposes {
		want := purpose == wire.PurposeControl || purpose == wire.PurposeDirectory
		if sent := pool.Counters().SentFor.Of(purpose); (sent > 0) != want {
			t.Errorf("%d bytes counted as sent for %s, want some: %v", sent, purpose, want)
		}
	}
	for _, purpose := range []wire.Purpose{wire.PurposeControl, wire.PurposeDirectory} {
		if pool.Counters().ReceivedFor.Of(purpose) == 0 {
			t.Errorf("no bytes counted as received for %s, want some", purpose)
		}
	}
}
