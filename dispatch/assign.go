package dispatch

import (
	"strconv"

	"violetthread/hint"
)

// pump gives free room to waiting tickets, group by group.
func (d *Desk) pump(now int64) []Act {
	var acts []Act
	if d.plan == nil || d.PlanAge(now) > PlanLimit {
		return nil
	}
	room := d.Room(now)
	for d.q.Len() > 0 {
		if !d.anyFree(now) {
			break
		}
		g, it, ok := d.q.Next(func(g string, busy int) bool {
			c := d.plan.Groups[g].Ceiling
			return c == 0 || busy*1000 < max(c*room, 1000)
		})
		if !ok {
			break
		}
		ref, _ := strconv.ParseUint(it.ID, 10, 64)
		w := d.tickets[ref]
		if w == nil {
			d.q.Remove(g, it.ID)
			continue
		}
		// The lane is held while the claim is asked for, so that a granted
		// claim finds its room.
		l := d.pick(now, w)
		if l == nil {
			break
		}
		w.lane = l
		l.active++
		d.q.Take(g, it.ID)
		w.queued, w.taken = false, true
		acts = append(acts, d.move(now, w)...)
	}
	return acts
}

func (d *Desk) usable(now int64, l *lane) bool {
	return !l.Store && now-l.at <= OrderLimit && l.active < l.Room && now >= l.until
}

func (d *Desk) anyFree(now int64) bool {
	for _, l := range d.lanes {
		if d.usable(now, l) {
			return true
		}
	}
	return false
}

// pick compares the usable engines by when a run would get going: what lies
// before it there, plus what must be recomputed or taken of its prompt.
func (d *Desk) pick(now int64, w *work) *lane {
	var best *lane
	var bc int64
	for _, l := range d.lanes {
		if !d.usable(now, l) {
			continue
		}
		take, _, _ := d.source(l, w)
		c := int64(l.active)*3_000 + int64(l.Queue)*2_000 + l.SlowUS/4 + int64(l.problem)*20_000
		own := d.own(l, w)
		c += int64(len(w.Chain)-max(own, take)-1) * fillPerBlock
		if take > own {
			c += takeFixed + int64(take-own)*takePerBlock
		}
		if l.Site != d.site {
			c += otherSite
		}
		if w.tried[l.Engine] {
			c += again // rather than hold up all that wait behind it
		}
		if best == nil || c < bc || c == bc && l.Engine < best.Engine {
			best, bc = l, c
		}
	}
	return best
}

// own is the longest part hinted to be at the lane's engine itself, or -1.
func (d *Desk) own(l *lane, w *work) int {
	if l.Weights != w.Weights {
		return -1
	}
	for _, h := range w.Hints { // longest first
		if h.Node == l.ID {
			return h.Part
		}
	}
	return -1
}

// source is the longest part that the lane's engine may take from elsewhere:
// its holder must be known under current orders, and the link worth trying.
func (d *Desk) source(l *lane, w *work) (part int, node uint64, at string) {
	if l.Weights != w.Weights {
		return -1, 0, ""
	}
	for _, h := range w.Hints {
		p := d.byNode[h.Node]
		if h.Node == l.ID || p == nil || !p.Store && p.Weights != w.Weights {
			continue
		}
		g, ok := l.Grades[h.Node]
		if ok && !hint.Usable(g) {
			continue
		}
		return h.Part, h.Node, p.Addr
	}
	return -1, 0, ""
}
