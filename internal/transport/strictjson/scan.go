package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// maxFaults bounds the list of faults in one answer.
	maxFaults = 100
	// maxDepth is the maximum nesting of a document; the messages of the protocol need far less.
	maxDepth = 32
)

// nestingError reports that a document is nested more than maxDepth levels deep.
type nestingError struct{}

// Error implements error.
func (*nestingError) Error() string { return "nested too deeply" }

// documentScan walks a JSON document along with the descriptor of its message, to
// find all unknown and repeated fields, of which protojson reports only the first,
// and the path at each offset.
type documentScan struct {
	decoder *json.Decoder
	faults  []*protocol.Fault
	unknown bool
	depth   int
	// starts and paths are parallel: a path is valid from its start offset to the next one.
	starts []int64
	paths  []string
}

func scanDocument(document []byte, descriptor protoreflect.MessageDescriptor) *documentScan {
	scan := &documentScan{decoder: json.NewDecoder(bytes.NewReader(document))}
	scan.decoder.UseNumber()
	if err := scan.scanValue("", descriptor, nil); err != nil {
		scan.addFault(scan.lastPath(), "not valid JSON: "+err.Error())
		return scan
	}
	if _, err := scan.decoder.Token(); err != io.EOF {
		scan.addFault("", "not valid JSON: more than one value")
	}
	return scan
}

func (s *documentScan) addFault(path, message string) {
	if len(s.faults) < maxFaults {
		s.faults = append(s.faults, &protocol.Fault{Path: path, Message: message})
	}
}

func (s *documentScan) lastPath() string {
	if len(s.paths) == 0 {
		return ""
	}
	return s.paths[len(s.paths)-1]
}

func (s *documentScan) pathAt(offset int64) string {
	path := ""
	for i, start := range s.starts {
		if start > offset {
			break
		}
		path = s.paths[i]
	}
	return path
}

// scanValue scans one JSON value. The descriptor is that of the message expected
// there, if any; field is the field that the value belongs to, if any.
func (s *documentScan) scanValue(
	path string, descriptor protoreflect.MessageDescriptor, field protoreflect.FieldDescriptor,
) error {
	s.depth++
	defer func() { s.depth-- }()
	if s.depth > maxDepth {
		return &nestingError{}
	}
	s.starts = append(s.starts, s.decoder.InputOffset())
	s.paths = append(s.paths, path)
	token, err := s.decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		if field != nil && field.IsMap() {
			return s.scanMap(path, field)
		}
		return s.scanObject(path, descriptor)
	case json.Delim('['):
		return s.scanArray(path, descriptor)
	default:
		return nil
	}
}

func (s *documentScan) scanObject(path string, descriptor protoreflect.MessageDescriptor) error {
	seen := map[string]bool{}
	for s.decoder.More() {
		name, err := s.readKey()
		if err != nil {
			return err
		}
		inner := joinPath(path, name)
		field := fieldNamed(descriptor, name)
		switch {
		case descriptor != nil && field == nil:
			s.unknown = true
			s.addFault(inner, "unknown field")
		case field != nil && seen[string(field.Name())]:
			s.addFault(inner, "field is given twice")
		}
		if field != nil {
			seen[string(field.Name())] = true
		}
		if err := s.scanValue(inner, messageDescriptor(field), field); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

func (s *documentScan) scanMap(path string, field protoreflect.FieldDescriptor) error {
	for s.decoder.More() {
		name, err := s.readKey()
		if err != nil {
			return err
		}
		if err := s.scanValue(path+"["+name+"]", field.MapValue().Message(), nil); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

func (s *documentScan) scanArray(path string, descriptor protoreflect.MessageDescriptor) error {
	for i := 0; s.decoder.More(); i++ {
		if err := s.scanValue(fmt.Sprintf("%s[%d]", path, i), descriptor, nil); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

func (s *documentScan) readKey() (string, error) {
	token, err := s.decoder.Token()
	if err != nil {
		return "", err
	}
	name, _ := token.(string)
	return name, nil
}

func fieldNamed(descriptor protoreflect.MessageDescriptor, name string) protoreflect.FieldDescriptor {
	if descriptor == nil {
		return nil
	}
	if field := descriptor.Fields().ByJSONName(name); field != nil {
		return field
	}
	return descriptor.Fields().ByTextName(name)
}

func messageDescriptor(field protoreflect.FieldDescriptor) protoreflect.MessageDescriptor {
	if field == nil || field.IsMap() {
		return nil
	}
	return field.Message()
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
