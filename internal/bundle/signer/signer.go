// Package signer creates and verifies the Ed25519 signatures with which operators
// sign off a version and its digest.
package signer

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/bundle/parser"
)

// keyFileMode allows only the owner to read a private key.
const keyFileMode = 0o600

const pemType = "PRIVATE KEY"

// VerifyError reports why a sign-off was rejected.
type VerifyError struct {
	Pointer  parser.Pointer
	Operator string
	Reason   string
}

func (e *VerifyError) Error() string {
	return fmt.Sprintf("version %d signed by %q: %s", e.Pointer.Version, e.Operator, e.Reason)
}

// PublicKeys maps the name of each trusted operator to the public key.
type PublicKeys map[string]ed25519.PublicKey

// Message returns the bytes that an operator signs. The prefix prevents a signature
// from being valid for anything other than a sign-off of this format.
func Message(p parser.Pointer) []byte {
	return fmt.Appendf(nil, "tamarackscale bundle sign-off 1\n%d\n%s\n", p.Version, p.Digest)
}

// Sign returns the sign-off of p by the operator.
func Sign(operator string, key ed25519.PrivateKey, p parser.Pointer) parser.SignOff {
	return parser.SignOff{Pointer: p, Operator: operator, Signature: ed25519.Sign(key, Message(p))}
}

// Verify checks that a trusted operator signed off p and that content has the digest
// of p. Its error is a *VerifyError.
func (k PublicKeys) Verify(p parser.Pointer, s parser.SignOff, content []byte) error {
	reject := func(reason string) error {
		return &VerifyError{Pointer: p, Operator: s.Operator, Reason: reason}
	}
	if s.Pointer != p {
		return reject("the sign-off is for another version or digest")
	}
	key, found := k[s.Operator]
	if !found {
		return reject("the settings have no public key for this operator")
	}
	if !ed25519.Verify(key, Message(p), s.Signature) {
		return reject("the signature does not match")
	}
	if parser.Digest(content) != p.Digest {
		return reject("the content does not have the signed digest")
	}
	return nil
}

// CreateKeyFile writes a new private key to a PEM file that only its owner can read
// and returns the public key in base64. It fails if the file exists.
func CreateKeyFile(path string) (string, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", errors.Wrap(err, "generate key")
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return "", errors.Wrap(err, "encode key")
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return "", errors.Wrap(err, "create key file")
	}
	err = pem.Encode(file, &pem.Block{Type: pemType, Bytes: encoded})
	err = errors.CombineErrors(err, file.Close())
	return EncodePublic(public), err
}

// ReadKeyFile reads a private key from a PEM file. It rejects a file that group or
// others have any permission for.
func ReadKeyFile(path string) (ed25519.PrivateKey, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read key file")
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, errors.Newf("key file %s has mode %04o; only its owner may read it (0600)", path, info.Mode().Perm())
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read key file")
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemType {
		return nil, errors.Newf("key file %s holds no PEM block of type %s", path, pemType)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.Newf("key file %s holds no PKCS #8 private key", path)
	}
	key, isEd25519 := parsed.(ed25519.PrivateKey)
	if !isEd25519 {
		return nil, errors.Newf("key file %s holds no Ed25519 key", path)
	}
	return key, nil
}

// EncodePublic encodes a public key in base64, as in the settings.
func EncodePublic(key ed25519.PublicKey) string {
	return base64.StdEncoding.EncodeToString(key)
}

// DecodePublic decodes a base64 public key, as in the settings.
func DecodePublic(text string) (ed25519.PublicKey, error) {
	decoded, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(decoded) != ed25519.PublicKeySize {
		return nil, errors.Newf("not a base64 Ed25519 public key of %d bytes", ed25519.PublicKeySize)
	}
	return decoded, nil
}
