package settings

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/gullhaven/gullhaven/bundle/strict"
)

// Problem is a fault of one field of the settings.
type Problem = strict.Problem

// Problems are all faults of the settings, as an error.
type Problems = strict.Problems

// maxBytes bounds a settings file.
const maxBytes = 1 << 20

// Load reads a file over the defaults, makes its paths absolute and checks the
// result. Wrong content is an error of type Problems with all faults.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Decode(data)
	if err != nil {
		return nil, err
	}
	folder, err := filepath.Abs(filepath.Dir(path))
	if err != nil {
		return nil, err
	}
	s.resolve(folder)
	return s, nil
}

// Decode decodes JSON over the defaults and checks it, like Load, but leaves relative
// paths relative.
func Decode(data []byte) (*Settings, error) {
	if len(data) > maxBytes {
		return nil, Problems{{Message: fmt.Sprintf("%d bytes are more than settings may have", len(data))}}
	}
	s := Default()
	if err := strict.Decode(data, s); err != nil {
		return nil, err
	}
	s.Advertise.fill(s.Listen)
	if problems := s.Check(); len(problems) > 0 {
		return nil, Problems(problems)
	}
	return s, nil
}

// fill sets each empty address to that of other.
func (a *Addresses) fill(other Addresses) {
	for _, pair := range []struct{ to, from *string }{
		{&a.Callers, &other.Callers},
		{&a.Instances, &other.Instances},
		{&a.Operators, &other.Operators},
	} {
		if *pair.to == "" {
			*pair.to = *pair.from
		}
	}
}

// resolve makes paths relative to the folder of the settings file, so that the daemon
// may be started in any folder.
func (s *Settings) resolve(folder string) {
	for _, path := range []*string{&s.DataDir, &s.Keys.Authority, &s.Keys.Certificate, &s.Keys.Key} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
}
