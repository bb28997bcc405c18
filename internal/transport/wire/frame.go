package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	lengthBytes = 4
	// initialBufferBytes is enough for a typical small frame.
	initialBufferBytes = 512
)

// appendFrame encodes a message after its four-byte big-endian length.
func appendFrame(buffer []byte, message proto.Message) ([]byte, error) {
	start := len(buffer)
	buffer = append(buffer, 0, 0, 0, 0)
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, message)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	size := len(buffer) - start - lengthBytes
	if size > MaxFrameBytes {
		return nil, &FrameError{Reason: "message larger than a frame may be"}
	}
	binary.BigEndian.PutUint32(buffer[start:], uint32(size))
	return buffer, nil
}

// readMessage reads one length-prefixed message. It rejects a length above the limit before it reads the message.
func readMessage(reader *bufio.Reader, limit uint32, message proto.Message) error {
	single := frameReader{reader: reader}
	return single.read(limit, message)
}

// frameReader reads the messages of one connection, with one reused buffer for all small ones.
type frameReader struct {
	reader *bufio.Reader
	// counters, if any, count the frames read.
	counters *Counters
	prefix   [lengthBytes]byte
	reusable []byte
}

// read reads the next message.
func (r *frameReader) read(limit uint32, message proto.Message) error {
	size, err := r.readSize(limit)
	if err != nil {
		return err
	}
	return r.readBody(size, message)
}

// readSize reads the length of the next message.
func (r *frameReader) readSize(limit uint32) (uint32, error) {
	if _, err := io.ReadFull(r.reader, r.prefix[:]); err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(r.prefix[:])
	if size > limit {
		return 0, &FrameError{Reason: "length over the limit"}
	}
	return size, nil
}

// readBody reads a message of a length. Decoding copies the contents, so that the buffer can be reused.
func (r *frameReader) readBody(size uint32, message proto.Message) error {
	body := r.buffer(int(size))
	if _, err := io.ReadFull(r.reader, body); err != nil {
		return errors.Wrap(err, "truncated frame")
	}
	if err := proto.Unmarshal(body, message); err != nil {
		return &FrameError{Reason: err.Error()}
	}
	if frame, isFrame := message.(*protocol.Frame); isFrame && r.counters != nil {
		r.counters.ReceivedFor.add(frame, lengthBytes+int(size))
	}
	return nil
}

// buffer returns a buffer for one body. A buffer above maxReusedBufferBytes is not reused.
func (r *frameReader) buffer(size int) []byte {
	if size > maxReusedBufferBytes {
		return make([]byte, size)
	}
	if cap(r.reusable) < size {
		r.reusable = make([]byte, size, max(size, initialBufferBytes))
	}
	return r.reusable[:size]
}

// validateFrame checks the kind of a frame, and that a request or response has a body.
func validateFrame(frame *protocol.Frame) error {
	switch frame.GetKind() {
	case protocol.FrameKind_FRAME_REQUEST:
		if frame.GetRequest().GetBody() == nil {
			return &FrameError{Reason: "request without a body"}
		}
	case protocol.FrameKind_FRAME_RESPONSE:
		if frame.GetResponse().GetBody() == nil {
			return &FrameError{Reason: "response without a body"}
		}
	case protocol.FrameKind_FRAME_END, protocol.FrameKind_FRAME_CANCEL, protocol.FrameKind_FRAME_PING:
	default:
		return &FrameError{Reason: "unknown kind"}
	}
	return nil
}
