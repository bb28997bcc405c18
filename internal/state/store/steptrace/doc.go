// Package steptrace takes the trace of a training step: its pin and all programs that
// generate for it. A trace must show no less than what was acknowledged, and nothing that is
// not so. It is taken in three phases:
//
//  1. All stores list the programs that, as their replicas have it, generate for the step. A
//     program's membership was acknowledged by a majority of its shard, and each later value
//     was made from one with it, so at least one of any majority lists the program. The list
//     is complete when a majority of each shard answered under the placement in force; else
//     the trace is unavailable, never shorter.
//  2. Each program listed is read from a majority, as ReadProgram does. What one replica alone
//     has may be a change that was never chosen: of two such records the one that counts more
//     generations can be the one that lost (an owner's commit, accepted by a minority, against
//     the claim that charged the same turn later), and both can count as many. Neither the
//     highest count nor what most replicas have decides that, only the register does: the read
//     completes a change that may have been chosen, or finds it superseded. So every change
//     that was acknowledged before the trace is in it, and what a trace shows is never undone.
//     A program that turns out to be of no step or of another was never acknowledged as a
//     member and is left out.
//  3. The pin is read in the same way, last, so that it is there when a program is.
//
// Generations that are acknowledged while a trace is taken may be in it or not.
//
// Members are found by a scan over the registers of each replica. An index by step would have
// to be kept up at each accepted value, also of programs without a step, and would take
// memory for each member; a trace is requested a few times a step at most. The scan proceeds
// in pages, each a command of its own to the owner of the shard, so that other requests wait
// for one page only.
package steptrace
