package operator

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/protocol"
)

// signFlags are those of bundle sign.
type signFlags struct {
	keyName string
	keyFile string
	digest  string
	rollout rolloutFlags
}

func (s *shell) bundleSignCommand() *cobra.Command {
	given := &signFlags{}
	command := &cobra.Command{
		Use:   "sign VERSION",
		Short: "sign a version off, which puts it in force; with --share or --shadow it becomes a candidate",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			number, err := parseVersion(arguments[0])
			if err != nil {
				return err
			}
			if err := requireFlags(command.Flags(), "key-name", "key-file"); err != nil {
				return err
			}
			var rollout *protocol.Rollout
			if given.rollout.used(command.Flags()) {
				if rollout, err = given.rollout.build(number); err != nil {
					return err
				}
			}
			return s.signBundle(command.Context(), number, given, rollout)
		},
	}
	flags := command.Flags()
	flags.StringVar(&given.keyName, "key-name", "", "name of the sign-off key")
	flags.StringVar(&given.keyFile, "key-file", "", "file with the private key, as bundle keygen writes it")
	flags.StringVar(&given.digest, "digest", "", "merged digest that the bundle must have; refuse to sign another")
	given.rollout.add(flags)
	return command
}

// signBundle fetches the digest of the merged bundle, shows it and signs it.
func (s *shell) signBundle(ctx context.Context, number uint64, given *signFlags, rollout *protocol.Rollout) error {
	key, err := loadKey(given.keyFile)
	if err != nil {
		return err
	}
	version := strconv.FormatUint(number, 10)
	answer, err := s.ask(ctx, http.MethodGet, bundlePath(version))
	if err != nil {
		return err
	}
	digest, err := digestToSign(answer, number, given.digest)
	if err != nil {
		return err
	}
	s.say("signing bundle %d with key %s, merged digest %s", number, given.keyName, digest)
	body, err := protojson.Marshal(&protocol.SignBundleCommand{
		Version: number, KeyName: given.keyName, Signature: bundle.Sign(key, digest), Rollout: rollout,
	})
	if err != nil {
		return err
	}
	answer, err = s.order(ctx, http.MethodPost, bundlePath(version)+"/sign", body)
	if err != nil {
		return err
	}
	return s.printResult(answer, fmt.Sprintf("bundle %d was signed off", number))
}

// digestToSign takes the merged digest from the answer. It is computed anew
// from the content, so that a process cannot have something else signed.
func digestToSign(answer []byte, number uint64, expected string) (string, error) {
	shown := &bundleAnswer{}
	if err := decode(answer, shown); err != nil {
		return "", err
	}
	status := &protocol.BundleStatus{}
	if err := decodeProto(shown.Status, status); err != nil {
		return "", err
	}
	digest := status.GetMergedDigest()
	if len(shown.Bundle) > 0 {
		merged, err := bundle.Parse(shown.Bundle)
		if err != nil {
			return "", &AnswerError{Cause: err}
		}
		if found := bundle.Digest(merged); found != digest || merged.GetVersion() != number {
			return "", &DigestError{Version: number, Expected: digest, Found: found}
		}
	}
	if expected != "" && expected != digest {
		return "", &DigestError{Version: number, Expected: expected, Found: digest}
	}
	return digest, nil
}

func (s *shell) bundleKeygenCommand() *cobra.Command {
	var name, file string
	command := &cobra.Command{
		Use:   "keygen",
		Short: "make a sign-off key: the private half goes into a new file, the public half is printed",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := requireFlags(command.Flags(), "key-name", "key-file"); err != nil {
				return err
			}
			if strings.ContainsAny(name, " \t:=") {
				return &UsageError{Reason: fmt.Sprintf("--key-name: %q must have no space, ':' or '='", name)}
			}
			public, err := generateKey(file)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(s.environment.Output, name+":"+public)
			return err
		},
	}
	command.Flags().StringVar(&name, "key-name", "", "name of the key")
	command.Flags().StringVar(&file, "key-file", "", "file to write the private key to; it must not exist")
	return command
}

func parseVersion(text string) (uint64, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number == 0 {
		return 0, &UsageError{Reason: fmt.Sprintf("%q is no version; versions are numbers from 1", text)}
	}
	return number, nil
}
