package wire

import (
	"testing"

	"github.com/rosestand/rosestand/internal/protocol"
)

func TestEveryRequestHasAPurposeOfItsOwnKind(t *testing.T) {
	purposes := map[Purpose]*protocol.Request{
		PurposeConsensus: {Body: &protocol.Request_Consensus{}},
		PurposeDirectory: {Body: &protocol.Request_RegisterSessions{}},
		PurposeLedger:    {Body: &protocol.Request_Accept{}},
		PurposeTraffic:   {Body: &protocol.Request_Turn{}},
		PurposeControl:   {Body: &protocol.Request_RenewLease{}},
	}
	for purpose, request := range purposes {
		if found := purposeOf(&protocol.Frame{Request: request}); found != purpose {
			t.Errorf("%T is for %s, want %s", request.GetBody(), found, purpose)
		}
	}
	if found := purposeOf(&protocol.Frame{Kind: protocol.FrameKind_FRAME_PING}); found != PurposeOther {
		t.Errorf("a ping is for %s", found)
	}
}
