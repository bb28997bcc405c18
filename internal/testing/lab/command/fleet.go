package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/testing/lab/fleet"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
)

const (
	fixedFrontHTTP = "127.0.0.1:8080"
	fixedCoreHTTP  = "127.0.0.1:7080"
	watchInterval  = time.Second
)

func newFleet(e *environment) *cobra.Command {
	var front, core string
	command := &cobra.Command{
		Use:   "fleet",
		Short: "Bring up a small fleet and keep it until interrupted",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return e.saveFleet(command.Context(), fleet.Options{
				Sizes: site.Small(), LogLevel: "info", FirstFrontHTTP: front, FirstCoreHTTP: core,
			})
		},
	}
	command.Flags().StringVar(&front, "front", fixedFrontHTTP, "HTTP address of the first front node")
	command.Flags().StringVar(&core, "core", fixedCoreHTTP, "HTTP address of the first core process")
	return command
}

func (e *environment) saveFleet(ctx context.Context, options fleet.Options) error {
	return e.withFleet(ctx, "fleet", options, func(f *fleet.Fleet) error {
		if _, err := e.start(ctx, f); err != nil {
			return err
		}
		e.printUsage(f)
		return watch(ctx, f)
	})
}

// watch returns when the command is interrupted or a process ends unasked.
func watch(ctx context.Context, f *fleet.Fleet) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := f.CheckRunning(); err != nil {
				return err
			}
		}
	}
}

// printUsage prints commands that can be run against the fleet.
func (e *environment) printUsage(f *fleet.Fleet) {
	front := f.FrontAddresses()[0]
	_, _ = fmt.Fprintf(e.output, `The fleet is up; Ctrl-C stops it. Logs are in %[1]s/logs.

A turn, streamed:
  curl -N http://%[2]s/v1/responses -H 'Rosestand-Tenant: caroni' -H 'Authorization: Bearer %[3]s' \
    -H 'Content-Type: application/json' -d '{"model":"climate-advisor","program":"p1",`+
		`"conversation":"c1","input":"how is greenhouse 4","stream":true}'

A tool call:
  curl http://%[2]s/v1/tools/%[6]s/calls -H 'Rosestand-Tenant: caroni' -H 'Authorization: Bearer %[3]s' \
    -H 'Idempotency-Key: plan-1' -H 'Content-Type: application/json' -d '{"program":"p1",`+
		`"conversation":"c1","arguments":{"object":"valve-4"}}'

Operators:
  %[4]s/rosestand %[5]s nodes
  %[4]s/rosestand %[5]s backends
  %[4]s/rosestand %[5]s bundle list
`, f.Folder(), front, f.Credentials()[string(site.Caroni)], e.binaries, strings.Join(f.ClientFlags(), " "),
		site.ToolValvePlans)
}
