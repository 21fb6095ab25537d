package sim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"violetthread/cacheindex"
	"violetthread/dispatch"
	"violetthread/index"
	"violetthread/internal/codec"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// The golden digests tell whether a change of source changed what the system does. Each
// is of one simulated day, over every frame, disk write, call and decision with its
// time, in order. Values go in as encoded bytes, field by field, so that the name of a
// type, field or function never enters; log lines, notes and the texts of Events do not
// either. The names of hosts, keys and roles do: they are in frames and records.
//
// VT_GOLDEN=write writes the digests anew, which only a change of behaviour calls for.
// VT_GOLDEN_TRACE=<folder> writes what each digest is made of, one observation a line:
// traces of two versions can be compared to find the first difference.
const (
	goldenFile     = "testdata/golden_digests.json"
	goldenEnv      = "VT_GOLDEN"
	goldenTraceEnv = "VT_GOLDEN_TRACE"
	goldenSeed     = 7_700_000 // the first one; no other test uses these seeds
)

// goldenDigest is what the file holds of a day.
type goldenDigest struct {
	Digest string `json:"digest"`
	Frames int    `json:"frames"`
	Writes int    `json:"disk_writes"`
	Calls  int    `json:"calls"`
	Other  int    `json:"decisions"`
}

// goldenDay is a day with a digest.
type goldenDay struct {
	name string
	run  func(t *testing.T, seed int64) (wrong []string)
}

func goldenDays() []goldenDay {
	var days []goldenDay
	add := func(name string, run func(t *testing.T, seed int64) []string) {
		days = append(days, goldenDay{name, run})
	}
	for _, fault := range ClusterFaults {
		add("core/"+string(fault), func(_ *testing.T, seed int64) []string {
			return RunCluster(seed, fault, 5_000_000).Violations
		})
	}
	for _, day := range Days {
		add("fleet/"+string(day), func(_ *testing.T, seed int64) []string {
			return RunFleet(seed, day, 8_000_000, small).Violations
		})
	}
	for _, setback := range Setbacks {
		add("catch-up/"+string(setback), func(_ *testing.T, seed int64) []string {
			return RunCatchup(seed, 4, 60, setback, platformTexts).Violations
		})
	}
	for _, partition := range []Partition{PartitionSilent, PartitionReset, PartitionFrozen, PartitionForgot} {
		add("cut-off/"+string(partition), func(_ *testing.T, seed int64) []string {
			return RunCutoff(seed, 4, []Partition{partition}, platformTexts).Violations
		})
	}
	add("messages", func(_ *testing.T, seed int64) []string {
		return RunMessages(seed, 5, 4_000_000).Violations
	})
	for i, trouble := range RaceTroubles() {
		if i%2 == 1 {
			continue // they differ only in which message is lost
		}
		add("races/"+string(trouble), func(_ *testing.T, seed int64) []string {
			return RunRaces(seed, controlSizes[i/2%2], 2, trouble, 4_000_000, platformTexts).Violations
		})
	}
	for i, prelude := range Preludes {
		add("second-loss/"+string(prelude), func(_ *testing.T, seed int64) []string {
			return RunSecondLoss(seed, SecondLoss{controlSizes[i%2], prelude, Losses[i%len(Losses)], 500_000}).Violations
		})
	}
	for i, change := range membershipChanges {
		add("membership/"+string(change), func(_ *testing.T, seed int64) []string {
			d := newMembershipDay(seed, clusterSizes[i%3])
			d.world.Run(d.change(membershipChanges[i%(len(membershipChanges)-1)]))
			d.loseMachines(machineLosses[i%len(machineLosses)])
			return d.world.violations
		})
	}
	add("snapshot", func(t *testing.T, seed int64) []string {
		d := newSnapshotDay(t, seed, 60)
		node := d.liveVoters()[0]
		node.Kill()
		node.loseDisk()
		d.world.Run(d.world.now + 1_000_000)
		node.Start()
		d.until(d.size.recoveryUS, func() bool { return d.caughtUp(node) })
		return d.world.violations
	})
	for _, fault := range []string{"the owner of most engines dies in a roll-out", "a site is lost"} {
		add("last-fault/"+fault, func(_ *testing.T, seed int64) []string {
			_, wrong := RunFinalFault(seed, fault, small)
			return wrong
		})
	}
	// Engines have little room, some hand over slowly, and blocks come and go.
	add("fleet/tight", func(_ *testing.T, seed int64) []string {
		fleet := NewFleet(seed, small)
		fleet.SlowTransfersFrom = map[string]bool{"e00": true, "e03": true}
		fleet.Documents = 8
		for _, engine := range fleet.Engines {
			engine.capacity, engine.maxBlocks = 2, 40
		}
		operator := NewFleetOperator(fleet)
		fleet.World.At(1_300_000, func() { operator.PutPlan(nil) })
		fleet.World.At(2_500_000, func() { fleet.sendRequests(operator, 11_000_000) })
		fleet.World.Run(12_000_000)
		return fleet.World.violations
	})
	return days
}

