package sim

import "violetthread/quorum"

const (
	// Of a hundred messages between voters, so many come once more soon after, and so
	// many much later.
	echoSoonPercent = 40
	echoLatePercent = 10
	// echoSoon is long enough to overtake others, echoLate long enough to outlive leases,
	// epochs and processes.
	echoSoon = 60_000
	echoLate = 8_000_000
	// messagesBack is within how long after the trouble every slot takes changes.
	messagesBack = 4_000_000
	// messageJitter is the most by which ways differ, drawn anew every jitterEvery.
	messageJitter = 60_000
	jitterEvery   = 300_000
)

// MessagesResult is what a day of repeated and reordered messages came to.
type MessagesResult struct {
	Acks, Claims, Terms, Echoes, Restarts int
	// Stranger counts messages that reached another life of their receiver.
	Stranger int
	Back     int64
	Wrong    []string
	Notes    []string
}

// MessagesDay is a day on which the voters' messages come late, out of order and again,
// also to the next life of a process of the same name.
type MessagesDay struct {
	world  *World
	core   *Core
	until  int64
	result MessagesResult
}

// RunMessages runs one day, with trouble for a time.
func RunMessages(seed int64, nodes int, lasts int64) MessagesResult {
	w := NewWorld(seed)
	d := &MessagesDay{world: w, core: NewCore(w, nodes)}
	d.core.term = platformTerm
	writer, claimers, holders := NewSlotWriter(d.core), NewClaimers(d.core, 2), NewHolders(d.core, 2)
	d.core.Start()
	writer.Start()
	w.Run(1_500_000)
	d.until = w.now + lasts
	d.core.echo = d.echo
	d.jitter()
	d.restarts()
	w.Run(d.until)
	d.mend()
	d.waitBack(writer)
	r := &d.result
	r.Acks, r.Claims, r.Terms = writer.Acks(), claimers.Won, holders.Terms
	r.Wrong, r.Notes = w.wrong, w.note
	return *r
}

// echo repeats a message, soon or late, whatever became of its receiver's process.
func (d *MessagesDay) echo(to *Registrar, m quorum.Message) {
	w := d.world
	draw := w.Rng.Intn(100)
	switch {
	case draw < echoSoonPercent:
		d.repeat(to, m, w.Rng.Int63n(echoSoon))
	case draw < echoSoonPercent+echoLatePercent:
		d.repeat(to, m, w.Rng.Int63n(echoLate))
	}
}

func (d *MessagesDay) repeat(to *Registrar, m quorum.Message, after int64) {
	w, life := d.world, to.life
	w.At(w.now+after, func() {
		if !to.up || to.frozen {
			return
		}
		d.result.Echoes++
		if to.life != life {
			d.result.Stranger++
		}
		to.recv(m)
	})
}

// jitter makes ways differ, so that messages overtake each other.
func (d *MessagesDay) jitter() {
	w := d.world
	if w.now >= d.until {
		return
	}
	for _, a := range d.core.Nodes {
		for _, b := range d.core.Nodes {
			w.slow[[2]string{a.Name, b.Name}] = w.Rng.Int63n(messageJitter)
		}
	}
	w.At(w.now+jitterEvery, d.jitter)
}

// restarts ends one process after the other, and starts it again under its name.
func (d *MessagesDay) restarts() {
	w := d.world
	if w.now >= d.until {
		return
	}
	r := d.core.Nodes[w.Rng.Intn(len(d.core.Nodes))]
	d.result.Restarts++
	if w.Rng.Intn(2) == 0 {
		r.PowerLoss()
	} else {
		r.Kill()
	}
	w.At(w.now+1+w.Rng.Int63n(500_000), r.restart)
	w.At(w.now+500_000+w.Rng.Int63n(1_500_000), d.restarts)
}

func (d *MessagesDay) mend() {
	d.core.echo = nil
	d.world.HealAll()
	for _, r := range d.core.Nodes {
		r.restart()
	}
}

// waitBack waits until every slot takes changes, while what was repeated late still comes.
func (d *MessagesDay) waitBack(writer *SlotWriter) {
	w := d.world
	from := w.now
	for !writer.AckedSince(from) && w.now < from+messagesBack && len(w.wrong) == 0 {
		w.Run(w.now + watchEvery)
	}
	d.result.Back = w.now - from
	if !writer.AckedSince(from) {
		w.Wrong("not back", "not every slot took a change within %d us after the trouble", messagesBack)
	}
}
