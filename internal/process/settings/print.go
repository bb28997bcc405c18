package settings

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Print gives settings as the JSON document that would make them. Settings name
// the files of keys and tokens and never hold their content, so nothing in it is secret.
func Print(message proto.Message) ([]byte, error) {
	document, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	// protojson varies its spacing on purpose; indenting again makes the output stable.
	var stable bytes.Buffer
	if err := json.Indent(&stable, document, "", "  "); err != nil {
		return nil, errors.Wrap(err, "indent settings")
	}
	stable.WriteByte('\n')
	return stable.Bytes(), nil
}
