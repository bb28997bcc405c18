// Command rosestand-front is a front node: it takes requests in, owns sessions and issues their turns.
package main

import (
	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/process/daemon"
	"github.com/rosestand/rosestand/internal/process/settings"
)

func main() {
	daemon.Main(settings.Front, front.Module)
}
