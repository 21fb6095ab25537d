package lincheck

import "testing"

func put(from, to int64, rev uint64, val string) Operation {
	return Operation{Write: true, Confirmed: true, Invoked: from, Returned: to, Revision: rev, Value: val}
}

func get(from, to int64, rev uint64, val string) Operation {
	return Operation{Confirmed: true, Invoked: from, Returned: to, Revision: rev, Value: val}
}

func unknown(from int64, val string) Operation {
	return Operation{Write: true, Invoked: from, Value: val}
}

func TestCheck(t *testing.T) {
	for _, test := range []struct {
		name         string
		operations   []Operation
		linearizable bool
	}{
		{"nothing", nil, true},
		{"in order", []Operation{put(1, 2, 1, "a"), get(3, 4, 1, "a"), put(5, 6, 2, "b"), get(7, 8, 2, "b")}, true},
		{"a read at the same time may see either", []Operation{put(1, 9, 1, "a"), get(2, 3, 0, ""), get(4, 5, 1, "a")}, true},
		{"a read that went back", []Operation{put(1, 9, 1, "a"), get(2, 3, 1, "a"), get(4, 5, 0, "")}, false},
		{"a read older than an acknowledgement", []Operation{put(1, 2, 1, "a"), get(3, 4, 0, "")}, false},
		{"two changes of one number", []Operation{put(1, 2, 1, "a"), put(3, 4, 1, "b")}, false},
		{"a change out of order", []Operation{put(1, 2, 2, "a"), put(3, 4, 1, "b")}, false},
		{"another value", []Operation{put(1, 2, 1, "a"), get(3, 4, 1, "b")}, false},
		{"a revision that nobody made", []Operation{put(1, 2, 2, "a")}, false},
		{"an unknown change made it", []Operation{unknown(0, "x"), put(1, 2, 2, "a")}, true},
		{"an unknown change that began too late", []Operation{put(1, 2, 2, "a"), unknown(3, "x")}, false},
		{"an unknown change seen late", []Operation{unknown(0, "x"), put(1, 2, 1, "a"), get(3, 4, 1, "a"), get(5, 6, 2, "x")}, true},
		{"an unknown change seen twice", []Operation{unknown(0, "x"), get(1, 2, 1, "x"), put(3, 4, 2, "a"), get(5, 6, 3, "x")}, false},
		{"an unknown change that never was", []Operation{unknown(0, "x"), put(1, 2, 1, "a"), put(3, 4, 2, "b")}, true},
		{"a read without an answer", []Operation{{Invoked: 1}, put(2, 3, 1, "a")}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := Check(test.operations); (err == nil) != test.linearizable {
				t.Fatal(err)
			}
		})
	}
}

// TestManyUnknown: changes that nobody knows the end of don't cost exponential time.
func TestManyUnknown(t *testing.T) {
	var ops []Operation
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
