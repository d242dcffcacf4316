// Package keys issues and checks the TLS keys by which instances authenticate
// each other.
//
// A cluster has one Authority. It issues each instance a Key: a certificate
// that names the instance and its region in a URI, together with the private
// key and the authority's own certificate. Links between instances use mutual
// TLS 1.3 with these keys, so a process without a key of the same authority
// cannot complete a handshake, and a process with the key of another instance
// cannot impersonate the one that was dialled.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// uriScheme is the scheme of the URI with an identity: instance:///REGION/ID.
	uriScheme = "instance"
	// dnsSuffix ends the DNS name of an instance in its certificate: ID.instance.
	dnsSuffix = ".instance"
	// maxNameBytes bounds an instance id and a region name. With dnsSuffix it
	// stays below the limit of one DNS label.
	maxNameBytes = 48
	// alpnProtocol is the only application protocol of the links.
	alpnProtocol = "http/1.1"
)

// Identity names an instance and its region.
type Identity struct {
	// Instance is the id of the instance, unique in the cluster.
	Instance string
	// Region is the region that the instance serves.
	Region string
}

// Key is the credential of one instance, by which it proves its identity and
// checks the identity of others.
type Key struct {
	// Identity is the one named in the certificate.
	Identity Identity
	// Certificate is the certificate of the instance with its private key.
	Certificate tls.Certificate
	// Authority is the certificate that peers' certificates must chain to.
	Authority *x509.Certificate
	// Now returns the time at which certificates must be valid; nil means the
	// wall clock.
	Now func() time.Time
}

// Check returns an error unless both names are valid in a certificate: 1 to 48
// ASCII letters, digits, '-' or '_', not starting or ending with '-'.
func (i Identity) Check() error {
	if err := checkName(i.Instance); err != nil {
		return errors.Annotate(err, "instance")
	}
	return errors.Annotate(checkName(i.Region), "region")
}

// ServerConfig returns the TLS configuration of a listener that accepts the
// instances of the cluster and no other clients.
func (k *Key) ServerConfig() *tls.Config {
	c := k.config()
	c.ClientAuth = tls.RequireAndVerifyClientCert
	c.ClientCAs = k.pool()
	c.VerifyConnection = func(s tls.ConnectionState) error {
		_, err := PeerIdentity(&s)
		return err
	}
	return c
}

// ClientConfig returns the TLS configuration for dialling the given instance.
// The handshake fails if another process answers, for example one that took over
// the address of a removed instance.
func (k *Key) ClientConfig(instance string) *tls.Config {
	c := k.config()
	c.RootCAs = k.pool()
	c.ServerName = instance + dnsSuffix
	c.VerifyConnection = func(s tls.ConnectionState) error {
		return checkPeer(&s, instance)
	}
	return c
}

// PeerIdentity returns the identity of the peer of a verified connection. It
// returns an error if s is nil, has no verified certificate chain or has a
// certificate without an identity.
func PeerIdentity(s *tls.ConnectionState) (Identity, error) {
	if s == nil || len(s.VerifiedChains) == 0 {
		return Identity{}, errors.Unauthorizedf("peer without a verified certificate")
	}
	return certificateIdentity(s.PeerCertificates[0])
}

func (k *Key) config() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.Certificate},
		NextProtos:   []string{alpnProtocol},
		Time:         k.Now,
		// A resumed session would skip the check of the certificate chain.
		// Links are long-lived, so a full handshake each time costs little.
		SessionTicketsDisabled: true,
	}
}

func (k *Key) pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(k.Authority)
	return p
}

func checkPeer(s *tls.ConnectionState, instance string) error {
	got, err := PeerIdentity(s)
	if err != nil {
		return err
	}
	if got.Instance != instance {
		return errors.Unauthorizedf("peer %q, reached instead of %q", got.Instance, instance)
	}
	return nil
}

// uri returns the identity as the URI in a certificate.
func (i Identity) uri() *url.URL {
	return &url.URL{Scheme: uriScheme, Path: "/" + i.Region + "/" + i.Instance}
}

func certificateIdentity(c *x509.Certificate) (Identity, error) {
	if len(c.URIs) != 1 || c.URIs[0].Scheme != uriScheme {
		return Identity{}, errors.Unauthorizedf("certificate without an instance's identity")
	}
	parts := strings.Split(c.URIs[0].Path, "/")
	if len(parts) != 3 {
		return Identity{}, errors.Unauthorizedf("certificate with identity %q", c.URIs[0])
	}
	id := Identity{Region: parts[1], Instance: parts[2]}
	return id, id.Check()
}

func checkName(s string) error {
	if s == "" || len(s) > maxNameBytes {
		return errors.NotValidf("name %q of %d bytes (1 to %d)", s, len(s), maxNameBytes)
	}
	if s[0] == '-' || s[len(s)-1] == '-' {
		return errors.NotValidf("name %q that starts or ends with '-'", s)
	}
	for _, r := range s {
		if !validNameRune(r) {
			return errors.NotValidf("name %q with %q", s, r)
		}
	}
	return nil
}

func validNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '-' || r == '_'
}
