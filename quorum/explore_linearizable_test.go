package quorum

import "violetthread/internal/lincheck"

// operations are what clients saw of one register.
func (c *checker) operations(key string) []lincheck.Operation {
	var ops []lincheck.Operation
	add := func(p openOperation, o lincheck.Operation) {
		o.Client, o.Write, o.Invoked = p.machine, p.operation.Type == OpPut, p.calledAt
		if o.Write {
			o.Value = string(p.operation.Value)
		}
		ops = append(ops, o)
	}
	for _, o := range c.history {
		if o.operation.Key == key {
			add(o.openOperation, lincheck.Operation{Confirmed: o.tookEffect, Returned: o.returnedAt, Revision: o.revision, Value: o.value})
		}
	}
	for _, p := range c.pending {
		if p.operation.Key == key {
			add(p, lincheck.Operation{})
		}
	}
	return ops
}

// linearizable checks the histories of all registers.
func (c *checker) linearizable() error {
	for _, r := range c.registers {
		if err := lincheck.Check(c.operations(r.key)); err != nil {
			return err
		}
	}
	return nil
}
