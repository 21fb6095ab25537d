package control

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"sync/atomic"

	"github.com/gravitational/trace"

	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/schema/fb"
	"violetthread/wal"
	"violetthread/wal/osdisk"
)

// storage is this node's write-ahead log and what is known of the disk below it.
//
// A disk that refuses an operation, or does not answer, stops the voter: it gives up what
// it owns and is thrown away, with all that was not synced. Once the disk takes writes
// again, another voter begins from what was synced, exactly as after a restart of the
// process; so a disk in trouble needs no rule of its own (design §5).
type storage struct {
	folder           osdisk.Directory
	fs               wal.FS
	lock             io.Closer
	log              *wal.Log
	operations       *taskgroup.Group // operations that a stalled disk may hold up for ever
	pending          chan batch       // records that the voter wants on disk
	writerDone       chan struct{}    // told once the writer of this voter has ended
	activeOperation  atomic.Int64     // number of the writer's operation under way; 0: none
	stall            stallWatch
	recordsLost      bool          // a batch was dropped: this voter's records are incomplete
	syncedRecords    atomic.Uint64 // records of this voter on disk
	checkpointWanted atomic.Bool   // the ring wants a checkpoint
	checkpointQueued atomic.Bool   // a checkpoint is queued or being written
	usedPermille     atomic.Int64  // thousandths of the ring
	usableSince      int64         // since when it is, or last was
	retryDelay       int64         // before the next try to use a disk in trouble
	status           atomic.Pointer[DiskStatus]
	troubleCount     atomic.Uint64 // times that the disk stopped this node
}

const causeStarting = "starting"

// DiskState is the disk as operators see it.
type DiskStatus struct {
	Usable  bool   `json:"usable"`
	Cause   string `json:"cause,omitempty"` // why it is not, with the remedy
	sinceUS int64
}

var (
	errStalled = errors.New("the disk does not answer; check it, and what else uses it")
	errBacklog = errors.New("the disk is slower than the records that come; check it, and what else uses it")
	errRetired = errors.New("a newer roster does not hold this disk")
)

const (
	diskTimeout       = 5_000_000 // an opening that takes longer counts as stalled
	closeTimeout      = 500_000   // when the node stops, for an operation under way
	minRetryDelay     = 100_000   // between tries to use a disk in trouble, doubled each time
	maxRetryDelay     = 800_000
	steadyAfter       = 10_000_000 // usable for so long, a disk is tried again at once
	maxPendingBatches = 4096       // batches
)

func (n *Node) initStorage() {
	st := &n.storage
	st.folder = osdisk.Directory{Path: filepath.Join(n.settings.DataDir, "ring")}
	st.fs = st.folder
	if n.settings.Disk != nil {
		st.fs = n.settings.Disk(st.fs)
	}
	st.operations = taskgroup.New(context.Background(), n.daemon.Log) // waited for within bounds alone
	st.retryDelay = minRetryDelay
	st.pending = make(chan batch, maxPendingBatches)
	st.status.Store(&DiskStatus{Cause: causeStarting, sinceUS: clock.Now()})
	n.daemon.OnStop(n.closeStorage)
	n.daemon.Gauge("disk_usable", "1 while this node's disk takes writes, 0 while it is full, stalled or failing", func() float64 {
		if st.status.Load().Usable {
			return 1
		}
		return 0
	})
	n.daemon.Counter("disk_troubles_total", "times that the disk stopped this node from voting", func() float64 { return float64(st.troubleCount.Load()) })
}

// closeStorage gives the folder back. While an operation is stalled no other may use the
// folder: this returns without that then, and it is given back when the operation ends.
func (n *Node) closeStorage() {
	st := &n.storage
	ended := make(chan struct{}, 1)
	taskgroup.New(context.Background(), n.daemon.Log).Go("disk.close", func(context.Context) {
		st.operations.Stop()
		if st.log != nil {
			_ = st.log.Close()
		}
		if st.lock != nil {
			_ = st.lock.Close()
		}
		ended <- struct{}{}
	})
	ctx, stop := context.WithTimeout(context.Background(), clock.Duration(closeTimeout))
	defer stop()
	taskgroup.Receive(ctx, ended)
}

// Disk is the state of this node's disk.
func (n *Node) DiskStatus() DiskStatus { return *n.storage.status.Load() }

