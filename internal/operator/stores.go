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
)

const (
	storesPath         = "/v1/stores"
	waitInterval       = 500 * time.Millisecond
	defaultWaitTimeout = 30 * time.Minute
)

func (s *shell) storesCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "stores",
		Short: "list, empty and retire stores",
		Args:  cobra.NoArgs,
		RunE:  s.listStores,
	}
	command.AddCommand(
		&cobra.Command{Use: "list", Short: "list stores", Args: cobra.NoArgs, RunE: s.listStores},
		s.storeOrderCommand("empty", "move every shard away from a store", controlstate.StoreEmptied),
		s.storeOrderCommand("retire", "forget an emptied store", controlstate.StoreRetired),
	)
	return command
}

func (s *shell) listStores(command *cobra.Command, _ []string) error {
	answer, err := s.ask(command.Context(), http.MethodGet, storesPath)
	if err != nil {
		return err
	}
	return s.print(answer, func(writer io.Writer) error { return renderStores(writer, answer) })
}

func renderStores(writer io.Writer, answer []byte) error {
	listed := &storesAnswer{}
	if err := decode(answer, listed); err != nil {
		return err
	}
	made := newGrid("store", "state", "present", "zone", "address", "shards", "rebuilding", "arriving", "leaving")
	for _, store := range listed.Stores {
		made.add(store.Name, store.State, store.Present, store.Zone, store.Address,
			store.Shards, store.Rebuilding, store.Arriving, store.Leaving)
	}
	if err := made.print(writer); err != nil {
		return err
	}
	_, err := fmt.Fprintf(writer, "placement %d: %d shards, %d moving\n", listed.PlacementEpoch, listed.Shards, listed.ShardsMoving)
	return err
}

// storeOrderCommand gives an order about one store; goal is the state that --wait waits for.
func (s *shell) storeOrderCommand(verb, short, goal string) *cobra.Command {
	var wait bool
	var waitTimeout time.Duration
	command := &cobra.Command{
		Use:   verb + " STORE",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			name := arguments[0]
			answer, err := s.order(command.Context(), http.MethodPost, storesPath+"/"+url.PathEscape(name)+"/"+verb, nil)
			if err != nil {
				return err
			}
			if wait {
				if err := s.awaitStore(command.Context(), name, goal, waitTimeout); err != nil {
					return err
				}
				return s.printResult(answer, fmt.Sprintf("store %s is %s", name, goal))
			}
			return s.printResult(answer, fmt.Sprintf("the order to %s store %s was accepted", verb, name))
		},
	}
	command.Flags().BoolVar(&wait, "wait", false, "wait until it is done and show the progress")
	command.Flags().DurationVar(&waitTimeout, "wait-timeout", defaultWaitTimeout, "longest time to wait")
	return command
}

// awaitStore polls until the store reaches the state, showing how many of its shards are left.
func (s *shell) awaitStore(ctx context.Context, name, goal string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	wait := s.environment.Wait
	if wait == nil {
		wait = pause
	}
	var bar *progressbar.ProgressBar
	for {
		report, err := s.reportStore(ctx, name)
		if err != nil {
			return err
		}
		if bar == nil {
			bar = s.progress(name, report.Shards)
		}
		if err := bar.Set(max(bar.GetMax()-report.Shards, 0)); err != nil {
			return err
		}
		if report.State == goal {
			return bar.Finish()
		}
		if wait(ctx, waitInterval) != nil {
			return &WaitError{What: name, State: fmt.Sprintf("%s, %d shards left", report.State, report.Shards)}
		}
	}
}

func (s *shell) progress(name string, shards int) *progressbar.ProgressBar {
	return progressbar.NewOptions(max(shards, 1),
		progressbar.OptionSetWriter(s.environment.Errors),
		progressbar.OptionSetDescription("shards moved from "+name),
		progressbar.OptionShowCount(),
		progressbar.OptionSetVisibility(isTerminal(s.environment.Errors)),
		progressbar.OptionOnCompletion(func() { s.say("") }),
	)
}

// isTerminal reports whether a progress bar makes sense on the writer.
func isTerminal(writer io.Writer) bool {
	file, isFile := writer.(*os.File)
	if !isFile {
		return false
	}
	status, err := file.Stat()
	return err == nil && status.Mode()&os.ModeCharDevice != 0
}

func (s *shell) reportStore(ctx context.Context, name string) (*controlstate.StoreReport, error) {
	answer, err := s.ask(ctx, http.MethodGet, storesPath)
	if err != nil {
		return nil, err
	}
	listed := &storesAnswer{}
	if err := decode(answer, listed); err != nil {
		return nil, err
	}
	for i := range listed.Stores {
		if listed.Stores[i].Name == name {
			return &listed.Stores[i], nil
		}
	}
	return nil, &NotFoundError{What: "store " + name}
}
