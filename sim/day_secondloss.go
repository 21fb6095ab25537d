package sim

import (
	"fmt"
	"slices"
)

// Prelude is what happens before a second loss.
type Prelude string

// The preludes.
const (
	RepairedDisk  Prelude = "repaired disk"  // a machine loses its disk and comes back empty
	RepairedPower Prelude = "repaired power" // a machine loses its power and comes back
	Replacement   Prelude = "replacement"    // a new machine starts, and an old one leaves
	Leave         Prelude = "leave"          // a machine leaves politely and comes back
)

// Preludes lists them all.
var Preludes = []Prelude{RepairedDisk, RepairedPower, Replacement, Leave}

// Loss is how machines are lost.
type Loss string

// The losses.
const (
	LossOfPower Loss = "power"           // the disk is kept
	LossOfDisk  Loss = "disk"            // the machine comes back empty
	LossAmidst  Loss = "disk, all power" // while all others lose their power
)

// Losses lists them all.
var Losses = []Loss{LossOfPower, LossOfDisk, LossAmidst}

const (
	// lossStep is between two instants of a sweep.
	lossStep = 50_000
	// lossWindow is swept from when a second loss is borne.
	lossWindow = 3_000_000
	// lossServed is within how long after a second loss every slot takes changes again.
	lossServed = 4_000_000
	// lossBackAfter is when machines of the second loss come back.
	lossBackAfter = 1_500_000
)

// SecondLoss is one run: a prelude, and a second loss at an instant after it.
type SecondLoss struct {
	Nodes   int
	Prelude Prelude
	Loss    Loss
	Instant int64 // after the second loss is borne for the first time
}

func (l SecondLoss) String() string {
	return fmt.Sprintf("%d nodes, %s, then %s after %d us", l.Nodes, l.Prelude, l.Loss, l.Instant)
}

// SecondLossResult is what such a run came to.
type SecondLossResult struct {
	Acks, Gone int
	// Served is how long after the second loss a change of every slot was acknowledged.
	Served int64
	// Firm is how long after the machines were back all slots were firm with them.
	Firm  int64
	Wrong []string
	Notes []string
}

// secondLossRun is a run under way.
type secondLossRun struct {
	SecondLoss
	cw     *ConfigWorld
	writer *SlotWriter
	// counts is until when the first loss counts, by the platform's rule.
	counts int64
	// from is since when the second loss is borne.
	from   int64
	gone   []*Registrar
	result SecondLossResult
}

// RunSecondLoss runs one.
func RunSecondLoss(seed int64, l SecondLoss) SecondLossResult {
	cw := NewConfigWorld(seed, l.Nodes, Texts{})
	cw.Core.rings = smallRing
	cw.Core.heals = true
	cw.Core.keepSeats()
	s := &secondLossRun{SecondLoss: l, cw: cw, writer: NewSlotWriter(cw.Core)}
	cw.Core.Start()
	w := cw.World
	w.At(500_000, s.writer.Start)
	if _, ok := cw.Until(4_000_000, func() bool { return cw.AllFirm() && s.writer.AckedSince(0) }); !ok {
		w.Wrong("not begun", "not every slot took a change within %d us", w.now)
	}
	s.prelude()
	w.Run(max(w.now, s.from) + l.Instant)
	s.strike()
	s.settle()
	s.result.Acks, s.result.Wrong, s.result.Notes = s.writer.Acks(), w.wrong, w.note
	return s.result
}

// prelude brings the first loss or the planned work about, and tells from when on a
// second loss is borne.
func (s *secondLossRun) prelude() {
	w, nodes := s.cw.World, s.cw.Core.Nodes
	first := nodes[w.Rng.Intn(len(nodes))]
	back := w.now + leaveMost + leaveLeast + w.Rng.Int63n(2_500_000)
	sync := syncTime(s.Nodes)
	s.counts = back + sync
	switch s.Prelude {
	case RepairedDisk:
		w.Note("%s loses its disk", first.Name)
		first.lose()
		w.At(back, first.restart)
	case RepairedPower:
		first.PowerLoss()
		w.At(back, first.restart)
	case Leave:
		s.leave(first)
		w.At(back, first.restart)
	case Replacement:
		successor := s.cw.Core.newNode()
		successor.Start()
		s.counts = w.now + sync
		w.At(back, func() {
			s.leave(first)
			first.lost = true
		})
		w.Run(back)
	}
	s.from = w.now
	if tolerates(s.Nodes) == 1 {
		s.from = max(s.from, s.counts)
	}
}