// passes tells whether a failure may pass by itself, so that waiting is worth it.
func isTransient(err error) bool {
	return errors.Is(err, wal.ErrDisk) || errors.Is(err, errStalled) || errors.Is(err, errBacklog) || errors.Is(err, wal.ErrFull)
}

// openStorage opens the log, or opens it anew after trouble, and waits for as long as the
// disk can't be used. It returns false when the node ends.
func (n *Node) openStorage(ctx context.Context) bool {
	for {
		image, err := n.runDiskOperation(ctx, n.readDisk)
		switch {
		case ctx.Err() != nil:
			return false
		case err == nil:
			n.loadImage(image)
			n.markDiskUsable()
			return true
		case !isTransient(err) || errors.Is(err, wal.ErrFull):
			n.daemon.Fail(err)
			return false
		}
		n.markDiskUnusable(err)
		if !n.storage.backOff(ctx) {
			return false
		}
	}
}

// again waits before a disk that was usable is tried again, unless it was so for a while.
func (s *storage) retryAfterTrouble(ctx context.Context) bool {
	if clock.Now()-s.usableSince > steadyAfter {
		s.retryDelay = minRetryDelay
		return ctx.Err() == nil
	}
	return s.backOff(ctx)
}

// backOff waits before the disk is tried again, longer each time until it has been usable
// for a while.
func (s *storage) backOff(ctx context.Context) bool {
	ok := taskgroup.Sleep(ctx, s.retryDelay)
	s.retryDelay = min(2*s.retryDelay, maxRetryDelay)
	return ok
}

// tryDisk runs an operation on the disk, and tells operators if it stalls. It returns
// without the operation's end when the node ends.
func (n *Node) runDiskOperation(ctx context.Context, operation func() (*diskImage, error)) (*diskImage, error) {
	type result struct {
		image *diskImage
		err   error
	}
	done := make(chan result, 1)
	n.startDiskOperation("disk.try", func() {
		image, err := operation()
		done <- result{image, err}
	})
	for {
		patience, stop := context.WithTimeout(ctx, clock.Duration(diskTimeout))
		res, ok := taskgroup.Receive(patience, done)
		stop()
		if ok {
			return res.image, res.err
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		n.markDiskUnusable(errStalled)
	}
}

func (n *Node) startDiskOperation(name string, operation func()) {
	n.storage.operations.Go(name, func(context.Context) { operation() })
}

// diskTrouble tells operators that the disk can't be used, once for each spell of it.
func (n *Node) markDiskUnusable(err error) {
	st := &n.storage
	was := st.status.Load()
	state := &DiskStatus{Cause: err.Error(), sinceUS: was.sinceUS}
	if was.Usable || was.Cause == causeStarting {
		state.sinceUS = clock.Now()
		st.troubleCount.Add(1)
		n.daemon.Log.Info("disk_problem", "cause", state.Cause)
	}
	st.status.Store(state)
	n.daemon.SetReady("this node does not vote: " + state.Cause)
}

// diskUsable tells operators that the disk takes writes.
func (n *Node) markDiskUsable() {
	st := &n.storage
	was := st.status.Load()
	if was.Usable {
		return
	}
	now := clock.Now()
	st.usableSince = now
	st.status.Store(&DiskStatus{Usable: true, sinceUS: now})
	if was.Cause != causeStarting {
		n.daemon.SetReady("starting")
		n.daemon.Log.Info("disk_usable", "after_us", now-was.sinceUS)
	}
}

// diskImage is what the disk holds.
type diskImage struct {
	incarnation uint64
	voterSet    *fb.FoundingT // nil while this disk is in no roster
	knownAddrs  []string      // whom to ask then
	records     []quorum.Record
	recordCount int
}

// readDisk locks the folder, reads the ring and makes sure that it can be written. What
// the ring holds may serve to find other nodes also when it can't.
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
		if err := n.drawIncarnation(image); err != nil {
			return nil, err
		}
	}
	return image, n.checkpointIfFull(image)
}

func (n *Node) lockFolder() error {
	st := &n.storage
	if st.lock != nil {
		return nil
	}
	lock, err := st.folder.Lock()
	switch {
	case err == nil:
		st.lock = lock
		return nil
	case trace.IsAlreadyExists(err):
		return err
	}
	return &wal.DiskError{Op: "open", Err: err}
}

