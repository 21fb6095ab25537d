package sim

// Host is a machine, or one process on it.
type Host struct {
	Name string
	Zone string

	world       *World
	boot        func() // starts its program
	onStop      func() // called when its process ends, may be nil
	process     int    // number of its process, increased at each start and end
	up          bool
	frozen      bool
	deferred    []func() // tasks that arrived while it was frozen
	clockOffset int64    // microseconds by which its clock is ahead of true time
	thawedAt    int64    // true time of the last thaw
}

// NewHost adds a host. boot is called whenever it starts.
func (w *World) NewHost(name, zone string, boot func()) *Host {
	host := &Host{world: w, Name: name, Zone: zone, boot: boot}
	w.hosts = append(w.hosts, host)
	return host
}

func (w *World) hostNamed(name string) *Host {
	for _, host := range w.hosts {
		if host.Name == name {
			return host
		}
	}
	return nil
}

// Clock returns the host's time since boot in microseconds. Clocks of different hosts differ.
func (h *Host) Clock() int64 { return h.world.now + h.clockOffset }

// Up reports whether the host is running. It may be frozen.
func (h *Host) Up() bool { return h.up }

// Start starts the host, unless it is up.
func (h *Host) Start() {
	if h.up {
		return
	}
	h.up, h.frozen, h.deferred = true, false, nil
	h.process++
	h.clockOffset = 1_000_000 + h.world.Rng.Int63n(1_000_000_000)
	h.world.Notef("%s starts", h.Name)
	h.boot()
}

// Kill ends the process at once.
func (h *Host) Kill() {
	if !h.up {
		return
	}
	h.world.Notef("%s dies", h.Name)
	h.up, h.deferred = false, nil
	h.process++
	if h.onStop != nil {
		h.onStop()
	}
}

// Freeze suspends the host without its notice. After Thaw it continues and runs all tasks that
// arrived meanwhile, in random order.
func (h *Host) Freeze() {
	if h.up && !h.frozen {
		h.world.Notef("%s freezes", h.Name)
		h.frozen = true
	}
}

// Thaw ends a freeze.
func (h *Host) Thaw() {
	if !h.frozen {
		return
	}
	h.world.Notef("%s thaws", h.Name)
	h.frozen, h.thawedAt = false, h.world.now
	deferred := h.deferred
	h.deferred = nil
	h.world.Rng.Shuffle(len(deferred), func(i, j int) { deferred[i], deferred[j] = deferred[j], deferred[i] })
	for _, task := range deferred {
		task()
	}
}

// runIn runs a task in the given process of the host, deferred to the thaw if the host is
// frozen.
func (h *Host) runIn(process int, task func()) {
	switch {
	case !h.up || h.process != process:
	case h.frozen:
		h.deferred = append(h.deferred, func() { h.runIn(process, task) })
	default:
		task()
	}
}

// After runs a task on the host after a delay in microseconds, unless its process ends before.
func (h *Host) After(delayUS int64, task func()) {
	process := h.process
	h.world.At(h.world.now+delayUS, func() { h.runIn(process, task) })
}

// Every runs a task at once and then periodically, with a little jitter, until the process
// ends. The period is in microseconds.
func (h *Host) Every(period int64, task func()) {
	task()
	h.After(period+h.world.Rng.Int63n(period/8+1), func() { h.Every(period, task) })
}
