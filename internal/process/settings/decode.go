package settings

import (
	"encoding/json"
	"sort"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Decode reads a JSON document in the protobuf mapping into message. Unknown
// and repeated fields are refused. It lists the faults of all fields, sorted by
// path, and leaves message undefined when there is one.
func Decode(document []byte, message proto.Message) []*protocol.Fault {
	faults := parse(document, message)
	if len(faults) == 0 {
		return nil
	}
	// The parser stops at the first value of a wrong type, so each field is also tried alone.
	faults = append(faults, faultsByField(document, message.ProtoReflect(), "")...)
	return distinct(faults)
}

func parse(document []byte, message proto.Message) []*protocol.Fault {
	err := bundle.ParseMessage(document, message)
	var refused *bundle.ParseError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return refused.Faults
	default:
		return []*protocol.Fault{{Message: err.Error()}}
	}
}

// faultsByField parses each field of the object as a document of its own, going into messages.
func faultsByField(document []byte, reflection protoreflect.Message, path string) []*protocol.Fault {
	var object map[string]json.RawMessage
	if json.Unmarshal(document, &object) != nil {
		return nil
	}
	var faults []*protocol.Fault
	for name, value := range object {
		field := fieldNamed(reflection.Descriptor(), name)
		if field != nil && field.Message() != nil && field.Cardinality() != protoreflect.Repeated {
			faults = append(faults, faultsByField(value, reflection.NewField(field).Message(), join(path, name))...)
			continue
		}
		faults = append(faults, faultsOfField(name, value, reflection, path)...)
	}
	return faults
}

func faultsOfField(name string, value json.RawMessage, reflection protoreflect.Message, path string) []*protocol.Fault {
	document, err := json.Marshal(map[string]json.RawMessage{name: value})
	if err != nil {
		return nil
	}
	faults := parse(document, reflection.Type().New().Interface())
	for _, fault := range faults {
		fault.Path = join(path, fault.GetPath())
	}
	return faults
}

func fieldNamed(descriptor protoreflect.MessageDescriptor, name string) protoreflect.FieldDescriptor {
	if field := descriptor.Fields().ByJSONName(name); field != nil {
		return field
	}
	return descriptor.Fields().ByTextName(name)
}

// distinct sorts faults by path and keeps the first of each path.
func distinct(faults []*protocol.Fault) []*protocol.Fault {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].GetPath() < faults[j].GetPath() })
	kept := faults[:0]
	for _, fault := range faults {
		if len(kept) == 0 || kept[len(kept)-1].GetPath() != fault.GetPath() {
			kept = append(kept, fault)
		}
	}
	return kept
}

func join(path, name string) string {
	switch {
	case path == "":
		return name
	case name == "":
		return path
	default:
		return path + "." + name
	}
}
