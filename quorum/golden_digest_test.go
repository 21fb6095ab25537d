package quorum

import (
	"testing"

	"violetthread/internal/goldendigest"
)

// TestGoldenDigest runs random walks in every explored cluster. The digest covers the actions,
// which depend on what the nodes did, and the final contents of disks and messages.
func TestGoldenDigest(t *testing.T) {
	digest := goldendigest.New()
	for _, size := range []clusterConfig{three, twoSlots, withGenerations, withLateMessages, inChunks, threeOfFive, withTargetSize, fourOfFive, five} {
		for seed := int64(10_001); seed <= 10_008; seed++ {
			actions, cl := walk(size, seed, 80)
			if cl.checker.violation != "" {
				t.Fatalf("seed %d: %s", seed, cl.checker.violation)
			}
			for _, action := range actions {
				digest.Number(int64(action.a))
				digest.Number(int64(action.b))
			}
			digest.Number(cl.now)
			digest.Number(int64(*cl.inputs))
			for i := range size.machines {
				addMachine(digest, &cl.machines[i])
			}
			for _, packet := range append(cl.inFlight, cl.setAside...) {
				digest.Number(int64(packet.to))
				addMessage(digest, packet.message)
			}
		}
	}
	digest.Compare(t)
}

func addMachine(digest *goldendigest.Digest, m *machine) {
	digest.Text(m.name)
	digest.Number(int64(m.incarnation))
	digest.Flag(m.up)
	digest.Flag(m.frozen)
	digest.Number(int64(m.issued))
	for _, record := range append(m.synced.records(), m.unsynced...) {
		digest.Number(int64(record.Type))
		digest.Number(int64(record.Slot))
		digest.Number(int64(record.Term))
		addPosition(digest, record.Last)
		addPosition(digest, record.Committed)
		addEntry(digest, record.Entry)
		if record.VoterSet != nil {
			digest.Text(string(record.VoterSet.Bytes()))
		}
	}
}

func addPosition(digest *goldendigest.Digest, p Position) {
	digest.Number(int64(p.Term))
	digest.Number(int64(p.Index))
}

func addEntry(digest *goldendigest.Digest, e Entry) {
	digest.Text(e.Key)
	addPosition(digest, e.Position)
	digest.Number(int64(e.Revision))
	digest.Text(string(e.Value))
}

func addMessage(digest *goldendigest.Digest, m *Message) {
	digest.Number(int64(m.Type))
	digest.Text(m.From)
	digest.Number(int64(m.Incarnation))
	digest.Number(int64(m.VoterSetRevision))
	digest.Number(int64(m.Slot))
	digest.Number(int64(m.Term))
	digest.Number(m.Time)
	addPosition(digest, m.Previous)
	addPosition(digest, m.Last)
	addPosition(digest, m.Committed)
	digest.Number(int64(m.LogTerm))
	digest.Flag(m.Joining)
	for _, entry := range m.Entries {
		addEntry(digest, entry)
	}
	for _, key := range m.Keys {
		digest.Text(key)
	}
	for _, progress := range m.Progress {
		digest.Number(int64(progress.Slot))
		digest.Number(int64(progress.Term))
		addPosition(digest, progress.Last)
		addPosition(digest, progress.Committed)
		digest.Flag(progress.Recovered)
	}
	digest.Number(int64(m.Promised))
	digest.Number(int64(m.Generation))
	digest.Flag(m.More)
}
