// Package keys holds the keys by which instances prove to each other who they
// are.
//
// A cluster has one Authority. It issues each instance a Key: a certificate
// that names the instance and its region in a URI, together with the private
// key and the authority's own certificate. Links between instances use mutual
// TLS 1.3 with these keys, so a process without a key of the same authority
// cannot complete a handshake, and a process with a key of another instance
// cannot pass for the one that was dialled.
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
	// uriScheme marks the URI that carries an identity: instance:///REGION/ID.
	uriScheme = "instance"
	// nameSuffix ends the DNS name that a client asks for: ID.instance.
	nameSuffix = ".instance"
	// maxNameLength bounds an instance id and a region name, in bytes. With
	// nameSuffix it stays below the bound of one DNS label.
	maxNameLength = 48
	// protocol is the only application protocol of the links.
	protocol = "http/1.1"
)

// Identity says who an instance is.
type Identity struct {
	// Instance is the id of the instance, unique in the cluster.
	Instance string
	// Region is the region that the instance serves.
	Region string
}

// Key is what one instance holds to prove its identity and to check others'.
type Key struct {
	// Identity as named in the certificate.
	Identity Identity
	// Certificate of the instance with its private key.
	Certificate tls.Certificate
	// Authority is the certificate that peers' certificates must chain to.
	Authority *x509.Certificate
	// Now gives the time against which certificates are checked; nil means the
	// wall clock.
	Now func() time.Time
}

// Check returns an error unless both names are fit for a certificate: 1 to 48
// ASCII letters, digits, '-' or '_', not starting or ending with '-'.
func (i Identity) Check() error {
	if err := checkName(i.Instance); err != nil {
		return errors.Annotate(err, "instance")
	}
	return errors.Annotate(checkName(i.Region), "region")
}

// ServerConfig returns the TLS settings of a listener that lets in any
// instance of the cluster and nobody else.
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

// ClientConfig returns the TLS settings for dialling the given instance. The
// handshake fails when somebody else answers, for example a process that took
// over the address of an instance that has gone.
func (k *Key) ClientConfig(instance string) *tls.Config {
	c := k.config()
	c.RootCAs = k.pool()
	c.ServerName = instance + nameSuffix
	c.VerifyConnection = func(s tls.ConnectionState) error {
		return checkPeer(&s, instance)
	}
	return c
}

// PeerIdentity returns who is at the other end of a verified connection.
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
		NextProtos:   []string{protocol},
		Time:         k.Now,
		// A resumed session would skip the check of the certificate's chain.
		// Links live long, so a whole handshake each time costs little.
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
		return errors.Unauthorizedf("peer %q, reached in place of %q", got.Instance, instance)
	}
	return nil
}

// uri is the identity as the URI in a certificate.
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
	if s == "" || len(s) > maxNameLength {
		return errors.NotValidf("name %q of %d bytes (1 to %d)", s, len(s), maxNameLength)
	}
	if s[0] == '-' || s[len(s)-1] == '-' {
		return errors.NotValidf("name %q that starts or ends with '-'", s)
	}
	for _, r := range s {
		if !nameRune(r) {
			return errors.NotValidf("name %q with %q", s, r)
		}
	}
	return nil
}

func nameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '-' || r == '_'
}
