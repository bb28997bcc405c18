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

// SectorBytes is the unit in which a loss of power persists or drops writes, as on common disks.
const SectorBytes = 512

// StaleHandleError reports the use of a file handle that is closed, or that was opened before the process was killed or
// the disk was lost.
type StaleHandleError struct{ Path string }

// Error implements error.
func (e *StaleHandleError) Error() string { return "simdisk: stale handle of " + e.Path }

// StoppedError reports an operation of a process that StopAfter has stopped.
type StoppedError struct{ Path string }

// Error implements error.
func (e *StoppedError) Error() string { return "simdisk: the process is stopped at " + e.Path }

// SyncFailedError is an injected sync failure.
type SyncFailedError struct{ Path string }

// Error implements error.
func (e *SyncFailedError) Error() string { return "simdisk: sync of " + e.Path + " failed" }

// Counters counts the operations and faults of a disk.
type Counters struct {
	Syncs        int
	FailedSyncs  int
	StalledSyncs int
	PowerLosses  int
	// TornFiles counts the files with unsynced writes at a loss of power, LostBytes by how much they became shorter.
	TornFiles  int
	LostBytes  int64
	DiskLosses int
	// FullWrites counts the writes that failed, at least partly, because the disk was full.
	FullWrites   int
	DamagedBytes int
}

// Disk is a simulated disk. It is safe for concurrent use, but deterministic only when a single goroutine uses it.
type Disk struct {
	// mutex guards all fields and all inodes.
	mutex  sync.Mutex
	random *rand.Rand

	// names are the entries of all directories by their paths.
	names map[string]*inode
	// durableNames are the synced directory entries; nameChanges are the changes made to them since, in order.
	durableNames map[string]*inode
	nameChanges  []nameChange

	// generation is incremented to make all open handles stale.
	generation int
	// capacity limits the total bytes of all files; zero means no limit.
	capacity int64
	// The next syncsToPass syncs succeed, and the syncsToFail after them fail.
	syncsToFail int
	syncsToPass int
	// resumed is closed when stalled syncs resume. It is nil while syncs are not stalled.
	resumed chan struct{}
	// operations counts the operations that change the disk or sync it; stopAt, unless zero, is the count at which the
	// process is stopped.
	operations int
	stopAt     int
	storageIDs int
	counters   Counters
}

// nameChange is a change of directory entries: it links path to node, or removes path if node is nil. For a rename it
// also removes oldPath.
type nameChange struct {
	path    string
	node    *inode
	oldPath string
}

var _ storage.Filesystem = (*Disk)(nil)

// New returns an empty disk without a capacity limit.
func New(random *rand.Rand) *Disk {
	disk := &Disk{random: random}
	disk.erase()
	return disk
}

// Clone returns a copy of the disk whose later faults random decides. It has no open handles, and is not stopped.
func (d *Disk) Clone(random *rand.Rand) *Disk {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	clones := map[*inode]*inode{nil: nil}
	clone := func(node *inode) *inode {
		if _, exists := clones[node]; !exists {
			clones[node] = node.clone()
		}
		return clones[node]
	}
	copied := &Disk{
		random: random, names: map[string]*inode{}, durableNames: map[string]*inode{}, operations: d.operations,
		capacity: d.capacity, syncsToFail: d.syncsToFail, syncsToPass: d.syncsToPass, storageIDs: d.storageIDs,
		counters: d.counters,
	}
	for path, node := range d.names {
		copied.names[path] = clone(node)
	}
	for path, node := range d.durableNames {
		copied.durableNames[path] = clone(node)
	}
	for _, change := range d.nameChanges {
		change.node = clone(change.node)
		copied.nameChanges = append(copied.nameChanges, change)
	}
	return copied
}

func (d *Disk) erase() {
	d.names = map[string]*inode{}
	d.durableNames = map[string]*inode{}
	d.nameChanges = nil
	d.generation++
}

// NewStorageID returns a StorageID for storage.IdentityOptions that is deterministic for the seed.
func (d *Disk) NewStorageID() string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.storageIDs++
	return fmt.Sprintf("disk-%016x-%d", d.random.Uint64(), d.storageIDs)
}

// isDir reports whether a path is a directory. The roots of absolute and of relative paths always exist.
func (d *Disk) isDir(path string) bool {
	if path == "/" || path == "." {
		return true
	}
	node, exists := d.names[path]
	return exists && node.isDir
}

