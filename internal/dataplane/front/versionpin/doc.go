// Package versionpin resolves the version of a model's weights that is pinned for a
// training step, so that all generations of the step use one version. The ledger
// decides: its register for a step stores the first version proposed. This package
// proposes a version that the servers announce and caches the ledger's answers.
package versionpin
