package ledgerops

import (
	"context"

	"github.com/rosestand/rosestand/internal/protocol"
)

// ChargeLostReservations ends the open reservations of a program whose owners are members no more: it
// claims their sessions for this node's incarnation, at which the ledger charges what was reserved under
// the former epoch. It reports whether one was charged.
func (c *Client) ChargeLostReservations(
	ctx context.Context, record *protocol.ProgramRecord, incarnation uint64,
) bool {
	charged := false
	for _, session := range lostSessions(record, c.members()) {
		result := c.Do(ctx, &protocol.LedgerOperation{
			Program: record.GetProgram(), Body: &protocol.LedgerOperation_ClaimSession{ClaimSession: &protocol.ClaimSession{
				Session: session, Owner: c.node, OwnerIncarnation: incarnation,
			}},
		})
		charged = charged || result.GetStatus() == protocol.LedgerStatus_LEDGER_OK
	}
	return charged
}

// lostSessions names the sessions that have reservations and whose owner is a member no more.
func lostSessions(record *protocol.ProgramRecord, members *protocol.MembershipView) []string {
	reserving := make(map[string]bool)
	for _, open := range record.GetReservations() {
		reserving[open.GetSession()] = true
	}
	var lost []string
	for _, session := range record.GetSessions() {
		if reserving[session.GetSession()] && !isMember(members, session.GetOwner(), session.GetOwnerIncarnation()) {
			lost = append(lost, session.GetSession())
		}
	}
	return lost
}

func isMember(members *protocol.MembershipView, name string, incarnation uint64) bool {
	for _, node := range members.GetNodes() {
		if node.GetName() == name {
			return node.GetIncarnation() == incarnation
		}
	}
	return false
}
