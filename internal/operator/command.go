package operator

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

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

// Environment is what the client has from the system.
type Environment struct {
	Arguments []string
	Input     io.Reader
	Output    io.Writer
	Errors    io.Writer
	// Lookup gives environment variables.
	Lookup func(name string) string
	// Wait replaces the pauses between attempts; nil for timers.
	Wait func(ctx context.Context, pause time.Duration) error
}

// Execute runs one command and returns its exit code.
func Execute(ctx context.Context, environment Environment) int {
	shell := &shell{environment: environment}
	err := shell.root().ExecuteContext(ctx)
	if err != nil {
		shell.say("rosestand: %v", err)
	}
	if err != nil && !shell.understood {
		return ExitUsage
	}
	return ExitCode(err)
}

// shell holds the flags that all commands share.
type shell struct {
	environment Environment
	// understood is set once cobra has found the command and taken its arguments.
	understood bool

	cores     []string
	fronts    []string
	tokenFile string
	output    string
	orderID   string
	timeout   time.Duration
}

func (s *shell) root() *cobra.Command {
	root := &cobra.Command{
		Use:           "rosestand",
		Short:         "operators' client of a rosestand cluster",
		Long:          longHelp,
		Version:       version.String(),
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			s.understood = true
			return s.checkFlags()
		},
	}
	root.SetArgs(s.environment.Arguments)
	root.SetIn(s.environment.Input)
	root.SetOut(s.environment.Output)
	root.SetErr(s.environment.Errors)
	flags := root.PersistentFlags()
	flags.StringSliceVar(&s.cores, "core", nil, "HTTP addresses (IP:port) of core processes, tried in turn")
	flags.StringVar(&s.tokenFile, "token-file", "", "file with the operator's bearer token")
	flags.StringVarP(&s.output, "output", "o", outputTable, "table or json")
	flags.StringVar(&s.orderID, "order", "", "id of the order, to send an earlier one again; made up when absent")
	flags.DurationVar(&s.timeout, "timeout", defaultTimeout, "longest time for one request with all its attempts")
	root.AddCommand(
		s.bundleCommand(), s.nodesCommand(), s.storesCommand(), s.backEndsCommand(), s.coreCommand(),
		s.explainCommand(), s.stepsCommand(), s.versionCommand(),
	)
	return root
}

func (s *shell) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "print the version",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintln(s.environment.Output, "rosestand", version.String())
			return err
		},
	}
}

func (s *shell) checkFlags() error {
	if s.output != outputTable && s.output != outputJSON {
		return &UsageError{Reason: fmt.Sprintf("--output is %q, must be table or json", s.output)}
	}
	if s.timeout <= 0 {
		return &UsageError{Reason: "--timeout must be more than zero"}
	}
	if len(s.cores) == 0 {
		s.cores = splitList(s.environment.Lookup(coreVariable))
	}
	if s.tokenFile == "" {
		s.tokenFile = s.environment.Lookup(tokenVariable)
	}
	if s.orderID == "" {
		s.orderID = uuid.NewString()
	}
	return nil
}

// client makes a client for the core.
func (s *shell) client() (*Client, error) {
	if len(s.cores) == 0 {
		return nil, &UsageError{Reason: "give the core's addresses with --core or " + coreVariable}
	}
	if err := checkAddresses("--core", s.cores); err != nil {
		return nil, err
	}
	token, err := readToken(s.tokenFile)
	if err != nil {
		return nil, err
	}
	return NewClient(ClientOptions{Addresses: s.cores, Token: token, Timeout: s.timeout, Wait: s.environment.Wait}), nil
}

// ask sends one request and returns the answer.
func (s *shell) ask(ctx context.Context, method, path string) ([]byte, error) {
	return s.send(ctx, Request{Method: method, Path: path})
}

// order sends one order under the order id of this run.
func (s *shell) order(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	return s.send(ctx, Request{Method: method, Path: path, Body: body, OrderID: s.orderID})
}

func (s *shell) send(ctx context.Context, request Request) ([]byte, error) {
	client, err := s.client()
	if err != nil {
		return nil, err
	}
	defer client.Close()
	return client.Do(ctx, request)
}

// print writes an answer as it came, or as a table made of it.
func (s *shell) print(answer []byte, render func(io.Writer) error) error {
	if s.output == outputJSON {
		return printJSON(s.environment.Output, answer)
	}
	return render(s.environment.Output)
}

func (s *shell) say(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.environment.Errors, format+"\n", arguments...)
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

// requireFlags refuses to go on without the flags.
func requireFlags(flags *pflag.FlagSet, names ...string) error {
	for _, name := range names {
		if !flags.Changed(name) {
			return &UsageError{Reason: "--" + name + " is missing"}
		}
	}
	return nil
}

// groupCommand is a command that only holds others.
func groupCommand(use, short string, inner ...*cobra.Command) *cobra.Command {
	command := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(inner...)
	return command
}
