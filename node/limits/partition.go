package limits

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Partitions is the number of partitions that workspaces are hashed into. Each has
// an owner. With one owner for all workspaces, its traffic grows with the region;
// with fewer partitions than members, the owners have several times the mean
// traffic. It must be the same at all instances.
const Partitions = 64

// PartitionOf returns the partition of a workspace, from 0 to Partitions-1.
func PartitionOf(workspace string) int {
	return int(xxhash.Sum64String(workspace) % Partitions)
}

// Owners returns the owners of all partitions among members, by rendezvous hashing:
// a change of one member moves only its own partitions. Without members they are "".
func Owners(members []string) [Partitions]string {
	var owners [Partitions]string
	for partition := range owners {
		var most uint64
		for _, m := range members {
			if w := weight(partition, m); owners[partition] == "" || w > most || w == most && m < owners[partition] {
				owners[partition], most = m, w
			}
		}
	}
	return owners
}

func weight(partition int, member string) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint16([]byte(member+"\x00"), uint16(partition)))
}
