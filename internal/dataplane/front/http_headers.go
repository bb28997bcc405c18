package front

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
)

const contentLength = "Content-Length"

// connectionHeaders concern one connection only and are not passed on (RFC 9110, section 7.6.1).
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	contentLength: true, "Host": true,
}

// endToEndHeaders gives the headers that are passed on, sorted by name.
func endToEndHeaders(header http.Header, except ...string) []*protocol.HttpHeader {
	named := namedInConnection(header)
	passed := make([]*protocol.HttpHeader, 0, len(header))
	for name, values := range header {
		if connectionHeaders[name] || named[name] || slices.Contains(except, name) {
			continue
		}
		for _, value := range values {
			passed = append(passed, &protocol.HttpHeader{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(passed, func(a, b *protocol.HttpHeader) int { return strings.Compare(a.GetName(), b.GetName()) })
	return passed
}

// answerHeaders gives the headers of a whole answer that are passed on. The
// length stands for no body only in an answer to a HEAD request, and is kept there.
func answerHeaders(method string, header http.Header) []*protocol.HttpHeader {
	passed := endToEndHeaders(header)
	if length := header.Get(contentLength); method == http.MethodHead && length != "" {
		passed = append(passed, &protocol.HttpHeader{Name: contentLength, Value: length})
	}
	return passed
}

func namedInConnection(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
