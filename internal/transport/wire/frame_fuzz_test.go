package wire

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/rosestand/rosestand/internal/protocol"
)

func FuzzReadMessage(f *testing.F) {
	valid, err := appendFrame(nil, &protocol.Frame{Kind: protocol.FrameKind_FRAME_CANCEL, Id: 7})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(valid[:3])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 2, 0x1a, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &protocol.Frame{}
		if readMessage(bufio.NewReader(bytes.NewReader(data)), 1<<16, frame) != nil {
			return
		}
		if validateFrame(frame) != nil {
			return
		}
		again, err := appendFrame(nil, frame)
		if err != nil {
			t.Fatal(err)
		}
		copied := &protocol.Frame{}
		if err := readMessage(bufio.NewReader(bytes.NewReader(again)), MaxFrameBytes, copied); err != nil {
			t.Fatal(err)
		}
	})
}
