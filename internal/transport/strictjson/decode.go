package strictjson

import (
	"encoding/json"
	"sort"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Decode parses a JSON document in the protobuf mapping into message. It rejects
// unknown and repeated fields. It returns the faults of all fields, sorted by path;
// if there are any, the content of message is undefined.
func Decode(document []byte, message proto.Message) []*protocol.Fault {
	faults := parseFaults(document, message)
	if len(faults) == 0 {
		return nil
	}
	// The parser stops at the first value of a wrong type, so each field is also parsed separately.
	faults = append(faults, faultsOfFields(document, message.ProtoReflect(), "")...)
	return sortedDistinct(faults)
}

func parseFaults(document []byte, message proto.Message) []*protocol.Fault {
	err := Unmarshal(document, message)
	var invalid *Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &invalid):
		return invalid.Faults
	default:
		return []*protocol.Fault{{Message: err.Error()}}
	}
}

// faultsOfFields parses each field of the object, and of messages in it, as a document of its own.
func faultsOfFields(document []byte, reflection protoreflect.Message, path string) []*protocol.Fault {
	var object map[string]json.RawMessage
	if json.Unmarshal(document, &object) != nil {
		return nil
	}
	var faults []*protocol.Fault
	for name, value := range object {
		field := fieldNamed(reflection.Descriptor(), name)
		if field != nil && field.Message() != nil && field.Cardinality() != protoreflect.Repeated {
			faults = append(faults, faultsOfFields(value, reflection.NewField(field).Message(), joinPath(path, name))...)
			continue
		}
		faults = append(faults, parseFieldAlone(name, value, reflection, path)...)
	}
	return faults
}

func parseFieldAlone(
	name string, value json.RawMessage, reflection protoreflect.Message, path string,
) []*protocol.Fault {
	document, err := json.Marshal(map[string]json.RawMessage{name: value})
	if err != nil {
		return nil
	}
	faults := parseFaults(document, reflection.Type().New().Interface())
	for _, fault := range faults {
		if fault.GetPath() == "" {
			fault.Path = path
			continue
		}
		fault.Path = joinPath(path, fault.GetPath())
	}
	return faults
}

// sortedDistinct sorts faults by path and returns the first one of each path.
func sortedDistinct(faults []*protocol.Fault) []*protocol.Fault {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].GetPath() < faults[j].GetPath() })
	unique := faults[:0]
	for _, fault := range faults {
		if len(unique) == 0 || unique[len(unique)-1].GetPath() != fault.GetPath() {
			unique = append(unique, fault)
		}
	}
	return unique
}
