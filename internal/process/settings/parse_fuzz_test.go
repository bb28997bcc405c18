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

// FuzzDecode checks that no document makes the parser panic, that every fault has a
// message, and that an accepted document is unchanged after printing and parsing.
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
			t.Fatalf("fault at %q has no message", fault.GetPath())
		}
	}
	if len(faults) > 0 {
		return
	}
	printed, err := settings.Print(message)
	if err != nil {
		t.Fatalf("print %T that was accepted: %v", message, err)
	}
	reparsed := message.ProtoReflect().New().Interface()
	if faults := strictjson.Decode(printed, reparsed); len(faults) > 0 {
		t.Fatalf("printed %T was rejected: %v", message, faults)
	}
	if !proto.Equal(message, reparsed) {
		t.Fatalf("printed and parsed again: %v, want %v", reparsed, message)
	}
}
