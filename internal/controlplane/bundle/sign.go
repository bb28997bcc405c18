package bundle

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
)

// SignatureError reports why a sign-off was rejected.
type SignatureError struct {
	KeyName string
	Reason  string
}

// Error names the key and the reason.
func (e *SignatureError) Error() string {
	return fmt.Sprintf("sign-off with key %q: %s", e.KeyName, e.Reason)
}

// Sign signs the merged digest of a bundle and returns the ed25519 signature in
// hex. The signed message is the 64 hex characters of the digest, so that common
// tools can sign, too. The digest covers the version number.
func Sign(key ed25519.PrivateKey, mergedDigest string) string {
	return hex.EncodeToString(ed25519.Sign(key, []byte(mergedDigest)))
}

// Verify verifies a hex signature over the merged digest with the key of that
// name. The error is a *SignatureError.
func Verify(keys []*protocol.SignOffKey, keyName, mergedDigest, signature string) error {
	for _, key := range keys {
		if key.GetName() == keyName {
			return verifySignature(key, mergedDigest, signature)
		}
	}
	return &SignatureError{KeyName: keyName, Reason: "no such key is in force"}
}

func verifySignature(key *protocol.SignOffKey, mergedDigest, signature string) error {
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

// KeyFormatError reports that a sign-off key in the settings is not "name hex-public-key".
type KeyFormatError struct {
	Text string
}

// Error quotes the text of the setting.
func (e *KeyFormatError) Error() string {
	return fmt.Sprintf("sign-off key %q is not \"name hex-public-key\"", e.Text)
}

// ParseKeys parses sign-off keys of the settings, each "name hex-public-key"; the
// separator may be a space, a tab, a colon or an equals sign. The error is a
// *KeyFormatError.
func ParseKeys(texts []string) ([]*protocol.SignOffKey, error) {
	keys := make([]*protocol.SignOffKey, 0, len(texts))
	for _, text := range texts {
		separator := strings.LastIndexAny(text, " \t:=")
		if separator <= 0 {
			return nil, &KeyFormatError{Text: text}
		}
		key := &protocol.SignOffKey{
			Name: strings.TrimSpace(text[:separator]), PublicKey: strings.ToLower(text[separator+1:]),
		}
		if publicKeyFault(key.GetPublicKey()) != "" || key.GetName() == "" {
			return nil, &KeyFormatError{Text: text}
		}
		keys = append(keys, key)
	}
	return keys, nil
}

func publicKeyFault(text string) string {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != ed25519.PublicKeySize {
		return "must be an ed25519 public key, 32 bytes in hex"
	}
	return ""
}
