package simdisk

import (
	"io"
	"maps"
	"slices"
	"syscall"
)

// inode is a directory or the content of a file. The disk's mutex guards it.
type inode struct {
	// isDir is true for a directory, which has no content.
	isDir bool
	// content is the written content, which reads return; durable is the content on the disk.
	content []byte
	durable []byte
	// dirty are the sectors in which content may differ from durable.
	dirty map[int]bool
}

func (n *inode) clone() *inode {
	return &inode{
		isDir: n.isDir, content: slices.Clone(n.content), durable: slices.Clone(n.durable), dirty: maps.Clone(n.dirty),
	}
}

func (n *inode) write(data []byte, offset int64) {
	end := int(offset) + len(data)
	if end > len(n.content) {
		n.markDirty(len(n.content), end)
		n.content = append(n.content, make([]byte, end-len(n.content))...)
	}
	copy(n.content[offset:], data)
	n.markDirty(int(offset), end)
}

func (n *inode) truncate(size int64) {
	old := len(n.content)
	if int(size) > old {
		n.write(make([]byte, int(size)-old), int64(old))
		return
	}
	n.content = n.content[:size:size]
	n.markDirty(int(size), max(old, len(n.durable)))
}

func (n *inode) markDirty(start, end int) {
	if n.dirty == nil {
		n.dirty = map[int]bool{}
	}
	for sector := start / SectorBytes; sector*SectorBytes < end; sector++ {
		n.dirty[sector] = true
	}
}

func (n *inode) sync() {
	if len(n.durable) > len(n.content) {
		n.durable = n.durable[:len(n.content)]
	}
	if len(n.durable) < len(n.content) {
		n.durable = append(n.durable, make([]byte, len(n.content)-len(n.durable))...)
	}
	for sector := range n.dirty {
		start := sector * SectorBytes
		if start < len(n.content) {
			end := min(start+SectorBytes, len(n.content))
			copy(n.durable[start:end], n.content[start:end])
		}
	}
	clear(n.dirty)
}

// handle is an open file of one process incarnation.
type handle struct {
	disk       *Disk
	path       string
	node       *inode
	generation int
	closed     bool
}

// lock locks the disk's mutex, which the caller must unlock even after an error. It returns an error for a stale
// handle, and when the process is stopped.
func (h *handle) lock() error {
	h.disk.mutex.Lock()
	if h.closed || h.generation != h.disk.generation {
		return &StaleHandleError{Path: h.path}
	}
	if h.disk.isStopped() {
		return &StoppedError{Path: h.path}
	}
	return nil
}

// lockForOperation is lock for an operation that StopAfter counts.
func (h *handle) lockForOperation() error {
	if err := h.lock(); err != nil {
		return err
	}
	return h.disk.beginOperation(h.path)
}

// ReadAt reads written content, whether it is synced or not.
func (h *handle) ReadAt(data []byte, offset int64) (int, error) {
	err := h.lock()
	defer h.disk.mutex.Unlock()
	if err != nil {
		return 0, err
	}
	if offset >= int64(len(h.node.content)) {
		return 0, io.EOF
	}
	count := copy(data, h.node.content[offset:])
	if count < len(data) {
		return count, io.EOF
	}
	return count, nil
}

// WriteAt writes data at offset. On a full disk it writes as many bytes as fit and returns ENOSPC. If the process is
// stopped at this operation, it writes a random prefix of data.
func (h *handle) WriteAt(data []byte, offset int64) (int, error) {
	err := h.lock()
	defer h.disk.mutex.Unlock()
	if err != nil {
		return 0, err
	}
	if err := h.disk.beginOperation(h.path); err != nil {
		written := h.disk.random.IntN(len(data) + 1)
		h.node.write(data[:written], offset)
		return written, err
	}
	growth := offset + int64(len(data)) - int64(len(h.node.content))
	if h.disk.capacity > 0 && growth > 0 && h.disk.used()+growth > h.disk.capacity {
		freeBytes := max(h.disk.capacity-h.disk.used(), 0)
		writable := max(int64(len(data))-growth+freeBytes, 0)
		h.node.write(data[:writable], offset)
		h.disk.counters.FullWrites++
		return int(writable), syscall.ENOSPC
	}
	h.node.write(data, offset)
	return len(data), nil
}

// Size returns the length in bytes.
func (h *handle) Size() (int64, error) {
	err := h.lock()
	defer h.disk.mutex.Unlock()
	return int64(len(h.node.content)), err
}

// Truncate sets the length.
func (h *handle) Truncate(size int64) error {
	err := h.lockForOperation()
	defer h.disk.mutex.Unlock()
	if err == nil {
		h.node.truncate(size)
	}
	return err
}

// Sync makes the content durable. A sync that fails because of FailSyncs persists a random part of the dirty sectors
// and marks all of them clean, as operating systems do, so that the next sync succeeds without writing the rest.
func (h *handle) Sync() error {
	h.disk.waitWhileStalled()
	err := h.lockForOperation()
	defer h.disk.mutex.Unlock()
	if err != nil {
		return err
	}
	if h.disk.syncFails() {
		h.disk.tear(h.node)
		clear(h.node.dirty)
		return &SyncFailedError{Path: h.path}
	}
	h.node.sync()
	return nil
}

// Close closes the handle without a sync.
func (h *handle) Close() error {
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	h.closed = true
	return nil
}
