package bundle

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// doubleBits encodes negative zero as zero, which is the field's zero value.
func doubleBits(value float64) uint64 {
	if value == 0 {
		return 0
	}
	return math.Float64bits(value)
}

// varintOf encodes the kinds that messages of this project use besides strings,
// bytes, messages and doubles.
func varintOf(kind protoreflect.Kind, value protoreflect.Value) uint64 {
	switch kind {
	case protoreflect.BoolKind:
		return protowire.EncodeBool(value.Bool())
	case protoreflect.EnumKind:
		return uint64(value.Enum())
	case protoreflect.Int32Kind, protoreflect.Int64Kind:
		return uint64(value.Int())
	default:
		return value.Uint()
	}
}
