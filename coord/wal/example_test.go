package wal_test

import (
	"fmt"

	"github.com/gullhaven/gullhaven/coord/wal"
	"github.com/gullhaven/gullhaven/coord/wal/faultfs"
)

// Synced records are found again after a kill of the process; records that were only
// appended are not. The disk is in memory; wal.OS{} is the real one.
func Example() {
	disk := faultfs.New()
	log, _, err := wal.Open(disk, "data", wal.Options{Incarnation: wal.Incarnation{1}})
	if err != nil {
		fmt.Println(err)
		return
	}
	_ = log.Append(wal.Record{Type: 1, Data: []byte("a vote")})
	if err := log.Sync(); err != nil {
		fmt.Println(err)
		return
	}
	_ = log.Append(wal.Record{Type: 1, Data: []byte("an entry that nobody acknowledged")})
	disk.Kill()

	_, found, err := wal.Open(disk, "data", wal.Options{})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("new:", found.New, "truncated:", found.Truncated != nil)
	for _, r := range found.Records {
		fmt.Printf("%d %s\n", r.Type, r.Data)
	}
	// Output:
	// new: false truncated: false
	// 1 a vote
}
