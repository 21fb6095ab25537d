package quorum

import "violetthread/internal/lincheck"

// operations are what clients saw of one register.
func (j *judge) operations(key string) []lincheck.Op {
	var ops []lincheck.Op
	add := func(p asking, o lincheck.Op) {
		o.Client, o.Put, o.From = p.machine, p.op.Type == OpPut, p.at
		if o.Put {
			o.Val = string(p.op.Value)
		}
		ops = append(ops, o)
	}
	for _, o := range j.history {
		if o.op.Key == key {
			add(o.asking, lincheck.Op{Known: o.known, To: o.to, Rev: o.rev, Val: o.val})
		}
	}
	for _, p := range j.pending {
		if p.op.Key == key {
			add(p, lincheck.Op{})
		}
	}
	return ops
}

// linearizable checks the histories of all registers.
func (j *judge) linearizable() error {
	for _, r := range j.registers {
		if err := lincheck.Check(j.operations(r.key)); err != nil {
			return err
		}
	}
	return nil
}
