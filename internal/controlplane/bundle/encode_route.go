package bundle

import (
	"bytes"
	"maps"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/rosestand/rosestand/internal/protocol"
)

// A bundle may have thousands of HTTP routes and is encoded at every change on
// every node, so their canonical encoding is written field by field here rather
// than by reflection. The result has the same bytes as that of appendMessage.

// Field numbers of HttpRoute and WeightedGroup, as in bundle.proto.
const (
	routeName = iota + 1
	routeHost
	routePrefix
	routeKind
	routeTargets
	routeTimeoutMillis
	routeLatencyObjectiveMillis
	routePauseObjectiveMillis
	routeRank
	routeMaxAttempts
	routeStateful
	routeKeepMillis
	routeSticky
	routeResumable
	routeAnnotations
	routeSingleTarget

	targetGroup  = 1
	targetWeight = 2

	mapKey   = 1
	mapValue = 2
)

func appendHTTPRoute(buffer []byte, route *protocol.HttpRoute) []byte {
	buffer = appendString(buffer, routeName, route.GetName())
	buffer = appendString(buffer, routeHost, route.GetHost())
	buffer = appendString(buffer, routePrefix, route.GetPrefix())
	buffer = appendUint(buffer, routeKind, uint64(route.GetKind()))
	for _, target := range route.GetTargets() {
		buffer = appendTarget(buffer, target)
	}
	buffer = appendUint(buffer, routeTimeoutMillis, uint64(route.GetTimeoutMillis()))
	buffer = appendUint(buffer, routeLatencyObjectiveMillis, uint64(route.GetLatencyObjectiveMillis()))
	buffer = appendUint(buffer, routePauseObjectiveMillis, uint64(route.GetPauseObjectiveMillis()))
	buffer = appendUint(buffer, routeRank, uint64(route.GetRank()))
	buffer = appendUint(buffer, routeMaxAttempts, uint64(route.GetMaxAttempts()))
	buffer = appendUint(buffer, routeStateful, protowire.EncodeBool(route.GetStateful()))
	buffer = appendUint(buffer, routeKeepMillis, route.GetKeepMillis())
	buffer = appendUint(buffer, routeSticky, protowire.EncodeBool(route.GetSticky()))
	buffer = appendUint(buffer, routeResumable, protowire.EncodeBool(route.GetResumable()))
	buffer = appendStringMap(buffer, routeAnnotations, route.GetAnnotations())
	return appendUint(buffer, routeSingleTarget, protowire.EncodeBool(route.GetSingleTarget()))
}

func appendTarget(buffer []byte, target *protocol.WeightedGroup) []byte {
	encoded := appendString(make([]byte, 0, 64), targetGroup, target.GetGroup())
	encoded = appendUint(encoded, targetWeight, uint64(target.GetWeight()))
	buffer = protowire.AppendTag(buffer, routeTargets, protowire.BytesType)
	return protowire.AppendBytes(buffer, encoded)
}

func appendString(buffer []byte, number protowire.Number, text string) []byte {
	if text == "" {
		return buffer
	}
	buffer = protowire.AppendTag(buffer, number, protowire.BytesType)
	return protowire.AppendString(buffer, text)
}

func appendUint(buffer []byte, field protowire.Number, number uint64) []byte {
	if number == 0 {
		return buffer
	}
	buffer = protowire.AppendTag(buffer, field, protowire.VarintType)
	return protowire.AppendVarint(buffer, number)
}

// appendStringMap appends the entries of a map in the order of their keys. Unlike a
// field, the key and the value of an entry are encoded even if they are empty.
func appendStringMap(buffer []byte, number protowire.Number, texts map[string]string) []byte {
	if len(texts) == 0 {
		return buffer
	}
	for _, key := range slices.Sorted(maps.Keys(texts)) {
		entry := protowire.AppendTag(make([]byte, 0, 64), mapKey, protowire.BytesType)
		entry = protowire.AppendString(entry, key)
		entry = protowire.AppendTag(entry, mapValue, protowire.BytesType)
		entry = protowire.AppendString(entry, texts[key])
		buffer = protowire.AppendTag(buffer, number, protowire.BytesType)
		buffer = protowire.AppendBytes(buffer, entry)
	}
	return buffer
}

// sameHTTPRoute compares two HTTP routes by their canonical encodings.
func sameHTTPRoute(a, b *protocol.HttpRoute) bool {
	if a.GetName() != b.GetName() || a.GetPrefix() != b.GetPrefix() {
		return false
	}
	return bytes.Equal(appendHTTPRoute(nil, a), appendHTTPRoute(nil, b))
}
