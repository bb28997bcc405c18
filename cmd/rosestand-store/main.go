// Command rosestand-store is a store: it keeps replicas of the program ledger and of kept turns.
package main

import (
	"github.com/rosestand/rosestand/internal/process/daemon"
	"github.com/rosestand/rosestand/internal/process/settings"
	"github.com/rosestand/rosestand/internal/state/store"
)

func main() {
	daemon.Main(settings.Store, store.Module)
}
