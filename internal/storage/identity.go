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

// OpenIdentity reads the identity of a data directory and increments its start counter. For a directory without log
// segments and snapshots it creates an identity with a random StorageID. It returns *CorruptError when the identity
// file is damaged, or when it is missing from a directory that contains data.
func OpenIdentity(filesystem Filesystem, dir string) (Identity, error) {
	return OpenIdentityWith(filesystem, dir, uuid.NewString)
}

// OpenIdentityWith is like OpenIdentity but generates StorageIDs with newStorageID, for deterministic simulations.
func OpenIdentityWith(filesystem Filesystem, dir string, newStorageID func() string) (Identity, error) {
	if err := MkdirAll(filesystem, dir); err != nil {
		return Identity{}, err
	}
	identity, exists, err := readIdentity(filesystem, dir)
	if err != nil {
		return Identity{}, err
	}
	if !exists {
		if err := requireNoData(filesystem, dir, true); err != nil {
			return Identity{}, err
		}
		identity = Identity{StorageID: newStorageID(), Fresh: true}
	}
	identity.Starts++
	return identity, writeIdentity(filesystem, dir, identity)
}

func readIdentity(filesystem Filesystem, dir string) (identity Identity, exists bool, err error) {
	path := filepath.Join(dir, identityName)
	file, err := filesystem.Open(path)
	if isNotExist(err) {
		return Identity{}, false, nil
	}
	if err != nil {
		return Identity{}, false, err
	}
	content, err := readUpTo(file, maxIdentityBytes)
	if err = errors.CombineErrors(err, file.Close()); err != nil {
		return Identity{}, false, err
	}
	identity, valid := parseIdentity(string(content))
	if !valid {
		return Identity{}, false, &CorruptError{Path: path, Reason: "identity file has an invalid format or checksum"}
	}
	return identity, true, nil
}

func readUpTo(file File, maxBytes int64) ([]byte, error) {
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	content := make([]byte, min(size, maxBytes))
	if len(content) == 0 {
		return content, nil
	}
	_, err = file.ReadAt(content, 0)
	return content, errors.WithStack(err)
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

// writeIdentity replaces the identity file atomically by a rename, so that a crash leaves either the old or the new
// one.
func writeIdentity(filesystem Filesystem, dir string, identity Identity) error {
	path := filepath.Join(dir, identityName)
	temporary := path + temporarySuffix
	file, err := filesystem.Create(temporary)
	if err != nil {
		return &FailedError{Operation: "create", Path: temporary, Cause: err}
	}
	_, err = file.WriteAt([]byte(formatIdentity(identity)), 0)
	if err == nil {
		err = file.Sync()
	}
	err = errors.CombineErrors(err, file.Close())
	if err == nil {
		err = filesystem.Rename(temporary, path)
	}
	if err == nil {
		err = filesystem.SyncDir(dir)
	}
	if err != nil {
		return &FailedError{Operation: "write", Path: path, Cause: err}
	}
	return nil
}

// requireNoData returns *CorruptError when the directory contains segments or snapshots. With descend it checks the
// direct subdirectories, too.
func requireNoData(filesystem Filesystem, dir string, descend bool) error {
	entries, err := filesystem.List(dir)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		path := filepath.Join(dir, entry.Name)
		if entry.IsDir && descend {
			if err := requireNoData(filesystem, path, false); err != nil {
				return err
			}
		}
		if strings.HasSuffix(entry.Name, segmentSuffix) || strings.HasSuffix(entry.Name, snapshotSuffix) {
			return &CorruptError{Path: path, Reason: "directory contains data but no identity file"}
		}
	}
	return nil
}
