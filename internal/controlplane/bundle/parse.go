package bundle

import (
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/strictjson"
)

// Parse parses a bundle from protojson. It rejects unknown and repeated fields; the
// error is a *strictjson.Error.
func Parse(document []byte) (*protocol.Bundle, error) {
	parsed := &protocol.Bundle{}
	if err := strictjson.Unmarshal(document, parsed); err != nil {
		return nil, err
	}
	return parsed, nil
}
