package sim

// Partition is a way in which hosts lose each other.
type Partition string

// How the hosts inside are cut off from those outside.
const (
	PartitionSilent       Partition = "silent" // nothing passes, and nobody is told
	PartitionInboundOnly  Partition = "hears"  // those inside hear, and are not heard
	PartitionOutboundOnly Partition = "heard"  // those inside are heard, and hear nothing
	PartitionReset        Partition = "reset"  // nothing passes, and connections are reset
	PartitionFrozen       Partition = "frozen" // those inside stand still, and what arrives waits
	PartitionRestart      Partition = "forgot" // silent, and the control nodes outside restart at once
)

// Partitions lists them all.
var Partitions = []Partition{PartitionSilent, PartitionInboundOnly, PartitionOutboundOnly, PartitionReset, PartitionFrozen, PartitionRestart}

// CutOff cuts the hosts inside off from all others. Rejoin ends it.
func (w *World) CutOff(partition Partition, inside []*Host) {
	within := map[*Host]bool{}
	for _, host := range inside {
		within[host] = true
		w.Notef("%s is cut off: %s", host.Name, partition)
		if partition == PartitionFrozen {
			host.Freeze()
		}
	}
	if partition == PartitionFrozen {
		return
	}
	for _, in := range inside {
		for _, out := range w.hosts {
			if !within[out] {
				w.cutPair(partition, in.Name, out.Name)
			}
		}
	}
}

// Rejoin ends all partitions.
func (w *World) Rejoin(inside []*Host) {
	w.HealAll()
	for _, host := range inside {
		host.Thaw()
	}
}

// cutPair cuts one host inside off from one outside.
func (w *World) cutPair(partition Partition, in, out string) {
	if partition != PartitionInboundOnly {
		w.Cut(out, in)
	}
	if partition != PartitionOutboundOnly {
		w.Cut(in, out)
	}
	if partition == PartitionReset {
		w.resetLinks[link{in, out}] = true
	}
}
