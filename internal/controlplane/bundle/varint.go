package bundle

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// doubleBits returns the IEEE 754 bits of a double. Negative zero is encoded as zero, the zero value of the field.
func doubleBits(value float64) uint64 {
	if value == 0 {
		return 0
	}
	return math.Float64bits(value)
}

// varintOf returns the varint value of a field of the kinds that messages of this
// project have besides strings, bytes, messages and doubles.
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
