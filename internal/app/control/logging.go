package control

import "violetthread/quorum"

// Log events of a control node. Each is one line, event=NAME and the keys given here;
// docs/logs.md describes them for operators.

// logVoterEvents logs the voter's events, which quorum.Event documents, except those that any
// peer may trigger as often as it likes.
func (n *Node) logVoterEvents(events []quorum.Event) {
	for _, event := range events {
		if !event.Type.Frequent() {
			n.daemon.Log.Info(event.Type.String(), event.KeysAndValues()...)
		}
	}
}

func (n *Node) logVoterSetJoined(fleet, step uint64, voters string) {
	n.daemon.Log.Info("voter_set_joined", "fleet", fleet, "step", step, "voters", voters)
}

func (n *Node) logStateDiscarded(step, incarnation uint64) {
	n.daemon.Log.Info("state_discarded", "step", step, "incarnation", incarnation)
}

func (n *Node) logDiskOpened(records, usedPermille int, incarnation uint64) {
	n.daemon.Log.Info("log_opened", "records", records, "used_permille", usedPermille, "incarnation", incarnation)
}

func (n *Node) logDiskUnusable(cause string) {
	n.daemon.Log.Info("disk_unusable", "cause", cause)
}

func (n *Node) logDiskUsable(afterUS int64) {
	n.daemon.Log.Info("disk_usable", "after_us", afterUS)
}

func (n *Node) logSpace(low bool, usedPermille int64) {
	n.daemon.Log.Info("log_space_low", "low", low, "used_permille", usedPermille)
}

func (n *Node) logCheckpoint(usedPermille int) {
	n.daemon.Log.Info("checkpoint_written", "used_permille", usedPermille)
}

func (n *Node) logPlanChanged(revision uint64, method, from string) {
	n.daemon.Log.Info("plan_changed", "revision", revision, "method", method, "from", from)
}

func (n *Node) logVoterSetChanged(step uint64, leaving, joiningAddr string) {
	n.daemon.Log.Info("voter_set_changed", "step", step, "leaving", leaving, "joining_addr", joiningAddr)
}
