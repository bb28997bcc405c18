package wire

import (
	"bufio"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// framePrefixBytes is enough for the kind and the id of a frame, which are its first fields.
	framePrefixBytes = 32

	frameKindField protowire.Number = 1
	frameIDField   protowire.Number = 2
)

// frameID returns the id of the frame that begins at the reader's position, without reading it; isRequest is false if
// the frame is no request or its first fields are not its kind and id.
func frameID(reader *bufio.Reader) (id uint64, isRequest bool) {
	prefix, err := reader.Peek(framePrefixBytes)
	if err != nil {
		return 0, false
	}
	kind, rest, found := varintField(prefix, frameKindField)
	if !found || protocol.FrameKind(kind) != protocol.FrameKind_FRAME_REQUEST {
		return 0, false
	}
	id, _, found = varintField(rest, frameIDField)
	return id, found
}

// varintField returns the value of a number field at the beginning of a message, and what follows it.
func varintField(message []byte, want protowire.Number) (value uint64, rest []byte, found bool) {
	number, kind, length := protowire.ConsumeTag(message)
	if length < 0 || number != want || kind != protowire.VarintType {
		return 0, nil, false
	}
	value, valueLength := protowire.ConsumeVarint(message[length:])
	if valueLength < 0 {
		return 0, nil, false
	}
	return value, message[length+valueLength:], true
}
