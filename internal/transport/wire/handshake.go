package wire

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	nonceBytes       = 32
	maxHelloBytes    = 4096
	clientProofLabel = "rosestand client"
	serverProofLabel = "rosestand server"
)

// proof authenticates a role and both nonces with the cluster key, so that a
// recorded handshake cannot be replayed in either direction.
func proof(key []byte, label string, clientNonce, serverNonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	var version [4]byte
	binary.BigEndian.PutUint32(version[:], ProtocolVersion)
	mac.Write(version[:])
	mac.Write(clientNonce)
	mac.Write(serverNonce)
	return mac.Sum(nil)
}

func newNonce() ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, errors.Wrap(err, "make nonce")
	}
	return nonce, nil
}

func writeHello(connection net.Conn, hello *protocol.Hello) error {
	frame, err := appendFrame(nil, hello)
	if err != nil {
		return err
	}
	_, err = connection.Write(frame)
	return err
}

func readHello(reader *bufio.Reader) (*protocol.Hello, error) {
	hello := &protocol.Hello{}
	if err := readMessage(reader, maxHelloBytes, hello); err != nil {
		return nil, err
	}
	if hello.GetProtocolVersion() != ProtocolVersion {
		return nil, &HandshakeError{Reason: "other protocol version"}
	}
	return hello, nil
}

// clientHandshake sends a nonce, verifies the server's proof over both nonces and answers with its own proof.
func clientHandshake(connection net.Conn, reader *bufio.Reader, key []byte, node string) error {
	if err := connection.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	nonce, err := newNonce()
	if err != nil {
		return err
	}
	hello := &protocol.Hello{ProtocolVersion: ProtocolVersion, Nonce: nonce, Node: node}
	if err := writeHello(connection, hello); err != nil {
		return err
	}
	answer, err := readHello(reader)
	if err != nil {
		return err
	}
	if len(answer.GetNonce()) != nonceBytes ||
		!hmac.Equal(answer.GetProof(), proof(key, serverProofLabel, nonce, answer.GetNonce())) {
		return &HandshakeError{Reason: "server did not prove the cluster key"}
	}
	final := &protocol.Hello{
		ProtocolVersion: ProtocolVersion, Proof: proof(key, clientProofLabel, nonce, answer.GetNonce()),
	}
	if err := writeHello(connection, final); err != nil {
		return err
	}
	return connection.SetDeadline(time.Time{})
}

// serverHandshake is the server side of clientHandshake; it returns the client's name.
func serverHandshake(connection net.Conn, reader *bufio.Reader, key []byte) (string, error) {
	if err := connection.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", err
	}
	hello, err := readHello(reader)
	if err != nil {
		return "", err
	}
	if len(hello.GetNonce()) != nonceBytes {
		return "", &HandshakeError{Reason: "bad nonce"}
	}
	nonce, err := newNonce()
	if err != nil {
		return "", err
	}
	answer := &protocol.Hello{
		ProtocolVersion: ProtocolVersion,
		Nonce:           nonce,
		Proof:           proof(key, serverProofLabel, hello.GetNonce(), nonce),
	}
	if err := writeHello(connection, answer); err != nil {
		return "", err
	}
	final, err := readHello(reader)
	if err != nil {
		return "", err
	}
	if !hmac.Equal(final.GetProof(), proof(key, clientProofLabel, hello.GetNonce(), nonce)) {
		return "", &HandshakeError{Reason: "client did not prove the cluster key"}
	}
	return hello.GetNode(), connection.SetDeadline(time.Time{})
}
