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

	"github.com/rosestand/rosestand/internal/process/settings"
	"github.com/rosestand/rosestand/internal/process/version"
)

// Exit codes of every daemon.
const (
	// ExitStopped says that the process was asked to stop and did so gently.
	ExitStopped = 0
	// ExitFailure says that the start failed, the process could not go on, or
	// the stop was cut short by a second signal or by the end of the grace.
	ExitFailure = 1
	// ExitSettings says that the command line or the settings are wrong; nothing was started.
	ExitSettings = 2
)

// Environment is what a daemon has from the system.
type Environment struct {
	// Arguments are those of the command line, without the program's name.
	Arguments []string
	// Output is for what was asked for, Errors for faults and the log.
	Output io.Writer
	Errors io.Writer
	// Signals asks the process to stop: gently the first time, at once the second time.
	Signals <-chan os.Signal
	// Reload asks the process to read its settings file again; nil when nothing asks.
	Reload <-chan os.Signal
	// OnRunning, when set, is called once everything is started and served.
	OnRunning func(*Process)
}

// Module makes the fx module of a plane from its settings.
type Module[S settings.Message] func(S) fx.Option

// Main runs a daemon with one plane and ends the program.
func Main[S settings.Message](kind settings.Kind[S], module Module[S]) {
	os.Exit(Execute(kind, module, SystemEnvironment(os.Args[1:])))
}

// SystemEnvironment is the environment of a program: standard output and
// error, SIGTERM and SIGINT to stop, SIGHUP to read the settings again.
func SystemEnvironment(arguments []string) Environment {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return Environment{
		Arguments: arguments,
		Output:    os.Stdout,
		Errors:    os.Stderr,
		Signals:   signals,
		Reload:    reload,
	}
}

// Execute runs a daemon until it stops and returns its exit code.
func Execute[S settings.Message](kind settings.Kind[S], module Module[S], environment Environment) int {
	command, code := newCommand(kind, module, environment)
	if err := command.Execute(); err != nil {
		_, _ = fmt.Fprintf(environment.Errors, "%s: %v\n", kind.Program, err)
		return exitCode(err, *code)
	}
	return *code
}

func newCommand[S settings.Message](kind settings.Kind[S], module Module[S], environment Environment) (*cobra.Command, *int) {
	var file string
	var checkOnly, printOnly bool
	code := ExitSettings
	command := &cobra.Command{
		Use:           kind.Program,
		Short:         kind.Summary,
		Long:          kind.Program + " is a " + kind.Summary + ".\nIt exits with 0 when stopped, 1 on failure, 2 for wrong settings.",
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
	flags.StringVar(&file, "settings", "", "JSON file with settings; flags go over it")
	flags.BoolVar(&checkOnly, "check-config", false, "check the settings and the files they name, then exit")
	flags.BoolVar(&printOnly, "print-config", false, "print the settings with defaults filled in, then exit")
	kind.AddFlags(flags)
	command.PreRun = func(*cobra.Command, []string) { code = ExitStopped }
	command.RunE = func(*cobra.Command, []string) error {
		stamp := stampOf(file)
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
				file:    file,
				current: loaded,
				seen:    stamp,
				load:    func() (settings.Message, error) { return kind.Load(file, flags) },
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

// exitCode tells wrong settings from failures; fallback applies while the command line was not yet understood.
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

// probeBodyBytes bounds the bodies sent to a daemon whose only HTTP routes are the probes.
const probeBodyBytes = 64 << 10

func maxBodyBytes(loaded settings.Message) int64 {
	if bounded, has := loaded.(interface{ GetMaxBodyBytes() uint64 }); has {
		return int64(bounded.GetMaxBodyBytes())
	}
	return probeBodyBytes
}
