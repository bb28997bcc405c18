package fleet

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/operator"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/lab/audit"
)

// OperatorToken is the bearer token of the laboratory's operator.
func (f *Fleet) OperatorToken() string { return f.secrets.operatorToken }

// SignOff signs a merged digest off with the fleet's key of the name SignOffKey.
func (f *Fleet) SignOff(mergedDigest string) string {
	return bundle.Sign(f.secrets.signOffPrivate, mergedDigest)
}

// SignOffKey is the name of the fleet's sign-off key.
const SignOffKey = signKeyName

const clientTimeout = 30 * time.Second

// ClientError is a run of the operators' command-line client that failed.
type ClientError struct {
	Arguments []string
	Result    error
	Output    string
}

// Error implements error.
func (e *ClientError) Error() string {
	return fmt.Sprintf("rosestand %s: %v: %s", strings.Join(e.Arguments, " "), e.Result, strings.TrimSpace(e.Output))
}

// Client runs the operators' command-line client against the core and returns what it wrote.
func (f *Fleet) Client(ctx context.Context, arguments ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(f.options.Binaries, "rosestand"),
		append(f.ClientFlags(), arguments...)...)
	var output, faults bytes.Buffer
	command.Stdout = &output
	command.Stderr = &faults
	if err := command.Run(); err != nil {
		return output.String(), &ClientError{Arguments: arguments, Result: err, Output: output.String() + faults.String()}
	}
	return output.String(), nil
}

// ClientFlags are the flags for the core's address and the operator's credential.
func (f *Fleet) ClientFlags() []string {
	return []string{"--core", strings.Join(f.CoreAddresses(), ","), "--token-file", f.secrets.tokenFile}
}

// CoreAddresses lists the HTTP addresses of the core processes.
func (f *Fleet) CoreAddresses() []string {
	var addresses []string
	for _, member := range f.Members(KindCore) {
		addresses = append(addresses, member.HTTP)
	}
	return addresses
}

// DeliverBundle hands a bundle in and signs it off with the client. The orders
// are returned for the audit.
func (f *Fleet) DeliverBundle(ctx context.Context, made *protocol.Bundle) ([]audit.Order, error) {
	put, err := f.putBundle(ctx, made)
	if err != nil {
		return []audit.Order{put}, err
	}
	sign := audit.Order{Kind: audit.OrderSign, Version: made.GetVersion(), SentAt: time.Now()}
	err = f.signBundle(ctx, made.GetVersion())
	sign.AnsweredAt, sign.Outcome = time.Now(), outcomeOf(err)
	return []audit.Order{put, sign}, err
}

// DeliverCandidate hands a bundle in and signs it off as a candidate; the flags say for which share.
func (f *Fleet) DeliverCandidate(ctx context.Context, made *protocol.Bundle, rolloutFlags ...string) error {
	if _, err := f.putBundle(ctx, made); err != nil {
		return err
	}
	return f.signBundle(ctx, made.GetVersion(), rolloutFlags...)
}

func (f *Fleet) putBundle(ctx context.Context, made *protocol.Bundle) (audit.Order, error) {
	content, err := encodeBundle(made)
	if err != nil {
		return audit.Order{}, err
	}
	path := filepath.Join(f.options.Folder, "settings", fmt.Sprintf("bundle-%d.json", made.GetVersion()))
	if err := os.WriteFile(path, content, 0o644); err != nil {
		return audit.Order{}, errors.Wrap(err, "write bundle")
	}
	digest := sha256.Sum256(content)
	order := audit.Order{
		Kind: audit.OrderPut, Version: made.GetVersion(), Content: hex.EncodeToString(digest[:]),
		SentAt: time.Now(),
	}
	_, err = f.Client(ctx, "bundle", "put", path)
	order.AnsweredAt, order.Outcome = time.Now(), outcomeOf(err)
	return order, err
}

func (f *Fleet) signBundle(ctx context.Context, version uint64, rolloutFlags ...string) error {
	arguments := []string{
		"bundle", "sign", strconv.FormatUint(version, 10), "--key-name", signKeyName, "--key-file", f.secrets.signOffKeyFile,
	}
	_, err := f.Client(ctx, append(arguments, rolloutFlags...)...)
	return err
}

// outcomeOf reads the exit code of the client.
func outcomeOf(err error) audit.OrderOutcome {
	var exit *exec.ExitError
	var failed *ClientError
	switch {
	case err == nil:
		return audit.OrderAcknowledged
	case errors.As(err, &failed) && errors.As(failed.Result, &exit) && exit.ExitCode() == operator.ExitRejected:
		return audit.OrderRejected
	default:
		return audit.OrderUnknown
	}
}
