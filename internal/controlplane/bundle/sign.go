package bundle

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
)

// SignatureError says why a sign-off was not accepted.
type SignatureError struct {
	KeyName string
	Reason  string
}

func (e *SignatureError) Error() string {
	return fmt.Sprintf("sign-off with key %q: %s", e.KeyName, e.Reason)
}

// Sign signs the merged digest of a bundle and returns the signature in hex.
// The message signed is the 64 hex characters of the digest, so that ordinary
// tools can make it too. The digest covers the version number.
func Sign(key ed25519.PrivateKey, mergedDigest string) string {
	return hex.EncodeToString(ed25519.Sign(key, []byte(mergedDigest)))
}

// Verify checks a hex signature over the merged digest with the key of that name; the error is a *SignatureError.
func Verify(keys []*protocol.SignOffKey, keyName, mergedDigest, signature string) error {
	for _, key := range keys {
		if key.GetName() == keyName {
			return verifyWith(key, mergedDigest, signature)
		}
	}
	return &SignatureError{KeyName: keyName, Reason: "no such key is in force"}
}

func verifyWith(key *protocol.SignOffKey, mergedDigest, signature string) error {
	public, err := hex.DecodeString(key.GetPublicKey())
	if err != nil || len(public) != ed25519.PublicKeySize {
		return &SignatureError{KeyName: key.GetName(), Reason: "the key in force is malformed"}
	}
	decoded, err := hex.DecodeString(signature)
	if err != nil || len(decoded) != ed25519.SignatureSize {
		return &SignatureError{KeyName: key.GetName(), Reason: "the signature is not 64 bytes in hex"}
	}
	if !ed25519.Verify(public, []byte(mergedDigest), decoded) {
		return &SignatureError{KeyName: key.GetName(), Reason: "the signature does not fit the merged digest"}
	}
	return nil
}

// KeyFormatError says that a sign-off key in the settings is not "name hex-public-key".
type KeyFormatError struct {
	Text string
}

func (e *KeyFormatError) Error() string {
	return fmt.Sprintf("sign-off key %q is not \"name hex-public-key\"", e.Text)
}

// ParseKeys reads sign-off keys of the settings, each "name hex-public-key"; a colon or equals sign may stand for the space.
func ParseKeys(texts []string) ([]*protocol.SignOffKey, error) {
	keys := make([]*protocol.SignOffKey, 0, len(texts))
	for _, text := range texts {
		at := strings.LastIndexAny(text, " \t:=")
		if at <= 0 {
			return nil, &KeyFormatError{Text: text}
		}
		key := &protocol.SignOffKey{Name: strings.TrimSpace(text[:at]), PublicKey: strings.ToLower(text[at+1:])}
		if faultOfPublicKey(key.GetPublicKey()) != "" || key.GetName() == "" {
			return nil, &KeyFormatError{Text: text}
		}
		keys = append(keys, key)
	}
	return keys, nil
}

func faultOfPublicKey(text string) string {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != ed25519.PublicKeySize {
		return "must be an ed25519 public key, 32 bytes in hex"
	}
	return ""
}
