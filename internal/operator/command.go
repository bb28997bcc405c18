package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/rosestand/rosestand/internal/operator/apiclient"
	"github.com/rosestand/rosestand/internal/process/version"
)

const (
	coreVariable   = "ROSESTAND_CORE"
	tokenVariable  = "ROSESTAND_TOKEN_FILE"
	frontVariable  = "ROSESTAND_FRONT"
	defaultTimeout = 30 * time.Second
)

const longHelp = `rosestand drives a cluster through the HTTP API of its core.

Exit codes:
  0  done
  1  failed for another reason, such as a file that cannot be read
  2  the command line or a document is wrong; nothing was sent
  3  the core refused the order; it was not run and never will be
  4  the token is missing, wrong or not enough
  5  no process took the request in time; it was not run
  6  an order was sent and its answer lost; run it again with the --order shown
  7  what was named does not exist
  8  a training step does not trace to a single version of the weights

Environment: ROSESTAND_CORE, ROSESTAND_TOKEN_FILE and ROSESTAND_FRONT stand in
for --core, --token-file and --front.`

// Environment holds the client's arguments, streams and environment variables.
type Environment struct {
	// Arguments are the command line's, without the program's name.
	Arguments []string
	Input     io.Reader
	// Output is for results, Errors for everything else.
	Output io.Writer
	Errors io.Writer
	// LookupEnvironment returns the value of an environment variable, or an empty string.
	LookupEnvironment func(name string) string
	// Sleep waits between attempts; nil means apiclient.Sleep.
	Sleep func(ctx context.Context, duration time.Duration) error
}

// Execute runs one command and returns its exit code.
func Execute(ctx context.Context, environment Environment) int {
	line := &commandLine{environment: environment}
	err := line.root().ExecuteContext(ctx) //nolint:contextcheck // Commands take the context from cobra.
	if err != nil {
		line.printNotice("rosestand: %v", err)
	}
	if err != nil && !line.parsed {
		return ExitUsage
	}
	return ExitCode(err)
}

// commandLine holds the flags that all commands share.
type commandLine struct {
	environment Environment
	// parsed is true once cobra has found the command and accepted its arguments.
	parsed bool

	cores     []string
	fronts    []string
	tokenFile string
	output    string
	orderID   string
	timeout   time.Duration
}

func (c *commandLine) root() *cobra.Command {
	root := &cobra.Command{
		Use:           "rosestand",
		Short:         "operators' client of a rosestand cluster",
		Long:          longHelp,
		Version:       version.String(),
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			c.parsed = true
			return c.checkFlags()
		},
	}
	root.SetArgs(c.environment.Arguments)
	root.SetIn(c.environment.Input)
	root.SetOut(c.environment.Output)
	root.SetErr(c.environment.Errors)
	flags := root.PersistentFlags()
	flags.StringSliceVar(&c.cores, "core", nil, "HTTP addresses (IP:port) of core processes, tried in turn")
	flags.StringVar(&c.tokenFile, "token-file", "", "file with the operator's bearer token")
	flags.StringVarP(&c.output, "output", "o", outputTable, "table or json")
	flags.StringVar(&c.orderID, "order", "", "id of the order, to send an earlier one again; made up when absent")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "longest time for one request with all its attempts")
	root.AddCommand(
		c.bundleCommand(), c.nodesCommand(), c.storesCommand(), c.backEndsCommand(), c.coreCommand(),
		c.explainCommand(), c.stepsCommand(), c.versionCommand(),
	)
	return root
}

func (c *commandLine) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "print the version",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintln(c.environment.Output, "rosestand", version.String())
			return err
		},
	}
}

func (c *commandLine) checkFlags() error {
	if c.output != outputTable && c.output != outputJSON {
		return &UsageError{Reason: fmt.Sprintf("--output is %q, must be table or json", c.output)}
	}
	if c.timeout <= 0 {
		return &UsageError{Reason: "--timeout must be more than zero"}
	}
	if len(c.cores) == 0 {
		c.cores = splitList(c.environment.LookupEnvironment(coreVariable))
	}
	if c.tokenFile == "" {
		c.tokenFile = c.environment.LookupEnvironment(tokenVariable)
	}
	if c.orderID == "" {
		c.orderID = uuid.NewString()
	}
	return nil
}

// client returns a client of the core's HTTP API.
func (c *commandLine) client() (*apiclient.Client, error) {
	if len(c.cores) == 0 {
		return nil, &UsageError{Reason: "give the core's addresses with --core or " + coreVariable}
	}
	if err := checkAddresses("--core", c.cores); err != nil {
		return nil, err
	}
	token, err := readToken(c.tokenFile)
	if err != nil {
		return nil, err
	}
	return apiclient.New(
		apiclient.Options{Addresses: c.cores, Token: token, Timeout: c.timeout, Sleep: c.environment.Sleep},
	), nil
}

// get sends one read and returns the response body.
func (c *commandLine) get(ctx context.Context, path string) ([]byte, error) {
	return c.send(ctx, apiclient.Request{Method: http.MethodGet, Path: path})
}

// show sends one read and prints the response, as JSON or rendered.
func (c *commandLine) show(ctx context.Context, path string, render func(io.Writer, []byte) error) error {
	response, err := c.get(ctx, path)
	if err != nil {
		return err
	}
	return c.print(response, func(writer io.Writer) error { return render(writer, response) })
}

// order sends one order under the order id of this invocation.
func (c *commandLine) order(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	return c.send(ctx, apiclient.Request{Method: method, Path: path, Body: body, OrderID: c.orderID})
}

func (c *commandLine) send(ctx context.Context, request apiclient.Request) ([]byte, error) {
	client, err := c.client()
	if err != nil {
		return nil, err
	}
	defer client.Close()
	return client.Do(ctx, request)
}

// print prints a response as JSON with -o json, otherwise rendered.
func (c *commandLine) print(response []byte, render func(io.Writer) error) error {
	if c.output == outputJSON {
		return printJSON(c.environment.Output, response)
	}
	return render(c.environment.Output)
}

// printDone prints the response to an order as JSON, or a line that states what was done.
func (c *commandLine) printDone(response []byte, format string, arguments ...any) error {
	return c.print(response, func(writer io.Writer) error {
		_, err := fmt.Fprintf(writer, format, arguments...)
		return err
	})
}

// printNotice prints a line that is not part of the result.
func (c *commandLine) printNotice(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c.environment.Errors, format+"\n", arguments...)
}

func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return "", &FileError{Path: path, Cause: err}
	}
	return strings.TrimSpace(string(content)), nil
}

func checkAddresses(flag string, addresses []string) error {
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return &UsageError{Reason: fmt.Sprintf("%s: %q is not IP:port", flag, address)}
		}
	}
	return nil
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// requireFlags returns a *UsageError if one of the flags was not set.
func requireFlags(flags *pflag.FlagSet, names ...string) error {
	for _, name := range names {
		if !flags.Changed(name) {
			return &UsageError{Reason: "--" + name + " is missing"}
		}
	}
	return nil
}

// groupCommand returns a command that only has subcommands.
func groupCommand(use, short string, subcommands ...*cobra.Command) *cobra.Command {
	command := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(subcommands...)
	return command
}
