package fleet

import (
	"bytes"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
)

const (
	secretBytes  = 32
	operatorName = "lab"
	signKeyName  = "lab"
	secretMode   = 0o600
)

// secrets of one fleet, made anew for each.
type secrets struct {
	operatorToken  string
	signOffPublic  string
	signOffPrivate ed25519.PrivateKey
	credentials    map[string]string

	clusterKeyFile    string
	operatorTokenFile string
	tokenFile         string
	signOffKeyFile    string
}

func makeSecrets(folder string) (*secrets, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make sign-off key")
	}
	s := &secrets{
		operatorToken:     randomText(),
		signOffPublic:     hex.EncodeToString(public),
		signOffPrivate:    private,
		credentials:       map[string]string{bundle.TenantCaroni: randomText(), bundle.TenantMenon: randomText()},
		clusterKeyFile:    filepath.Join(folder, "cluster.key"),
		operatorTokenFile: filepath.Join(folder, "operators"),
		tokenFile:         filepath.Join(folder, "operator.token"),
		signOffKeyFile:    filepath.Join(folder, "sign-off.key"),
	}
	files := []struct{ path, content string }{
		{s.clusterKeyFile, randomText()},
		{s.operatorTokenFile, operatorName + " " + s.operatorToken},
		{s.tokenFile, s.operatorToken},
		{s.signOffKeyFile, hex.EncodeToString(private.Seed())},
	}
	for _, file := range files {
		if err := os.WriteFile(file.path, []byte(file.content+"\n"), secretMode); err != nil {
			return nil, errors.Wrap(err, "write secret")
		}
	}
	return s, nil
}

func randomText() string {
	var bytes [secretBytes]byte
	_, _ = rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

func digestOf(credential string) string {
	digest := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(digest[:])
}

// ClusterKey is the key that every process of the fleet proves.
func (f *Fleet) ClusterKey() ([]byte, error) {
	content, err := os.ReadFile(f.secrets.clusterKeyFile)
	return bytes.TrimSpace(content), errors.Wrap(err, "read cluster key")
}

// Seeds are internal addresses at which a new process finds the core.
func (f *Fleet) Seeds() []string { return f.seeds(nil) }
