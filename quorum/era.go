package quorum

import (
	"strconv"
	"strings"
)

// Claims belong to eras (design §4.8). The register of EraKey counts the eras
// opened: its revision is the newest. Each slot has a floor of its own, settled like
// any change, below which its claims are closed: refused for good, and forgotten.

// EraKey is the register whose revision is the newest era that is open.
const EraKey = "era"

const (
	claimPrefix = "claim/"
	floorPrefix = "floor/"
)

// ClaimKey names a claim of an era.
func ClaimKey(era uint64, name string) string {
	return claimPrefix + strconv.FormatUint(era, 10) + "/" + name
}

func isClaim(k string) bool { return strings.HasPrefix(k, claimPrefix) }

// ownKey is a key that only the node itself changes.
func ownKey(k string) bool { return k == EraKey || strings.HasPrefix(k, floorPrefix) }

// claimEra is the era that a claim's key names, 0 for none.
func claimEra(k string) uint64 {
	e, _, ok := strings.Cut(strings.TrimPrefix(k, claimPrefix), "/")
	n, err := strconv.ParseUint(e, 10, 64)
	if !ok || err != nil {
		return 0
	}
	return n
}

func floorKey(i uint16) string { return floorPrefix + strconv.Itoa(int(i)) }

func floorOf(e Entry) uint64 {
	n, _ := strconv.ParseUint(string(e.Val), 10, 64)
	return n
}

// Hear takes in the newest era that is known to be open. Voters tell each other with
// every message, since a node may be cut off from the one that opens them alone.
func (n *Node) Hear(era uint64) { n.open = max(n.open, era) }

// Open is the newest era heard of.
func (n *Node) Open() uint64 { return n.open }

// floorNow is the oldest era whose claims the slot still takes: what is settled,
// or on its way, or due by the newest era.
func (n *Node) floorNow(i uint16, s *slot) uint64 {
	f := floorOf(s.ent[floorKey(i)])
	if n.p.Eras > 0 && n.open > uint64(n.p.Eras) {
		f = max(f, n.open-uint64(n.p.Eras)+1)
	}
	return f
}

// tickEras is the owner's part: it opens eras, and raises its slot's floor.
func (n *Node) tickEras(now int64, i uint16, s *slot, o *Out) {
	if n.p.EraTerm <= 0 {
		return
	}
	if i == SlotOf(EraKey, n.p.Slots) {
		e, _ := s.seen(EraKey)
		n.Hear(e.Rev)
		_, busy := s.pend[EraKey]
		open := now - s.eraAt
		// With claims filling the state an era is short; refusing them all would
		// be worse. Its length is nobody's safety.
		tight := n.size > n.claimLimit()/8*7 && open > n.p.EraTerm/8
		if !busy && (e.Rev == 0 || open > n.p.EraTerm || tight) {
			s.eraAt = now
			n.issue(now, i, s, Entry{Key: EraKey, Rev: e.Rev + 1, Val: []byte{1}}, Op{}, o)
		}
	}
	k := floorKey(i)
	if _, busy := s.pend[k]; busy {
		return
	}
	if e := s.ent[k]; n.floorNow(i, s) > floorOf(e) {
		n.issue(now, i, s, Entry{Key: k, Rev: e.Rev + 1, Val: strconv.AppendUint(nil, n.floorNow(i, s), 10)}, Op{}, o)
	}
}

// close forgets the claims below a floor that is beyond doubt. Every voter does so
// by itself: nobody may ever grant them again, whoever still has them.
func (n *Node) close(i uint16, s *slot) {
	e, ok := s.ent[floorKey(i)]
	if !ok || s.sure().Less(e.Ver) || floorOf(e) <= s.closed {
		return
	}
	s.closed = floorOf(e)
	for k := range s.ent {
		if isClaim(k) && claimEra(k) < s.closed {
			n.drop(s, k)
		}
	}
	s.byVer = s.live(Ver{})
}

// claimLimit is the live state beyond which claims are refused: plans, duties and
// the roster keep their room.
func (n *Node) claimLimit() int { return n.p.Limit / 4 * 3 }
