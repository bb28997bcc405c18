package consensus

import (
	"strconv"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// transferState is a leadership transfer in progress. Once timeoutNowSent is set the lease is given up
// for the rest of the term, since voters grant the target their votes despite the lease.
type transferState struct {
	target         uint64
	deadline       time.Time
	timeoutNowSent bool
}

// Transfer starts a leadership transfer to another voter: the target receives the entries that it lacks
// and then a request to campaign; proposals are rejected meanwhile. A transfer that takes longer than an
// election timeout is abandoned; if the request was sent already, this node steps down instead. Errors:
// *NotLeaderError, *TransferringError, *InvalidChangeError.
func (n *Node) Transfer(target uint64, now time.Time) error {
	if err := n.checkCanPropose(); err != nil {
		return err
	}
	peer := n.peer(target)
	if peer == nil || !peer.voter {
		return &InvalidChangeError{
			Reason: "leadership cannot go to " + strconv.FormatUint(target, 10) + ", which is no other voter",
		}
	}
	n.transfer = transferState{target: target, deadline: now.Add(n.config.ElectionTimeout)}
	n.continueTransfer(now)
	return nil
}

func (n *Node) continueTransfer(now time.Time) {
	if n.transfer.target == 0 || n.transfer.timeoutNowSent {
		return
	}
	peer := n.peer(n.transfer.target)
	if peer == nil {
		n.transfer = transferState{}
		return
	}
	if peer.match < n.log.lastIndex() {
		n.maybeSendAppend(peer, now)
		return
	}
	n.transfer.timeoutNowSent = true
	n.send(&protocol.ConsensusMessage{Kind: protocol.ConsensusMessageKind_TIMEOUT_NOW, To: peer.id})
}

// transferExpired reports whether the leader must step down because the target received the request to
// campaign but has not taken over in time. It abandons an expired transfer whose request was not sent.
func (n *Node) transferExpired(now time.Time) bool {
	if n.transfer.target == 0 || now.Before(n.transfer.deadline) {
		return false
	}
	if n.transfer.timeoutNowSent {
		return true
	}
	n.transfer = transferState{}
	return false
}
