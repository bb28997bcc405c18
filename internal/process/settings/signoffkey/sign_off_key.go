// Package signoffkey parses and checks the textual form that settings and bundles use for the public keys with which
// operators sign bundles off.
package signoffkey

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
)

// FormatError reports that a sign-off key in the settings is not "name hex-public-key".
type FormatError struct {
	Text string
}

// Error returns the text of the setting and the expected form.
func (e *FormatError) Error() string {
	return fmt.Sprintf("sign-off key %q is not \"name hex-public-key\"", e.Text)
}

// Parse parses sign-off keys of the settings, each "name hex-public-key"; the separator may be a space, a tab, a colon
// or an equals sign. The error is a *FormatError.
func Parse(texts []string) ([]*protocol.SignOffKey, error) {
	keys := make([]*protocol.SignOffKey, 0, len(texts))
	for _, text := range texts {
		separator := strings.LastIndexAny(text, " \t:=")
		if separator <= 0 {
			return nil, &FormatError{Text: text}
		}
		key := &protocol.SignOffKey{
			Name: strings.TrimSpace(text[:separator]), PublicKey: strings.ToLower(text[separator+1:]),
		}
		if PublicKeyFault(key.GetPublicKey()) != "" || key.GetName() == "" {
			return nil, &FormatError{Text: text}
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// PublicKeyFault returns why a text is not an ed25519 public key in hex, or "" for a valid key.
func PublicKeyFault(text string) string {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != ed25519.PublicKeySize {
		return "must be an ed25519 public key, 32 bytes in hex"
	}
	return ""
}
