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
	folder  osdisk.Directory
	fs      wal.FS
	lock    io.Closer
	log     *wal.Log
	io      *taskgroup.Group // operations that a stalled disk may hold up for ever
	pending chan batch       // records that the voter wants on disk
	written chan struct{}    // told once the writer of this voter has ended
	started atomic.Int64     // number of the writer's operation under way; 0: none
	stuck   stallWatch
	lost    bool          // a batch was dropped: this voter's records are incomplete
	synced  atomic.Uint64 // records of this voter on disk
	wants   atomic.Bool   // the ring wants a checkpoint
	restate atomic.Bool   // a checkpoint is queued or being written
	used    atomic.Int64  // thousandths of the ring
	usable  int64         // since when it is, or last was
	pause   int64         // before the next try to use a disk in trouble
	health  atomic.Pointer[DiskState]
	trouble atomic.Uint64 // times that the disk stopped this node
}

const causeStarting = "starting"

// DiskState is the disk as operators see it.
type DiskState struct {
	Usable bool   `json:"usable"`
	Cause  string `json:"cause,omitempty"` // why it is not, with the remedy
	since  int64
}

var (
	errStalled = errors.New("the disk does not answer; check it, and what else uses it")
	errBacklog = errors.New("the disk is slower than the records that come; check it, and what else uses it")
	errRetired = errors.New("a newer roster does not hold this disk")
)

const (
	openAfter    = 5_000_000 // an opening that takes longer counts as stalled
	closeWithin  = 500_000   // when the node stops, for an operation under way
	retryAtFirst = 100_000   // between tries to use a disk in trouble, doubled each time
	retryAtMost  = 800_000
	steadyFor    = 10_000_000 // usable for so long, a disk is tried again at once
	maxPending   = 4096       // batches
)

func (r *Node) initStorage() {
	st := &r.storage
	st.folder = osdisk.Directory{Path: filepath.Join(r.s.DataDir, "ring")}
	st.fs = st.folder
	if r.s.Disk != nil {
		st.fs = r.s.Disk(st.fs)
	}
	st.io = taskgroup.New(context.Background(), r.d.Log) // waited for within bounds alone
	st.pause = retryAtFirst
	st.pending = make(chan batch, maxPending)
	st.health.Store(&DiskState{Cause: causeStarting, since: clock.Now()})
	r.d.OnStop(r.closeStorage)
	r.d.Gauge("disk_usable", "1 while this node's disk takes writes, 0 while it is full, stalled or failing", func() float64 {
		if st.health.Load().Usable {
			return 1
		}
		return 0
	})
	r.d.Counter("disk_troubles_total", "times that the disk stopped this node from voting", func() float64 { return float64(st.trouble.Load()) })
}

// closeStorage gives the folder back. While an operation is stalled no other may use the
// folder: this returns without that then, and it is given back when the operation ends.
func (r *Node) closeStorage() {
	st := &r.storage
	ended := make(chan struct{}, 1)
	taskgroup.New(context.Background(), r.d.Log).Go("disk.close", func(context.Context) {
		st.io.Stop()
		if st.log != nil {
			_ = st.log.Close()
		}
		if st.lock != nil {
			_ = st.lock.Close()
		}
		ended <- struct{}{}
	})
	ctx, stop := context.WithTimeout(context.Background(), clock.Duration(closeWithin))
	defer stop()
	taskgroup.Receive(ctx, ended)
}

// Disk is the state of this node's disk.
func (r *Node) Disk() DiskState { return *r.storage.health.Load() }

// passes tells whether a failure may pass by itself, so that waiting is worth it.
func passes(err error) bool {
	return errors.Is(err, wal.ErrDisk) || errors.Is(err, errStalled) || errors.Is(err, errBacklog) || errors.Is(err, wal.ErrFull)
}

// openStorage opens the log, or opens it anew after trouble, and waits for as long as the
// disk can't be used. It returns false when the node ends.
func (r *Node) openStorage(ctx context.Context) bool {
	for {
		image, err := r.tryDisk(ctx, r.readDisk)
		switch {
		case ctx.Err() != nil:
			return false
		case err == nil:
			r.takeImage(image)
			r.diskUsable()
			return true
		case !passes(err) || errors.Is(err, wal.ErrFull):
			r.d.Fail(err)
			return false
		}
		r.diskTrouble(err)
		if !r.storage.backOff(ctx) {
			return false
		}
	}
}

// again waits before a disk that was usable is tried again, unless it was so for a while.
func (st *storage) again(ctx context.Context) bool {
	if clock.Now()-st.usable > steadyFor {
		st.pause = retryAtFirst
		return ctx.Err() == nil
	}
	return st.backOff(ctx)
}

// backOff waits before the disk is tried again, longer each time until it has been usable
// for a while.
func (st *storage) backOff(ctx context.Context) bool {
	ok := taskgroup.Sleep(ctx, st.pause)
	st.pause = min(2*st.pause, retryAtMost)
	return ok
}

