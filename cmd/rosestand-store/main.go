// Command rosestand-store runs a store, which holds replicas of the program ledger's
// shards and of retained turns. See docs/ARCHITECTURE.md.
package main

import (
	"github.com/rosestand/rosestand/internal/process/daemon"
	"github.com/rosestand/rosestand/internal/process/settings"
	"github.com/rosestand/rosestand/internal/state/store"
)

func main() {
	daemon.Main(settings.Store, store.Module)
}
