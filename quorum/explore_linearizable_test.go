package quorum

import "violetthread/internal/lincheck"

// operations returns the history of one register as its clients observed it.
func (c *checker) operations(key string) []lincheck.Operation {
	var ops []lincheck.Operation
	add := func(call openOperation, operation lincheck.Operation) {
		operation.Client, operation.Write, operation.Invoked = call.machine, call.operation.Type == OpPut, call.calledAt
		if operation.Write {
			operation.Value = string(call.operation.Value)
		}
		ops = append(ops, operation)
	}
	for _, operation := range c.history {
		if operation.operation.Key == key {
			add(operation.openOperation, lincheck.Operation{Confirmed: operation.tookEffect, Returned: operation.returnedAt, Revision: operation.revision, Value: operation.value})
		}
	}
	for _, call := range c.pending {
		if call.operation.Key == key {
			add(call, lincheck.Operation{})
		}
	}
	return ops
}

// linearizable checks the histories of all registers.
func (c *checker) linearizable() error {
	for _, register := range c.registers {
		if err := lincheck.Check(c.operations(register.key)); err != nil {
			return err
		}
	}
	return nil
}