// tryDisk runs an operation on the disk, and tells operators if it stalls. It returns
// without the operation's end when the node ends.
func (r *Node) tryDisk(ctx context.Context, operation func() (*diskImage, error)) (*diskImage, error) {
	type result struct {
		image *diskImage
		err   error
	}
	done := make(chan result, 1)
	r.startIO("disk.try", func() {
		image, err := operation()
		done <- result{image, err}
	})
	for {
		patience, stop := context.WithTimeout(ctx, clock.Duration(openAfter))
		res, ok := taskgroup.Receive(patience, done)
		stop()
		if ok {
			return res.image, res.err
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		r.diskTrouble(errStalled)
	}
}

func (r *Node) startIO(name string, operation func()) {
	r.storage.io.Go(name, func(context.Context) { operation() })
}

// diskTrouble tells operators that the disk can't be used, once for each spell of it.
func (r *Node) diskTrouble(err error) {
	st := &r.storage
	was := st.health.Load()
	state := &DiskState{Cause: err.Error(), since: was.since}
	if was.Usable || was.Cause == causeStarting {
		state.since = clock.Now()
		st.trouble.Add(1)
		r.d.Log.Info("disk_problem", "cause", state.Cause)
	}
	st.health.Store(state)
	r.d.SetReady("this node does not vote: " + state.Cause)
}

// diskUsable tells operators that the disk takes writes.
func (r *Node) diskUsable() {
	st := &r.storage
	was := st.health.Load()
	if was.Usable {
		return
	}
	now := clock.Now()
	st.usable = now
	st.health.Store(&DiskState{Usable: true, since: now})
	if was.Cause != causeStarting {
		r.d.SetReady("starting")
		r.d.Log.Info("disk_usable", "after_us", now-was.since)
	}
}

// diskImage is what the disk holds.
type diskImage struct {
	inc      uint64
	founding *fb.FoundingT // nil while this disk is in no roster
	known    []string      // whom to ask then
	recs     []quorum.Record
	count    int
}

// readDisk locks the folder, reads the ring and makes sure that it can be written. What
// the ring holds may serve to find other nodes also when it can't.
func (r *Node) readDisk() (*diskImage, error) {
	if err := r.lockFolder(); err != nil {
		return nil, err
	}
	raw, err := r.readLog()
	image, decodeErr := decodeImage(raw)
	if decodeErr != nil {
		return nil, decodeErr
	}
	if err != nil {
		r.learn(image.addresses())
		return nil, err
	}
	if image.inc == 0 {
		if err := r.drawIncarnation(image); err != nil {
			return nil, err
		}
	}
	return image, r.makeRoom(image)
}

func (r *Node) lockFolder() error {
	st := &r.storage
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

func (r *Node) readLog() ([][]byte, error) {
	st := &r.storage
	if st.log != nil {
		return st.log.Reopen()
	}
	log, raw, err := wal.Open(st.fs, wal.Config{SegmentCount: r.s.RingFiles, SegmentBytes: r.s.RingBytes})
	if err == nil {
		st.log = log
	}
	return raw, err
}

// decodeImage reads the records of a ring.
func decodeImage(raw [][]byte) (*diskImage, error) {
	image := &diskImage{count: len(raw)}
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
		i.inc, i.known = founding.Inc, addrs(founding)
		return nil
	case founding != nil:
		i.inc = founding.Inc
		return i.follow(founding)
	case rec.VoterSet != nil:
		i.recs = append(i.recs, rec)
		return i.follow(codec.PackVoterSet(*rec.VoterSet, i.inc))
	}
	i.recs = append(i.recs, rec)
	return nil
}

// follow takes in a roster, which must be of the same fleet as those before.
func (i *diskImage) follow(f *fb.FoundingT) error {
	if i.founding != nil && codec.UnpackVoterSet(i.founding).Fleet() != codec.UnpackVoterSet(f).Fleet() {
		return trace.BadParameter("the ring holds records of fleets %d and %d; move data_dir aside and rejoin as an empty node",
			codec.UnpackVoterSet(i.founding).Fleet(), codec.UnpackVoterSet(f).Fleet())
	}
	i.founding = f
	return nil
}

func (i *diskImage) addresses() []string {
	if i.founding != nil {
		return addrs(i.founding)
	}
	return i.known
}

// drawIncarnation names a disk that has none. The name is on the disk before anyone hears
// of it: the same one never stands for two lives of this disk.
func (r *Node) drawIncarnation(image *diskImage) error {
	inc, err := randomIncarnation()
	if err != nil {
		return err
	}
	image.inc = inc
	return r.keep(&fb.FoundingT{Inc: inc})
}

func randomIncarnation() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return binary.LittleEndian.Uint64(b[:])>>1 | 1, nil
}

// keep appends and syncs one founding.
func (r *Node) keep(f *fb.FoundingT) error {
	if err := r.storage.log.Append(codec.PackFounding(f)); err != nil {
		return err
	}
	return r.storage.log.Sync()
}

// makeRoom restates the state if the ring is full enough for that: a voter that begins
// with a ring without room would stop at its first record.
func (r *Node) makeRoom(image *diskImage) error {
	log := r.storage.log
	if log.UsedPermille() <= checkpointAt || image.founding == nil || !heldBy(image.founding, r.s.Name, image.inc) {
		return nil
	}
	node := r.newVoter(image.founding, image.inc, image.recs)
	founding := *image.founding
	founding.Inc = image.inc
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
func (r *Node) takeImage(image *diskImage) {
	r.inc.Store(image.inc)
	r.found.Store(image.founding)
	if image.founding == nil {
		r.learn(image.known)
	}
	r.recs = image.recs
	used := r.storage.log.UsedPermille()
	r.storage.used.Store(int64(used))
	r.d.Log.Info("ring_open", "records", image.count, "used_permille", used, "inc", image.inc)
}
