package daemon

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/process/settings"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	minClusterKeyBytes = 16
	maxClusterKeyBytes = 4096
	othersPermissions  = 0o007

	publicKeyLabel = "rosestand trusted network"
)

// checkFiles adds the faults of the files that the settings name to those of
// the settings, and returns the cluster key when there are none.
func checkFiles(loaded settings.Message, invalid error) ([]byte, error) {
	var faults []*protocol.Fault
	var found *settings.InvalidError
	switch {
	case errors.As(invalid, &found):
		faults = found.Faults
	case invalid != nil:
		return nil, invalid
	}
	key, reason := clusterKey(loaded.GetNode())
	if reason != "" {
		faults = append(faults, &protocol.Fault{Path: "node.cluster_key_file", Message: reason})
	}
	if core, is := loaded.(interface{ GetOperatorTokenFile() string }); is && core.GetOperatorTokenFile() != "" {
		if _, err := os.ReadFile(core.GetOperatorTokenFile()); err != nil {
			faults = append(faults, &protocol.Fault{Path: "operator_token_file", Message: err.Error()})
		}
	}
	if len(faults) > 0 {
		return nil, &settings.InvalidError{Faults: faults}
	}
	return key, nil
}

// clusterKey gives the key of the settings, or the public one where the network is trusted.
func clusterKey(node *protocol.NodeSettings) (key []byte, reason string) {
	if node.GetTrustNetwork() {
		return publicKey(), ""
	}
	return loadClusterKey(node.GetClusterKeyFile())
}

// publicKey is the key of clusters that trust their network. It is no secret:
// it only keeps such a cluster apart from one that has a key.
func publicKey() []byte {
	derivation := hmac.New(sha256.New, nil)
	derivation.Write([]byte(publicKeyLabel))
	return derivation.Sum(nil)
}

// loadClusterKey reads the key that all processes of a cluster share, or says
// why it cannot be used; white space round the key does not count. A path that
// is missing is a fault that the settings list by themselves.
func loadClusterKey(path string) (key []byte, reason string) {
	if path == "" {
		return nil, ""
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err.Error()
	}
	key = bytes.TrimSpace(content)
	if len(key) < minClusterKeyBytes || len(key) > maxClusterKeyBytes {
		return nil, fmt.Sprintf("%s has %d bytes, must have between %d and %d", path, len(key), minClusterKeyBytes, maxClusterKeyBytes)
	}
	return key, ""
}

// readableByOthers reports whether any account of the machine can read the file.
func readableByOthers(path string) bool {
	status, err := os.Stat(path)
	return err == nil && status.Mode().Perm()&othersPermissions != 0
}
