// Package trainingstep implements the rules for the training steps of agents:
// the form of a step's name, the version of the weights that a step is pinned
// to, the versions that an answer reports, when a generation of a step may run
// beside live requests (AdmissionGate), and how many generations a server may
// run. It does no I/O; an AdmissionGate has one owner goroutine.
//
// The states of a ticket at an AdmissionGate:
//
//	waiting                  queued behind live requests and earlier tickets until it gets a verdict
//	Run                      running; Leave frees its slot
//	RejectFull, RejectLate   rejected; final
package trainingstep
