package control

import (
	"encoding/binary"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/wal"
)

// checkedFile is a file that is replaced as a whole, with a checksum before its content.
type checkedFile struct {
	fs        wal.FS
	dir, name string
}

const (
	tempSuffix = ".new"
	// checksumBytes is the length of the checksum.
	checksumBytes = 8
)

// write replaces the content. After a power loss the file holds the old or the new one.
func (k *checkedFile) write(content []byte) error {
	data := append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(content)), content...)
	if err := k.fs.MkdirAll(k.dir); err != nil {
		return err
	}
	temp := filepath.Join(k.dir, k.name+tempSuffix)
	f, err := k.fs.Create(temp)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(data, 0)
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return err
	}
	if err := k.fs.Rename(temp, filepath.Join(k.dir, k.name)); err != nil {
		return err
	}
	return k.fs.SyncDir(k.dir)
}

// read returns the content, nil if there is no file, and an error if the file cannot be read or is
// damaged.
func (k *checkedFile) read() ([]byte, error) {
	data, err := k.fs.ReadFile(filepath.Join(k.dir, k.name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if len(data) < checksumBytes || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[checksumBytes:]) {
		return nil, errors.NotValidf("checksum of %s", k.name)
	}
	return data[checksumBytes:], nil
}