// TestGoldenDigests runs fixed days and compares what they did with what they did before.
// It is not parallel itself, so that no other test makes worlds while it observes them.
func TestGoldenDigests(t *testing.T) {
	days := goldenDays()
	observers := map[int64]*goldenObserver{}
	for i, day := range days {
		observers[goldenSeed+int64(i)] = newGoldenObserver(t, day.name)
	}
	observeWorld = func(world *World) observer {
		if o := observers[world.Seed]; o != nil {
			o.world = world
			return o.observe
		}
		return nil
	}
	defer func() { observeWorld = nil }()
	var mu sync.Mutex
	got := map[string]goldenDigest{}
	t.Run("days", func(t *testing.T) {
		for i, day := range days {
			t.Run(day.name, func(t *testing.T) {
				t.Parallel()
				seed := goldenSeed + int64(i)
				failDay(t, seed, day.run(t, seed), nil)
				digest := observers[seed].digest(t)
				mu.Lock()
				got[day.name] = digest
				mu.Unlock()
			})
		}
	})
	if t.Failed() || len(got) < len(days) { // -run chose some of them
		return
	}
	compareGolden(t, got)
}

func compareGolden(t *testing.T, got map[string]goldenDigest) {
	t.Helper()
	if os.Getenv(goldenEnv) == "write" {
		text, err := json.MarshalIndent(got, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(goldenFile, append(text, '\n'), 0o600); err != nil {
			t.Fatal(err)
		}
		t.Logf("%d digests written to %s", len(got), goldenFile)
		return
	}
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	var want map[string]goldenDigest
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	for _, name := range sortedNames(want) {
		if _, ok := got[name]; !ok {
			t.Errorf("%s: there is a digest and no such day", name)
		}
	}
	for _, name := range sortedNames(got) {
		if got[name] != want[name] {
			t.Errorf("%s: behaves otherwise:\n got %+v\nwant %+v", name, got[name], want[name])
		}
	}
}

// goldenObserver sums up one day.
type goldenObserver struct {
	name   string
	world  *World
	sum    hash.Hash
	trace  *os.File
	counts goldenDigest
	failed string
	buffer []byte
}

func newGoldenObserver(t *testing.T, name string) *goldenObserver {
	o := &goldenObserver{name: name, sum: sha256.New()}
	if folder := os.Getenv(goldenTraceEnv); folder != "" {
		file, err := os.Create(filepath.Join(folder, strings.ReplaceAll(strings.ReplaceAll(name, "/", "-"), " ", "-")))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = file.Close() })
		o.trace = file
	}
	return o
}

func (o *goldenObserver) digest(t *testing.T) goldenDigest {
	t.Helper()
	if o.failed != "" {
		t.Fatal(o.failed)
	}
	if o.counts.Frames+o.counts.Calls == 0 || o.counts.Writes == 0 {
		t.Fatalf("nothing was observed: %+v", o.counts)
	}
	o.counts.Digest = hex.EncodeToString(o.sum.Sum(nil))
	return o.counts
}

