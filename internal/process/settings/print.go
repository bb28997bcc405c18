package settings

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Print encodes settings as a JSON document that Parse accepts. Settings have only the
// paths of the files with keys and tokens, so the document contains no secret.
func Print(message proto.Message) ([]byte, error) {
	document, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	// protojson varies its spacing between builds; indenting again makes the output stable.
	var stable bytes.Buffer
	if err := json.Indent(&stable, document, "", "  "); err != nil {
		return nil, errors.Wrap(err, "indent settings")
	}
	stable.WriteByte('\n')
	return stable.Bytes(), nil
}
