package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/strictjson"
)

const (
	bundlesPath   = "/v1/bundles"
	standardInput = "-"
)

func (c *commandLine) bundleCommand() *cobra.Command {
	return groupCommand("bundle", "deliver, sign off, roll out and look at policy bundles",
		c.bundlePutCommand(), c.bundleSignCommand(), c.bundleReleaseCommand(), c.bundleRolloutCommand(),
		c.bundlePromoteCommand(), c.bundleWithdrawCommand(),
		c.bundleShowCommand(), c.bundleListCommand(), c.bundleDiffCommand(),
		c.bundleDefaultCommand(), c.bundleKeygenCommand(),
	)
}

func (c *commandLine) bundlePutCommand() *cobra.Command {
	var number uint64
	command := &cobra.Command{
		Use:   "put FILE",
		Short: "deliver a bundle version, whole or partial; - reads standard input",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return c.putBundle(command.Context(), arguments[0], number)
		},
	}
	command.Flags().Uint64Var(&number, "number", 0, "version to deliver it as, in place of the one in the file")
	return command
}

func (c *commandLine) putBundle(ctx context.Context, path string, number uint64) error {
	parsed, err := c.readBundle(path, number)
	if err != nil {
		return err
	}
	body, err := strictjson.Marshal(parsed)
	if err != nil {
		return err
	}
	response, err := c.order(ctx, http.MethodPut, bundlePath(strconv.FormatUint(parsed.GetVersion(), 10)), body)
	if err != nil {
		return err
	}
	return c.printResult(response, fmt.Sprintf("bundle %d was accepted", parsed.GetVersion()))
}

// readBundle reads a bundle from a file; a nonzero number replaces its version.
func (c *commandLine) readBundle(path string, number uint64) (*protocol.Bundle, error) {
	document, err := c.readDocument(path)
	if err != nil {
		return nil, err
	}
	parsed := &protocol.Bundle{}
	if faults := strictjson.Decode(document, parsed); len(faults) > 0 {
		return nil, &DocumentError{Path: path, Faults: faults}
	}
	if number != 0 {
		parsed.Version = number
	}
	if parsed.GetVersion() == 0 {
		return nil, &UsageError{Reason: path + ": version: is missing; give it in the file or with --number"}
	}
	return parsed, nil
}

func (c *commandLine) readDocument(path string) ([]byte, error) {
	if path == standardInput {
		document, err := io.ReadAll(c.environment.Input)
		return document, errors.Wrap(err, "read standard input")
	}
	document, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	return document, nil
}

func bundlePath(version string) string { return bundlesPath + "/" + url.PathEscape(version) }

// printResult prints the result of an order; done is the text that states what was done.
func (c *commandLine) printResult(response []byte, done string) error {
	result := &protocol.CommandResult{}
	if err := decodeProto(response, result); err != nil {
		return err
	}
	return c.print(response, func(writer io.Writer) error {
		status := result.GetBundle()
		if status == nil {
			_, err := fmt.Fprintf(writer, "%s (control log index %d)\n", done, result.GetIndex())
			return err
		}
		_, err := fmt.Fprintf(writer, "%s (control log index %d, state %s)\nmerged digest %s\n",
			done, result.GetIndex(), status.GetState(), status.GetMergedDigest())
		return err
	})
}

func (c *commandLine) bundleShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show VERSION",
		Short: "show a version by its number, or newest, active or candidate",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			response, err := c.get(command.Context(), bundlePath(arguments[0]))
			if err != nil {
				return err
			}
			return printJSON(c.environment.Output, response)
		},
	}
}

func (c *commandLine) bundleListCommand() *cobra.Command {
	var limit uint64
	command := &cobra.Command{
		Use:   "list",
		Short: "list versions, newest first",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return c.show(command.Context(), fmt.Sprintf("%s?limit=%d", bundlesPath, limit), renderBundles)
		},
	}
	command.Flags().Uint64Var(&limit, "limit", 50, "number of versions to list")
	return command
}

func renderBundles(writer io.Writer, response []byte) error {
	listed := &bundlesResponse{}
	if err := decode(response, listed); err != nil {
		return err
	}
	statuses, err := decodeList[protocol.BundleStatus](listed.Bundles)
	if err != nil {
		return err
	}
	rows := newGrid("version", "state", "base", "in force", "signed by", "merged digest")
	for _, status := range statuses {
		rows.add(status.GetVersion(), status.GetState(), status.GetBaseVersion(),
			rolloutState(status.GetVersion(), listed), status.GetSignedBy(), status.GetMergedDigest())
	}
	return rows.print(writer)
}

func rolloutState(version uint64, listed *bundlesResponse) string {
	switch version {
	case listed.Active:
		return "active"
	case listed.Candidate:
		return "candidate"
	default:
		return ""
	}
}

func (c *commandLine) bundleDiffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FROM TO",
		Short: "compare two versions",
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, arguments []string) error {
			path := bundlePath(arguments[0]) + "/diff/" + url.PathEscape(arguments[1])
			return c.show(command.Context(), path, renderDifference)
		},
	}
}

func renderDifference(writer io.Writer, response []byte) error {
	difference := &bundle.Difference{}
	if err := decode(response, difference); err != nil {
		return err
	}
	if difference.Empty() {
		_, err := fmt.Fprintln(writer, "no difference")
		return err
	}
	rows := newGrid("part", "change", "name")
	addChanges(rows, "route", difference.Routes)
	addChanges(rows, "group", difference.Groups)
	addChanges(rows, "tenant", difference.Tenants)
	addChanges(rows, "sign-off key", difference.SignOffKeys)
	addChanges(rows, "HTTP route", difference.HTTPRoutes)
	for section, changed := range map[string]bool{
		"scheduling": difference.SchedulingChanged, "recovery": difference.RecoveryChanged,
		"limits": difference.LimitsChanged,
	} {
		if changed {
			rows.add(section, "changed", "")
		}
	}
	rows.sort()
	return rows.print(writer)
}

func addChanges(rows *grid, section string, changes bundle.NamedChanges) {
	for change, names := range map[string][]string{
		"added": changes.Added, "removed": changes.Removed, "changed": changes.Changed,
	} {
		for _, name := range names {
			rows.add(section, change, name)
		}
	}
}

func (c *commandLine) bundleDefaultCommand() *cobra.Command {
	var number uint64
	command := &cobra.Command{
		Use:   "default",
		Short: "print the bundle that a new cluster may begin with",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			document, err := strictjson.Marshal(bundle.Default(number))
			if err != nil {
				return err
			}
			return printJSON(c.environment.Output, document)
		},
	}
	command.Flags().Uint64Var(&number, "number", 1, "version to print it as")
	return command
}
