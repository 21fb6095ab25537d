package main

import (
	"fmt"
	"net/http"
	"time"
)

// Keys of the case last-tenant.
const (
	keyOfFirst  = "k1aaaaaaaaaaaaaaaaaa"
	keyOfSecond = "k2bbbbbbbbbbbbbbbbbb"
	keyOfNobody = "k3cccccccccccccccccc" // no configuration ever holds it
)

// lastTenant: the operator takes the tenants' keys away by removing the tenants, first one and then the other.
// Clients go on sending with the keys, and with one that was never known. Without trouble no tenant is removed.
func lastTenant(f *fleet, trouble bool) (outcome, error) {
	cores := []int{firstCore, firstCore + 1, firstCore + 2}
	proxies := []int{firstProxy, firstProxy + 1}
	for _, machine := range cores {
		if err := f.start("control", machine, true, cores...); err != nil {
			return outcome{}, err
		}
	}
	var engines []*engine
	for i := range 2 {
		e, err := f.startEngine(fmt.Sprintf("i-%d", i+1), firstEngine+i, 1, false)
		if err != nil {
			return outcome{}, err
		}
		engines = append(engines, e)
	}
	c := configuration(1, "idempotent", "/a/")
	c["routes"].([]map[string]any)[0]["public"] = false
	c["tenants"] = []map[string]any{
		{"name": "first", "api-keys": []string{keyOfFirst}, "priority": 1, "isolated": true},
		{"name": "second", "api-keys": []string{keyOfSecond}, "priority": 1, "isolated": true},
	}
	if err := f.order(cores, http.MethodPut, "/configuration", "0", c, 20*time.Second); err != nil {
		return outcome{}, err
	}
	for _, machine := range proxies {
		if err := f.start("proxy", machine, true, cores...); err != nil {
			return outcome{}, err
		}
	}
	if err := f.awaitReady(20*time.Second, proxies...); err != nil {
		return outcome{}, err
	}
	time.Sleep(4 * time.Second) // until all are in touch
	sent := map[string][]*clients{}
	callers := func(when string) {
		for _, key := range []string{keyOfFirst, keyOfSecond, keyOfNobody} {
			group := &clients{fleet: f, path: "/a/x", proxies: proxies, header: map[string]string{"Api-Key": key}}
			group.run(10, 2*time.Second)
			sent[key] = append(sent[key], group)
			f.note("%s: key %s: answers by status %v", when, key[:2], group.statuses())
		}
	}
	// removed is when the acknowledgement of a configuration without the key arrived.
	removed := map[string]time.Duration{}
	remove := func(base int, name, key string) error {
		patch := map[string]any{"version": base + 1, "remove": map[string]any{"tenants": []string{name}}}
		if err := f.order(cores, http.MethodPatch, "/configuration", fmt.Sprint(base), patch, 10*time.Second); err != nil {
			return err
		}
		removed[key] = f.since()
		f.note("the acknowledged configuration %d has no tenant %q", base+1, name)
		time.Sleep(8 * time.Second) // revocation-ms is 5 s
		return nil
	}
	callers("at first")
	if trouble {
		if err := remove(1, "first", keyOfFirst); err != nil {
			return outcome{}, err
		}
		callers("without the first tenant")
		if err := remove(2, "second", keyOfSecond); err != nil {
			return outcome{}, err
		}
	}
	callers("at last")
	ran := map[string]arrival{}
	for _, e := range engines {
		for _, a := range e.arrivals() {
			if a.version != 0 {
				ran[a.attempt] = a
			}
		}
	}
	late, never := 0, 0
	for key, groups := range sent {
		for _, group := range groups {
			for _, r := range group.sent {
				a, ok := ran[r.id]
				if !ok {
					continue
				}
				if at, gone := removed[key]; gone && r.at > at+5*time.Second {
					late++
					f.note("key %s: %s was sent %.3f s after the acknowledgement that it is removed, and ran on %s", key[:2], r.id, (r.at - at).Seconds(), a.engine)
				}
				if key == keyOfNobody {
					never++
					f.note("key %s, which no configuration ever held: %s ran on %s", key[:2], r.id, a.engine)
				}
			}
		}
	}
	return outcome{late > 0 || never > 0, fmt.Sprintf("%d requests ran that were sent more than 5 s after the acknowledgement of a configuration without their key, and %d with a key that no configuration ever held", late, never)}, nil
}
