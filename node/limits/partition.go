package limits

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Partitions is the fixed number of parts that workspaces are hashed into. Each
// has an owner. With one owner for all, its bytes grow with the region; with
// fewer parts than members, those that own one have several times the mean. It
// may not differ between instances.
const Partitions = 64

// PartitionOf is the part of a workspace.
func PartitionOf(workspace string) int {
	return int(xxhash.Sum64String(workspace) % Partitions)
}

// Owners are the owners of all parts among members, by rendezvous hashing: a
// change of one member moves its parts only. Without members they are "".
func Owners(members []string) [Partitions]string {
	var owners [Partitions]string
	for part := range owners {
		var most uint64
		for _, m := range members {
			if w := weight(part, m); owners[part] == "" || w > most || w == most && m < owners[part] {
				owners[part], most = m, w
			}
		}
	}
	return owners
}

func weight(part int, member string) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint16([]byte(member+"\x00"), uint16(part)))
}
