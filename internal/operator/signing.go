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

// signFlags holds the flags of bundle sign.
type signFlags struct {
	keyName string
	keyFile string
	digest  string
	rollout rolloutFlags
}

func (c *commandLine) bundleSignCommand() *cobra.Command {
	options := &signFlags{}
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
			if options.rollout.anyChanged(command.Flags()) {
				if rollout, err = options.rollout.build(number); err != nil {
					return err
				}
			}
			return c.signBundle(command.Context(), number, options, rollout)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.keyName, "key-name", "", "name of the sign-off key")
	flags.StringVar(&options.keyFile, "key-file", "", "file with the private key, as bundle keygen writes it")
	flags.StringVar(&options.digest, "digest", "", "merged digest that the bundle must have; refuse to sign another")
	options.rollout.register(flags)
	return command
}

// signBundle fetches the digest of the merged bundle, prints it and signs it.
func (c *commandLine) signBundle(
	ctx context.Context, number uint64, options *signFlags, rollout *protocol.Rollout,
) error {
	key, err := loadKey(options.keyFile)
	if err != nil {
		return err
	}
	version := strconv.FormatUint(number, 10)
	response, err := c.get(ctx, bundlePath(version))
	if err != nil {
		return err
	}
	digest, err := digestToSign(response, number, options.digest)
	if err != nil {
		return err
	}
	c.printNotice("signing bundle %d with key %s, merged digest %s", number, options.keyName, digest)
	body, err := protojson.Marshal(&protocol.SignBundleCommand{
		Version: number, KeyName: options.keyName, Signature: bundle.Sign(key, digest), Rollout: rollout,
	})
	if err != nil {
		return err
	}
	response, err = c.order(ctx, http.MethodPost, bundlePath(version)+"/sign", body)
	if err != nil {
		return err
	}
	return c.printResult(response, fmt.Sprintf("bundle %d was signed off", number))
}

// digestToSign returns the merged digest in the response. It verifies the digest
// against the content, if that is present, so that a process cannot obtain a
// signature of other content. The error is a *DigestError or a *ResponseError.
func digestToSign(response []byte, number uint64, expected string) (string, error) {
	fetched := &bundleResponse{}
	if err := decode(response, fetched); err != nil {
		return "", err
	}
	status := &protocol.BundleStatus{}
	if err := decodeProto(fetched.Status, status); err != nil {
		return "", err
	}
	digest := status.GetMergedDigest()
	if len(fetched.Bundle) > 0 {
		merged, err := bundle.Parse(fetched.Bundle)
		if err != nil {
			return "", &ResponseError{Cause: err}
		}
		if actual := bundle.Digest(merged); actual != digest || merged.GetVersion() != number {
			return "", &DigestError{Version: number, Expected: digest, Actual: actual}
		}
	}
	if expected != "" && expected != digest {
		return "", &DigestError{Version: number, Expected: expected, Actual: digest}
	}
	return digest, nil
}

func (c *commandLine) bundleKeygenCommand() *cobra.Command {
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
			_, err = fmt.Fprintln(c.environment.Output, name+":"+public)
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
