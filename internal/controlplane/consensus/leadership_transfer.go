package consensus

import (
	"strconv"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// transferState is a leadership transfer in progress. Once timeoutNowSent is set the lease is given
// up for the rest of the term: voters grant the target their votes in spite of the lease.
type transferState struct {
	target         uint64
	deadline       time.Time
	timeoutNowSent bool
}

// Transfer hands leadership to a voter: proposals are rejected while it is sent the entries that it
// lacks and then asked to campaign. A transfer that takes longer than an election timeout is
// abandoned, or ends this leadership when the target was already asked. Errors: *NotLeaderError,
// *TransferringError, *InvalidChangeError.
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

// transferExpired reports whether the leader must step down since its target, already asked to
// campaign, has not taken over. A transfer that did not get so far is abandoned.
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
