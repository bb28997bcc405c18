package ledgerops

import (
	"context"

	"github.com/rosestand/rosestand/internal/protocol"
)

// ChargeLostReservations charges the open reservations of a program whose owners are no longer members. It claims their
// sessions for this node's incarnation, whereupon the ledger charges what was reserved under the previous epoch. It
// reports whether any session was claimed.
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

// lostSessions returns the sessions that have reservations and whose owner is no longer a member.
func lostSessions(record *protocol.ProgramRecord, members *protocol.MembershipView) []string {
	reserving := make(map[string]bool)
	for _, reservation := range record.GetReservations() {
		reserving[reservation.GetSession()] = true
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
