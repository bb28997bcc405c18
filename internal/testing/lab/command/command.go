// Package command is the command line of the laboratory.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/testing/lab/simcommand"
)

// Exit codes of the laboratory.
const (
	ExitClean = 0
	// ExitFailure is a run that could not be carried out.
	ExitFailure = 1
	// ExitViolation is a run that violated its audit or its limits.
	ExitViolation = 3
)

// ViolationError says that a run came to its end and found a broken promise or limit.
type ViolationError struct{ What string }

// Error implements error.
func (e *ViolationError) Error() string { return e.What }

func isViolation(err error) bool {
	var violation *ViolationError
	return errors.As(err, &violation)
}

// environment is what all commands share.
type environment struct {
	output io.Writer
	errors io.Writer
	logger *log.Logger
	// binaries is the folder of the project's programs.
	binaries string
	// folder is where runs are saved.
	folder string
	// profile is the file of the processor profile, empty for none.
	profile string
}

func (e *environment) startProfile() error {
	if e.profile == "" {
		return nil
	}
	file, err := os.Create(e.profile)
	if err != nil {
		return errors.Wrap(err, "create profile")
	}
	return errors.Wrap(pprof.StartCPUProfile(file), "start profile")
}

// Main runs the laboratory and ends the program.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := Execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// Execute runs one command and returns its exit code.
func Execute(ctx context.Context, arguments []string, output, faults io.Writer) int {
	root := newRoot(output, faults) //nolint:contextcheck // cobra passes ctx on by ExecuteContext
	defer pprof.StopCPUProfile()
	root.SetArgs(arguments)
	err := root.ExecuteContext(ctx)
	var violation *ViolationError
	var simulated *simcommand.ViolatedError
	switch {
	case err == nil:
		return ExitClean
	case errors.As(err, &simulated):
		_, _ = fmt.Fprintln(faults, simulated.Error())
		return ExitViolation
	case errors.As(err, &violation):
		_, _ = fmt.Fprintln(faults, violation.Error())
		return ExitViolation
	default:
		_, _ = fmt.Fprintf(faults, "rosestand-lab: %v\n", err)
		return ExitFailure
	}
}

func newRoot(output, faults io.Writer) *cobra.Command {
	e := &environment{output: output, errors: faults}
	e.logger = log.NewWithOptions(faults, log.Options{ReportTimestamp: true, TimeFormat: "15:04:05.000"})
	root := &cobra.Command{
		Use: "rosestand-lab",
		Short: "Laboratory of rosestand: emulated back ends and callers, whole fleets on loopback, " +
			"faults, audits and figures",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(output)
	root.SetErr(faults)
	flags := root.PersistentFlags()
	flags.StringVar(&e.binaries, "binaries", ownFolder(), "folder of the project's programs")
	flags.StringVar(&e.folder, "folder", "run", "folder in which each run gets one of its own")
	flags.StringVar(&e.profile, "cpu-profile", "", "file that takes a processor profile of the laboratory itself")
	root.PersistentPreRunE = func(*cobra.Command, []string) error { return e.startProfile() }
	root.AddCommand(newBackEnds(e), newRun(e), newRunPlatform(e), newFleet(e), newAudit(e), newChaos(e), newFrontLoss(e),
		newExperiment(e), newBench(e), newBurst(e), newScale(e), newReport(e), newAblate(e), simcommand.New())
	return root
}

func ownFolder() string {
	path, err := os.Executable()
	if err != nil {
		return "."
	}
	return filepath.Dir(path)
}

// runFolder names a new folder for one run.
func (e *environment) runFolder(kind string) string {
	return filepath.Join(e.folder, fmt.Sprintf("%s-%s-%d", kind, time.Now().UTC().Format("20060102T150405"), os.Getpid()))
}
