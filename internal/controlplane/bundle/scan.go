package bundle

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// maxFaults bounds the list of faults that one answer carries.
	maxFaults = 100
	// maxDepth bounds the nesting of a document; messages here need far less.
	maxDepth = 32
)

// nestingError says that a document is nested deeper than any message.
type nestingError struct{}

func (*nestingError) Error() string { return "nested too deeply" }

// documentScan walks a JSON document beside the descriptor of its message, to
// find every unknown or repeated field and to know the path at each offset.
type documentScan struct {
	decoder *json.Decoder
	faults  []*protocol.Fault
	unknown bool
	depth   int
	// starts and paths are parallel: a path holds from its start to the next.
	starts []int64
	paths  []string
}

func scanDocument(document []byte, descriptor protoreflect.MessageDescriptor) *documentScan {
	scan := &documentScan{decoder: json.NewDecoder(bytes.NewReader(document))}
	scan.decoder.UseNumber()
	if err := scan.value("", descriptor, nil); err != nil {
		scan.add(scan.lastPath(), "not valid JSON: "+err.Error())
		return scan
	}
	if _, err := scan.decoder.Token(); err != io.EOF {
		scan.add("", "not valid JSON: more than one value")
	}
	return scan
}

func (s *documentScan) add(path, message string) {
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
	found := ""
	for i, start := range s.starts {
		if start > offset {
			break
		}
		found = s.paths[i]
	}
	return found
}

// value reads one JSON value. The descriptor is that of the message expected
// there, if any; the field is the one it belongs to, if any.
func (s *documentScan) value(path string, descriptor protoreflect.MessageDescriptor, field protoreflect.FieldDescriptor) error {
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
			return s.mapEntries(path, field)
		}
		return s.object(path, descriptor)
	case json.Delim('['):
		return s.array(path, descriptor)
	default:
		return nil
	}
}

func (s *documentScan) object(path string, descriptor protoreflect.MessageDescriptor) error {
	seen := map[string]bool{}
	for s.decoder.More() {
		name, err := s.key()
		if err != nil {
			return err
		}
		inner := join(path, name)
		field := fieldNamed(descriptor, name)
		switch {
		case descriptor != nil && field == nil:
			s.unknown = true
			s.add(inner, "unknown field")
		case field != nil && seen[string(field.Name())]:
			s.add(inner, "field is given twice")
		}
		if field != nil {
			seen[string(field.Name())] = true
		}
		if err := s.value(inner, messageOf(field), field); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

func (s *documentScan) mapEntries(path string, field protoreflect.FieldDescriptor) error {
	for s.decoder.More() {
		name, err := s.key()
		if err != nil {
			return err
		}
		if err := s.value(path+"["+name+"]", field.MapValue().Message(), nil); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

func (s *documentScan) array(path string, descriptor protoreflect.MessageDescriptor) error {
	for i := 0; s.decoder.More(); i++ {
		if err := s.value(fmt.Sprintf("%s[%d]", path, i), descriptor, nil); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

func (s *documentScan) key() (string, error) {
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

func messageOf(field protoreflect.FieldDescriptor) protoreflect.MessageDescriptor {
	if field == nil || field.IsMap() {
		return nil
	}
	return field.Message()
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