func (n *Node) readLog() ([][]byte, error) {
	st := &n.storage
	if st.log != nil {
		return st.log.Reopen()
	}
	log, raw, err := wal.Open(st.fs, wal.Config{SegmentCount: n.settings.LogSegments, SegmentBytes: n.settings.LogSegmentBytes})
	if err == nil {
		st.log = log
	}
	return raw, err
}

// decodeImage reads the records of a ring.
func decodeImage(raw [][]byte) (*diskImage, error) {
	image := &diskImage{recordCount: len(raw)}
	for _, b := range raw {
		rec, founding, err := codec.UnpackRecord(b)
		if err != nil {
			return nil, trace.Wrap(err, "the ring holds a record that this version can't read; start the version that wrote it")
		}
		if err := image.add(rec, founding); err != nil {
			return nil, err
		}
	}
	return image, nil
}

func (i *diskImage) add(rec quorum.Record, founding *fb.FoundingT) error {
	switch {
	case founding != nil && founding.Rev == 0: // of a disk in no roster
		i.incarnation, i.knownAddrs = founding.Inc, voterAddrs(founding)
		return nil
	case founding != nil:
		i.incarnation = founding.Inc
		return i.adoptVoterSet(founding)
	case rec.VoterSet != nil:
		i.records = append(i.records, rec)
		return i.adoptVoterSet(codec.PackVoterSet(*rec.VoterSet, i.incarnation))
	}
	i.records = append(i.records, rec)
	return nil
}

// follow takes in a roster, which must be of the same fleet as those before.
func (i *diskImage) adoptVoterSet(f *fb.FoundingT) error {
	if i.voterSet != nil && codec.UnpackVoterSet(i.voterSet).Fleet() != codec.UnpackVoterSet(f).Fleet() {
		return trace.BadParameter("the ring holds records of fleets %d and %d; move data_dir aside and rejoin as an empty node",
			codec.UnpackVoterSet(i.voterSet).Fleet(), codec.UnpackVoterSet(f).Fleet())
	}
	i.voterSet = f
	return nil
}

func (i *diskImage) addresses() []string {
	if i.voterSet != nil {
		return voterAddrs(i.voterSet)
	}
	return i.knownAddrs
}

// drawIncarnation names a disk that has none. The name is on the disk before anyone hears
// of it: the same one never stands for two lives of this disk.
func (n *Node) drawIncarnation(image *diskImage) error {
	inc, err := randomIncarnation()
	if err != nil {
		return err
	}
	image.incarnation = inc
	return n.persistVoterSet(&fb.FoundingT{Inc: inc})
}

func randomIncarnation() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return binary.LittleEndian.Uint64(b[:])>>1 | 1, nil
}

// keep appends and syncs one founding.
func (n *Node) persistVoterSet(f *fb.FoundingT) error {
	if err := n.storage.log.Append(codec.PackFounding(f)); err != nil {
		return err
	}
	return n.storage.log.Sync()
}

// makeRoom restates the state if the ring is full enough for that: a voter that begins
// with a ring without room would stop at its first record.
func (n *Node) checkpointIfFull(image *diskImage) error {
	log := n.storage.log
	if log.UsedPermille() <= checkpointAtPermille || image.voterSet == nil || !containsDisk(image.voterSet, n.settings.Name, image.incarnation) {
		return nil
	}
	node := n.newVoter(image.voterSet, image.incarnation, image.records)
	founding := *image.voterSet
	founding.Inc = image.incarnation
	parts := [][]byte{codec.PackFounding(&founding)}
	for _, rec := range node.Checkpoint() {
		parts = append(parts, codec.PackRecord(rec))
	}
	if err := log.Checkpoint(parts); err != nil {
		return fmt.Errorf("restating the state: %w", err)
	}
	return nil
}

// takeImage begins from what the disk holds.
func (n *Node) loadImage(image *diskImage) {
	n.incarnation.Store(image.incarnation)
	n.voterSet.Store(image.voterSet)
	if image.voterSet == nil {
		n.addKnownAddrs(image.knownAddrs)
	}
	n.records = image.records
	used := n.storage.log.UsedPermille()
	n.storage.usedPermille.Store(int64(used))
	n.daemon.Log.Info("ring_open", "records", image.recordCount, "used_permille", used, "inc", image.incarnation)
}
