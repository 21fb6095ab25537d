package sim

// link is the one-way link from one host to another, by name.
type link struct{ from, to string }

// Cut cuts the link from one host to another, until HealAll.
func (w *World) Cut(from, to string) { w.cutLinks[link{from, to}] = true }

// CutBoth cuts both links between two hosts.
func (w *World) CutBoth(a, b string) {
	w.Cut(a, b)
	w.Cut(b, a)
}

// HealAll repairs all links that are cut, slow or reset connections.
func (w *World) HealAll() {
	w.cutLinks = map[link]bool{}
	w.resetLinks = map[link]bool{}
	w.linkDelayUS = map[link]int64{}
}

// Isolate cuts all links of a host.
func (w *World) Isolate(name string) {
	for _, host := range w.hosts {
		if host.Name != name {
			w.CutBoth(host.Name, name)
		}
	}
	w.Notef("%s isolated", name)
}

// isCut reports whether either link between two hosts is cut.
func (w *World) isCut(a, b *Host) bool {
	return w.cutLinks[link{a.Name, b.Name}] || w.cutLinks[link{b.Name, a.Name}]
}

// hasCutLink reports whether any link to or from a host is cut.
func (w *World) hasCutLink(host *Host) bool {
	for cut := range w.cutLinks {
		if cut.from == host.Name || cut.to == host.Name {
			return true
		}
	}
	return false
}

// Send runs a task on another host, in its current process. The network may delay, lose or
// duplicate it.
func (h *Host) Send(receiver *Host, task func()) {
	world := h.world
	if h == receiver {
		h.After(1, task)
		return
	}
	copies := 1
	if world.DuplicatePermille > 0 && world.Rng.Intn(1000) < world.DuplicatePermille {
		copies = 2
	}
	for i := 0; i < copies; i++ {
		if world.cutLinks[link{h.Name, receiver.Name}] || world.LossPermille > 0 && world.Rng.Intn(1000) < world.LossPermille {
			continue
		}
		delayUS := 150 + world.Rng.Int63n(900) + world.linkDelayUS[link{h.Name, receiver.Name}]
		if world.Rng.Intn(200) == 0 {
			delayUS += world.Rng.Int63n(30_000)
		}
		process := receiver.process
		world.At(world.now+delayUS, func() { receiver.runIn(process, task) })
	}
}

// resetDelayUS is the time until a caller notices that its connection was reset.
const resetDelayUS = 1_000

// Call sends a request to another host, which serves it by calling reply, at once or later.
// Unless the caller's process ends before, exactly one of answer and fail runs there: answer
// if a reply arrives within timeoutUS microseconds, fail after that time or when the
// connection is reset.
func Call[Q, A any](host, receiver *Host, request Q, timeoutUS int64, serve func(request Q, reply func(A)), answer func(A), fail func()) {
	ended, process := false, host.process
	giveUp := func() {
		if !ended {
			ended = true
			fail()
		}
	}
	host.world.observe("ask", host.Name, receiver.Name, request)
	host.Send(receiver, func() {
		serve(request, func(result A) {
			host.world.observe("answer", receiver.Name, host.Name, result)
			receiver.Send(host, func() {
				if !ended && host.process == process { // drop answers to an earlier process
					ended = true
					answer(result)
				}
			})
			if host.world.resetsConnections(host, receiver) {
				host.After(resetDelayUS, giveUp)
			}
		})
	})
	if host.world.resetsConnections(host, receiver) {
		host.After(resetDelayUS, giveUp)
	}
	host.After(timeoutUS, giveUp)
}

// resetsConnections reports whether connections between two hosts are reset.
func (w *World) resetsConnections(a, b *Host) bool {
	return w.resetLinks[link{a.Name, b.Name}] || w.resetLinks[link{b.Name, a.Name}]
}
