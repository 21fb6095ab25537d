package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Keys of the second configuration of the case large-config.
const (
	manyKeys  = 45000
	fewKeys   = 45 // without trouble
	keyLength = 64
)

// largeConfig: the operator adds keys to the tenants, so that the configuration grows to 3 MB, and another
// operator names new weights meanwhile. Without trouble fewer keys are added.
func largeConfig(f *fleet, trouble bool) (outcome, error) {
	cores := []int{firstCore, firstCore + 1, firstCore + 2, firstCore + 3}
	proxies := []int{firstProxy, firstProxy + 1}
	for _, machine := range cores {
		if err := f.start("control", machine, true, cores[:3]...); err != nil {
			return outcome{}, err
		}
	}
	for i := range 2 {
		if _, err := f.startEngine(fmt.Sprintf("i-%d", i+1), firstEngine+i, 1, false); err != nil {
			return outcome{}, err
		}
	}
	if err := f.order(cores, http.MethodPut, "/configuration", "0", withKeys(1, 0), 20*time.Second); err != nil {
		return outcome{}, err
	}
	for _, machine := range proxies {
		if err := f.start("proxy", machine, true, cores[:3]...); err != nil {
			return outcome{}, err
		}
	}
	if err := f.awaitReady(20*time.Second, proxies...); err != nil {
		return outcome{}, err
	}
	time.Sleep(4 * time.Second) // until all are in touch
	c := &clients{fleet: f, path: "/a/x", proxies: proxies, header: map[string]string{"Api-Key": "firstkeyofthefirsttenant"}}
	done := make(chan struct{})
	go func() {
		c.run(20, 40*time.Second)
		close(done)
	}()
	time.Sleep(5 * time.Second)
	keys := fewKeys
	if trouble {
		keys = manyKeys
	}
	second := withKeys(2, keys)
	f.note("configuration 2 has %d more keys and one route", keys)
	grown := make(chan error, 1)
	grownAt, grownFor := time.Now(), time.Duration(0)
	go func() {
		err := f.order(cores, http.MethodPut, "/configuration", "1", second, 34*time.Second)
		grownFor = time.Since(grownAt)
		grown <- err
	}()
	time.Sleep(3 * time.Second)
	namedAt := time.Now()
	namedErr := f.order([]int{cores[2], cores[3], cores[0], cores[1]}, http.MethodPost, "/version-put", "", map[string]any{"model": modelName, "version": 2}, 25*time.Second)
	namedFor := time.Since(namedAt)
	grownErr := <-grown
	<-done
	for _, err := range []error{grownErr, namedErr} {
		if err != nil && !errors.Is(err, errNotAcknowledged) {
			return outcome{}, err
		}
	}
	perSecond := map[int]map[int]int{}
	for _, r := range c.sent {
		second := int(r.at / time.Second)
		if perSecond[second] == nil {
			perSecond[second] = map[int]int{}
		}
		perSecond[second][r.status]++
	}
	for second := range int(f.since()/time.Second) + 1 {
		if perSecond[second] != nil {
			f.note("clients, second %d: answers by status %v", second, perSecond[second])
		}
	}
	text := fmt.Sprintf("configuration 2: acknowledged %v, after %.1f s; version-put: acknowledged %v, after %.1f s; the bound is 4 s. Clients: answers by status %v",
		grownErr == nil, grownFor.Seconds(), namedErr == nil, namedFor.Seconds(), c.statuses())
	return outcome{grownErr != nil || namedErr != nil || grownFor > 4003*time.Millisecond || namedFor > 4*time.Second, text}, nil
}

// withKeys returns a configuration with eight tenants that have two keys each, and more keys.
func withKeys(version, more int) map[string]any {
	random := rand.New(rand.NewPCG(1, 1))
	key := func(n int) string {
		const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
		text := make([]byte, n)
		for i := range text {
			text[i] = letters[random.IntN(len(letters))]
		}
		return string(text)
	}
	keys := make([][]string, 8)
	for i := range keys {
		keys[i] = []string{key(20), key(20)}
	}
	keys[0][0] = "firstkeyofthefirsttenant"
	for i := range more {
		keys[i%8] = append(keys[i%8], key(keyLength))
	}
	c := configuration(version, "idempotent", "/a/")
	c["routes"].([]map[string]any)[0]["public"] = false
	var tenants []map[string]any
	for i := range keys {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant%d", i+1), "api-keys": keys[i], "priority": 1, "isolated": false})
	}
	c["tenants"] = tenants
	return c
}
