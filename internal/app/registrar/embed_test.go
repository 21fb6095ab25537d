package registrar

import (
	"testing"

	"violetthread/schema/fb"
	"violetthread/settle"
)

// TestVerdict: what may have taken effect is never told as undone, and only what may
// be done twice is tried again after a doubt.
func TestVerdict(t *testing.T) {
	for _, c := range []struct {
		kind         settle.OpKind
		st           settle.Status
		doubt        bool
		want         settle.Status
		doubts, once bool
	}{
		{settle.OpGet, settle.Done, false, settle.Done, false, true},
		{settle.OpGet, settle.NotOwner, false, settle.NotOwner, false, false},
		{settle.OpGet, settle.Unknown, false, settle.Unknown, false, false},
		{settle.OpPut, settle.NotOwner, false, settle.NotOwner, false, false},
		{settle.OpPut, settle.Unknown, false, settle.Unknown, true, true},
		{settle.OpFree, settle.Unknown, false, settle.Unknown, true, true},
		{settle.OpUnclaim, settle.Unknown, false, settle.Unknown, true, true},
		{settle.OpClaim, settle.Unknown, false, settle.Unknown, true, false},
		{settle.OpClaim, settle.NotOwner, true, settle.Unknown, true, false},
		{settle.OpClaim, settle.Full, true, settle.Unknown, true, false},
		{settle.OpClaim, settle.Full, false, settle.Full, false, true},
		{settle.OpClaim, settle.Done, true, settle.Done, true, true},
		{settle.OpClaim, settle.Conflict, true, settle.Conflict, true, true},
		{settle.OpHold, settle.Unknown, false, settle.Unknown, true, false},
		{settle.OpHold, settle.NotOwner, true, settle.Unknown, true, false},
	} {
		a, d, again := verdict(c.kind, &fb.OpTellT{Status: byte(c.st)}, c.doubt)
		if settle.Status(a.Status) != c.want || d != c.doubts || again == c.once {
			t.Errorf("kind %d status %d doubt %v: told %d, doubt %v, again %v", c.kind, c.st, c.doubt, a.Status, d, again)
		}
	}
}