func (o *goldenObserver) observe(kind, from, to string, value any) {
	switch kind {
	case "frame":
		o.counts.Frames++
	case "write", "sync":
		o.counts.Writes++
	case "ask", "answer":
		o.counts.Calls++
	default:
		o.counts.Other++
	}
	e := goldenEncoder{o.buffer[:0]}
	e.number(o.world.now)
	e.text(kind)
	e.text(from)
	e.text(to)
	if !e.value(value) && o.failed == "" {
		o.failed = fmt.Sprintf("%s: no encoding for a %T", kind, value)
	}
	o.buffer = e.out
	_, _ = o.sum.Write(e.out)
	if o.trace != nil {
		_, _ = fmt.Fprintf(o.trace, "%d %s %s %s %x\n", o.world.now, kind, from, to, sha256.Sum256(e.out))
	}
}

// goldenEncoder lays values out in a fixed order of fields.
type goldenEncoder struct{ out []byte }

func (e *goldenEncoder) number(n int64) { e.out = binary.LittleEndian.AppendUint64(e.out, uint64(n)) }

func (e *goldenEncoder) unsigned(n uint64) { e.out = binary.LittleEndian.AppendUint64(e.out, n) }

func (e *goldenEncoder) flag(b bool) {
	if b {
		e.out = append(e.out, 1)
		return
	}
	e.out = append(e.out, 0)
}

func (e *goldenEncoder) bytes(data []byte) {
	e.number(int64(len(data)))
	e.out = append(e.out, data...)
}

func (e *goldenEncoder) text(s string) {
	e.number(int64(len(s)))
	e.out = append(e.out, s...)
}

func (e *goldenEncoder) frame(frame *fb.FrameT) { e.bytes(codec.Encode(frame)) }

func (e *goldenEncoder) part(key cacheindex.Key) {
	e.unsigned(key.Hi)
	e.unsigned(key.Lo)
	e.unsigned(uint64(key.Check))
}

// value lays out whatever is observed; it returns false for what it does not know.
func (e *goldenEncoder) value(value any) bool {
	switch v := value.(type) {
	case int:
		e.number(int64(v))
	case uint64:
		e.unsigned(v)
	case quorum.Message:
		e.frame(codec.PackMessage(v))
	case quorum.Operation:
		e.operation(v)
	case quorum.Result:
		e.unsigned(v.ID)
		e.unsigned(uint64(v.Status))
		e.unsigned(v.Revision)
		e.bytes(v.Value)
		e.text(v.Leader)
	case quorum.VoterSet:
		e.bytes(codec.PackIdentity(codec.PackVoterSet(v, 0)))
	case diskWrite:
		e.number(v.offset)
		e.bytes(v.data)
	case registerValue:
		e.bytes(v.value)
		e.flag(v.ok)
	case Reply:
		e.unsigned(uint64(v.Outcome))
		e.unsigned(v.Version)
	case *ConfigOrder:
		e.number(int64(v.id))
		e.flag(v.change.Replace)
		e.unsigned(v.change.Base)
		e.flag(v.change.HasBase)
		e.bytes(v.change.Body)
		e.unsigned(v.version)
	case directoryAnswer:
		e.word(v.config)
		e.word(v.weights)
		e.number(v.configAge)
		e.number(v.weightsAge)
	default:
		return e.frameValue(value) || e.fleetValue(value)
	}
	return true
}

func (e *goldenEncoder) operation(o quorum.Operation) {
	e.unsigned(o.ID)
	e.unsigned(uint64(o.Type))
	e.text(o.Key)
	e.bytes(o.Value)
	e.unsigned(o.ExpectedRevision)
	e.text(o.Holder)
	e.number(o.LeaseDurationUS)
}

func (e *goldenEncoder) word(world confirmedVersion) {
	e.flag(world.known)
	e.unsigned(world.revision)
	e.unsigned(world.version)
	e.number(world.confirmedAt)
}

