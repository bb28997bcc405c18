package operator

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rosestand/rosestand/internal/controlplane/firsttoken"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	rolloutPath           = "/v1/rollout"
	basisPointsPerPercent = 100
	firstTokenQuantile    = 0.95
)

// rolloutFlags holds the flags that describe a roll-out.
type rolloutFlags struct {
	sharePercent     float64
	shadow           bool
	maxErrorPercent  float64
	maxFirstTokenP95 uint32
	minimumSamples   uint32
}

var rolloutFlagNames = []string{"share", "shadow", "max-error-percent", "max-first-token-p95-millis", "minimum-samples"}

func (r *rolloutFlags) register(flags *pflag.FlagSet) {
	flags.Float64Var(&r.sharePercent, rolloutFlagNames[0], 0, "percent of programs that the candidate serves")
	flags.BoolVar(
		&r.shadow, rolloutFlagNames[1], false, "let the candidate decide beside the active bundle without running anything",
	)
	flags.Float64Var(
		&r.maxErrorPercent, rolloutFlagNames[2], 0, "withdraw the candidate when more of its requests fail; 0 for no limit",
	)
	flags.Uint32Var(
		&r.maxFirstTokenP95, rolloutFlagNames[3], 0,
		"withdraw the candidate when its first token takes longer; 0 for no limit",
	)
	flags.Uint32Var(&r.minimumSamples, rolloutFlagNames[4], 0, "requests of the candidate before a limit counts")
}

// anyChanged reports whether any flag of the roll-out was set.
func (r *rolloutFlags) anyChanged(flags *pflag.FlagSet) bool {
	return slices.ContainsFunc(rolloutFlagNames, flags.Changed)
}

func (r *rolloutFlags) build(version uint64) (*protocol.Rollout, error) {
	if r.sharePercent < 0 || r.sharePercent > 100 {
		return nil, &UsageError{Reason: "--share must be between 0 and 100 percent"}
	}
	if r.maxErrorPercent < 0 || r.maxErrorPercent > 100 {
		return nil, &UsageError{Reason: "--max-error-percent must be between 0 and 100"}
	}
	return &protocol.Rollout{
		CandidateVersion: version,
		ShareBasisPoints: uint32(math.Round(r.sharePercent * basisPointsPerPercent)),
		Shadow:           r.shadow,
		Guard: &protocol.RolloutGuard{
			MaxErrorRatio: r.maxErrorPercent / 100, MaxFirstTokenP95Millis: r.maxFirstTokenP95, MinimumSamples: r.minimumSamples,
		},
	}, nil
}

func (c *commandLine) bundleRolloutCommand() *cobra.Command {
	options := &rolloutFlags{}
	command := &cobra.Command{
		Use:   "rollout [VERSION]",
		Short: "make a signed version the candidate of a roll-out; without a version, show the one under way",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			if len(arguments) == 0 {
				return c.showRollout(command.Context())
			}
			number, err := parseVersion(arguments[0])
			if err != nil {
				return err
			}
			rollout, err := options.build(number)
			if err != nil {
				return err
			}
			return c.orderRollout(command.Context(), http.MethodPut, rolloutPath, rollout,
				fmt.Sprintf("bundle %d is the candidate", number))
		},
	}
	options.register(command.Flags())
	return command
}

func (c *commandLine) bundlePromoteCommand() *cobra.Command {
	return c.candidateCommand("promote VERSION", "put the candidate in force everywhere", "/promote", "was promoted")
}

func (c *commandLine) bundleWithdrawCommand() *cobra.Command {
	return c.candidateCommand("withdraw VERSION", "take the candidate back", "/withdraw", "was withdrawn")
}

// candidateCommand returns a command that sends an order about the candidate. The order names the candidate's
// version, so that a delayed order cannot affect the next candidate.
func (c *commandLine) candidateCommand(use, short, path, done string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			number, err := parseVersion(arguments[0])
			if err != nil {
				return err
			}
			return c.orderRollout(command.Context(), http.MethodPost, rolloutPath+path,
				&protocol.Rollout{CandidateVersion: number}, fmt.Sprintf("bundle %d %s", number, done))
		},
	}
}

func (c *commandLine) orderRollout(
	ctx context.Context, method, path string, rollout *protocol.Rollout, done string,
) error {
	body, err := protojson.Marshal(rollout)
	if err != nil {
		return err
	}
	response, err := c.order(ctx, method, path, body)
	if err != nil {
		return err
	}
	return c.printResult(response, done)
}

func (c *commandLine) showRollout(ctx context.Context) error {
	return c.show(ctx, rolloutPath, renderRollout)
}

func renderRollout(writer io.Writer, response []byte) error {
	current := &rolloutResponse{}
	if err := decode(response, current); err != nil {
		return err
	}
	if len(current.Rollout) == 0 {
		_, err := fmt.Fprintf(writer, "no roll-out is under way; bundle %d is in force\n", current.Active)
		return err
	}
	rollout := &protocol.Rollout{}
	if err := decodeProto(current.Rollout, rollout); err != nil {
		return err
	}
	variants, err := decodeList[protocol.ArmSample](current.Variants)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(writer, "bundle %d beside %d, %g%% of programs, shadow %t\n",
		rollout.GetCandidateVersion(), current.Active, float64(
			rollout.GetShareBasisPoints(),
		)/basisPointsPerPercent, rollout.GetShadow())
	if err != nil {
		return err
	}
	rows := newGrid("bundle", "arm", "requests", "errors", "tokens", "first token p95 ms")
	for _, variant := range variants {
		firstToken := firsttoken.Quantile(variant.GetFirstTokenBuckets(), firstTokenQuantile)
		rows.add(variant.GetBundleVersion(), variantName(variant), variant.GetRequests(), variant.GetErrors(),
			variant.GetTokens(), fmt.Sprintf("%.1f", firstToken))
	}
	return rows.print(writer)
}

func variantName(variant *protocol.ArmSample) string {
	if variant.GetCandidate() {
		return "candidate"
	}
	return "active"
}
