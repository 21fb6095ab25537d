package lincheck

import "testing"

func put(from, to int64, rev uint64, val string) Op {
	return Op{Put: true, Known: true, From: from, To: to, Rev: rev, Val: val}
}

func get(from, to int64, rev uint64, val string) Op {
	return Op{Known: true, From: from, To: to, Rev: rev, Val: val}
}

func unknown(from int64, val string) Op {
	return Op{Put: true, From: from, Val: val}
}

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name string
		ops  []Op
		want bool
	}{
		{"nothing", nil, true},
		{"in order", []Op{put(1, 2, 1, "a"), get(3, 4, 1, "a"), put(5, 6, 2, "b"), get(7, 8, 2, "b")}, true},
		{"a read at the same time may see either", []Op{put(1, 9, 1, "a"), get(2, 3, 0, ""), get(4, 5, 1, "a")}, true},
		{"a read that went back", []Op{put(1, 9, 1, "a"), get(2, 3, 1, "a"), get(4, 5, 0, "")}, false},
		{"a read older than an acknowledgement", []Op{put(1, 2, 1, "a"), get(3, 4, 0, "")}, false},
		{"two changes of one number", []Op{put(1, 2, 1, "a"), put(3, 4, 1, "b")}, false},
		{"a change out of order", []Op{put(1, 2, 2, "a"), put(3, 4, 1, "b")}, false},
		{"another value", []Op{put(1, 2, 1, "a"), get(3, 4, 1, "b")}, false},
		{"a revision that nobody made", []Op{put(1, 2, 2, "a")}, false},
		{"an unknown change made it", []Op{unknown(0, "x"), put(1, 2, 2, "a")}, true},
		{"an unknown change that began too late", []Op{put(1, 2, 2, "a"), unknown(3, "x")}, false},
		{"an unknown change seen late", []Op{unknown(0, "x"), put(1, 2, 1, "a"), get(3, 4, 1, "a"), get(5, 6, 2, "x")}, true},
		{"an unknown change seen twice", []Op{unknown(0, "x"), get(1, 2, 1, "x"), put(3, 4, 2, "a"), get(5, 6, 3, "x")}, false},
		{"an unknown change that never was", []Op{unknown(0, "x"), put(1, 2, 1, "a"), put(3, 4, 2, "b")}, true},
		{"a read without an answer", []Op{{From: 1}, put(2, 3, 1, "a")}, true},
	} {
		if err := Check(c.ops); (err == nil) != c.want {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// TestManyUnknown: changes that nobody knows the end of don't cost exponential time.
func TestManyUnknown(t *testing.T) {
	var ops []Op
	rev := uint64(0)
	for i := int64(0); i < 2000; i++ {
		if i%4 == 0 {
			ops = append(ops, unknown(10*i, "x"))
			rev += uint64(i/4) % 2
			continue
		}
		rev++
		ops = append(ops, put(10*i, 10*i+15, rev, "a"))
	}
	if err := Check(ops); err != nil {
		t.Fatal(err)
	}
}
