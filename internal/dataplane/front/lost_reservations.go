package front

import (
	"context"

	"github.com/rosestand/rosestand/internal/protocol"
)

// reserveOnce asks the ledger for a turn's ceiling.
func (r *turnRun) reserveOnce(operation *protocol.ReserveTurn) *protocol.LedgerResult {
	return r.ledger("reserve", &protocol.LedgerOperation{
		Body: &protocol.LedgerOperation_ReserveTurn{ReserveTurn: operation},
	})
}

// chargeLostReservations ends the open reservations of a program whose owners are gone: it
// claims their sessions, at which the ledger charges what was reserved under
// the former epoch. It reports whether there were any.
func (s *Service) chargeLostReservations(ctx context.Context, record *protocol.ProgramRecord, incarnation uint64) bool {
	charged := false
	for _, session := range lostSessions(record, s.link.View().Membership) {
		result := s.ledgerDo(ctx, &protocol.LedgerOperation{
			Program: record.GetProgram(), Body: &protocol.LedgerOperation_ClaimSession{ClaimSession: &protocol.ClaimSession{
				Session: session, Owner: s.name, OwnerIncarnation: incarnation,
			}},
		})
		charged = charged || result.GetStatus() == protocol.LedgerStatus_LEDGER_OK
	}
	return charged
}

// lostSessions names the sessions that hold reservations and whose owner is no member any more.
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