// frameValue lays out what the daemons send as a frame.
func (e *goldenEncoder) frameValue(value any) bool {
	switch v := value.(type) {
	case *fb.HeartbeatRequestT:
		e.frame(&fb.FrameT{HeartbeatRequest: v})
	case *fb.HeartbeatResponseT:
		e.frame(&fb.FrameT{HeartbeatResponse: v})
	case *fb.SessionUpdateT:
		e.frame(&fb.FrameT{SessionUpdate: v})
	case *fb.CapacityRequestT:
		e.frame(&fb.FrameT{CapacityRequest: v})
	case *fb.CapacityResponseT:
		e.frame(&fb.FrameT{CapacityResponse: v})
	case *fb.UpdatesRequestT:
		e.frame(&fb.FrameT{UpdatesRequest: v})
	case *fb.UpdatesResponseT:
		e.frame(&fb.FrameT{UpdatesResponse: v})
	case *fb.FeedRequestT:
		e.frame(&fb.FrameT{FeedRequest: v})
	case *fb.FeedResponseT:
		e.frame(&fb.FrameT{FeedResponse: v})
	default:
		return false
	}
	return true
}

// fleetValue lays out what engines report and what proxies and index nodes decide.
func (e *goldenEncoder) fleetValue(value any) bool {
	switch v := value.(type) {
	case index.Report:
		e.report(v)
	case engineHoldings:
		e.unsigned(v.incarnation)
		e.unsigned(v.sequence)
		e.parts(v.blocks)
	case []index.ListedEngine:
		e.number(int64(len(v)))
		for _, l := range v {
			e.text(l.Name)
			e.text(l.Addr)
			e.text(l.Zone)
			e.flag(l.Store)
			e.flag(l.Leaving)
		}
	case index.WeightUpdate:
		e.text(v.Engine)
		e.text(v.Addr)
		e.text(v.Weights)
		e.unsigned(v.FencingToken)
	case dispatch.Action:
		e.act(v)
	case attemptNote:
		e.unsigned(uint64(v.state))
		e.text(v.cause)
	case requestResult:
		e.text(string(v.outcome))
		e.text(v.reason)
	default:
		return false
	}
	return true
}

func (e *goldenEncoder) parts(parts []cacheindex.Key) {
	e.number(int64(len(parts)))
	for _, p := range parts {
		e.part(p)
	}
}

func (e *goldenEncoder) report(report index.Report) {
	e.unsigned(report.Incarnation)
	e.text(report.Weights)
	e.number(int64(report.Running))
	e.number(int64(report.QueueLength))
	e.number(int64(report.Capacity))
	e.number(report.SlowUS)
	e.unsigned(report.LastSeq)
	e.number(int64(len(report.Events)))
	for _, event := range report.Events {
		e.unsigned(event.Seq)
		e.flag(event.Added)
		e.flag(event.Removed)
		e.text(event.FinishedAttempt)
		e.unsigned(event.RecomputedBlocks)
		e.part(event.Block)
		e.flag(event.HasBlock)
	}
}

func (e *goldenEncoder) act(action dispatch.Action) {
	e.unsigned(uint64(action.Type))
	e.unsigned(action.Ref)
	for _, s := range []string{action.Group, action.RequestID, action.ClaimNonce, action.ClaimKey, action.AttemptID} {
		e.text(s)
	}
	e.order(action.Grant)
	for _, s := range []string{action.Domain, action.Weights, action.Kind, action.Prompt} {
		e.text(s)
	}
	e.parts(action.PrefixKeys)
	e.number(int64(action.TransferBlock))
	e.unsigned(action.TransferNode)
	e.text(action.TransferAddr)
	e.number(action.TransferWaitUS)
	e.number(action.Deadline)
	e.number(action.StartBefore)
	e.text(string(action.Outcome))
	e.text(action.Reason)
	e.number(action.RetryAfterUS)
}

func (e *goldenEncoder) order(o dispatch.EngineGrant) {
	for _, s := range []string{o.Engine, o.Addr, o.Zone, o.Weights} {
		e.text(s)
	}
	e.flag(o.Store)
	e.unsigned(o.NodeID)
	e.unsigned(o.FencingToken)
	e.number(int64(o.Capacity))
	e.number(int64(o.QueueLength))
	e.number(o.SlowUS)
	e.number(o.Age)
	e.number(int64(len(o.TransferScores)))
	peers := make([]uint64, 0, len(o.TransferScores))
	for peer := range o.TransferScores {
		peers = append(peers, peer)
	}
	slices.Sort(peers)
	for _, peer := range peers {
		e.unsigned(peer)
		e.number(int64(o.TransferScores[peer]))
	}
}
