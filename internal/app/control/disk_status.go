package control

import "violetthread/internal/clock"

// causeStarting is the cause shown before the disk was opened for the first time.
const causeStarting = "starting"

// DiskStatus is the state of the disk as shown to operators.
type DiskStatus struct {
	Usable  bool   `json:"usable"`
	Cause   string `json:"cause,omitempty"` // why it is not usable, with the remedy
	sinceUS int64  // when it became usable or unusable
}

// DiskStatus returns the state of this node's disk.
func (n *Node) DiskStatus() DiskStatus { return *n.storage.status.Load() }

func (n *Node) registerDiskMetrics() {
	s := &n.storage
	n.daemon.Gauge("disk_usable", "1 while this node's disk takes writes, 0 while it is full, stalled or failing", func() float64 {
		if s.status.Load().Usable {
			return 1
		}
		return 0
	})
	n.daemon.Counter("disk_troubles_total", "times that the disk stopped this node from voting", func() float64 { return float64(s.outageCount.Load()) })
}

// reportDiskUnusable updates status and readiness when the disk can't be used; it logs one event
// for each outage.
func (n *Node) reportDiskUnusable(err error) {
	s := &n.storage
	previous := s.status.Load()
	status := &DiskStatus{Cause: err.Error(), sinceUS: previous.sinceUS}
	if previous.Usable || previous.Cause == causeStarting {
		status.sinceUS = clock.Now()
		s.outageCount.Add(1)
		n.logDiskUnusable(status.Cause)
	}
	s.status.Store(status)
	n.daemon.SetReady("this node does not vote: " + status.Cause)
}

// reportDiskUsable updates the status, and after an outage readiness, when the disk accepts writes.
func (n *Node) reportDiskUsable() {
	s := &n.storage
	previous := s.status.Load()
	if previous.Usable {
		return
	}
	now := clock.Now()
	s.usableSince = now
	s.status.Store(&DiskStatus{Usable: true, sinceUS: now})
	if previous.Cause != causeStarting {
		n.daemon.SetReady("starting")
		n.logDiskUsable(now - previous.sinceUS)
	}
}
