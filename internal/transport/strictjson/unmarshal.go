package strictjson

import (
	"fmt"
	"regexp"
	"strconv"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Error lists the faults of a JSON document, each with the path of its field.
type Error struct {
	Faults []*protocol.Fault
	// Unknown is true if the document has fields that the message lacks.
	Unknown bool
}

// Error names the first fault and the number of others.
func (e *Error) Error() string {
	first := e.Faults[0]
	text := first.GetMessage()
	if first.GetPath() != "" {
		text = first.GetPath() + ": " + text
	}
	if others := len(e.Faults) - 1; others > 0 {
		text += fmt.Sprintf(" (and %d more)", others)
	}
	return text
}

// Unmarshal decodes a message from protojson. It rejects unknown and repeated
// fields, and nesting deeper than maxDepth. The error is an *Error with the faults
// that were found before the first value of a wrong type; Decode finds all faults.
func Unmarshal(document []byte, message proto.Message) error {
	scan := scanDocument(document, message.ProtoReflect().Descriptor())
	if len(scan.faults) > 0 {
		return &Error{Faults: scan.faults, Unknown: scan.unknown}
	}
	if err := protojson.Unmarshal(document, message); err != nil {
		fault := &protocol.Fault{Path: scan.errorPath(document, err), Message: withoutPosition(err)}
		return &Error{Faults: []*protocol.Fault{fault}}
	}
	return nil
}

// Marshal encodes a message as indented protojson with the field names of the .proto
// files. The spacing differs between builds.
func Marshal(message proto.Message) ([]byte, error) {
	encoded, err := protojson.MarshalOptions{UseProtoNames: true, Multiline: true, Indent: "  "}.Marshal(message)
	return encoded, errors.Wrap(err, "encode protojson")
}

// errorPosition matches the position in the text of a protojson error, which has no
// field for it. The space after "proto:" is an ordinary or a non-breaking one,
// depending on the build.
var errorPosition = regexp.MustCompile(`^proto:[\s\x{a0}]*(?:syntax error[\s\x{a0}]*)?\(line (\d+):(\d+)\):[\s\x{a0}]*`)

func withoutPosition(err error) string {
	return errorPosition.ReplaceAllString(err.Error(), "")
}

// errorPath returns the path of the field that encloses the position that protojson reports.
func (s *documentScan) errorPath(document []byte, err error) string {
	match := errorPosition.FindStringSubmatch(err.Error())
	if match == nil {
		return ""
	}
	line, lineErr := strconv.Atoi(match[1])
	column, columnErr := strconv.Atoi(match[2])
	if lineErr != nil || columnErr != nil {
		return ""
	}
	return s.pathAt(byteOffset(document, line, column))
}

func byteOffset(document []byte, line, column int) int64 {
	offset := 0
	for ; line > 1 && offset < len(document); offset++ {
		if document[offset] == '\n' {
			line--
		}
	}
	return int64(offset + column - 1)
}
