package sim

// Partition is a way in which hosts lose each other.
type Partition string

// How the hosts inside are cut off from those outside.
const (
	PartitionSilent Partition = "silent" // nothing passes, and nobody is told
	PartitionHears  Partition = "hears"  // those inside hear, and are not heard
	PartitionHeard  Partition = "heard"  // those inside are heard, and hear nothing
	PartitionReset  Partition = "reset"  // nothing passes, and connections are reset
	PartitionFrozen Partition = "frozen" // those inside stand still, and what arrives waits
	PartitionForgot Partition = "forgot" // silent, and the control nodes outside restart at once
)

// Partitions lists them all.
var Partitions = []Partition{PartitionSilent, PartitionHears, PartitionHeard, PartitionReset, PartitionFrozen, PartitionForgot}

// CutOff cuts the hosts inside off from all others. Rejoin ends it.
func (w *World) CutOff(p Partition, inside []*Host) {
	within := map[*Host]bool{}
	for _, h := range inside {
		within[h] = true
		w.Notef("%s is cut off: %s", h.Name, p)
		if p == PartitionFrozen {
			h.Freeze()
		}
	}
	if p == PartitionFrozen {
		return
	}
	for _, in := range inside {
		for _, out := range w.hosts {
			if !within[out] {
				w.cutOneOff(p, in.Name, out.Name)
			}
		}
	}
}

// Rejoin ends all partitions.
func (w *World) Rejoin(inside []*Host) {
	w.HealAll()
	for _, h := range inside {
		h.Thaw()
	}
}

// part cuts one host inside off from one outside.
func (w *World) cutOneOff(p Partition, in, out string) {
	if p != PartitionHears {
		w.Cut(out, in)
	}
	if p != PartitionHeard {
		w.Cut(in, out)
	}
	if p == PartitionReset {
		w.resetLinks[[2]string{in, out}] = true
	}
}
