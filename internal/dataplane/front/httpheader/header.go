package httpheader

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
)

const contentLength = "Content-Length"

// connectionHeaders concern one connection only and are not forwarded (RFC 9110, section 7.6.1).
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	contentLength: true, "Host": true,
}

// EndToEnd returns the headers that are forwarded, sorted by name, without those named in except.
// Names are in their canonical form.
func EndToEnd(header http.Header, except ...string) []*protocol.HttpHeader {
	hopByHop := namedInConnection(header)
	forwarded := make([]*protocol.HttpHeader, 0, len(header))
	for name, values := range header {
		if connectionHeaders[name] || hopByHop[name] || slices.Contains(except, name) {
			continue
		}
		for _, value := range values {
			forwarded = append(forwarded, &protocol.HttpHeader{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(forwarded, func(a, b *protocol.HttpHeader) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	return forwarded
}

// OfAnswer returns the headers of a complete answer that are forwarded. Only in the answer to a HEAD
// request does the length describe no body that follows, so it is forwarded there.
func OfAnswer(method string, header http.Header) []*protocol.HttpHeader {
	forwarded := EndToEnd(header)
	if length := header.Get(contentLength); method == http.MethodHead && length != "" {
		forwarded = append(forwarded, &protocol.HttpHeader{Name: contentLength, Value: length})
	}
	return forwarded
}

func namedInConnection(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	names := make(map[string]bool)
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			names[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}