// Mkdir creates a directory.
func (d *Disk) Mkdir(path string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	path = filepath.Clean(path)
	if err := d.beginOperation(path); err != nil {
		return err
	}
	if _, exists := d.names[path]; exists || d.isDir(path) {
		return &fs.PathError{Op: "mkdir", Path: path, Err: syscall.EEXIST}
	}
	if !d.isDir(filepath.Dir(path)) {
		return notExist("mkdir", path)
	}
	d.changeName(nameChange{path: path, node: &inode{isDir: true}})
	return nil
}

// List returns the entries of a directory, sorted by name.
func (d *Disk) List(dir string) ([]storage.Entry, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	dir = filepath.Clean(dir)
	if d.isStopped() {
		return nil, &StoppedError{Path: dir}
	}
	if !d.isDir(dir) {
		return nil, notExist("list", dir)
	}
	var entries []storage.Entry
	for path, node := range d.names {
		if filepath.Dir(path) == dir {
			entries = append(entries, storage.Entry{Name: filepath.Base(path), IsDir: node.isDir})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Name < entries[j].Name })
	return entries, nil
}

// Create creates an empty file or truncates an existing one.
func (d *Disk) Create(path string) (storage.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	path = filepath.Clean(path)
	if err := d.beginOperation(path); err != nil {
		return nil, err
	}
	if !d.isDir(filepath.Dir(path)) {
		return nil, notExist("create", path)
	}
	node, exists := d.names[path]
	if exists && node.isDir {
		return nil, &fs.PathError{Op: "create", Path: path, Err: syscall.EISDIR}
	}
	if exists {
		node.truncate(0)
	} else {
		node = &inode{}
		d.changeName(nameChange{path: path, node: node})
	}
	return d.handle(path, node), nil
}

// Open opens an existing file.
func (d *Disk) Open(path string) (storage.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	path = filepath.Clean(path)
	if d.isStopped() {
		return nil, &StoppedError{Path: path}
	}
	node, exists := d.names[path]
	if !exists {
		return nil, notExist("open", path)
	}
	if node.isDir {
		return nil, &fs.PathError{Op: "open", Path: path, Err: syscall.EISDIR}
	}
	return d.handle(path, node), nil
}

// Rename renames a file, replacing any file at the new path. A loss of power before SyncDir
// persists both the removal of the old name and the new name, or neither.
func (d *Disk) Rename(from, to string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	from, to = filepath.Clean(from), filepath.Clean(to)
	if err := d.beginOperation(from); err != nil {
		return err
	}
	node, exists := d.names[from]
	if !exists {
		return notExist("rename", from)
	}
	d.changeName(nameChange{path: to, node: node, oldPath: from})
	return nil
}

// Remove deletes a file.
func (d *Disk) Remove(path string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	path = filepath.Clean(path)
	if err := d.beginOperation(path); err != nil {
		return err
	}
	if _, exists := d.names[path]; !exists {
		return notExist("remove", path)
	}
	d.changeName(nameChange{path: path})
	return nil
}

// SyncDir makes the entries of a directory durable.
func (d *Disk) SyncDir(path string) error {
	d.waitWhileStalled()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	path = filepath.Clean(path)
	if err := d.beginOperation(path); err != nil {
		return err
	}
	if !d.isDir(path) {
		return notExist("sync", path)
	}
	if d.syncFails() {
		return &SyncFailedError{Path: path}
	}
	var remaining []nameChange
	for _, change := range d.nameChanges {
		if filepath.Dir(change.path) == path {
			d.persistName(change)
		} else {
			remaining = append(remaining, change)
		}
	}
	d.nameChanges = remaining
	return nil
}

// changeName applies a change to the visible names and queues it for the next SyncDir.
func (d *Disk) changeName(change nameChange) {
	applyNameChange(d.names, change)
	d.nameChanges = append(d.nameChanges, change)
}

func (d *Disk) persistName(change nameChange) { applyNameChange(d.durableNames, change) }

func applyNameChange(names map[string]*inode, change nameChange) {
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

// syncFails counts a sync and reports whether it must fail according to FailSyncs.
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
	for path, node := range d.names {
		if !node.isDir && strings.HasPrefix(path, prefix) {
			paths = append(paths, path)
		}
	}
	sort.Strings(paths)
	return paths
}

// Counters returns the counts of operations and faults so far.
func (d *Disk) Counters() Counters {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.counters
}
