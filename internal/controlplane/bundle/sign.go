package bundle

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"

	"github.com/rosestand/rosestand/internal/protocol"
)

// SignatureError reports why a sign-off was rejected.
type SignatureError struct {
	KeyName string
	Reason  string
}

// Error returns the message with the key name and the reason.
func (e *SignatureError) Error() string {
	return fmt.Sprintf("sign-off with key %q: %s", e.KeyName, e.Reason)
}

// Sign signs the merged digest of a bundle and returns the ed25519 signature in
// hex. The signed message is the 64 hex characters of the digest, so that common
// tools can sign, too. The digest covers the version number.
func Sign(key ed25519.PrivateKey, mergedDigest string) string {
	return hex.EncodeToString(ed25519.Sign(key, []byte(mergedDigest)))
}

// Verify verifies a hex signature over the merged digest with the key that has the
// given name. The error is a *SignatureError.
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
