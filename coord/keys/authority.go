package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"time"

	"github.com/juju/errors"
)

const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
	// serialBits is the length of random serial numbers.
	serialBits = 127
	// backdate is how far in the past validity starts, so that an instance
	// whose clock lags does not reject a new certificate.
	backdate = 5 * time.Minute
)

// Authority issues keys to the instances of one cluster.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates an authority that is valid for the given time from now.
// It exists only in memory unless the caller saves its PEM. name is the common
// name of its certificate, for display only.
func NewAuthority(name string, now time.Time, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Annotate(err, "authority's private key")
	}
	t, err := template(name, now, validity)
	if err != nil {
		return nil, err
	}
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.MaxPathLenZero = true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return nil, errors.Annotate(err, "authority's certificate")
	}
	c, err := x509.ParseCertificate(der)
	return &Authority{certificate: c, key: key}, errors.Trace(err)
}

// LoadAuthority reads an authority from the results of Authority.PEM. It returns
// an error if they do not belong together or are not an authority's.
func LoadAuthority(certificate, key []byte) (*Authority, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Annotate(err, "authority")
	}
	private, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.NotSupportedf("authority's private key of type %T", pair.PrivateKey)
	}
	if !pair.Leaf.IsCA {
		return nil, errors.NotValidf("certificate that is not an authority's")
	}
	return &Authority{certificate: pair.Leaf, key: private}, nil
}

// PEM returns the certificate, which every instance needs, and the private key,
// which is needed only to issue keys.
func (a *Authority) PEM() (certificate, key []byte, err error) {
	key, err = keyPEM(a.key)
	return certificatePEM(a.certificate.Raw), key, err
}

// Issue creates a key for an instance. addresses are IP addresses or host names
// that the certificate names for clients which check the address; instances
// check the identity instead. The key expires with the authority at the latest.
// Issue returns an error if the identity or the validity is not valid.
func (a *Authority) Issue(id Identity, addresses []string, now time.Time, validity time.Duration) (*Key, error) {
	if err := id.Check(); err != nil {
		return nil, err
	}
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Annotate(err, "instance's private key")
	}
	t, err := template(id.Instance, now, validity)
	if err != nil {
		return nil, err
	}
	if t.NotAfter.After(a.certificate.NotAfter) {
		t.NotAfter = a.certificate.NotAfter
	}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	t.URIs = []*url.URL{id.uri()}
	t.DNSNames = []string{id.Instance + dnsSuffix}
	setAddresses(t, addresses)
	der, err := x509.CreateCertificate(rand.Reader, t, a.certificate, private.Public(), a.key)
	if err != nil {
		return nil, errors.Annotatef(err, "certificate of %s", id.Instance)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Trace(err)
	}
	pair := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private, Leaf: leaf}
	return &Key{Identity: id, Certificate: pair, Authority: a.certificate}, nil
}

// Load reads an instance's key from the results of Key.PEM. It returns an error
// unless the parts belong together, the certificate names an identity and it was
// issued by the given authority. The validity period is checked in each
// handshake instead.
func Load(certificate, key, authority []byte) (*Key, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Annotate(err, "instance's key")
	}
	id, err := certificateIdentity(pair.Leaf)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(authority)
	if block == nil || block.Type != certificateBlock {
		return nil, errors.NotValidf("authority without a PEM certificate")
	}
	root, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, errors.Annotate(err, "authority's certificate")
	}
	if err := pair.Leaf.CheckSignatureFrom(root); err != nil {
		return nil, errors.Annotatef(err, "certificate of %s, issued by another authority", id.Instance)
	}
	return &Key{Identity: id, Certificate: pair, Authority: root}, nil
}

// PEM returns the instance's certificate, its private key and the authority's
// certificate, in the order that Load takes them.
func (k *Key) PEM() (certificate, key, authority []byte, err error) {
	private, ok := k.Certificate.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, nil, errors.NotSupportedf("private key of type %T", k.Certificate.PrivateKey)
	}
	key, err = keyPEM(private)
	return certificatePEM(k.Certificate.Certificate[0]), key, certificatePEM(k.Authority.Raw), err
}

func template(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	if validity <= 0 {
		return nil, errors.NotValidf("validity of %v", validity)
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Annotate(err, "serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}, nil
}

func setAddresses(t *x509.Certificate, addresses []string) {
	for _, a := range addresses {
		if ip := net.ParseIP(a); ip != nil {
			t.IPAddresses = append(t.IPAddresses, ip)
			continue
		}
		t.DNSNames = append(t.DNSNames, a)
	}
}

func certificatePEM(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: der})
}

func keyPEM(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Annotate(err, "private key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: der}), nil
}
