// Package versionpin resolves the version of a model's weights that is pinned
// for a training step, so that all generations of the step use one version. The
// ledger decides: its register of a step takes the first version proposed. This
// package proposes what the servers announce and caches the answers.
package versionpin
