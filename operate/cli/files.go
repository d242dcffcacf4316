package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/bundle"
)

// Modes of files and folders.
const (
	publicMode  = 0o644
	privateMode = 0o600
	folderMode  = 0o755
)

// readBundle reads a bundle, signed or not; an unsigned one has no signatures.
func readBundle(path string) (*bundle.Signed, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var form struct {
		Bundle *json.RawMessage `json:"bundle"`
	}
	// Decode below reports a document that isn't an object.
	_ = json.Unmarshal(data, &form)
	if form.Bundle != nil {
		signed, err := bundle.DecodeSigned(data)
		return signed, annotateFile(path, err)
	}
	b, err := bundle.Decode(data)
	if err != nil {
		return nil, annotateFile(path, err)
	}
	return &bundle.Signed{Bundle: *b}, nil
}

// annotateFile adds the file to an error; nil stays nil.
func annotateFile(path string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s:\n%w", path, err)
}

// writeFile replaces a file atomically: a reader, or a kill in between, never finds
// a part of it. It makes the folder.
func writeFile(path string, data []byte, mode os.FileMode) error {
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return err
	}
	temporary, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+"-*")
	if err != nil {
		return err
	}
	defer os.Remove(temporary.Name())
	if err := writeAndSync(temporary, data, mode); err != nil {
		return err
	}
	return os.Rename(temporary.Name(), path)
}

// writeAndSync writes, sets the mode, syncs and closes.
func writeAndSync(file *os.File, data []byte, mode os.FileMode) error {
	_, err := file.Write(data)
	if err == nil {
		err = file.Chmod(mode)
	}
	if err == nil {
		err = file.Sync()
	}
	if closed := file.Close(); err == nil {
		err = closed
	}
	return err
}

// writeNewFile writes a file that must not exist yet: keys are never replaced.
func writeNewFile(path string, data []byte, mode os.FileMode) error {
	if _, err := os.Lstat(path); err == nil {
		return errors.Errorf("%s exists already; keys are not replaced", path)
	}
	return writeFile(path, data, mode)
}
