package bundle

import (
	"fmt"
	"regexp"
	"strconv"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// ParseError says what is wrong with a JSON document, every fault with the path of its field.
type ParseError struct {
	Faults []*protocol.Fault
	// Unknown is true when the document has fields that the message lacks.
	Unknown bool
}

// Error gives the first fault and the number of others.
func (e *ParseError) Error() string {
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

// Parse reads a bundle from protojson. Unknown and repeated fields are refused; the error is a *ParseError.
func Parse(document []byte) (*protocol.Bundle, error) {
	parsed := &protocol.Bundle{}
	if err := ParseMessage(document, parsed); err != nil {
		return nil, err
	}
	return parsed, nil
}

// ParseMessage reads any message from protojson under the rules of Parse.
func ParseMessage(document []byte, message proto.Message) error {
	scan := scanDocument(document, message.ProtoReflect().Descriptor())
	if len(scan.faults) > 0 {
		return &ParseError{Faults: scan.faults, Unknown: scan.unknown}
	}
	if err := protojson.Unmarshal(document, message); err != nil {
		fault := &protocol.Fault{Path: scan.pathOf(document, err), Message: withoutPosition(err)}
		return &ParseError{Faults: []*protocol.Fault{fault}}
	}
	return nil
}

// Format writes a message as protojson with the field names of the .proto files.
func Format(message proto.Message) ([]byte, error) {
	encoded, err := protojson.MarshalOptions{UseProtoNames: true, Multiline: true, Indent: "  "}.Marshal(message)
	return encoded, errors.Wrap(err, "encode protojson")
}

// position is how protojson names the place of an error in its text; the space after "proto:" is an ordinary or a non-breaking one.
var position = regexp.MustCompile(`^proto:[\s\x{a0}]*(?:syntax error[\s\x{a0}]*)?\(line (\d+):(\d+)\):[\s\x{a0}]*`)

func withoutPosition(err error) string {
	return position.ReplaceAllString(err.Error(), "")
}

// pathOf finds the field that encloses the position which protojson reports.
func (s *documentScan) pathOf(document []byte, err error) string {
	match := position.FindStringSubmatch(err.Error())
	if match == nil {
		return ""
	}
	line, lineErr := strconv.Atoi(match[1])
	column, columnErr := strconv.Atoi(match[2])
	if lineErr != nil || columnErr != nil {
		return ""
	}
	return s.pathAt(offsetOf(document, line, column))
}

func offsetOf(document []byte, line, column int) int64 {
	offset := 0
	for ; line > 1 && offset < len(document); offset++ {
		if document[offset] == '\n' {
			line--
		}
	}
	return int64(offset + column - 1)
}
