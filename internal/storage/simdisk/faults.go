package simdisk

import (
	"path/filepath"
	"sort"
)

// Kill simulates the end of the process that uses the disk: all open handles become stale, written content remains.
func (d *Disk) Kill() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.endProcess()
}

// endProcess makes all open handles stale. The next process on the disk is not stopped.
func (d *Disk) endProcess() {
	d.generation++
	d.stopAt = 0
}

// StopAfter lets the process on the disk perform a number of further operations that change or sync the disk. At the
// next one it is stopped: that operation and all later ones fail with a *StoppedError and have no effect, except that a
// write may be performed in part. Kill, LosePower and Lose lift the stop.
func (d *Disk) StopAfter(operations int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stopAt = d.operations + operations + 1
}

// Operations returns how many operations that change or sync the disk have been performed.
func (d *Disk) Operations() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.operations
}

// IsStopped reports whether the process was stopped at an operation by StopAfter.
func (d *Disk) IsStopped() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.isStopped()
}

// isStopped implements IsStopped. The caller holds the mutex.
func (d *Disk) isStopped() bool { return d.stopAt > 0 && d.operations >= d.stopAt }

// beginOperation counts an operation that changes or syncs the disk, and returns an error if the process is stopped at
// it or was stopped before. The caller holds the mutex.
func (d *Disk) beginOperation(path string) error {
	if !d.isStopped() {
		d.operations++
	}
	if d.isStopped() {
		return &StoppedError{Path: path}
	}
	return nil
}

// LosePower simulates a loss of power: all open handles become stale and unsynced changes are lost, except a random
// prefix of the directory changes and random sectors of each file, some of them torn. A directory whose own entry was
// not synced is lost with everything in it.
func (d *Disk) LosePower() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.endProcess()
	d.counters.PowerLosses++
	persisted := d.random.IntN(len(d.nameChanges) + 1)
	for _, change := range d.nameChanges[:persisted] {
		d.persistName(change)
	}
	d.nameChanges = nil
	d.names = map[string]*inode{}
	reverted := map[*inode]bool{}
	for _, path := range sortedNames(d.durableNames) {
		// Paths are sorted, so a directory comes before its entries.
		if !d.isDir(filepath.Dir(path)) {
			delete(d.durableNames, path)
			continue
		}
		node := d.durableNames[path]
		d.names[path] = node
		if !reverted[node] {
			reverted[node] = true
			d.revertToDurable(node)
		}
	}
}

// revertToDurable reverts a file to the content that is on the disk after a loss of power.
func (d *Disk) revertToDurable(node *inode) {
	if len(node.dirty) > 0 {
		d.counters.TornFiles++
		before := len(node.content)
		d.tear(node)
		d.counters.LostBytes += int64(max(before-len(node.durable), 0))
	}
	node.content = append([]byte(nil), node.durable...)
	clear(node.dirty)
}

// tear persists a random part of the dirty sectors.
func (d *Disk) tear(node *inode) {
	sectors := make([]int, 0, len(node.dirty))
	for sector := range node.dirty {
		sectors = append(sectors, sector)
	}
	sort.Ints(sectors)
	size := d.tornSize(len(node.durable), len(node.content))
	persistOneIn := 1 + d.random.IntN(4)
	resize(node, size)
	for _, sector := range sectors {
		start := sector * SectorBytes
		if start >= size || start >= len(node.content) || d.random.IntN(persistOneIn) != 0 {
			continue
		}
		end := min(start+SectorBytes, size, len(node.content))
		if d.random.IntN(8) == 0 {
			end = start + d.random.IntN(end-start+1)
		}
		copy(node.durable[start:end], node.content[start:end])
	}
}

// tornSize returns a random length between the durable and the written one; two times in three it is one of these two.
func (d *Disk) tornSize(durable, written int) int {
	low, high := min(durable, written), max(durable, written)
	switch d.random.IntN(3) {
	case 0:
		return durable
	case 1:
		return written
	default:
		return low + d.random.IntN(high-low+1)
	}
}

func resize(node *inode, size int) {
	if size <= len(node.durable) {
		node.durable = node.durable[:size]
		return
	}
	node.durable = append(node.durable, make([]byte, size-len(node.durable))...)
}

// Lose simulates the loss of the complete disk and its replacement by an empty one.
func (d *Disk) Lose() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.erase()
	d.stopAt = 0
	d.counters.DiskLosses++
	d.syncsToFail, d.syncsToPass = 0, 0
}

// FailSyncs makes the next pass syncs of files or directories succeed and the following count syncs fail.
func (d *Disk) FailSyncs(pass, count int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.syncsToPass, d.syncsToFail = pass, count
}

// StallSyncs makes every sync of a file or directory wait until ResumeSyncs is called.
func (d *Disk) StallSyncs() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.resumed == nil {
		d.resumed = make(chan struct{})
	}
}

// ResumeSyncs unblocks the syncs that StallSyncs stalled and lets later ones proceed.
func (d *Disk) ResumeSyncs() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.resumed != nil {
		close(d.resumed)
		d.resumed = nil
	}
}

// waitWhileStalled blocks while syncs are stalled. The caller must not hold the mutex.
func (d *Disk) waitWhileStalled() {
	d.mutex.Lock()
	resumed := d.resumed
	if resumed != nil {
		d.counters.StalledSyncs++
	}
	d.mutex.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// SetCapacity limits the total bytes of all files; zero removes the limit.
func (d *Disk) SetCapacity(bytes int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.capacity = bytes
}

// Used returns the total bytes of all files.
func (d *Disk) Used() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.used()
}

// Damage flips the bits of mask in one byte of a file, in both its written and its durable content, and reports whether
// the file has a byte at offset.
func (d *Disk) Damage(path string, offset int64, mask byte) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	node, exists := d.names[filepath.Clean(path)]
	if !exists || offset < 0 || offset >= int64(len(node.content)) {
		return false
	}
	node.content[offset] ^= mask
	if offset < int64(len(node.durable)) {
		node.durable[offset] ^= mask
	}
	d.counters.DamagedBytes++
	return true
}

func sortedNames(names map[string]*inode) []string {
	paths := make([]string, 0, len(names))
	for path := range names {
		paths = append(paths, path)
	}
	sort.Strings(paths)
	return paths
}
