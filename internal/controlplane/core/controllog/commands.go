package controllog

import (
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// ReleaseBundle is the command that puts a bundle in force if the version in force is expectedVersion (zero: none).
func ReleaseBundle(bundle *protocol.Bundle, expectedVersion uint64) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_ReleaseBundle{
		ReleaseBundle: &protocol.ReleaseBundleCommand{Bundle: bundle, ExpectedVersion: expectedVersion},
	}}
}

// OperatorsNotTrusted is the failure of a release where the settings do not trust operators.
func OperatorsNotTrusted() error {
	return failure.New(failure.Forbidden, protocol.Outcome_NOT_RUN,
		"the core signs nothing off by itself unless its settings trust operators")
}
