package placement

import (
	"sync/atomic"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Source is the part of the link to the core that a Watch uses.
type Source interface {
	View() *corelink.View
	// Ready reports whether the view was read since the start.
	Ready() bool
}

// Watch publishes the current topology to all goroutines.
type Watch struct {
	core Source
	self *protocol.Node
	// fresh is true once the view was read since the start. It belongs to the goroutine that calls Refresh.
	fresh   bool
	current atomic.Pointer[Topology]
}

// NewWatch returns a watch with an empty topology. self contains the name and the storage id of the store.
func NewWatch(core Source, self *protocol.Node) *Watch {
	w := &Watch{core: core, self: self}
	w.current.Store(&Topology{Addresses: map[string]string{}})
	return w
}

// Current returns the current topology, which is not nil. Any goroutine may call it.
func (w *Watch) Current() *Topology { return w.current.Load() }

// Refresh reads the view and reports whether the placement changed. A view with an older placement
// than the current one is ignored. Refresh must be called by one goroutine only.
func (w *Watch) Refresh() (current *Topology, changed bool) {
	w.fresh = w.fresh || w.core.Ready()
	before := w.current.Load()
	after := newTopology(w.core.View(), w.self, w.fresh)
	if after.Epoch < before.Epoch {
		return before, false
	}
	w.current.Store(after)
	return after, after.Epoch != before.Epoch
}
