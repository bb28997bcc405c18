package simdisk

import (
	"io"
	"syscall"
)

// inode is the content of a file. The disk's mutex guards it.
type inode struct {
	// content is the written content, which reads return; durable is the content on the disk.
	content []byte
	durable []byte
	// dirty are the sectors in which content may differ from durable.
	dirty map[int]bool
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
// handle.
func (h *handle) lock() error {
	h.disk.mutex.Lock()
	if h.closed || h.generation != h.disk.generation {
		return &StaleHandleError{Path: h.path}
	}
	return nil
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

// WriteAt writes data at offset. On a full disk it writes as many bytes as fit and returns ENOSPC.
func (h *handle) WriteAt(data []byte, offset int64) (int, error) {
	err := h.lock()
	defer h.disk.mutex.Unlock()
	if err != nil {
		return 0, err
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
	err := h.lock()
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
	err := h.lock()
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
