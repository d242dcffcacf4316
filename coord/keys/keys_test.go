package keys

import (
	"crypto/tls"
	"net"
	"testing"
	"time"
)

var (
	epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	a1    = Identity{Instance: "malang-1", Region: "jatim"}
	a2    = Identity{Instance: "malang-2", Region: "jatim"}
)

func authority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority("test", epoch, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func issue(t *testing.T, a *Authority, id Identity, validity time.Duration) *Key {
	t.Helper()
	k, err := a.Issue(id, []string{"127.0.0.1", "localhost"}, epoch, validity)
	if err != nil {
		t.Fatal(err)
	}
	k.Now = func() time.Time { return epoch.Add(time.Minute) }
	return k
}

// exchange runs a handshake and sends one byte to the client, which a client needs
// to see that the server has refused its certificate.
func exchange(server, client *tls.Config) (seen Identity, serverErr, clientErr error) {
	s, c := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer s.Close()
		conn := tls.Server(s, server)
		if serverErr = conn.Handshake(); serverErr != nil {
			return
		}
		state := conn.ConnectionState()
		seen, serverErr = PeerIdentity(&state)
		conn.Write([]byte{1})
	}()
	conn := tls.Client(c, client)
	if _, clientErr = conn.Read(make([]byte, 1)); clientErr == nil {
		clientErr = conn.Handshake()
	}
	c.Close()
	<-done
	return seen, serverErr, clientErr
}

// Guards against a process without a valid key that dials an instance, or answers
// at the address of a removed one, and is accepted because one side does not check
// the chain, the validity period or the identity.
func TestOnlyAValidKeyIsAccepted(t *testing.T) {
	ours, other := authority(t), authority(t)
	server := issue(t, ours, a2, time.Hour)
	good := issue(t, ours, a1, time.Hour)
	expired := issue(t, ours, a1, time.Second)
	early := issue(t, ours, a1, time.Hour)
	early.Now = func() time.Time { return epoch.Add(-time.Hour) }
	foreign := issue(t, other, a1, time.Hour)
	// The forger trusts our authority, so that only the server's check can fail.
	forged := *foreign
	forged.Authority = server.Authority
	noKey := good.ClientConfig(a2.Instance)
	noKey.Certificates = nil
	oldTLS := good.ClientConfig(a2.Instance)
	oldTLS.MinVersion, oldTLS.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	forgedServer := issue(t, other, a2, time.Hour)

	for _, c := range []struct {
		name           string
		server, client *tls.Config
		ok             bool
	}{
		{"valid key", server.ServerConfig(), good.ClientConfig(a2.Instance), true},
		{"key of another authority", server.ServerConfig(), forged.ClientConfig(a2.Instance), false},
		{"expired key", server.ServerConfig(), expired.ClientConfig(a2.Instance), false},
		{"no key", server.ServerConfig(), noKey, false},
		{"older TLS", server.ServerConfig(), oldTLS, false},
		{"server of another authority", forgedServer.ServerConfig(), good.ClientConfig(a2.Instance), false},
		{"server's key has expired", expired.ServerConfig(), good.ClientConfig(a1.Instance), false},
		{"key not valid yet", server.ServerConfig(), early.ClientConfig(a2.Instance), false},
		{"other instance answers", server.ServerConfig(), good.ClientConfig("malang-3"), false},
		{"own id asked of another", server.ServerConfig(), good.ClientConfig(a1.Instance), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			seen, serverErr, clientErr := exchange(c.server, c.client)
			if c.ok != (serverErr == nil && clientErr == nil) {
				t.Fatalf("server: %v; client: %v", serverErr, clientErr)
			}
			if c.ok && seen != a1 {
				t.Fatalf("server saw %+v", seen)
			}
		})
	}
}

// Guards against an instance that impersonates another whose DNS name differs in
// case only (MALANG-2 answers where malang-2 was dialled), or that has the names
// of two if the handshake's check of host names ignores case and accepts any of
// the names.
func TestIdentityIsCheckedBesideTheHostName(t *testing.T) {
	ours := authority(t)
	server := issue(t, ours, Identity{Instance: "MALANG-2", Region: "jatim"}, time.Hour)
	client := issue(t, ours, a1, time.Hour).ClientConfig(a2.Instance)
	if _, _, err := exchange(server.ServerConfig(), client); err == nil {
		t.Fatal("MALANG-2 passed for malang-2")
	}
}

// Guards against an instance that does not start with its saved key, or starts
// with one that peers refuse, if Load does not check that the parts belong
// together: files are swapped or of another authority.
func TestKeysSurviveSavingAndLoading(t *testing.T) {
	ours := authority(t)
	cert, key, err := ours.PEM()
	if err != nil {
		t.Fatal(err)
	}
	reloaded, err := LoadAuthority(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	k := issue(t, reloaded, a1, 2*time.Hour)
	if !k.Certificate.Leaf.NotAfter.Equal(epoch.Add(time.Hour)) {
		t.Fatalf("key outlives its authority: %v", k.Certificate.Leaf.NotAfter)
	}
	c, p, root, err := k.PEM()
	if err != nil {
		t.Fatal(err)
	}
	loaded, err := Load(c, p, root)
	if err != nil || loaded.Identity != a1 {
		t.Fatalf("loaded %+v, %v", loaded, err)
	}
	foreign, _, _ := authority(t).PEM()
	for name, in := range map[string][3][]byte{
		"other authority":        {c, p, foreign},
		"no authority":           {c, p, nil},
		"swapped":                {p, c, root},
		"authority as instance":  {cert, key, root},
		"key of somebody else's": {c, key, root},
	} {
		if _, err := Load(in[0], in[1], in[2]); err == nil {
			t.Errorf("%s: loaded", name)
		}
	}
	if _, err := LoadAuthority(c, p); err == nil {
		t.Error("an instance's key was loaded as an authority's")
	}
}

// Guards against an instance that impersonates one of another region by a name
// that changes the identity's URI if names are not checked before they are
// written into a certificate.
func TestInvalidNamesAreRefused(t *testing.T) {
	ours := authority(t)
	for _, id := range []Identity{
		{}, {Instance: "a"}, {Region: "r"}, {Instance: "a/b", Region: "r"},
		{Instance: "a", Region: "../r"}, {Instance: "-a", Region: "r"},
		{Instance: "a.b", Region: "r"}, {Instance: "a", Region: "é"},
	} {
		if _, err := ours.Issue(id, nil, epoch, time.Hour); err == nil {
			t.Errorf("issued a key to %+v", id)
		}
	}
}
