package control

import (
	"bytes"
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/coord/wal"
	"github.com/gullhaven/gullhaven/node/duty"
)

// suspectsFile stores the entries of quarantined requests beside the log.
//
// Without it, after a power loss of all machines each request that crashes its targets would crash two
// more of them, and begin its trials anew.
type suspectsFile struct {
	file checkedFile
	log  *zap.Logger
	// changed gets a value when entries have changed.
	changed chan struct{}
	// written is the content as it was last written.
	written []byte
}

const (
	suspectsName = "suspects"
	// suspectsWriteInterval is the least time between two writes.
	suspectsWriteInterval = 500 * time.Millisecond
)

func newSuspectsFile(fs wal.FS, dir string, log *zap.Logger) *suspectsFile {
	return &suspectsFile{file: checkedFile{fs: fs, dir: dir, name: suspectsName}, log: log, changed: make(chan struct{}, 1)}
}

// markChanged has the entries written soon. It never blocks.
func (k *suspectsFile) markChanged() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// run writes the entries after changes until ctx ends.
func (k *suspectsFile) run(ctx context.Context, entries func(now time.Time) []suspect.Entry) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.changed:
		}
		if err := k.write(entries(time.Now())); err != nil {
			k.log.Warn("writing the suspects beside the log failed", zap.Error(err))
		}
		_ = duty.Pause(ctx, suspectsWriteInterval)
	}
}

// write writes the entries unless they are those written last.
func (k *suspectsFile) write(entries []suspect.Entry) error {
	data, err := cbor.Marshal(entries)
	if err != nil || bytes.Equal(data, k.written) || len(entries) == 0 && k.written == nil {
		return err
	}
	if err := k.file.write(data); err != nil {
		return err
	}
	k.written = data
	return nil
}

// read returns the entries in the file; none if it cannot be read.
func (k *suspectsFile) read() []suspect.Entry {
	data, err := k.file.read()
	var entries []suspect.Entry
	if err == nil && data != nil {
		err = cbor.Unmarshal(data, &entries)
	}
	if err != nil {
		k.log.Warn("suspects beside the log cannot be read", zap.Error(err))
		return nil
	}
	return entries
}
