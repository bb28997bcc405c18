// Package trainingstep decides what concerns the training steps of agents that
// are trained anew: the form of a step's name, the version of the weights that
// is proposed for a step, whether an answer came from that version, when a
// generation of a step may run beside live requests, and which server runs it.
// It does no I/O.
package trainingstep
