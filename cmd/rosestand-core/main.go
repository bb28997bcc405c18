// Command rosestand-core runs a core process, which replicates the control state and
// grants leases. See docs/ARCHITECTURE.md.
package main

import (
	"github.com/rosestand/rosestand/internal/controlplane/core"
	"github.com/rosestand/rosestand/internal/process/daemon"
	"github.com/rosestand/rosestand/internal/process/settings"
)

func main() {
	daemon.Main(settings.Core, core.Module)
}
