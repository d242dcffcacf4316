package replog

import (
	"fmt"

	"github.com/juju/errors"
)

// indexedConfig is the configuration from an index on.
type indexedConfig struct {
	index  uint64
	config Config
}

// entryLog holds the entries after the newest compaction, and up to where they are
// synced, committed and delivered.
type entryLog struct {
	// snapshot is the newest one, for peers whose next entry is compacted; its
	// Index is zero if there is none.
	snapshot Snapshot
	// prev is the position before entries[0].
	prev    Position
	entries []Entry
	// persisted is the last synced index, delivered the last one returned in
	// Ready.Committed, and applied the last one that the host has confirmed by Advance.
	persisted, commit, delivered, applied uint64
	// configs is never empty. The first one is in force at prev; the last one is in
	// force now, as a configuration takes effect when it is appended.
	configs []indexedConfig
}

// newLog builds the log from what the host read, and returns an error if that is
// inconsistent.
func newLog(s State) (*entryLog, error) {
	l := &entryLog{configs: []indexedConfig{{}}}
	if s.Snapshot != nil {
		l.restore(*s.Snapshot)
	}
	if l.prev.Term > s.HardState.Term {
		return nil, errors.NotValidf("snapshot of term %d with term %d on disk", l.prev.Term, s.HardState.Term)
	}
	for _, e := range l.afterSnapshot(s.Entries) {
		if e.Index != l.last()+1 || e.Term < l.lastTerm() || e.Term > s.HardState.Term {
			return nil, errors.NotValidf("entry %d of term %d after %d of term %d (term %d on disk)",
				e.Index, e.Term, l.last(), l.lastTerm(), s.HardState.Term)
		}
		l.append(e)
	}
	l.persisted = l.last()
	return l, nil
}

// afterSnapshot drops entries that the snapshot covers. It checks the term, as a host
// may stop after it wrote a snapshot from its leader and before it dropped its own
// diverging log; the rest of that log would then follow a snapshot that it does not
// fit.
func (l *entryLog) afterSnapshot(entries []Entry) []Entry {
	for i, e := range entries {
		if e.Index > l.prev.Index {
			return entries[i:]
		}
		if e.Index == l.prev.Index && e.Term != l.prev.Term {
			return nil
		}
	}
	return nil
}

func (l *entryLog) last() uint64 { return l.prev.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.prev.Term
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, if it is held.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.prev.Index:
		return l.prev.Term, true
	case index < l.prev.Index || index > l.last():
		return 0, false
	}
	return l.entries[index-l.prev.Index-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log whose last entry has this index and term holds all
// that this one can have committed (section 5.4.1 of the Raft paper).
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}

// between returns the entries in [lo, hi], as many as fit into maxBytes of data but at
// least one; none if lo is above hi or compacted.
func (l *entryLog) between(lo, hi uint64, maxBytes int) []Entry {
	if lo > hi || lo <= l.prev.Index {
		return nil
	}
	all := l.entries[lo-l.prev.Index-1 : hi-l.prev.Index]
	size := 0
	for i, e := range all {
		size += len(e.Data)
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// append adds e, whose index must be that after the last entry. A configuration takes
// effect at once.
func (l *entryLog) append(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind == EntryConfig {
		l.configs = append(l.configs, indexedConfig{e.Index, *e.Config})
	}
}

// truncate drops the entries from index on. A committed entry never conflicts with a
// leader's; if it did, continuing would lose it silently.
func (l *entryLog) truncate(index uint64) {
	if index <= l.commit {
		panic(fmt.Sprintf("replog: entry %d conflicts but is committed up to %d", index, l.commit))
	}
	n := index - l.prev.Index - 1
	l.entries = l.entries[:n:n]
	l.persisted = min(l.persisted, index-1)
	for l.configs[len(l.configs)-1].index >= index {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// restore replaces the whole log by a snapshot.
func (l *entryLog) restore(s Snapshot) {
	l.snapshot, l.prev, l.entries = s, Position{Term: s.Term, Index: s.Index}, nil
	l.persisted, l.commit, l.delivered, l.applied = s.Index, s.Index, s.Index, s.Index
	l.configs = []indexedConfig{{s.Index, s.Config}}
}

func (l *entryLog) config() indexedConfig { return l.configs[len(l.configs)-1] }

// configAt returns the configuration in force at an index, which must be in the log.
func (l *entryLog) configAt(index uint64) Config {
	for i := len(l.configs) - 1; i > 0; i-- {
		if l.configs[i].index <= index {
			return l.configs[i].config
		}
	}
	return l.configs[0].config
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index == l.prev.Index {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.prev.Index:]...)
	l.prev = Position{Term: term, Index: index}
	for len(l.configs) > 1 && l.configs[1].index <= index {
		l.configs = l.configs[1:]
	}
}
