package lincheck

import "testing"

func confirmedWrite(from, to int64, rev uint64, val string) Operation {
	return Operation{Write: true, Confirmed: true, Invoked: from, Returned: to, Revision: rev, Value: val}
}

func confirmedRead(from, to int64, rev uint64, val string) Operation {
	return Operation{Confirmed: true, Invoked: from, Returned: to, Revision: rev, Value: val}
}

func unconfirmedWrite(from int64, val string) Operation {
	return Operation{Write: true, Invoked: from, Value: val}
}

func TestCheck(t *testing.T) {
	for _, test := range []struct {
		name         string
		operations   []Operation
		linearizable bool
	}{
		{"nothing", nil, true},
		{"in order", []Operation{confirmedWrite(1, 2, 1, "a"), confirmedRead(3, 4, 1, "a"), confirmedWrite(5, 6, 2, "b"), confirmedRead(7, 8, 2, "b")}, true},
		{"a concurrent read may see either value", []Operation{confirmedWrite(1, 9, 1, "a"), confirmedRead(2, 3, 0, ""), confirmedRead(4, 5, 1, "a")}, true},
		{"a read of an older revision than the one before", []Operation{confirmedWrite(1, 9, 1, "a"), confirmedRead(2, 3, 1, "a"), confirmedRead(4, 5, 0, "")}, false},
		{"a read older than a confirmed write", []Operation{confirmedWrite(1, 2, 1, "a"), confirmedRead(3, 4, 0, "")}, false},
		{"two writes of one revision", []Operation{confirmedWrite(1, 2, 1, "a"), confirmedWrite(3, 4, 1, "b")}, false},
		{"writes out of order", []Operation{confirmedWrite(1, 2, 2, "a"), confirmedWrite(3, 4, 1, "b")}, false},
		{"a read of another value", []Operation{confirmedWrite(1, 2, 1, "a"), confirmedRead(3, 4, 1, "b")}, false},
		{"a revision that no write created", []Operation{confirmedWrite(1, 2, 2, "a")}, false},
		{"a revision that an unconfirmed write created", []Operation{unconfirmedWrite(0, "x"), confirmedWrite(1, 2, 2, "a")}, true},
		{"an unconfirmed write invoked too late", []Operation{confirmedWrite(1, 2, 2, "a"), unconfirmedWrite(3, "x")}, false},
		{"an unconfirmed write that took effect late", []Operation{unconfirmedWrite(0, "x"), confirmedWrite(1, 2, 1, "a"), confirmedRead(3, 4, 1, "a"), confirmedRead(5, 6, 2, "x")}, true},
		{"an unconfirmed write that took effect twice", []Operation{unconfirmedWrite(0, "x"), confirmedRead(1, 2, 1, "x"), confirmedWrite(3, 4, 2, "a"), confirmedRead(5, 6, 3, "x")}, false},
		{"an unconfirmed write that never took effect", []Operation{unconfirmedWrite(0, "x"), confirmedWrite(1, 2, 1, "a"), confirmedWrite(3, 4, 2, "b")}, true},
		{"an unconfirmed read", []Operation{{Invoked: 1}, confirmedWrite(2, 3, 1, "a")}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := Check(test.operations); (err == nil) != test.linearizable {
				t.Fatal(err)
			}
		})
	}
}

// TestManyUnconfirmed: checking a history with many unconfirmed writes does not take
// exponential time.
func TestManyUnconfirmed(t *testing.T) {
	var ops []Operation
	rev := uint64(0)
	for i := int64(0); i < 2000; i++ {
		if i%4 == 0 {
			ops = append(ops, unconfirmedWrite(10*i, "x"))
			rev += uint64(i/4) % 2
			continue
		}
		rev++
		ops = append(ops, confirmedWrite(10*i, 10*i+15, rev, "a"))
	}
	if err := Check(ops); err != nil {
		t.Fatal(err)
	}
}