// leave stops a machine politely, as control.Node does: it ends once its seat was dropped,
// if its successor was let in before.
func (s *secondLossRun) leave(r *Registrar) {
	s.cw.World.Note("%s leaves politely", r.Name)
	if !r.up || r.node == nil {
		return
	}
	r.out(r.node.Leave(r.Clock()))
	end := r.Clock() + leaveMost
	var wait func()
	wait = func() {
		if r.node != nil && r.node.RemovalPending() && r.Clock() < end {
			r.After(leaveLeast, wait)
			return
		}
		r.Kill()
	}
	r.After(leaveLeast, wait)
}

// How long a polite stop takes (internal/app/control).
const (
	leaveLeast = 100_000
	leaveMost  = 900_000
)

// keepSeats has the roster count the seats that the fleet keeps, as at a founding.
func (c *Core) keepSeats() {
	c.ro.Seats = uint16(len(c.ro.Voters))
	for _, r := range c.Nodes {
		r.ro = c.ro
	}
}

// strike waits for an acknowledgement and loses as many machines as may still be lost,
// those first that hold the newest changes of its slot.
func (s *secondLossRun) strike() {
	w := s.cw.World
	struck := false
	s.writer.OnAck = func(slot int) {
		if !struck {
			struck = true
			s.lose(s.holders(slot))
		}
	}
	if _, ok := s.cw.Until(lossServed, func() bool { return struck }); !ok {
		w.Wrong("not served", "no change was acknowledged for %d us after one loss: %v", lossServed, s.SecondLoss)
	}
	s.writer.OnAck = nil
}

// holders are the machines that go: they hold the most of a slot.
func (s *secondLossRun) holders(slot int) []*Registrar {
	spare := tolerates(s.Nodes)
	if s.cw.World.now < s.counts {
		spare--
	}
	var up []*Registrar
	for _, r := range s.cw.Core.Nodes {
		if r.up && r.node != nil && !r.lost {
			up = append(up, r)
		}
	}
	w := s.cw.World
	w.Rng.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	slices.SortStableFunc(up, func(a, b *Registrar) int {
		x, y := a.node.Status(a.Clock())[slot], b.node.Status(b.Clock())[slot]
		switch {
		case y.Last.Before(x.Last) || x.IsLeader && !y.IsLeader:
			return -1
		case x.Last.Before(y.Last) || y.IsLeader && !x.IsLeader:
			return 1
		}
		return 0
	})
	return up[:min(spare, len(up))]
}

// lose loses machines at once.
func (s *secondLossRun) lose(rs []*Registrar) {
	w := s.cw.World
	s.gone, s.result.Gone = rs, len(rs)
	for _, r := range s.cw.Core.Nodes {
		switch {
		case slices.Contains(rs, r):
			w.Note("%s is lost: %s", r.Name, s.Loss)
			s.loseOne(r)
		case s.Loss == LossAmidst && r.up:
			r.PowerLoss()
			w.At(w.now+50_000+w.Rng.Int63n(300_000), r.restart)
		}
	}
}

func (s *secondLossRun) loseOne(r *Registrar) {
	if s.Loss == LossOfPower {
		r.PowerLoss()
	} else {
		r.lose()
	}
	s.cw.World.At(s.cw.World.now+lossBackAfter, r.restart)
}

// settle waits until every slot takes changes again, and until all machines are firm
// members, each within its bound, and reads everything back.
func (s *secondLossRun) settle() {
	w := s.cw.World
	at := w.now
	took, ok := s.cw.Until(lossServed, func() bool { return s.writer.AckedSince(at) })
	s.result.Served = took
	if !ok {
		w.Wrong("not served", "not every slot took a change within %d us after the second loss: %v", lossServed, s.SecondLoss)
	}
	w.Run(max(w.now, at+lossBackAfter))
	back := w.now
	if _, ok := s.cw.Until(syncTime(s.Nodes), s.cw.AllFirm); !ok {
		w.Wrong("not firm", "not every machine was a firm member %d us after it was back: %v", syncTime(s.Nodes), s.SecondLoss)
	}
	s.result.Firm = w.now - back
	reads := w.now
	w.Run(reads + 1_000_000)
}
