package wal_test

import (
	"fmt"
	"os"

	"violetthread/wal"
	"violetthread/wal/osdisk"
)

// Records are durable once Sync has returned; a checkpoint replaces all records before it.
func Example() {
	dir, _ := os.MkdirTemp("", "ring")
	defer os.RemoveAll(dir)
	config := wal.Config{SegmentCount: 4, SegmentBytes: 64 << 10}
	log, _, err := wal.Open(osdisk.Directory{Path: dir}, config)
	if err != nil {
		fmt.Println(err)
		return
	}
	_ = log.Append([]byte("a=1"))
	_ = log.Append([]byte("a=2"))
	_ = log.Checkpoint([][]byte{[]byte("a=2")})
	_ = log.Append([]byte("b=1"))
	_ = log.Sync()
	_ = log.Close()
	_, records, _ := wal.Open(osdisk.Directory{Path: dir}, config)
	for _, record := range records {
		fmt.Println(string(record))
	}
	// Output:
	// a=2
	// b=1
}
