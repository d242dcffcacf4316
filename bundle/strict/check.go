package strict

import (
	"net/netip"
	"regexp"
	"strings"

	"github.com/juju/errors"
)

// MaxIDLength bounds ids, in bytes.
const MaxIDLength = 48

// idPattern matches ids that are safe in paths, headers, file names and metric names.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// CheckID returns an error unless id has 1 to MaxIDLength letters, digits, "-",
// ".", "_" and begins with a letter or digit.
func CheckID(id string) error {
	switch {
	case id == "":
		return errors.New("is missing")
	case len(id) > MaxIDLength:
		return errors.Errorf("is %d bytes long, but at most %d are allowed", len(id), MaxIDLength)
	case !idPattern.MatchString(id):
		return errors.Errorf("%q is no id; use letters, digits, \"-\", \".\", \"_\", the first a letter or digit", id)
	}
	return nil
}

// CheckAddress returns an error unless address is IP:port with a port above 0.
// Host names are refused, as processes address each other by IP and must start
// without a name service.
func CheckAddress(address string) error {
	if address == "" {
		return errors.New("is missing; give IP:port")
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return describeAddress(address)
	}
	if parsed.Port() == 0 {
		return errors.Errorf("%q has port 0; name the port", address)
	}
	return nil
}

// describeAddress returns the error for an address that can't be parsed.
func describeAddress(address string) error {
	colon := strings.LastIndexByte(address, ':')
	if colon < 0 {
		return errors.Errorf("%q has no port; give IP:port", address)
	}
	host := strings.Trim(address[:colon], "[]")
	if _, err := netip.ParseAddr(host); err != nil && host != "" {
		return errors.Errorf("%q names the host %q; give an IP number, names are not looked up", address, host)
	}
	return errors.Errorf("%q is not IP:port", address)
}
