package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

// firstAck: five core machines of which two may be lost at once start for the first time. Right after the first
// configuration has been acknowledged two of them lose their disks, and come back within a second. When they have
// been back for recovery-s, the operator reads the configuration.
func firstAck(f *fleet, trouble bool) (outcome, error) {
	f.tolerance = 2
	f.bounds["contact-window-ms"], f.bounds["ack-timeout-ms"], f.bounds["sync-time-s"], f.bounds["recovery-s"] = 4000, 5000, 6, 15
	cores := []int{firstCore, firstCore + 1, firstCore + 2, firstCore + 3, firstCore + 4}
	seeds := cores[:3]
	for _, machine := range cores {
		if err := f.start("control", machine, true, seeds...); err != nil {
			return outcome{}, err
		}
	}
	if err := f.order(cores, http.MethodPut, "/configuration", "0", configuration(1, "non_idempotent", "/a/"), 30*time.Second); err != nil {
		return outcome{}, err
	}
	if trouble {
		time.Sleep(50 * time.Millisecond)
		for _, machine := range seeds[:2] {
			f.kill("control", machine)
		}
		for _, machine := range seeds[:2] {
			if err := f.wipe("control", machine); err != nil {
				return outcome{}, err
			}
		}
		time.Sleep(800 * time.Millisecond)
		for _, machine := range seeds[:2] {
			if err := f.start("control", machine, false, seeds...); err != nil {
				return outcome{}, err
			}
		}
	}
	f.note("all machines run; the configuration is read from 20 s later on, for 20 s")
	time.Sleep(20 * time.Second)
	last := ""
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(300 * time.Millisecond) {
		for _, machine := range cores {
			status, text, err := f.call(machine, http.MethodGet, "/configuration", "", nil)
			if line := fmt.Sprintf("%d %v", status, err); line != last {
				f.note("read at %s: %d %.100s %v", f.ip(machine), status, bytes.TrimSpace(text), err)
				last = line
			}
			if err == nil && status == http.StatusOK && bytes.Contains(text, []byte(`"version":1`)) {
				return outcome{false, "the acknowledged configuration was read back"}, nil
			}
		}
	}
	return outcome{true, "the acknowledged configuration does not come, 40 s after all machines were back"}, nil
}
