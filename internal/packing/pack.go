// Package packing compresses whole configurations for their way to the nodes. A
// packed configuration is made once for each version and shared by all answers
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

// MaxUnpackedBytes bounds the encoding of a packed configuration. A plain one
// is bounded by the frame of the internal protocol, which is as large.
const MaxUnpackedBytes = 16 << 20

// OversizedError says that a configuration is encoded in more than
// MaxUnpackedBytes and so is neither packed nor unpacked.
type OversizedError struct{}

func (e *OversizedError) Error() string {
	return fmt.Sprintf("the configuration takes more than %d bytes", MaxUnpackedBytes)
}

// DamagedError says that a packed configuration cannot be unpacked.
type DamagedError struct {
	Cause error
}

func (e *DamagedError) Error() string {
	return "the packed configuration is damaged: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DamagedError) Unwrap() error { return e.Cause }

// PackError says that a configuration could not be packed.
type PackError struct {
	Cause error
}

func (e *PackError) Error() string { return "packing the configuration: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *PackError) Unwrap() error { return e.Cause }

// PackConfiguration encodes and compresses a configuration. The error is an
// *OversizedError or a *PackError.
func PackConfiguration(configuration *protocol.Configuration) ([]byte, error) {
	encoded, err := proto.Marshal(configuration)
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

// UnpackConfiguration gives the configuration that was packed; it reads no more
// than MaxUnpackedBytes. The error is an *OversizedError or a *DamagedError.
func UnpackConfiguration(packed []byte) (*protocol.Configuration, error) {
	decoder, err := zstd.NewReader(bytes.NewReader(packed), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(MaxUnpackedBytes), zstd.WithDecoderMaxWindow(MaxUnpackedBytes))
	if err != nil {
		return nil, &DamagedError{Cause: err}
	}
	defer decoder.Close()
	// The options bound the window that the decoder keeps; this bounds the content.
	encoded, err := io.ReadAll(io.LimitReader(decoder, MaxUnpackedBytes+1))
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) || errors.Is(err, zstd.ErrWindowSizeExceeded) || len(encoded) > MaxUnpackedBytes {
		return nil, &OversizedError{}
	}
	if err != nil {
		return nil, &DamagedError{Cause: err}
	}
	configuration := &protocol.Configuration{}
	if err := proto.Unmarshal(encoded, configuration); err != nil {
		return nil, &DamagedError{Cause: err}
	}
	return configuration, nil
}
