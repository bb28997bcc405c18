package wire

import (
	"testing"

	"github.com/rosestand/rosestand/internal/protocol"
)

func TestPurposeOfRequests(t *testing.T) {
	purposes := map[Purpose]*protocol.Request{
		PurposeConsensus: {Body: &protocol.Request_Consensus{}},
		PurposeDirectory: {Body: &protocol.Request_RegisterSessions{}},
		PurposeLedger:    {Body: &protocol.Request_Accept{}},
		PurposeTraffic:   {Body: &protocol.Request_Turn{}},
		PurposeControl:   {Body: &protocol.Request_RenewLease{}},
	}
	for purpose, request := range purposes {
		if got := purposeOf(&protocol.Frame{Request: request}); got != purpose {
			t.Errorf("purpose of %T is %s, want %s", request.GetBody(), got, purpose)
		}
	}
	if got := purposeOf(&protocol.Frame{Kind: protocol.FrameKind_FRAME_PING}); got != PurposeOther {
		t.Errorf("purpose of a ping is %s, want %s", got, PurposeOther)
	}
}
