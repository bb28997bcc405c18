package controlstate

import (
	"crypto/sha256"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Codes of rejections, from package failure.
const (
	codeInvalidOrder     = failure.InvalidOrder
	codeInvalidBundle    = failure.InvalidBundle
	codeVersionTaken     = failure.VersionTaken
	codeWrongBase        = failure.WrongBase
	codeNotFound         = failure.NotFound
	codeBadSignature     = failure.BadSignature
	codeNotSigned        = failure.NotSigned
	codeChangeInProgress = failure.ChangeInProgress
	codeLeaseRejected    = failure.LeaseRejected
	codeStoreNotEmptied  = failure.StoreNotEmptied
	codeTooFewStores     = failure.TooFewStores
)

// contentDigest is the first half of a SHA-256.
type contentDigest [16]byte

// orderEntry has the content digest of an order and its first result. Entries are never dropped, because operators may
// repeat an order after any number of changes.
type orderEntry struct {
	digest contentDigest
	result *protocol.CommandResult
}

// digestContent returns the digest of what the order requests, without the order id, the time and the fields that the
// leader adds.
func digestContent(command *protocol.Command) contentDigest {
	var encoded []byte
	if put := command.GetPutBundle(); put != nil {
		encoded = append([]byte("put "), bundle.Digest(put.GetBundle())...)
	} else if change := command.GetChangeMember(); change != nil {
		encoded = bundle.EncodeMessage(&protocol.ChangeMemberCommand{
			Remove:  change.GetRemove(),
			Subject: change.GetSubject(),
		})
	} else {
		content := &protocol.Command{Body: command.GetBody()}
		encoded = bundle.EncodeMessage(content)
	}
	sum := sha256.Sum256(encoded)
	return contentDigest(sum[:len(contentDigest{})])
}

func accept(index uint64) *protocol.CommandResult {
	return &protocol.CommandResult{Accepted: true, Index: index}
}

func acceptBundle(index uint64, status *protocol.BundleStatus) *protocol.CommandResult {
	return &protocol.CommandResult{Accepted: true, Index: index, Bundle: status}
}

func reject(code failure.Code, message string, faults ...*protocol.Fault) *protocol.CommandResult {
	return &protocol.CommandResult{Refusal: &protocol.Refusal{Code: string(code), Message: message, Faults: faults}}
}

func fault(path, message string) *protocol.Fault {
	return &protocol.Fault{Path: path, Message: message}
}
