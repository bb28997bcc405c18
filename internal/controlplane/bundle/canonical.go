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

// Digest returns the SHA-256 of the canonical encoding in hex. Bundles that differ
// only in the order of their named lists have the same digest.
func Digest(b *protocol.Bundle) string {
	sum := sha256.Sum256(Encode(b))
	return hex.EncodeToString(sum[:])
}

// Encode returns the canonical encoding: the protobuf wire format with fields in
// the order of their numbers, map entries sorted by key, named lists sorted by
// name, and no field at its zero value. Signed digests require that the encoding
// is the same in all versions of the protobuf library, which its deterministic
// mode does not guarantee.
func Encode(b *protocol.Bundle) []byte {
	return appendMessage(make([]byte, 0, 1024), withSortedLists(b).ProtoReflect())
}

// EncodeMessage returns the canonical encoding of any message; its lists are not sorted.
func EncodeMessage(message protoreflect.ProtoMessage) []byte {
	return appendMessage(nil, message.ProtoReflect())
}

// withSortedLists returns a shallow copy of the bundle with its named lists sorted.
func withSortedLists(b *protocol.Bundle) *protocol.Bundle {
	if b == nil {
		return &protocol.Bundle{}
	}
	return &protocol.Bundle{
		Version: b.GetVersion(), BaseVersion: b.GetBaseVersion(), Partial: b.GetPartial(),
		Routes: sortedByName(b.GetRoutes()), Groups: sortedByName(b.GetGroups()), Tenants: sortedByName(b.GetTenants()),
		Scheduling: b.GetScheduling(), Recovery: b.GetRecovery(), Limits: b.GetLimits(),
		SignOffKeys:   sortedByName(b.GetSignOffKeys()),
		RemovedRoutes: sortedNames(b.GetRemovedRoutes()), RemovedGroups: sortedNames(b.GetRemovedGroups()),
		RemovedTenants: sortedNames(b.GetRemovedTenants()),
		HttpRoutes:     sortedByName(b.GetHttpRoutes()), RemovedHttpRoutes: sortedNames(b.GetRemovedHttpRoutes()),
	}
}

type named interface{ GetName() string }

func compareNames[T named](a, b T) int { return cmp.Compare(a.GetName(), b.GetName()) }

func sortedByName[T named](list []T) []T {
	if slices.IsSortedFunc(list, compareNames[T]) {
		return list
	}
	ordered := slices.Clone(list)
	slices.SortStableFunc(ordered, compareNames[T])
	return ordered
}

func sortedNames(names []string) []string {
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
			buffer = appendValue(buffer, field, field.Number(), list.Get(i))
		}
		return buffer
	default:
		return appendValue(buffer, field, field.Number(), value)
	}
}

func encodeNested(message protoreflect.Message) []byte {
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
		entry := appendValue(nil, field.MapKey(), 1, key.Value())
		entry = appendValue(entry, field.MapValue(), 2, entries.Get(key))
		buffer = protowire.AppendTag(buffer, field.Number(), protowire.BytesType)
		buffer = protowire.AppendBytes(buffer, entry)
	}
	return buffer
}

func appendValue(
	buffer []byte, field protoreflect.FieldDescriptor, number protowire.Number, value protoreflect.Value,
) []byte {
	switch field.Kind() {
	case protoreflect.StringKind:
		buffer = protowire.AppendTag(buffer, number, protowire.BytesType)
		return protowire.AppendString(buffer, value.String())
	case protoreflect.BytesKind:
		buffer = protowire.AppendTag(buffer, number, protowire.BytesType)
		return protowire.AppendBytes(buffer, value.Bytes())
	case protoreflect.MessageKind:
		buffer = protowire.AppendTag(buffer, number, protowire.BytesType)
		return protowire.AppendBytes(buffer, encodeNested(value.Message()))
	case protoreflect.DoubleKind:
		buffer = protowire.AppendTag(buffer, number, protowire.Fixed64Type)
		return protowire.AppendFixed64(buffer, doubleBits(value.Float()))
	default:
		buffer = protowire.AppendTag(buffer, number, protowire.VarintType)
		return protowire.AppendVarint(buffer, varintOf(field.Kind(), value))
	}
}
