package control

import (
	"context"

	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// processReady applies the effects of one step of the voter: events to the log, records to the
// disk, then the voter set, messages and results. Called only from the voter's loop.
func (n *Node) processReady(ready quorum.Ready) {
	n.logVoterEvents(ready.Events)
	n.queueRecords(ready.Records)
	if ready.VoterSet != nil {
		n.adoptVoterSet(*ready.VoterSet)
	}
	for _, envelope := range ready.Messages {
		n.sendTo(envelope.To, codec.PackMessage(envelope.Message))
	}
	for _, result := range ready.Results {
		if waiting := n.results[result.ID]; waiting != nil {
			delete(n.results, result.ID)
			waiting <- result
		}
	}
}

// adoptVoterSet publishes a newer voter set, and stops the voter if the set does not include this
// disk.
func (n *Node) adoptVoterSet(newer quorum.VoterSet) {
	set := codec.PackVoterSet(newer, n.Incarnation())
	n.voterSet.Store(set)
	if !n.isVoter(set) {
		n.stopVoter(errRemoved)
	}
}

// sendTo queues a frame for another voter. Each voter has its own sender, so that a slow one does
// not delay the others; a frame that does not fit into the queue is dropped. Called only from the
// voter's loop.
func (n *Node) sendTo(name string, frame *fb.FrameT) {
	if name == n.settings.Name {
		return
	}
	voter, ok := n.voter.VoterSet().Find(name)
	if !ok {
		return
	}
	queue := n.senders[voter.Addr] // by address: a voter of the same name may return at another one
	if queue == nil {
		queue = n.startSender(voter.Addr)
		n.senders[voter.Addr] = queue
	}
	taskgroup.TrySend(queue, frame)
}

// startSender starts the loop that sends the frames queued for one address.
func (n *Node) startSender(addr string) chan *fb.FrameT {
	queue := make(chan *fb.FrameT, maxPendingFrames)
	peer := n.peers.Get(addr)
	n.voterGroup.Go("peer", func(ctx context.Context) {
		for {
			frame, ok := taskgroup.Receive(ctx, queue)
			if !ok {
				return
			}
			peer.Send(frame)
		}
	})
	return queue
}
