package wire

import (
	"sync/atomic"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Purpose classifies frames by what they are for. Limits on the control traffic of a node count PurposeControl alone.
type Purpose int

// The purposes of frames.
const (
	// PurposeOther frames carry neither a request nor an answer, such as the end of an exchange.
	PurposeOther Purpose = iota
	// PurposeControl frames go between nodes and the core: leases, polls, heartbeats, reports.
	PurposeControl
	// PurposeConsensus frames go between members of the core.
	PurposeConsensus
	// PurposeDirectory frames look up sessions or register them.
	PurposeDirectory
	// PurposeLedger frames are operations on programs and turns, and those between stores that they cause.
	PurposeLedger
	// PurposeTraffic frames are turns and calls that are forwarded to their owner, and the answers.
	PurposeTraffic
	purposeCount
)

// Purposes are all purposes, in the order of their numbers.
var Purposes = [...]Purpose{
	PurposeOther, PurposeControl, PurposeConsensus, PurposeDirectory, PurposeLedger, PurposeTraffic,
}

// String returns the purpose's label in metrics.
func (p Purpose) String() string {
	switch p {
	case PurposeControl:
		return "control"
	case PurposeConsensus:
		return "consensus"
	case PurposeDirectory:
		return "directory"
	case PurposeLedger:
		return "ledger"
	case PurposeTraffic:
		return "traffic"
	default:
		return "other"
	}
}

// purposeBytes counts bytes by purpose.
type purposeBytes [purposeCount]atomic.Uint64

// Of returns the number of bytes of one purpose.
func (b *purposeBytes) Of(purpose Purpose) uint64 { return b[purpose].Load() }

func (b *purposeBytes) add(frame *protocol.Frame, size int) {
	b[purposeOf(frame)].Add(uint64(size))
}

func purposeOf(frame *protocol.Frame) Purpose {
	switch {
	case frame.GetRequest() != nil:
		return purposeOfRequest(frame.GetRequest())
	case frame.GetResponse() != nil:
		return purposeOfResponse(frame.GetResponse())
	default:
		return PurposeOther
	}
}

func purposeOfRequest(request *protocol.Request) Purpose {
	switch request.GetBody().(type) {
	case *protocol.Request_Consensus, *protocol.Request_JoinCore, *protocol.Request_CoreStatus:
		return PurposeConsensus
	case *protocol.Request_LookupSession, *protocol.Request_RegisterSessions, *protocol.Request_UnregisterSessions:
		return PurposeDirectory
	case *protocol.Request_Ledger, *protocol.Request_Prepare, *protocol.Request_Accept, *protocol.Request_KeepTurn,
		*protocol.Request_FetchTurns, *protocol.Request_FetchShard, *protocol.Request_ShardDigest,
		*protocol.Request_StoreStatus,
		*protocol.Request_StoreBatch, *protocol.Request_FindTurn, *protocol.Request_ListTrainingStep:
		return PurposeLedger
	case *protocol.Request_Turn, *protocol.Request_ToolCall, *protocol.Request_ResumeTurn, *protocol.Request_Explain:
		return PurposeTraffic
	default:
		return PurposeControl
	}
}

func purposeOfResponse(response *protocol.Response) Purpose {
	switch response.GetBody().(type) {
	case *protocol.Response_Consensus, *protocol.Response_JoinCore, *protocol.Response_CoreStatus:
		return PurposeConsensus
	case *protocol.Response_LookupSession, *protocol.Response_RegisterSessions, *protocol.Response_UnregisterSessions:
		return PurposeDirectory
	case *protocol.Response_Ledger, *protocol.Response_Prepare, *protocol.Response_Accept, *protocol.Response_KeepTurn,
		*protocol.Response_FetchTurns, *protocol.Response_FetchShard, *protocol.Response_ShardDigest,
		*protocol.Response_StoreStatus,
		*protocol.Response_StoreBatch, *protocol.Response_FindTurn, *protocol.Response_ListTrainingStep:
		return PurposeLedger
	case *protocol.Response_TurnEvent, *protocol.Response_ToolCall, *protocol.Response_Explain:
		return PurposeTraffic
	default:
		return PurposeControl
	}
}
