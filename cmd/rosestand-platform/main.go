// Command rosestand-platform runs the daemons with the platform adapter: one subcommand for each daemon, with the
// daemon's own flags. See docs/PLATFORM.md.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/rosestand/rosestand/internal/controlplane/core"
	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/process/daemon"
	"github.com/rosestand/rosestand/internal/process/settings"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store"
	"github.com/rosestand/rosestand/platform"
)

func main() {
	root := &cobra.Command{
		Use:           "rosestand-platform",
		Short:         "the daemons of rosestand behind the adapter of the users' platform",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(
		daemonCommand("front", settings.Front, frontModule),
		daemonCommand("core", settings.Core, coreModule),
		daemonCommand("store", settings.Store, store.Module),
	)
	if err := root.Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "rosestand-platform: %v\n", err)
		os.Exit(daemon.ExitSettings)
	}
}

// daemonCommand returns the subcommand of a daemon. It passes the arguments on unparsed and adds the settings file from
// the environment.
func daemonCommand[S settings.Message](name string, kind settings.Kind[S], module daemon.Module[S]) *cobra.Command {
	return &cobra.Command{
		Use:                name,
		Short:              kind.Summary,
		DisableFlagParsing: true,
		Run: func(_ *cobra.Command, arguments []string) {
			os.Exit(daemon.Execute(kind, module, daemon.SystemEnvironment(platform.Arguments(arguments))))
		},
	}
}

func frontModule(loaded *protocol.FrontSettings) fx.Option {
	return fx.Options(front.Module(loaded), platform.FrontModule())
}

func coreModule(loaded *protocol.CoreSettings) fx.Option {
	return fx.Options(core.Module(loaded), platform.CoreModule())
}
