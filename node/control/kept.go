package control

import (
	"context"
	"encoding/binary"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/coord/wal"
)

// kept is the newest accepted state in a file of its own.
//
// What goes wrong without it: a member that starts does not know how much of its log
// is committed until a leader tells, so after a loss of power of all machines every
// entry instance refuses all requests for 2 s, until one is elected. What stands in the
// file was accepted once, as the log does not say of its tail.
type kept struct {
	fs  wal.FS
	dir string
	log *zap.Logger
	// next holds the state that is to be written; a newer one takes its place.
	next chan *newest.State
}

const (
	keptName = "accepted"
	keptTemp = "accepted.new"
	// checkBytes is the length of the checksum before the state.
	checkBytes = 8
)

func newKept(fs wal.FS, dir string, log *zap.Logger) *kept {
	return &kept{fs: fs, dir: dir, log: log, next: make(chan *newest.State, 1)}
}

// put has a state written. It never blocks.
func (k *kept) put(s *newest.State) {
	for {
		select {
		case k.next <- s:
			return
		default:
		}
		select {
		case <-k.next:
		default:
		}
	}
}

// run writes states until ctx ends.
func (k *kept) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-k.next:
			if err := k.write(s); err != nil {
				// The log holds the state; only a start without a leader misses it.
				k.log.Warn("accepted state was not kept beside the log", zap.Error(err))
			}
		}
	}
}

func (k *kept) write(s *newest.State) error {
	data, err := cbor.Marshal(s)
	if err != nil {
		return err
	}
	data = append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(data)), data...)
	if err := k.fs.MkdirAll(k.dir); err != nil {
		return err
	}
	temp := filepath.Join(k.dir, keptTemp)
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
	if err := k.fs.Rename(temp, filepath.Join(k.dir, keptName)); err != nil {
		return err
	}
	return k.fs.SyncDir(k.dir)
}

// read returns the state in the file; nil if there is none. A file that cannot be read
// is an error, and the log goes without it.
func (k *kept) read() (*newest.State, error) {
	data, err := k.fs.ReadFile(filepath.Join(k.dir, keptName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if len(data) < checkBytes || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[checkBytes:]) {
		return nil, errors.NotValidf("checksum of the accepted state")
	}
	return newest.DecodeState(data[checkBytes:])
}
