package operator

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/transport/strictjson"
)

const releasesPath = "/v1/releases/"

// bundleReleaseCommand activates a bundle without a sign-off, at a core that trusts its operators.
func (c *commandLine) bundleReleaseCommand() *cobra.Command {
	var number, base uint64
	command := &cobra.Command{
		Use:   "release FILE",
		Short: "put a bundle in force at once, where the core trusts its operators; - reads standard input",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return c.releaseBundle(command.Context(), arguments[0], number, base)
		},
	}
	command.Flags().Uint64Var(&number, "number", 0, "version to release it as, in place of the one in the file")
	command.Flags().Uint64Var(
		&base, "base", 0, "version in force that it is built on, in place of base_version in the file; 0 for the first",
	)
	return command
}

func (c *commandLine) releaseBundle(ctx context.Context, path string, number, base uint64) error {
	parsed, err := c.readBundle(path, number)
	if err != nil {
		return err
	}
	if base == 0 {
		base = parsed.GetBaseVersion()
	}
	parsed.BaseVersion = base
	body, err := strictjson.Marshal(parsed)
	if err != nil {
		return err
	}
	version := strconv.FormatUint(parsed.GetVersion(), 10)
	response, err := c.order(ctx, http.MethodPut, releasesPath+version+"?base="+strconv.FormatUint(base, 10), body)
	if err != nil {
		return err
	}
	return c.printResult(response, fmt.Sprintf("bundle %s is in force", version))
}
