// Package trainingstep decides what concerns the training steps of agents that
// are being trained: the form of a step's name, the version of the weights that
// a step is pinned to, whether an answer came from that version, when a
// generation of a step may run beside live requests (AdmissionGate), and how many
// of them a server may run. It does no I/O; an AdmissionGate has one owner goroutine.
//
// The states of a ticket at an AdmissionGate:
//
//	waiting   behind live requests and earlier tickets; ends with a verdict
//	Run       it runs; Leave gives its slot back
//	RejectFull, RejectLate   final
package trainingstep
