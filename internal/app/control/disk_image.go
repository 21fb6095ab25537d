package control

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"

	"github.com/gravitational/trace"

	"violetthread/internal/codec"
	"violetthread/quorum"
	"violetthread/schema/fb"
	"violetthread/wal"
)

// diskImage is the content of the write-ahead log when it was opened.
type diskImage struct {
	incarnation uint64
	voterSet    *fb.VoterSetT // nil while this disk is in no voter set
	knownAddrs  []string      // control nodes to ask for a voter set in that case
	records     []quorum.Record
	recordCount int // number of all records read, identities included
}

// readDisk locks the folder, reads the log and makes sure that it can be written. If it can't,
// the addresses in the log are still used to find other nodes.
func (n *Node) readDisk() (*diskImage, error) {
	if err := n.lockFolder(); err != nil {
		return nil, err
	}
	raw, err := n.readLog()
	image, decodeErr := decodeImage(raw)
	if decodeErr != nil {
		return nil, decodeErr
	}
	if err != nil {
		n.addKnownAddrs(image.addresses())
		return nil, err
	}
	if image.incarnation == 0 {
		if err := n.assignIncarnation(image); err != nil {
			return nil, err
		}
	}
	return image, n.checkpointIfFull(image)
}

func (n *Node) lockFolder() error {
	s := &n.storage
	if s.lock != nil {
		return nil
	}
	lock, err := s.folder.Lock()
	switch {
	case err == nil:
		s.lock = lock
		return nil
	case trace.IsAlreadyExists(err):
		return err
	}
	return &wal.DiskError{Op: "open", Err: err}
}

func (n *Node) readLog() ([][]byte, error) {
	s := &n.storage
	if s.log != nil {
		return s.log.Reopen()
	}
	config := wal.Config{SegmentCount: n.settings.LogSegments, SegmentBytes: n.settings.LogSegmentBytes}
	log, raw, err := wal.Open(s.fs, config)
	if err == nil {
		s.log = log
	}
	return raw, err
}

// decodeImage decodes the records of a log.
func decodeImage(raw [][]byte) (*diskImage, error) {
	image := &diskImage{recordCount: len(raw)}
	for _, data := range raw {
		record, identity, err := codec.UnpackRecord(data)
		if err != nil {
			return nil, trace.Wrap(err, "the write-ahead log holds a record that this version can't read; start the version that wrote it")
		}
		if err := image.add(record, identity); err != nil {
			return nil, err
		}
	}
	return image, nil
}

func (i *diskImage) add(record quorum.Record, identity *fb.VoterSetT) error {
	switch {
	case identity != nil && identity.Revision == 0: // the disk is in no voter set
		i.incarnation, i.knownAddrs = identity.Incarnation, voterAddrs(identity)
		return nil
	case identity != nil:
		i.incarnation = identity.Incarnation
		return i.adoptVoterSet(identity)
	case record.VoterSet != nil:
		i.records = append(i.records, record)
		return i.adoptVoterSet(codec.PackVoterSet(*record.VoterSet, i.incarnation))
	}
	i.records = append(i.records, record)
	return nil
}

// adoptVoterSet records a voter set, which must belong to the same fleet as earlier ones.
func (i *diskImage) adoptVoterSet(set *fb.VoterSetT) error {
	if i.voterSet != nil {
		before, fleet := codec.UnpackVoterSet(i.voterSet).Fleet(), codec.UnpackVoterSet(set).Fleet()
		if before != fleet {
			return trace.BadParameter("the write-ahead log holds records of fleets %d and %d; move the data folder aside and start again as an empty node", before, fleet)
		}
	}
	i.voterSet = set
	return nil
}

// addresses lists the control nodes to ask for a voter set.
func (i *diskImage) addresses() []string {
	if i.voterSet != nil {
		return voterAddrs(i.voterSet)
	}
	return i.knownAddrs
}

// assignIncarnation gives a random incarnation to a disk that has none. It is synced before any
// other node learns it, so that one incarnation never identifies two different states of this
// disk.
func (n *Node) assignIncarnation(image *diskImage) error {
	incarnation, err := randomIncarnation()
	if err != nil {
		return err
	}
	image.incarnation = incarnation
	return n.persistVoterSet(&fb.VoterSetT{Incarnation: incarnation})
}

// randomIncarnation returns a random number that is not 0 and fits into an int64.
func randomIncarnation() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return binary.LittleEndian.Uint64(b[:])>>1 | 1, nil
}

// persistVoterSet appends and syncs a voter set.
func (n *Node) persistVoterSet(set *fb.VoterSetT) error {
	if err := n.storage.log.Append(codec.PackIdentity(set)); err != nil {
		return err
	}
	return n.storage.log.Sync()
}

// checkpointIfFull writes a checkpoint if the used part of the log exceeds the checkpoint
// threshold: a voter that starts with a full log would stop at its first record.
func (n *Node) checkpointIfFull(image *diskImage) error {
	log := n.storage.log
	if log.UsedPermille() <= checkpointThresholdPermille || image.voterSet == nil || !containsDisk(image.voterSet, n.settings.Name, image.incarnation) {
		return nil
	}
	voter := n.newVoter(image.voterSet, image.incarnation, image.records)
	set := *image.voterSet
	set.Incarnation = image.incarnation
	state := [][]byte{codec.PackIdentity(&set)}
	for _, record := range voter.Checkpoint() {
		state = append(state, codec.PackRecord(record))
	}
	if err := log.Checkpoint(state); err != nil {
		return fmt.Errorf("writing a checkpoint at startup: %w", err)
	}
	return nil
}

// loadImage initialises the node's state from the content of the disk.
func (n *Node) loadImage(image *diskImage) {
	n.incarnation.Store(image.incarnation)
	n.voterSet.Store(image.voterSet)
	if image.voterSet == nil {
		n.addKnownAddrs(image.knownAddrs)
	}
	n.records = image.records
	used := n.storage.log.UsedPermille()
	n.storage.usedPermille.Store(int64(used))
	n.logDiskOpened(image.recordCount, used, image.incarnation)
}
