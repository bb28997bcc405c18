// Package packing compresses whole configurations and views for their way to the nodes. A
// packed message is made once for each version and shared by all answers
// that carry it (see docs/DELIVERY.md).
package packing

import (
	"bytes"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// MaxUnpackedBytes bounds the encoding of a packed message. A plain one
// is bounded by the frame of the internal protocol, which is as large.
const MaxUnpackedBytes = 16 << 20

// OversizedError says that a message is encoded in more than
// MaxUnpackedBytes and so is neither packed nor unpacked.
type OversizedError struct{}

func (e *OversizedError) Error() string {
	return fmt.Sprintf("the message takes more than %d bytes", MaxUnpackedBytes)
}

// DamagedError says that a packed message cannot be unpacked.
type DamagedError struct {
	Cause error
}

func (e *DamagedError) Error() string {
	return "the packed message is damaged: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DamagedError) Unwrap() error { return e.Cause }

// PackError says that a message could not be packed.
type PackError struct {
	Cause error
}

func (e *PackError) Error() string { return "packing the message: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *PackError) Unwrap() error { return e.Cause }

// Pack encodes and compresses a message. The error is an *OversizedError or a *PackError.
func Pack(message proto.Message) ([]byte, error) {
	encoded, err := proto.Marshal(message)
	if err != nil {
		return nil, &PackError{Cause: err}
	}
	if len(encoded) > MaxUnpackedBytes {
		return nil, &OversizedError{}
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, &PackError{Cause: err}
	}
	packed := encoder.EncodeAll(encoded, nil)
	if err := encoder.Close(); err != nil {
		return nil, &PackError{Cause: err}
	}
	return packed, nil
}

// Unpack reads the message that was packed into an empty one; it reads no more
// than MaxUnpackedBytes. The error is an *OversizedError or a *DamagedError.
func Unpack(packed []byte, message proto.Message) error {
	decoder, err := zstd.NewReader(bytes.NewReader(packed), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(MaxUnpackedBytes), zstd.WithDecoderMaxWindow(MaxUnpackedBytes))
	if err != nil {
		return &DamagedError{Cause: err}
	}
	defer decoder.Close()
	// The options bound the window that the decoder keeps; this bounds the content.
	encoded, err := io.ReadAll(io.LimitReader(decoder, MaxUnpackedBytes+1))
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) || errors.Is(err, zstd.ErrWindowSizeExceeded) || len(encoded) > MaxUnpackedBytes {
		return &OversizedError{}
	}
	if err != nil {
		return &DamagedError{Cause: err}
	}
	if err := proto.Unmarshal(encoded, message); err != nil {
		return &DamagedError{Cause: err}
	}
	return nil
}

// PackConfiguration is Pack for a configuration.
func PackConfiguration(configuration *protocol.Configuration) ([]byte, error) {
	return Pack(configuration)
}

// UnpackConfiguration is Unpack for a configuration.
func UnpackConfiguration(packed []byte) (*protocol.Configuration, error) {
	configuration := &protocol.Configuration{}
	if err := Unpack(packed, configuration); err != nil {
		return nil, err
	}
	return configuration, nil
}
