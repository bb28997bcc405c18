package operator

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

const keyFileMode = 0o600

// KeyFileError reports that a file does not contain a sign-off key. Its text never includes the content.
type KeyFileError struct {
	Path string
}

// Error names the path.
func (e *KeyFileError) Error() string {
	return fmt.Sprintf("%s holds no ed25519 seed of %d bytes in hex", e.Path, ed25519.SeedSize)
}

// generateKey writes a new private key to a file that must not exist and returns the public key in hex.
func generateKey(path string) (string, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", errors.Wrap(err, "make key")
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, keyFileMode)
	if err != nil {
		return "", &FileError{Path: path, Cause: err}
	}
	_, err = file.WriteString(hex.EncodeToString(private.Seed()) + "\n")
	if err == nil {
		err = file.Sync()
	}
	if err = errors.CombineErrors(err, file.Close()); err != nil {
		return "", &FileError{Path: path, Cause: err}
	}
	return hex.EncodeToString(public), nil
}

// loadKey loads the private key from a file with its seed in hex.
func loadKey(path string) (ed25519.PrivateKey, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	seed, err := hex.DecodeString(strings.TrimSpace(string(content)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, &KeyFileError{Path: path}
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
