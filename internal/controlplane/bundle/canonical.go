package bundle

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Digest is the hex SHA-256 of the canonical encoding. Bundles that differ only
// in the order of their named lists have the same digest.
func Digest(b *protocol.Bundle) string {
	sum := sha256.Sum256(Encode(b))
	return hex.EncodeToString(sum[:])
}

// Encode gives the canonical encoding: the protobuf wire format with fields in
// the order of their numbers, map entries sorted by key, named lists sorted by
// name, and no field at its zero value. Unlike protobuf's own deterministic
// mode it stays the same over versions of the library.
func Encode(b *protocol.Bundle) []byte {
	return appendMessage(make([]byte, 0, 1024), sorted(b).ProtoReflect())
}

// EncodeMessage gives the canonical encoding of any message; its lists keep their order.
func EncodeMessage(message protoreflect.ProtoMessage) []byte {
	return appendMessage(nil, message.ProtoReflect())
}

// sorted returns the bundle with its named lists in order, without changing the one given.
func sorted(b *protocol.Bundle) *protocol.Bundle {
	if b == nil {
		return &protocol.Bundle{}
	}
	return &protocol.Bundle{
		Version: b.GetVersion(), BaseVersion: b.GetBaseVersion(), Partial: b.GetPartial(),
		Routes: byName(b.GetRoutes()), Groups: byName(b.GetGroups()), Tenants: byName(b.GetTenants()),
		Scheduling: b.GetScheduling(), Recovery: b.GetRecovery(), Limits: b.GetLimits(),
		SignOffKeys:   byName(b.GetSignOffKeys()),
		RemovedRoutes: inOrder(b.GetRemovedRoutes()), RemovedGroups: inOrder(b.GetRemovedGroups()),
		RemovedTenants: inOrder(b.GetRemovedTenants()),
		HttpRoutes:     byName(b.GetHttpRoutes()), RemovedHttpRoutes: inOrder(b.GetRemovedHttpRoutes()),
	}
}

type named interface{ GetName() string }

func compareNames[T named](a, b T) int { return cmp.Compare(a.GetName(), b.GetName()) }

func byName[T named](list []T) []T {
	if slices.IsSortedFunc(list, compareNames[T]) {
		return list
	}
	ordered := slices.Clone(list)
	slices.SortStableFunc(ordered, compareNames[T])
	return ordered
}

func inOrder(names []string) []string {
	if slices.IsSorted(names) {
		return names
	}
	ordered := slices.Clone(names)
	slices.Sort(ordered)
	return ordered
}

func appendMessage(buffer []byte, message protoreflect.Message) []byte {
	fields := message.Descriptor().Fields()
	numbers := make([]protoreflect.FieldNumber, 0, fields.Len())
	for i := range fields.Len() {
		if message.Has(fields.Get(i)) {
			numbers = append(numbers, fields.Get(i).Number())
		}
	}
	slices.Sort(numbers)
	for _, number := range numbers {
		field := fields.ByNumber(number)
		buffer = appendField(buffer, field, message.Get(field))
	}
	return buffer
}

func appendField(buffer []byte, field protoreflect.FieldDescriptor, value protoreflect.Value) []byte {
	switch {
	case field.IsMap():
		return appendMap(buffer, field, value.Map())
	case field.IsList():
		list := value.List()
		for i := range list.Len() {
			buffer = appendSingle(buffer, field, field.Number(), list.Get(i))
		}
		return buffer
	default:
		return appendSingle(buffer, field, field.Number(), value)
	}
}

func encodeEntry(message protoreflect.Message) []byte {
	if route, isRoute := message.Interface().(*protocol.HttpRoute); isRoute {
		return appendHTTPRoute(make([]byte, 0, 256), route)
	}
	return appendMessage(nil, message)
}

func appendMap(buffer []byte, field protoreflect.FieldDescriptor, entries protoreflect.Map) []byte {
	keys := make([]protoreflect.MapKey, 0, entries.Len())
	entries.Range(func(key protoreflect.MapKey, _ protoreflect.Value) bool {
		keys = append(keys, key)
		return true
	})
	slices.SortFunc(keys, func(a, b protoreflect.MapKey) int { return cmp.Compare(a.String(), b.String()) })
	for _, key := range keys {
		entry := appendSingle(nil, field.MapKey(), 1, key.Value())
		entry = appendSingle(entry, field.MapValue(), 2, entries.Get(key))
		buffer = protowire.AppendTag(buffer, field.Number(), protowire.BytesType)
		buffer = protowire.AppendBytes(buffer, entry)
	}
	return buffer
}

func appendSingle(buffer []byte, field protoreflect.FieldDescriptor, number protowire.Number, value protoreflect.Value) []byte {
	switch field.Kind() {
	case protoreflect.StringKind:
		buffer = protowire.AppendTag(buffer, number, protowire.BytesType)
		return protowire.AppendString(buffer, value.String())
	case protoreflect.BytesKind:
		buffer = protowire.AppendTag(buffer, number, protowire.BytesType)
		return protowire.AppendBytes(buffer, value.Bytes())
	case protoreflect.MessageKind:
		buffer = protowire.AppendTag(buffer, number, protowire.BytesType)
		return protowire.AppendBytes(buffer, encodeEntry(value.Message()))
	case protoreflect.DoubleKind:
		buffer = protowire.AppendTag(buffer, number, protowire.Fixed64Type)
		return protowire.AppendFixed64(buffer, doubleBits(value.Float()))
	default:
		buffer = protowire.AppendTag(buffer, number, protowire.VarintType)
		return protowire.AppendVarint(buffer, varint(field.Kind(), value))
	}
}
