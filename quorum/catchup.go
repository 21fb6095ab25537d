package quorum

import "sort"

// snapshot is what a voter gathers of a line in parts, be it one that it is about to join
// or the one that it follows and lags behind in. Nothing of it is part of the slot's state
// before the last part has come: until then a register that changed again meanwhile is
// missing, and the voter must not claim to hold what came before that change (design §4.9).
type snapshot struct {
	epoch   uint64 // of the line
	sure    Ver    // what the voter was certain of, or held of its own line, when it began
	at      Ver    // all that was changed after sure and up to here has come
	entries map[string]Entry
	absent  []string // doubted keys that the line does not have
}

// lacking reports whether this voter has not joined the newest line that it knows of.
func (s *slot) lacking() bool {
	return s.joined == 0 || s.snapshot != nil && s.snapshot.epoch != s.joined
}

// fetchPatience is how many beats a part of a snapshot is waited for before it is asked
// for again.
const fetchPatience = 3

// follow asks the owner for what this voter lacks.
func (n *Node) follow(now int64, i uint16, s *slot, last Ver, o *Out) {
	patience := n.p.Beat
	if s.snapshot != nil && s.snapshot.epoch == s.ownerEp {
		patience *= fetchPatience
	}
	if s.joined == s.ownerEp && !s.mark.Less(last) || now-s.fetchAt < patience {
		return
	}
	n.fetch(now, i, s, o)
}

// fetch asks for the next part: of the line that this voter follows, or of the snapshot
// with which it joins another. The question goes out once all that it says is on disk: an
// answer to it may still come after a loss of power, and must not leave a gap then.
func (n *Node) fetch(now int64, i uint16, s *slot, o *Out) {
	s.fetchAt = now
	snap := s.gathering()
	first := s.joined != s.ownerEp
	m := Msg{Kind: Fetch, Slot: i, Epoch: s.ownerEp, First: first, Mark: snap.sure, Prev: snap.at, More: true}
	if first && snap.at == (Ver{}) {
		m.Keys = s.doubts()
	}
	owner := s.owner
	n.after(now, o, func(_ int64, o *Out) { n.send(o, owner, m) })
}

// gathering is the snapshot of the owner's line that is under way, or a new one.
func (s *slot) gathering() *snapshot {
	if s.snapshot != nil && s.snapshot.epoch == s.ownerEp {
		return s.snapshot
	}
	from := s.mark
	if s.joined != s.ownerEp {
		from = s.sure()
	}
	s.snapshot = &snapshot{epoch: s.ownerEp, sure: from, entries: map[string]Entry{}}
	return s.snapshot
}

// onFetch answers with the changes after what the voter has, oldest first, as many as one
// message takes. What changes meanwhile comes again at the end of that order.
func (n *Node) onFetch(m Msg, o *Out) {
	s := n.slots[m.Slot]
	if s.st < finishing || s.epoch != m.Epoch {
		return
	}
	after := m.Mark
	if after.Less(m.Prev) {
		after = m.Prev
	}
	fill := Msg{Kind: Fill, Slot: m.Slot, Epoch: s.epoch, First: m.First, Prev: m.Prev, Mark: Ver{s.epoch, s.seq}, Settled: s.settled}
	fill.Entries, fill.Keys = s.replaced(after, m.Keys)
	whole := m.First && !m.More // a voter of a version that takes a snapshot in one part
	size := 0
	for _, change := range s.live(after) {
		entry := s.ent[change.k]
		if size > 0 && size+entSize(entry) > n.p.Chunk && !whole {
			fill.More = true
			break
		}
		size += entSize(entry)
		fill.Entries = append(fill.Entries, entry)
	}
	if fill.More {
		fill.Mark = fill.Entries[len(fill.Entries)-1].Ver
	}
	n.send(o, m.From, fill)
}

// replaced lists what stands here in the place of doubted changes: registers not changed
// after mark, and keys that do not exist. All later changes come in their order.
func (s *slot) replaced(mark Ver, doubted []string) (entries []Entry, absent []string) {
	for _, key := range doubted {
		entry, ok := s.ent[key]
		switch {
		case !ok:
			absent = append(absent, key)
		case !mark.Less(entry.Ver):
			entries = append(entries, entry)
		}
	}
	return entries, absent
}

func (n *Node) onFill(now int64, m Msg, o *Out) {
	s := n.slots[m.Slot]
	if m.Epoch != s.promised || m.From != s.owner || m.Epoch != s.ownerEp || s.st != idle {
		return
	}
	if m.First != (s.joined != m.Epoch) || !s.gather(m) {
		return
	}
	s.fetchAt = 0
	switch {
	case m.More:
		n.fetch(now, m.Slot, s, o) // at once, so that it outruns the changes that come
	case m.First:
		n.joinLine(now, m.Slot, s, m, o)
	default:
		entries := s.snapshot.ordered()
		s.snapshot = nil
		n.take(now, m.Slot, s, entries, m.Mark, m.Settled, o)
	}
}

// gather adds a part to the snapshot under way, if it is the one that was asked for.
func (s *slot) gather(m Msg) bool {
	snap := s.snapshot
	if snap == nil || snap.epoch != m.Epoch || snap.at != m.Prev {
		return false
	}
	if m.Prev == (Ver{}) {
		snap.absent = m.Keys
	}
	for _, entry := range m.Entries {
		snap.entries[entry.Key] = entry
	}
	snap.at = m.Mark
	return true
}

// joinLine takes a whole snapshot over and follows the owner's line from then on. What
// was in doubt is replaced by what that line says. Drops come after the entries: a crash
// between them loses nothing that was settled.
func (n *Node) joinLine(now int64, i uint16, s *slot, last Msg, o *Out) {
	snap := s.snapshot
	s.snapshot = nil
	was := s.joined
	for _, entry := range snap.ordered() {
		n.adopt(i, s, entry, was, snap.sure, o)
	}
	for _, key := range snap.absent {
		if _, later := snap.entries[key]; !later {
			n.forget(i, s, key, o)
		}
	}
	s.joined, s.mark, s.settled = last.Epoch, last.Mark, last.Settled
	if s.mark.Less(s.settled) {
		s.settled = s.mark
	}
	n.join(i, s, o)
	n.confirm(now, i, s, o)
}

// ordered lists the registers of a snapshot, oldest change first.
func (p *snapshot) ordered() []Entry {
	entries := make([]Entry, 0, len(p.entries))
	for _, entry := range p.entries {
		entries = append(entries, entry)
	}
	sort.Slice(entries, func(a, b int) bool { return entries[a].Ver.Less(entries[b].Ver) })
	return entries
}
