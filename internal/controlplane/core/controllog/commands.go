package controllog

import (
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// ReleaseBundle returns the command that makes a bundle the active one if the version of the active bundle is
// expectedVersion; zero means that no bundle is active.
func ReleaseBundle(bundle *protocol.Bundle, expectedVersion uint64) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_ReleaseBundle{
		ReleaseBundle: &protocol.ReleaseBundleCommand{Bundle: bundle, ExpectedVersion: expectedVersion},
	}}
}

// OperatorsNotTrusted returns the failure of a release in a deployment whose settings do not trust operators.
func OperatorsNotTrusted() error {
	return failure.New(failure.Forbidden, protocol.Outcome_NOT_RUN,
		"the core signs nothing off by itself unless its settings trust operators")
}
