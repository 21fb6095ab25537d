package quorum

import "sort"

type stage uint8

const (
	idle stage = iota
	seeking
	finishing // read back; a majority is joining the line, and with it what was in doubt
	owning
)

// slot is one node's view of a slot: as voter, and while it lasts, as owner.
type slot struct {
	// As voter, kept on disk.
	promised uint64
	joined   uint64 // epoch whose line of changes ent follows
	mark     Ver    // all changes of that line up to here are in ent
	settled  Ver    // known to be on a majority
	ent      map[string]Entry
	byVer    []verKey
	closed   uint64 // the floor below which claims were forgotten here
	// As voter, in memory.
	owner     string
	ownerEp   uint64
	heldUntil int64 // no other candidate is granted before
	waitUntil int64 // this node seeks the slot no sooner
	fetchAt   int64
	snapshot  *snapshot // of a line that is being joined
	// As candidate or owner.
	st       stage
	first    bool   // was the owner until the roster changed: seek at once
	firm     uint64 // roster under which the slot was last known to be finished
	epoch    uint64
	seekAt   int64
	replies  map[string]Msg
	refused  map[string]bool
	outbid   uint64 // a voter promised this much, and can't follow a lesser epoch
	outbidAt int64
	nextTry  int64
	seq      uint64
	acked    map[string]Ver
	pend     map[string]*pending
	order    []*pending
	beatOK   map[string]int64
	ownUntil int64
	eraAt    int64            // since when the newest era is, as this owner counts it
	holds    map[string]int64 // duty key: lease end as this owner counts it
}

type verKey struct {
	v Ver
	k string
}

type pending struct {
	key   string
	ver   Ver
	old   Entry
	had   bool
	op    Op
	queue []Op
}

// Slot tells of one slot for operators.
type Slot struct {
	Owner         string
	Epoch         uint64
	Mine          bool
	Count         int
	Mark, Settled Ver
}

// Slots lists what this node knows of every slot.
func (n *Node) Slots(now int64) []Slot {
	var out []Slot
	for _, s := range n.slots {
		out = append(out, Slot{s.owner, s.promised, s.st == owning && now < s.ownUntil, len(s.ent), s.mark, s.settled})
	}
	return out
}

// entSize is what a register takes on disk, its record's frame included.
func entSize(e Entry) int { return len(e.Key) + len(e.Val) + 256 }

func (n *Node) store(s *slot, e Entry) {
	if o, ok := s.ent[e.Key]; ok {
		n.size -= entSize(o)
	}
	n.size += entSize(e)
	s.ent[e.Key] = e
	i := len(s.byVer)
	if i > 0 && !s.byVer[i-1].v.Less(e.Ver) {
		i = sort.Search(len(s.byVer), func(j int) bool { return e.Ver.Less(s.byVer[j].v) })
	}
	s.byVer = append(s.byVer, verKey{})
	copy(s.byVer[i+1:], s.byVer[i:])
	s.byVer[i] = verKey{e.Ver, e.Key}
	if len(s.byVer) > 64 && len(s.byVer) > 2*len(s.ent) {
		s.byVer = s.live(Ver{})
	}
}

func (n *Node) drop(s *slot, k string) {
	if o, ok := s.ent[k]; ok {
		n.size -= entSize(o)
		delete(s.ent, k)
	}
}

// live lists the registers changed after m, oldest change first.
func (s *slot) live(m Ver) []verKey {
	i := sort.Search(len(s.byVer), func(j int) bool { return m.Less(s.byVer[j].v) })
	var out []verKey
	for _, vk := range s.byVer[i:] {
		if e, ok := s.ent[vk.k]; ok && e.Ver == vk.v {
			if l := len(out); l == 0 || out[l-1] != vk {
				out = append(out, vk)
			}
		}
	}
	return out
}

// sure is the mark up to which this voter's registers are beyond doubt.
func (s *slot) sure() Ver {
	if s.mark.Less(s.settled) {
		return s.mark
	}
	return s.settled
}

func (s *slot) doubts() []string {
	var ks []string
	for _, vk := range s.live(s.sure()) {
		ks = append(ks, vk.k)
	}
	return ks
}

// since lists what a node sure up to m, doubting keys, must learn; absent are
// the doubted keys that do not exist.
func (s *slot) since(m Ver, keys []string) (es []Entry, absent []string) {
	seen := map[string]bool{}
	for _, k := range keys {
		if seen[k] {
			continue
		}
		seen[k] = true
		if e, ok := s.ent[k]; ok {
			es = append(es, e)
		} else {
			absent = append(absent, k)
		}
	}
	for _, vk := range s.live(m) {
		if !seen[vk.k] {
			es = append(es, s.ent[vk.k])
		}
	}
	return es, absent
}

// adopt stores a register of a newer line before that line is joined: until
// the join is on disk the old line stands, with nothing beyond sure certain.
func (n *Node) adopt(i uint16, s *slot, e Entry, was uint64, sure Ver, o *Out) {
	n.store(s, e)
	n.rec(o, Rec{Kind: RecEntry, Slot: i, Epoch: was, Mark: sure, Settled: sure, Entry: e})
}

func (n *Node) forget(i uint16, s *slot, k string, o *Out) {
	n.drop(s, k)
	n.rec(o, Rec{Kind: RecDrop, Slot: i, Entry: Entry{Key: k}})
}

func (n *Node) join(i uint16, s *slot, o *Out) {
	n.rec(o, Rec{Kind: RecJoin, Slot: i, Epoch: s.joined, Mark: s.mark, Settled: s.settled})
}
