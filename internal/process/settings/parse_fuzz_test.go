package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/process/settings"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/strictjson"
)

// FuzzDecode checks that no document makes the parser panic, that a rejection
// always has a fault, and that what was accepted survives printing.
func FuzzDecode(f *testing.F) {
	examples, err := filepath.Glob("../../../deploy/*/*.json")
	if err != nil {
		f.Fatal(err)
	}
	for _, example := range examples {
		document, err := os.ReadFile(example)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(document)
	}
	f.Add([]byte(validCore))
	f.Fuzz(func(t *testing.T, document []byte) {
		for _, message := range []proto.Message{
			&protocol.FrontSettings{}, &protocol.CoreSettings{}, &protocol.StoreSettings{}, &protocol.Bundle{},
		} {
			checkDecode(t, document, message)
		}
		if core, err := settings.Core.Parse(document); err == nil {
			_ = settings.Core.Complete(core)
		}
	})
}

func checkDecode(t *testing.T, document []byte, message proto.Message) {
	faults := strictjson.Decode(document, message)
	for _, fault := range faults {
		if fault.GetMessage() == "" {
			t.Fatalf("a fault at %q without a message", fault.GetPath())
		}
	}
	if len(faults) > 0 {
		return
	}
	printed, err := settings.Print(message)
	if err != nil {
		t.Fatalf("accepted settings cannot be printed: %v", err)
	}
	again := message.ProtoReflect().New().Interface()
	if faults := strictjson.Decode(printed, again); len(faults) > 0 {
		t.Fatalf("printed settings are rejected: %v", faults)
	}
	if !proto.Equal(message, again) {
		t.Fatal("printed settings differ")
	}
}
