// Package packing compresses configurations and views with zstd for their delivery
// to the nodes. A message is packed once for each version, and the bytes are shared
// by all answers that contain it (see docs/DELIVERY.md). The functions have no state
// and are safe for concurrent use.
package packing

import (
	"bytes"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"
)

// MaxUnpackedBytes is the maximum size of the encoding of a packed message. Other
// messages are limited by the maximum frame of the internal protocol, which has the same size.
const MaxUnpackedBytes = 16 << 20

// OversizedError reports that the encoding of a message exceeds MaxUnpackedBytes,
// so that it is neither packed nor unpacked.
type OversizedError struct{}

// Error names the limit.
func (e *OversizedError) Error() string {
	return fmt.Sprintf("encoded message exceeds %d bytes", MaxUnpackedBytes)
}

// DamagedError reports that a packed message cannot be unpacked.
type DamagedError struct {
	Cause error
}

// Error names the cause.
func (e *DamagedError) Error() string {
	return "packed message is damaged: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DamagedError) Unwrap() error { return e.Cause }

// PackError reports that a message could not be packed.
type PackError struct {
	Cause error
}

// Error names the cause.
func (e *PackError) Error() string { return "pack message: " + e.Cause.Error() }

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

// Unpack decompresses and decodes a packed message into an empty one. It
// decompresses no more than MaxUnpackedBytes, whatever the input. The error is an
// *OversizedError or a *DamagedError.
func Unpack(packed []byte, message proto.Message) error {
	decoder, err := zstd.NewReader(bytes.NewReader(packed), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(MaxUnpackedBytes), zstd.WithDecoderMaxWindow(MaxUnpackedBytes))
	if err != nil {
		return &DamagedError{Cause: err}
	}
	defer decoder.Close()
	// The options bound the memory of the decoder; this bounds the content.
	encoded, err := io.ReadAll(io.LimitReader(decoder, MaxUnpackedBytes+1))
	decoderExceeded := errors.Is(err, zstd.ErrDecoderSizeExceeded) || errors.Is(err, zstd.ErrWindowSizeExceeded)
	if decoderExceeded || len(encoded) > MaxUnpackedBytes {
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
