package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/operator/apiclient"
)

const (
	storesPath         = "/v1/stores"
	waitInterval       = 500 * time.Millisecond
	defaultWaitTimeout = 30 * time.Minute
)

func (c *commandLine) storesCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "stores",
		Short: "list, empty and retire stores",
		Args:  cobra.NoArgs,
		RunE:  c.listStores,
	}
	command.AddCommand(
		&cobra.Command{Use: "list", Short: "list stores", Args: cobra.NoArgs, RunE: c.listStores},
		c.storeCommand("empty", "move every shard away from a store", controlstate.StoreEmptied),
		c.storeCommand("retire", "forget an emptied store", controlstate.StoreRetired),
	)
	return command
}

func (c *commandLine) listStores(command *cobra.Command, _ []string) error {
	return c.show(command.Context(), storesPath, renderStores)
}

func renderStores(writer io.Writer, response []byte) error {
	listed := &storesResponse{}
	if err := decode(response, listed); err != nil {
		return err
	}
	rows := newGrid("store", "state", "present", "zone", "address", "shards", "rebuilding", "arriving", "leaving")
	for _, store := range listed.Stores {
		rows.add(store.Name, store.State, store.Present, store.Zone, store.Address,
			store.Shards, store.Rebuilding, store.Arriving, store.Leaving)
	}
	if err := rows.print(writer); err != nil {
		return err
	}
	_, err := fmt.Fprintf(
		writer, "placement %d: %d shards, %d moving\n", listed.PlacementEpoch, listed.Shards, listed.ShardsMoving,
	)
	return err
}

// storeCommand returns the command for an order about one store; targetState is the state that --wait waits for.
func (c *commandLine) storeCommand(verb, short, targetState string) *cobra.Command {
	var wait bool
	var waitTimeout time.Duration
	command := &cobra.Command{
		Use:   verb + " STORE",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			name := arguments[0]
			response, err := c.order(command.Context(), http.MethodPost, storesPath+"/"+url.PathEscape(name)+"/"+verb, nil)
			if err != nil {
				return err
			}
			if wait {
				if err := c.waitForStore(command.Context(), name, targetState, waitTimeout); err != nil {
					return err
				}
				return c.printResult(response, fmt.Sprintf("store %s is %s", name, targetState))
			}
			return c.printResult(response, fmt.Sprintf("the order to %s store %s was accepted", verb, name))
		},
	}
	command.Flags().BoolVar(&wait, "wait", false, "wait until it is done and show the progress")
	command.Flags().DurationVar(&waitTimeout, "wait-timeout", defaultWaitTimeout, "longest time to wait")
	return command
}

// waitForStore polls until the store reaches the target state, and shows how many of
// its shards are left. It returns a *WaitError if that takes longer than the timeout.
func (c *commandLine) waitForStore(ctx context.Context, name, targetState string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sleep := c.environment.Sleep
	if sleep == nil {
		sleep = apiclient.Sleep
	}
	var bar *progressbar.ProgressBar
	for {
		report, err := c.storeReport(ctx, name)
		if err != nil {
			return err
		}
		if bar == nil {
			bar = c.progress(name, report.Shards)
		}
		if err := bar.Set(max(bar.GetMax()-report.Shards, 0)); err != nil {
			return err
		}
		if report.State == targetState {
			return bar.Finish()
		}
		if sleep(ctx, waitInterval) != nil {
			return &WaitError{Subject: name, State: fmt.Sprintf("%s, %d shards left", report.State, report.Shards)}
		}
	}
}

func (c *commandLine) progress(name string, shards int) *progressbar.ProgressBar {
	return progressbar.NewOptions(max(shards, 1),
		progressbar.OptionSetWriter(c.environment.Errors),
		progressbar.OptionSetDescription("shards moved from "+name),
		progressbar.OptionShowCount(),
		progressbar.OptionSetVisibility(isTerminal(c.environment.Errors)),
		progressbar.OptionOnCompletion(func() { c.printNotice("") }),
	)
}

// isTerminal reports whether the writer is a terminal, which can show a progress bar.
func isTerminal(writer io.Writer) bool {
	file, isFile := writer.(*os.File)
	if !isFile {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (c *commandLine) storeReport(ctx context.Context, name string) (*controlstate.StoreReport, error) {
	response, err := c.get(ctx, storesPath)
	if err != nil {
		return nil, err
	}
	listed := &storesResponse{}
	if err := decode(response, listed); err != nil {
		return nil, err
	}
	for i := range listed.Stores {
		if listed.Stores[i].Name == name {
			return &listed.Stores[i], nil
		}
	}
	return nil, &NotFoundError{Subject: "store " + name}
}
