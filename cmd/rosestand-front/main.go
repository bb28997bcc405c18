// Command rosestand-front runs a front node, which accepts requests, owns sessions
// and issues their turns. See docs/ARCHITECTURE.md.
package main

import (
	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/process/daemon"
	"github.com/rosestand/rosestand/internal/process/settings"
)

func main() {
	daemon.Main(settings.Front, front.Module)
}
