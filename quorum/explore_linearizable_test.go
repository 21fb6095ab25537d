package quorum

import "violetthread/internal/lincheck"

// operations are what clients saw of one register.
func (j *judge) operations(key string) []lincheck.Operation {
	var ops []lincheck.Operation
	add := func(p asking, o lincheck.Operation) {
		o.Client, o.Write, o.Invoked = p.machine, p.op.Type == OpPut, p.at
		if o.Write {
			o.Value = string(p.op.Value)
		}
		ops = append(ops, o)
	}
	for _, o := range j.history {
		if o.op.Key == key {
			add(o.asking, lincheck.Operation{Confirmed: o.known, Returned: o.to, Revision: o.rev, Value: o.val})
		}
	}
	for _, p := range j.pending {
		if p.op.Key == key {
			add(p, lincheck.Operation{})
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
