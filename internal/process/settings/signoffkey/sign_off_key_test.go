package signoffkey_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/process/settings/signoffkey"
)

// publicKey has the length of an ed25519 public key in hex.
var publicKey = strings.Repeat("0a", 32)

func TestParseAcceptsEverySeparator(t *testing.T) {
	for _, separator := range []string{" ", "\t", ":", "="} {
		keys, err := signoffkey.Parse([]string{"ann" + separator + strings.ToUpper(publicKey)})
		if err != nil {
			t.Fatal(err)
		}
		if keys[0].GetName() != "ann" || keys[0].GetPublicKey() != publicKey {
			t.Errorf("separator %q: got %v, want name ann and key %s", separator, keys[0], publicKey)
		}
	}
}

func TestParseRejectsMalformedKeys(t *testing.T) {
	for _, text := range []string{"ann", "ann:00", ":" + publicKey} {
		_, err := signoffkey.Parse([]string{text})
		var malformed *signoffkey.FormatError
		if !errors.As(err, &malformed) || malformed.Text != text {
			t.Errorf("Parse(%q): got error %v, want a FormatError with the text", text, err)
		}
	}
}
