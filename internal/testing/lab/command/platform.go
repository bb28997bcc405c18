package command

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/platform/standin"
)

const platformBinary = "rosestand-platform"

func newRunPlatform(e *environment) *cobra.Command {
	options := standin.Options{}
	command := &cobra.Command{
		Use:   "run-platform",
		Short: "Bring up a small fleet behind the users' platform's adapter, run programs against it, audit, stop",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if options.Duration <= 0 || options.Duration > maxDuration {
				return &FlagError{Flag: "duration", Reason: "must be above 0 and at most " + maxDuration.String()}
			}
			folder, err := filepath.Abs(e.runFolder("platform"))
			if err != nil {
				return errors.Wrap(err, "run folder")
			}
			options.Folder, options.Binary = folder, filepath.Join(e.binaries, platformBinary)
			options.Logger, options.Output = e.logger, e.output
			e.logger.Info("run folder created", "path", folder)
			violations, err := standin.Run(command.Context(), options)
			if err != nil {
				return err
			}
			return e.judge(violations)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.Templates, "templates", filepath.Join("deploy", "platform"),
		"folder of the templates of settings")
	flags.DurationVar(&options.Duration, "duration", 20*time.Second, "how long new programs begin")
	flags.Float64Var(&options.PerSecond, "rate", 10, "programs a second")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the callers")
	return command
}

// judge prints every violation and fails when there is one.
func (e *environment) judge(violations []standin.Violation) error {
	for _, violation := range violations {
		if _, err := fmt.Fprintf(e.output, "VIOLATION %s: %s\n", violation.Check, violation.Detail); err != nil {
			return errors.Wrap(err, "print violation")
		}
	}
	if len(violations) > 0 {
		return &ViolationError{What: fmt.Sprintf("%d violations", len(violations))}
	}
	return nil
}
