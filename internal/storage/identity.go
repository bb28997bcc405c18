package storage

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// The identity file is text with one field per line; the last line is the CRC32C of the lines before it.
const (
	identityName = "identity"
	// maxIdentityBytes limits how much of the file is read; it is far larger than a valid file.
	maxIdentityBytes  = 1 << 10
	identityBodyStart = "rosestand-identity 1\nid %s\nstarts %d\n"
	identityFormat    = identityBodyStart + "crc %08x\n"
)

// Identity distinguishes the incarnations of a data directory.
type Identity struct {
	// StorageID is generated once, for an empty directory. A process whose directory was emptied gets a new one.
	StorageID string
	// Fresh is true when this start generated the StorageID: no vote and no promised ballot of the process is stored.
	Fresh bool
	// Starts is the number of process starts on this directory, including this one. It is durable before OpenIdentity
	// returns.
	Starts uint64
}

// IdentityOptions configures OpenIdentity. The zero value is for a directory without logs.
type IdentityOptions struct {
	// Logs are the names of the subdirectories that contain a log each.
	Logs []string
	// NewStorageID generates StorageIDs; nil selects random ones.
	NewStorageID func() string
}

// OpenIdentity reads the identity of a data directory and increments its start counter. In a directory without identity
// and without records it creates the logs, empty, and then an identity with a new StorageID.
//
// The identity is written last: a directory that has one has all of its logs, and a start that was interrupted before
// is repeated as the first one. So a log that is absent beside an identity is always a loss. OpenIdentity returns
// *CorruptError in that case, and when the identity file is damaged or missing from a directory that contains records.
func OpenIdentity(filesystem Filesystem, dir string, options IdentityOptions) (Identity, error) {
	if err := MkdirAll(filesystem, dir); err != nil {
		return Identity{}, err
	}
	identity, exists, err := readIdentity(filesystem, dir)
	switch {
	case err != nil:
		return Identity{}, err
	case exists:
		err = requireLogs(filesystem, dir, options.Logs)
	default:
		identity, err = newIdentity(filesystem, dir, options)
	}
	if err != nil {
		return Identity{}, err
	}
	identity.Starts++
	return identity, writeIdentity(filesystem, dir, identity)
}

// newIdentity creates the logs of a directory without records and returns an identity that is not written yet.
func newIdentity(filesystem Filesystem, dir string, options IdentityOptions) (Identity, error) {
	if err := requireNoRecords(filesystem, dir, true); err != nil {
		return Identity{}, err
	}
	for _, name := range options.Logs {
		// OpenLog also repairs a log whose creation was interrupted, and makes it durable.
		log, err := OpenLog(filesystem, filepath.Join(dir, name), LogOptions{})
		if err != nil {
			return Identity{}, err
		}
		if err := log.Close(); err != nil {
			return Identity{}, err
		}
	}
	newStorageID := options.NewStorageID
	if newStorageID == nil {
		newStorageID = uuid.NewString
	}
	return Identity{StorageID: newStorageID(), Fresh: true}, nil
}

// requireLogs returns *CorruptError when one of the logs has no segment.
func requireLogs(filesystem Filesystem, dir string, logs []string) error {
	for _, name := range logs {
		path := filepath.Join(dir, name)
		segments, err := listNumbered(filesystem, path, segmentSuffix)
		if err != nil && !isNotExist(err) {
			return err
		}
		if len(segments) > 0 {
			continue
		}
		var remaining *CorruptError
		err = requireNoRecords(filesystem, dir, true)
		if err != nil && !errors.As(err, &remaining) {
			return err
		}
		return &CorruptError{
			Path: path, Reason: "log is absent, but its directory has an identity", NoDataLeft: remaining == nil,
		}
	}
	return nil
}

func readIdentity(filesystem Filesystem, dir string) (identity Identity, exists bool, err error) {
	path := filepath.Join(dir, identityName)
	content, err := ReadFile(filesystem, path, maxIdentityBytes)
	if isNotExist(err) {
		return Identity{}, false, nil
	}
	if err != nil {
		return Identity{}, false, err
	}
	identity, valid := parseIdentity(string(content))
	if !valid {
		return Identity{}, false, &CorruptError{Path: path, Reason: "identity file has an invalid format or checksum"}
	}
	return identity, true, nil
}

func parseIdentity(content string) (Identity, bool) {
	var identity Identity
	var sum uint32
	if _, err := fmt.Sscanf(content, identityFormat, &identity.StorageID, &identity.Starts, &sum); err != nil {
		return Identity{}, false
	}
	return identity, content == formatIdentity(identity)
}

func formatIdentity(identity Identity) string {
	body := fmt.Sprintf(identityBodyStart, identity.StorageID, identity.Starts)
	return body + fmt.Sprintf("crc %08x\n", checksum([]byte(body)))
}

func writeIdentity(filesystem Filesystem, dir string, identity Identity) error {
	return ReplaceFile(filesystem, filepath.Join(dir, identityName), []byte(formatIdentity(identity)))
}

// requireNoRecords returns *CorruptError when the directory contains snapshots or segments, except for a first segment
// without records, which a start creates before the identity. With descend it checks the direct subdirectories, too.
func requireNoRecords(filesystem Filesystem, dir string, descend bool) error {
	entries, err := filesystem.List(dir)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		path := filepath.Join(dir, entry.Name)
		if entry.IsDir && descend {
			if err := requireNoRecords(filesystem, path, false); err != nil {
				return err
			}
		}
		hasRecords := strings.HasSuffix(entry.Name, segmentSuffix) || strings.HasSuffix(entry.Name, snapshotSuffix)
		if entry.Name == segmentName(firstSegment) {
			if hasRecords, err = isLongerThanHeader(filesystem, path); err != nil {
				return err
			}
		}
		if hasRecords {
			return &CorruptError{Path: path, Reason: "directory contains data but no identity file"}
		}
	}
	return nil
}

// isLongerThanHeader reports whether a segment has more than its header, of which an interrupted start may have written
// a part.
func isLongerThanHeader(filesystem Filesystem, path string) (bool, error) {
	file, err := filesystem.Open(path)
	if err != nil {
		return false, err
	}
	size, err := file.Size()
	return size > segmentHeaderBytes, errors.CombineErrors(err, file.Close())
}
