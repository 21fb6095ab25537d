package control

import "violetthread/internal/clock"

// causeStarting is the cause of a disk that was not used yet.
const causeStarting = "starting"

// DiskStatus is the disk as operators see it.
type DiskStatus struct {
	Usable  bool   `json:"usable"`
	Cause   string `json:"cause,omitempty"` // why it is not usable, with the remedy
	sinceUS int64  // when it became so
}

// DiskStatus is the state of this node's disk.
func (n *Node) DiskStatus() DiskStatus { return *n.storage.status.Load() }

func (n *Node) registerDiskMetrics() {
	s := &n.storage
	n.daemon.Gauge("disk_usable", "1 while this node's disk takes writes, 0 while it is full, stalled or failing", func() float64 {
		if s.status.Load().Usable {
			return 1
		}
		return 0
	})
	n.daemon.Counter("disk_troubles_total", "times that the disk stopped this node from voting", func() float64 { return float64(s.troubleCount.Load()) })
}

// reportDiskUnusable tells operators that the disk can't be used; the log has one event for
// each spell of it.
func (n *Node) reportDiskUnusable(err error) {
	s := &n.storage
	previous := s.status.Load()
	status := &DiskStatus{Cause: err.Error(), sinceUS: previous.sinceUS}
	if previous.Usable || previous.Cause == causeStarting {
		status.sinceUS = clock.Now()
		s.troubleCount.Add(1)
		n.logDiskUnusable(status.Cause)
	}
	s.status.Store(status)
	n.daemon.SetReady("this node does not vote: " + status.Cause)
}

// reportDiskUsable tells operators that the disk takes writes.
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
