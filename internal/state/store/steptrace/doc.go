// Package steptrace takes the trace of a training step: its pin and all programs that are members
// of the step. A trace must contain everything that was acknowledged and nothing that was not
// chosen. It is taken in three phases:
//
//  1. All stores list the programs that are members of the step according to their replicas. A
//     program's membership was acknowledged by a majority of its shard, and each later value
//     was derived from one that includes it, so at least one replica of any majority lists the
//     program. The list is complete when a majority of each shard answered under the current
//     placement; otherwise the trace is unavailable, never shortened.
//  2. Each listed program is read from a majority, as by ReadProgram. The record of a single
//     replica may be a change that was never chosen: of two such records, the one that counts
//     more generations can be the one that lost (an owner's commit that a minority accepted,
//     against the claim that charged the same turn later), and both can have the same count.
//     Neither the highest count nor the record of most replicas decides which one was chosen,
//     only the register does: the read completes a change that may have been chosen, or finds
//     it superseded. So the trace contains every change that was acknowledged before it, and
//     nothing in it is undone later. A program that proves to be a member of no step or of
//     another one was never acknowledged as a member and is left out.
//  3. The pin is read last, in the same way, so that a trace with a program contains its pin.
//
// Generations that are acknowledged while a trace is taken may be missing from it.
//
// Members are found by a scan over the registers of each replica. An index by step would have
// to be updated with each accepted value, also those of programs without a step, and would take
// memory for each member, while a trace is requested a few times per step at most. The scan is
// done in pages, each a separate command to the owner of the shard, so that other requests wait
// for one page only.
package steptrace
