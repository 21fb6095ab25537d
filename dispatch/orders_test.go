package dispatch

import "testing"

// TestOrdersOfFormerOwner: an order that a former owner of the engine gave, and that comes
// after its successor's, changes nothing; the successor's next one does.
func TestOrdersOfFormerOwner(t *testing.T) {
	const now = 10_000_000
	d := New("p", "north", 1)
	for _, c := range []struct {
		what  string
		order Order
		epoch uint64
		age   int64
	}{
		{"the first", Order{Engine: "e", Epoch: 2, ID: 20, Age: 100}, 2, 100},
		{"a former owner's, late", Order{Engine: "e", Epoch: 1, ID: 10, Age: 50}, 2, 100},
		{"the same owner's next", Order{Engine: "e", Epoch: 2, ID: 20, Age: 40}, 2, 40},
		{"its successor's", Order{Engine: "e", Epoch: 3, ID: 30, Age: 70}, 3, 70},
	} {
		d.Orders(now, []Order{c.order})
		l := d.lanes["e"]
		if l.Epoch != c.epoch || now-l.at != c.age || d.byNode[l.ID] != l || len(d.byNode) != 1 {
			t.Errorf("%s: epoch %d, %d old, engines known by their life: %v", c.what, l.Epoch, now-l.at, d.byNode)
		}
	}
}
