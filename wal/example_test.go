package wal_test

import (
	"fmt"
	"os"

	"violetthread/wal"
	"violetthread/wal/osdisk"
)

// Records last once Sync has returned; a checkpoint stands for all before it.
func Example() {
	dir, _ := os.MkdirTemp("", "ring")
	defer os.RemoveAll(dir)
	p := wal.Config{SegmentCount: 4, SegmentBytes: 64 << 10}
	r, _, err := wal.Open(osdisk.Directory{Path: dir}, p)
	if err != nil {
		fmt.Println(err)
		return
	}
	_ = r.Append([]byte("a=1"))
	_ = r.Append([]byte("a=2"))
	_ = r.Checkpoint([][]byte{[]byte("a=2")})
	_ = r.Append([]byte("b=1"))
	_ = r.Sync()
	_ = r.Close()
	_, recs, _ := wal.Open(osdisk.Directory{Path: dir}, p)
	for _, x := range recs {
		fmt.Println(string(x))
	}
	// Output:
	// a=2
	// b=1
}
