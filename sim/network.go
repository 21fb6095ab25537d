package sim

// Cut cuts the way from a to b; Heal mends it.
func (w *World) Cut(a, b string) { w.cutLinks[[2]string{a, b}] = true }

// CutBoth cuts both ways.
func (w *World) CutBoth(a, b string) { w.Cut(a, b); w.Cut(b, a) }

// HealAll mends all cuts and slow ways.
func (w *World) HealAll() {
	w.cutLinks, w.resetLinks, w.linkDelayUS = map[[2]string]bool{}, map[[2]string]bool{}, map[[2]string]int64{}
}

// Isolate cuts a host off from all others.
func (w *World) Isolate(name string) {
	for _, host := range w.hosts {
		if host.Name != name {
			w.CutBoth(host.Name, name)
		}
	}
	w.Notef("%s isolated", name)
}

// cutOff reports whether any way to or from a host is cut.
func (w *World) hasCutLink(host *Host) bool {
	for link := range w.cutLinks {
		if link[0] == host.Name || link[1] == host.Name {
			return true
		}
	}
	return false
}

// Send carries fn to another host: late, lost or repeated as the network will.
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
		if world.cutLinks[[2]string{h.Name, receiver.Name}] || world.LossPermille > 0 && world.Rng.Intn(1000) < world.LossPermille {
			continue
		}
		delayUS := 150 + world.Rng.Int63n(900) + world.linkDelayUS[[2]string{h.Name, receiver.Name}]
		if world.Rng.Intn(200) == 0 {
			delayUS += world.Rng.Int63n(30_000)
		}
		process := receiver.process
		world.At(world.now+delayUS, func() { receiver.runIn(process, task) })
	}
}

// resetAfter is how long a caller takes to learn that its connection was reset.
const resetDelay = 1_000

// Call asks another host; exactly one of answer and fail runs, unless the
// asker dies. A call that is answered too late fails.
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
				if !ended && host.process == process { // an answer to a former life reaches nobody
					ended = true
					answer(result)
				}
			})
			if host.world.resetsConnections(host, receiver) {
				host.After(resetDelay, giveUp)
			}
		})
	})
	if host.world.resetsConnections(host, receiver) {
		host.After(resetDelay, giveUp)
	}
	host.After(timeoutUS, giveUp)
}

// resets tells whether connections between two hosts are reset.
func (w *World) resetsConnections(a, b *Host) bool {
	return w.resetLinks[[2]string{a.Name, b.Name}] || w.resetLinks[[2]string{b.Name, a.Name}]
}
