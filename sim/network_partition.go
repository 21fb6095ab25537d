package sim

// Partition is a kind of network partition, or of another way in which hosts lose contact.
type Partition string

// Partitions of the hosts inside from those outside.
const (
	PartitionSilent       Partition = "silent" // nothing passes, and callers get no error
	PartitionInboundOnly  Partition = "hears"  // only messages to the inside pass
	PartitionOutboundOnly Partition = "heard"  // only messages to the outside pass
	PartitionReset        Partition = "reset"  // nothing passes, and connections are reset
	PartitionFrozen       Partition = "frozen" // the hosts inside are frozen, and arriving messages wait
	PartitionRestart      Partition = "forgot" // as silent, and the control nodes outside restart at once
)

// Partitions lists all kinds of partition.
var Partitions = []Partition{PartitionSilent, PartitionInboundOnly, PartitionOutboundOnly, PartitionReset, PartitionFrozen, PartitionRestart}

// CutOff separates the hosts inside from all others, until Rejoin.
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

// cutPair cuts the links between one host inside and one outside.
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
