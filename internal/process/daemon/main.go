package daemon

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/rosestand/rosestand/internal/process/reloadsignal"
	"github.com/rosestand/rosestand/internal/process/settings"
	"github.com/rosestand/rosestand/internal/process/version"
)

// Exit codes of every daemon.
const (
	// ExitStopped means that the process received a stop signal and shut down gracefully.
	ExitStopped = 0
	// ExitFailure means that the start failed, that the process could not continue,
	// or that the shutdown was interrupted by a second signal, an interrupt, or because
	// the grace period expired.
	ExitFailure = 1
	// ExitSettings means that the command line or the settings are invalid; nothing was started.
	ExitSettings = 2
)

// Environment holds the inputs and outputs that a daemon gets from the operating system.
type Environment struct {
	// Arguments are the command-line arguments without the program's name.
	Arguments []string
	// Output receives results, Errors receives errors and the log.
	Output io.Writer
	Errors io.Writer
	// Signals stops the process gracefully. An interrupt that follows another signal stops it immediately.
	Signals <-chan os.Signal
	// Reload makes the process reload its settings file; it may be nil.
	Reload <-chan os.Signal
	// OnRunning, if set, is called once the plane has started and is served.
	OnRunning func(*Process)
}

// Module returns the fx module of a plane for its settings.
type Module[S settings.Message] func(S) fx.Option

// Main runs a daemon with one plane and exits the program with its exit code.
func Main[S settings.Message](kind settings.Kind[S], module Module[S]) {
	os.Exit(Execute(kind, module, SystemEnvironment(os.Args[1:])))
}

// SystemEnvironment returns the environment of a program: standard output and
// error, SIGTERM and SIGINT to stop, SIGHUP to reload the settings.
func SystemEnvironment(arguments []string) Environment {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return Environment{
		Arguments: arguments,
		Output:    os.Stdout,
		Errors:    os.Stderr,
		Signals:   signals,
		Reload:    reloadsignal.Received(),
	}
}

// Execute runs a daemon until it stops and returns its exit code. Errors are
// written to Environment.Errors.
func Execute[S settings.Message](kind settings.Kind[S], module Module[S], environment Environment) int {
	command, code := newCommand(kind, module, environment)
	if err := command.Execute(); err != nil {
		_, _ = fmt.Fprintf(environment.Errors, "%s: %v\n", kind.Program, err)
		return exitCode(err, *code)
	}
	return *code
}

func newCommand[S settings.Message](
	kind settings.Kind[S], module Module[S], environment Environment,
) (*cobra.Command, *int) {
	var file string
	var checkOnly, printOnly bool
	code := ExitSettings
	const exitCodes = "It exits with 0 when stopped, 1 on failure, 2 for wrong settings."
	command := &cobra.Command{
		Use:           kind.Program,
		Short:         kind.Summary,
		Long:          kind.Program + " is a " + kind.Summary + ".\n" + exitCodes,
		Version:       version.String(),
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	command.SetArgs(environment.Arguments)
	command.SetOut(environment.Output)
	command.SetErr(environment.Errors)
	flags := command.Flags()
	flags.SortFlags = false
	flags.StringVar(&file, "settings", "", "JSON file with settings; flags override it")
	flags.BoolVar(&checkOnly, "check-config", false, "check the settings and the files they name, then exit")
	flags.BoolVar(&printOnly, "print-config", false, "print the settings with their defaults, then exit")
	kind.AddFlags(flags)
	command.PreRun = func(*cobra.Command, []string) { code = ExitStopped }
	command.RunE = func(*cobra.Command, []string) error {
		// The stamp is taken before Load, so that the next check detects a change made during Load.
		stamp := statStamp(file)
		loaded, err := kind.Load(file, flags)
		if err == nil && printOnly {
			return printSettings(environment.Output, loaded)
		}
		key, err := checkFiles(loaded, err)
		switch {
		case err != nil:
			return err
		case checkOnly:
			_, err := fmt.Fprintln(environment.Output, "settings are valid")
			return errors.Wrap(err, "report")
		default:
			source := &settingsSource{
				file:      file,
				current:   loaded,
				lastStamp: stamp,
				load:      func() (settings.Message, error) { return kind.Load(file, flags) },
			}
			return run(kind.Node, source, key, module(loaded), environment)
		}
	}
	return command, &code
}

func printSettings(output io.Writer, loaded settings.Message) error {
	document, err := settings.Print(loaded)
	if err != nil {
		return err
	}
	_, err = output.Write(document)
	return errors.Wrap(err, "print settings")
}

// exitCode distinguishes invalid settings from failures; fallback is ExitSettings
// until the command line was parsed.
func exitCode(err error, fallback int) int {
	var invalid *settings.InvalidError
	var unreadable *settings.ReadError
	if errors.As(err, &invalid) || errors.As(err, &unreadable) {
		return ExitSettings
	}
	if fallback == ExitSettings {
		return ExitSettings
	}
	return ExitFailure
}

// defaultMaxBodyBytes limits request bodies of daemons whose settings have no max_body_bytes; they serve only
// monitoring routes.
const defaultMaxBodyBytes = 64 << 10

func maxBodyBytes(loaded settings.Message) int64 {
	if limited, ok := loaded.(interface{ GetMaxBodyBytes() uint64 }); ok {
		return int64(limited.GetMaxBodyBytes())
	}
	return defaultMaxBodyBytes
}
