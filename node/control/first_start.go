package control

import (
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/wal"
)

// firstStartFile keeps on disk that this instance is a seed of a first start, with all seeds.
//
// The settings say so only at the first start of its process. Without it, a seed that is killed before the
// group has formed would not know that it is to form it, and no other may.
type firstStartFile struct{ file checkedFile }

const firstStartName = "first-start"

func newFirstStartFile(fs wal.FS, dir string) *firstStartFile {
	return &firstStartFile{checkedFile{fs: fs, dir: dir, name: firstStartName}}
}

// seedsToFormWith returns the seeds that this instance is to form the group with if its log is blank; none
// if it is not to. The intent of an earlier start holds until the log has entries: the founder forms a group
// only with members that are all blank, so it never forms a second one beside another.
func (i *Instance) seedsToFormWith() ([]string, error) {
	k := newFirstStartFile(wal.OS{}, i.o.Dir)
	if i.o.FirstStart && slices.Contains(i.o.Seeds, i.o.Self.ID) {
		return i.o.Seeds, k.file.write([]byte(strings.Join(i.o.Seeds, "\n")))
	}
	content, err := k.file.read()
	if err != nil {
		i.log.Warn("the intent of a first start cannot be read", zap.Error(err))
	}
	if err != nil || len(content) == 0 {
		return nil, nil
	}
	return strings.Split(string(content), "\n"), nil
}

// isFirstStart reports whether this instance, whose log was opened, is about to form the group.
func (i *Instance) isFirstStart(seeds []string) bool {
	return i.o.FirstStart || len(seeds) > 0 && i.node.Status().Core.Role == replog.Blank
}
