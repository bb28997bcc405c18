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
// than by reflection. It gives the same bytes as appendMessage.

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
	buffer = appendText(buffer, routeName, route.GetName())
	buffer = appendText(buffer, routeHost, route.GetHost())
	buffer = appendText(buffer, routePrefix, route.GetPrefix())
	buffer = appendNumber(buffer, routeKind, uint64(route.GetKind()))
	for _, target := range route.GetTargets() {
		buffer = appendTarget(buffer, target)
	}
	buffer = appendNumber(buffer, routeTimeoutMillis, uint64(route.GetTimeoutMillis()))
	buffer = appendNumber(buffer, routeLatencyObjectiveMillis, uint64(route.GetLatencyObjectiveMillis()))
	buffer = appendNumber(buffer, routePauseObjectiveMillis, uint64(route.GetPauseObjectiveMillis()))
	buffer = appendNumber(buffer, routeRank, uint64(route.GetRank()))
	buffer = appendNumber(buffer, routeMaxAttempts, uint64(route.GetMaxAttempts()))
	buffer = appendNumber(buffer, routeStateful, protowire.EncodeBool(route.GetStateful()))
	buffer = appendNumber(buffer, routeKeepMillis, route.GetKeepMillis())
	buffer = appendNumber(buffer, routeSticky, protowire.EncodeBool(route.GetSticky()))
	buffer = appendNumber(buffer, routeResumable, protowire.EncodeBool(route.GetResumable()))
	buffer = appendTexts(buffer, routeAnnotations, route.GetAnnotations())
	return appendNumber(buffer, routeSingleTarget, protowire.EncodeBool(route.GetSingleTarget()))
}

func appendTarget(buffer []byte, target *protocol.WeightedGroup) []byte {
	encoded := appendText(make([]byte, 0, 64), targetGroup, target.GetGroup())
	encoded = appendNumber(encoded, targetWeight, uint64(target.GetWeight()))
	buffer = protowire.AppendTag(buffer, routeTargets, protowire.BytesType)
	return protowire.AppendBytes(buffer, encoded)
}

func appendText(buffer []byte, number protowire.Number, text string) []byte {
	if text == "" {
		return buffer
	}
	buffer = protowire.AppendTag(buffer, number, protowire.BytesType)
	return protowire.AppendString(buffer, text)
}

func appendNumber(buffer []byte, field protowire.Number, number uint64) []byte {
	if number == 0 {
		return buffer
	}
	buffer = protowire.AppendTag(buffer, field, protowire.VarintType)
	return protowire.AppendVarint(buffer, number)
}

// appendTexts appends a map of texts in the order of its keys. Unlike a field, an
// entry has its key and its value even if they are empty.
func appendTexts(buffer []byte, number protowire.Number, texts map[string]string) []byte {
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
