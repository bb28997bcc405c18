// Command rosestand-core is a core process: it keeps the replicated control state and grants leases.
package main

import (
	"github.com/rosestand/rosestand/internal/controlplane/core"
	"github.com/rosestand/rosestand/internal/process/daemon"
	"github.com/rosestand/rosestand/internal/process/settings"
)

func main() {
	daemon.Main(settings.Core, core.Module)
}
