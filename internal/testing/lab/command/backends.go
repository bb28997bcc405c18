package command

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/testing/lab/backends"
)

const backEndStopGrace = 6 * time.Second

func newBackEnds(e *environment) *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "backends --settings FILE",
		Short: "Run emulated model servers and tool servers until asked to stop",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			settings, err := backends.Load(file)
			if err != nil {
				return err
			}
			group, err := backends.Start(command.Context(), settings, e.logger)
			if err != nil {
				return err
			}
			<-command.Context().Done()
			ctx, cancel := context.WithTimeout(context.WithoutCancel(command.Context()), backEndStopGrace)
			defer cancel()
			return group.Stop(ctx)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "JSON file that describes the stand-ins")
	_ = command.MarkFlagRequired("settings")
	return command
}
