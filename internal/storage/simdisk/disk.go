package simdisk

import (
	"fmt"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"

	"github.com/rosestand/rosestand/internal/storage"
)

// SectorBytes is the unit that a loss of power persists or drops, as on common disks.
const SectorBytes = 512

// StaleHandleError reports the use of a file that was opened before the process was killed or the disk was lost.
type StaleHandleError struct{ Path string }

// Error implements error.
func (e *StaleHandleError) Error() string { return "simdisk: stale handle of " + e.Path }

// SyncFailedError is the injected failure of a sync.
type SyncFailedError struct{ Path string }

// Error implements error.
func (e *SyncFailedError) Error() string { return "simdisk: sync of " + e.Path + " failed" }

// Counters are the operations and faults of a disk so far.
type Counters struct {
	Syncs        int
	FailedSyncs  int
	StalledSyncs int
	PowerLosses  int
	// TornFiles had writes that were not synced at a loss of power; LostBytes is by how much they became shorter.
	TornFiles  int
	LostBytes  int64
	DiskLosses int
	// FullWrites failed, at least partly, because the disk was full.
	FullWrites   int
	DamagedBytes int
}

// Disk is one simulated disk. It is safe for concurrent use; it is deterministic when one goroutine uses it.
type Disk struct {
	// mutex guards all fields and all inodes.
	mutex  sync.Mutex
	random *rand.Rand

	dirs  map[string]bool
	names map[string]*inode
	// durableNames are the names that are on the disk; nameChanges are those made since, in order.
	durableNames map[string]*inode
	nameChanges  []nameChange

	// generation is raised when handles become stale.
	generation int
	// capacity bounds the bytes of all files; zero is no bound.
	capacity int64
	// The next syncsToPass syncs succeed, and the syncsToFail after them fail.
	syncsToFail int
	syncsToPass int
	// resumed is closed when syncs go on; nil while they are not stalled.
	resumed    chan struct{}
	storageIDs int
	counters   Counters
}

// nameChange binds a name to a file, or removes it when node is nil. It removes the old name of a renamed file.
type nameChange struct {
	path    string
	node    *inode
	oldPath string
}

var _ storage.Filesystem = (*Disk)(nil)

// New returns an empty disk without a bound on its size.
func New(random *rand.Rand) *Disk {
	disk := &Disk{random: random}
	disk.erase()
	return disk
}

func (d *Disk) erase() {
	d.dirs = map[string]bool{"/": true, ".": true}
	d.names = map[string]*inode{}
	d.durableNames = map[string]*inode{}
	d.nameChanges = nil
	d.generation++
}

// NewStorageID returns an identity for storage.OpenIdentityWith that is deterministic for the seed.
func (d *Disk) NewStorageID() string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.storageIDs++
	return fmt.Sprintf("disk-%016x-%d", d.random.Uint64(), d.storageIDs)
}

// MkdirAll creates a directory and its parents durably.
func (d *Disk) MkdirAll(path string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for path = filepath.Clean(path); !d.dirs[path]; path = filepath.Dir(path) {
		d.dirs[path] = true
	}
	return nil
}

// List returns the entries of a directory, sorted by name.
func (d *Disk) List(dir string) ([]storage.Entry, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	dir = filepath.Clean(dir)
	if !d.dirs[dir] {
		return nil, notExist("list", dir)
	}
	var entries []storage.Entry
	for path := range d.names {
		if filepath.Dir(path) == dir {
			entries = append(entries, storage.Entry{Name: filepath.Base(path)})
		}
	}
	for path := range d.dirs {
		if filepath.Dir(path) == dir && path != dir {
			entries = append(entries, storage.Entry{Name: filepath.Base(path), IsDir: true})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Name < entries[j].Name })
	return entries, nil
}

// Create makes an empty file, or truncates an existing one.
func (d *Disk) Create(path string) (storage.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	path = filepath.Clean(path)
	if !d.dirs[filepath.Dir(path)] {
		return nil, notExist("create", path)
	}
	node, exists := d.names[path]
	if exists {
		node.truncate(0)
	} else {
		node = &inode{}
		d.change(nameChange{path: path, node: node})
	}
	return d.handle(path, node), nil
}

// Open opens an existing file.
func (d *Disk) Open(path string) (storage.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	path = filepath.Clean(path)
	node, exists := d.names[path]
	if !exists {
		return nil, notExist("open", path)
	}
	return d.handle(path, node), nil
}

// Rename replaces the file at the new path. A loss of power before SyncDir persists both changes of names or none.
func (d *Disk) Rename(from, to string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	from, to = filepath.Clean(from), filepath.Clean(to)
	node, exists := d.names[from]
	if !exists {
		return notExist("rename", from)
	}
	d.change(nameChange{path: to, node: node, oldPath: from})
	return nil
}

// Remove deletes a file.
func (d *Disk) Remove(path string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	path = filepath.Clean(path)
	if _, exists := d.names[path]; !exists {
		return notExist("remove", path)
	}
	d.change(nameChange{path: path})
	return nil
}

// SyncDir makes the names in a directory durable.
func (d *Disk) SyncDir(path string) error {
	d.waitWhileStalled()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	path = filepath.Clean(path)
	if !d.dirs[path] {
		return notExist("sync", path)
	}
	if d.syncFails() {
		return &SyncFailedError{Path: path}
	}
	var later []nameChange
	for _, change := range d.nameChanges {
		if filepath.Dir(change.path) == path {
			d.persistName(change)
		} else {
			later = append(later, change)
		}
	}
	d.nameChanges = later
	return nil
}

func (d *Disk) change(change nameChange) {
	apply(d.names, change)
	d.nameChanges = append(d.nameChanges, change)
}

func (d *Disk) persistName(change nameChange) { apply(d.durableNames, change) }

func apply(names map[string]*inode, change nameChange) {
	if change.oldPath != "" {
		delete(names, change.oldPath)
	}
	if change.node == nil {
		delete(names, change.path)
		return
	}
	names[change.path] = change.node
}

func (d *Disk) handle(path string, node *inode) storage.File {
	return &handle{disk: d, path: path, node: node, generation: d.generation}
}

// syncFails counts a sync and reports whether FailSyncs chose it to fail.
func (d *Disk) syncFails() bool {
	d.counters.Syncs++
	if d.syncsToFail == 0 {
		return false
	}
	if d.syncsToPass > 0 {
		d.syncsToPass--
		return false
	}
	d.syncsToFail--
	d.counters.FailedSyncs++
	return true
}

func (d *Disk) used() int64 {
	var total int64
	for _, node := range d.names {
		total += int64(len(node.content))
	}
	return total
}

func notExist(operation, path string) error {
	return &fs.PathError{Op: operation, Path: path, Err: syscall.ENOENT}
}

// Files returns the paths of all files under a directory, sorted.
func (d *Disk) Files(dir string) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	prefix := strings.TrimSuffix(filepath.Clean(dir), "/") + "/"
	var paths []string
	for path := range d.names {
		if strings.HasPrefix(path, prefix) {
			paths = append(paths, path)
		}
	}
	sort.Strings(paths)
	return paths
}

// Counters returns the operations and faults so far.
func (d *Disk) Counters() Counters {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.counters
}
