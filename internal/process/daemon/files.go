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

	trustedNetworkKeyLabel = "rosestand trusted network"
)

// checkFiles checks the files that the settings name and returns the cluster key. Their
// faults are reported together with those of the settings in loadError.
func checkFiles(loaded settings.Message, loadError error) ([]byte, error) {
	var faults []*protocol.Fault
	var invalid *settings.InvalidError
	switch {
	case errors.As(loadError, &invalid):
		faults = invalid.Faults
	case loadError != nil:
		return nil, loadError
	}
	key, reason := clusterKey(loaded.GetNode())
	if reason != "" {
		faults = append(faults, &protocol.Fault{Path: "node.cluster_key_file", Message: reason})
	}
	core, isCore := loaded.(interface{ GetOperatorTokenFile() string })
	if isCore && core.GetOperatorTokenFile() != "" {
		if _, err := os.ReadFile(core.GetOperatorTokenFile()); err != nil {
			faults = append(faults, &protocol.Fault{Path: "operator_token_file", Message: err.Error()})
		}
	}
	if len(faults) > 0 {
		return nil, &settings.InvalidError{Faults: faults}
	}
	return key, nil
}

// clusterKey returns the key from the file in the settings, or the well-known key if the network is trusted.
func clusterKey(node *protocol.NodeSettings) (key []byte, reason string) {
	if node.GetTrustNetwork() {
		return trustedNetworkKey(), ""
	}
	return loadClusterKey(node.GetClusterKeyFile())
}

// trustedNetworkKey returns the key of clusters that trust their network. It is not a
// secret: it only keeps such a cluster from connecting to one that has a key.
func trustedNetworkKey() []byte {
	derivation := hmac.New(sha256.New, nil)
	derivation.Write([]byte(trustedNetworkKeyLabel))
	return derivation.Sum(nil)
}

// loadClusterKey loads the key that all processes of a cluster share, or returns
// why it cannot be used; white space around the key is ignored. An empty path is not
// reported here, because the check of the settings reports it.
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
		return nil, fmt.Sprintf(
			"%s has %d bytes, must have between %d and %d", path, len(key), minClusterKeyBytes, maxClusterKeyBytes,
		)
	}
	return key, ""
}

// readableByOthers reports whether the permissions give users other than the owner and the group access to the file.
func readableByOthers(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().Perm()&othersPermissions != 0
}
