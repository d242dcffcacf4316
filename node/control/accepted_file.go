package control

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/coord/wal"
)

// acceptedFile stores the newest accepted state in a file of its own.
//
// Without it, a member that starts does not know how much of its log is committed until a
// leader tells it. After a power loss of all machines, every entry instance would refuse all
// requests for the 2 s that an election takes. The state in the file was accepted, which the
// tail of the log does not say.
type acceptedFile struct {
	file checkedFile
	log  *zap.Logger
	// next holds the state to write; a newer one replaces it.
	next chan *newest.State
}

const acceptedName = "accepted"

func newAcceptedFile(fs wal.FS, dir string, log *zap.Logger) *acceptedFile {
	return &acceptedFile{file: checkedFile{fs: fs, dir: dir, name: acceptedName}, log: log, next: make(chan *newest.State, 1)}
}

// save queues a state for writing, replacing one that still waits. It never blocks.
func (k *acceptedFile) save(s *newest.State) {
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

// run writes queued states until ctx ends.
func (k *acceptedFile) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-k.next:
			if err := k.write(s); err != nil {
				// The log holds the state; only a start without a leader lacks it.
				k.log.Warn("writing the accepted state beside the log failed", zap.Error(err))
			}
		}
	}
}

func (k *acceptedFile) write(s *newest.State) error {
	data, err := cbor.Marshal(s)
	if err != nil {
		return err
	}
	return k.file.write(data)
}

// read returns the state in the file, nil if there is no file, and an error if the file cannot
// be read. The instance then starts from the log alone.
func (k *acceptedFile) read() (*newest.State, error) {
	data, err := k.file.read()
	if err != nil || data == nil {
		return nil, err
	}
	return newest.DecodeState(data)
}
