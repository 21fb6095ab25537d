// Package e2e tests small fleets of the real daemons, which run in one process and communicate over
// loopback.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"violetthread/internal/app/control"
	"violetthread/internal/callerapi"
	"violetthread/internal/taskgroup"
	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/recording/replay"
)

const planText = `{"weights":"w1","kinds":{"mandate-check":{"due_us":9000000},"instruction-tag":{"once":true,"due_us":5000000}},
"groups":{"desk":{"share":2,"keys":["%s"]},"walled":{"share":1,"wall":true,"keys":["%s"],"kinds":["instruction-tag"]}},
"entries":[{"path":"/app/","to":"%s","due_us":2000000}],
"notes":{"big":123456789012345678901234567890,"é":"ünï€😀","order":[3,1,2]}}`

// TestFleet runs all main functions of a fleet once: bootstrap, changes of the plan, requests with
// and without claims, invalid input, plain HTTP routes, revocation of a key during a request, a
// graceful stop, and replay of the recordings.
func TestFleet(t *testing.T) {
	fleet := newTestFleet(t)
	planURL := fleet.controls[1] + "/v1/plan"
	body := fmt.Sprintf(planText, plan.KeyDigest("k-desk"), plan.KeyDigest("k-walled"), fleet.backend)
	fleet.waitUntil("a plan is accepted", func() bool { status, _ := fleet.send("PUT", planURL, "", nil, body); return status == 200 })

	t.Run("plan is read back unchanged", func(t *testing.T) {
		if _, got := fleet.get(fleet.controls[3] + "/v1/plan"); got != body {
			t.Fatalf("sent %s\ngot  %s", body, got)
		}
	})
	t.Run("invalid plans are rejected", func(t *testing.T) {
		status, out := fleet.send("PUT", planURL, "", nil, `{"weights":"w1","kinds":{},"groupz":{},"groups":{"g":{"share":-1,"keys":["plain"]}}}`)
		if status != 400 || !strings.Contains(out, `"path":"groupz"`) {
			t.Fatalf("%d %s", status, out)
		}
		status, out = fleet.send("PATCH", planURL, "", nil, `{"groups":{"g":{"share":-1,"keys":["plain"]}}}`)
		if status != 400 || !strings.Contains(out, `groups[g].share`) || !strings.Contains(out, `groups[g].keys[0]`) {
			t.Fatalf("not all findings are listed: %d %s", status, out)
		}
		if _, got := fleet.get(planURL); got != body {
			t.Fatal("a rejected plan changed the stored one")
		}
	})
	// While a node joins, the slots elect their leaders again, and a change may end with an unknown outcome.
	fleet.waitUntil("all control nodes vote", fleet.votersComplete)
	t.Run("concurrent operators", func(t *testing.T) {
		done := make(chan int, 8)
		group := taskgroup.New(fleet.daemons["platform"].Group.Context(), fleet.daemons["platform"].Log)
		for i := 0; i < 8; i++ {
			group.Go("operator", func(context.Context) {
				status, _ := fleet.send("PATCH", fleet.controls[i%4]+"/v1/plan", "", nil, fmt.Sprintf(`{"notes":{"op%d":%d}}`, i, i))
				done <- status
			})
		}
		for i := 0; i < 8; i++ {
			if status := <-done; status != 200 {
				t.Errorf("a patch without a precondition was answered with status %d", status)
			}
		}
		_, got := fleet.get(planURL)
		var p plan.Plan
		if err := json.Unmarshal([]byte(got), &p); err != nil || len(p.Notes) != 3+8 {
			t.Fatalf("%d notes of 11 are present: %s", len(p.Notes), got)
		}
		if !strings.Contains(got, "123456789012345678901234567890") {
			t.Fatal("a patch altered a number that it does not contain")
		}
		status, out := fleet.send("PATCH", planURL, "", map[string]string{"If-Match": `"2"`}, `{"notes":{"late":1}}`)
		if status != 412 || !strings.Contains(out, "other-revision") {
			t.Fatalf("%d %s", status, out)
		}
	})
	for i := range fleet.proxies {
		fleet.waitUntil("the proxies are ready", func() bool { status, _ := fleet.get(fleet.proxies[i] + "/readyz"); return status == 200 })
	}
	generation := ""
	fleet.waitUntil("a generation of claims is open", func() bool {
		status, body := fleet.get(fleet.proxies[0] + "/v1/era")
		var open callerapi.Generation
		generation = fmt.Sprint(open.Generation)
		if status == 200 && json.Unmarshal([]byte(body), &open) == nil {
			generation = fmt.Sprint(open.Generation)
		}
		status2, _ := fleet.get(fleet.proxies[1] + "/v1/era")
		return status == 200 && status2 == 200
	})
	t.Run("tickets", func(t *testing.T) {
		long := strings.Repeat("shared words of every prompt. ", 300)
		_, frames, last := fleet.request(0, "k-desk", `{"kind":"mandate-check","id":"m1","prompt":"`+long+`"}`)
		if last.Frame != "done" || last.Pieces == nil || *last.Pieces != 60 || len(frames) != 62 || frames[0].Frame != "accepted" {
			t.Fatalf("%d frames, last %+v", len(frames), last)
		}
		if _, _, last = fleet.request(1, "k-walled", `{"kind":"instruction-tag","id":"x1","era":`+generation+`,"prompt":"a"}`); last.Frame != "done" {
			t.Fatalf("%+v", last)
		}
		if status, _, last := fleet.request(0, "k-walled", `{"kind":"instruction-tag","id":"x1","era":`+generation+`,"prompt":"a"}`); last.Frame != "unknown" || last.Reason != "duplicate" {
			t.Fatalf("second copy at another proxy: %d %+v", status, last)
		}
		if n := fleet.countRuns("x1"); n != 1 {
			t.Fatalf("x1 ran %d times", n)
		}
		if _, frames, last = fleet.request(0, "k-desk", `{"kind":"instruction-tag","prompt":"a"}`); last.Frame != "done" || last.RequestID == "" || frames[0].RequestID != last.RequestID {
			t.Fatalf("request without an id: %+v", last)
		}
	})
	t.Run("invalid requests", func(t *testing.T) {
		for _, c := range []struct {
			key, body, reason string
			status            int
		}{
			{"", `{"kind":"mandate-check","prompt":""}`, "key-missing", 401},
			{"nobody", `{"kind":"mandate-check","prompt":""}`, "key-unknown", 401},
			{"k-desk", `{"kind":"mandate-check","prompt":`, "malformed", 400},
			{"k-desk", `{"kind":"mandate-check","prompt":""}{}`, "malformed", 400},
			{"k-desk", `{"kind":"mandate-check","promt":""}`, "unknown-field", 400},
			{"k-desk", `{"kind":"nothing","prompt":""}`, "unknown-kind", 400},
			{"k-walled", `{"kind":"mandate-check","prompt":""}`, "kind-taken", 403},
			{"k-desk", `{"kind":"mandate-check","due_us":-1,"prompt":""}`, "due-past", 400},
			{"k-desk", `{"kind":"mandate-check","due_us":99000000,"prompt":""}`, "due-too-far", 400},
			{"k-desk", `{"kind":"mandate-check","due_us":1000,"prompt":""}`, "due-unreachable", 429},
			{"k-desk", `{"kind":"mandate-check","id":"a b","prompt":""}`, "bad-id", 400},
			{"k-desk", `{"kind":"instruction-tag","id":"y1","prompt":""}`, "era-missing", 400},
			{"k-desk", `{"kind":"instruction-tag","id":"y1","era":-1,"prompt":""}`, "malformed", 400},
			{"k-desk", `{"kind":"instruction-tag","id":"y1","era":99999999,"prompt":""}`, "era-unopened", 400},
			{"k-desk", `{"kind":"mandate-check","prompt":"` + string(bytes.Repeat([]byte("x"), 5<<20)) + `"}`, "too-large", 413},
		} {
			status, _, f := fleet.request(0, c.key, c.body)
			if status != c.status || f.Reason != c.reason || f.Frame != "refused" || f.Remedy == "" {
				t.Errorf("%.60s: %d %+v, want %d %s", c.body, status, f, c.status, c.reason)
			}
		}
	})
	t.Run("entries", func(t *testing.T) {
		id := map[string]string{"X-Ticket-Id": "order-1", "X-Ticket-Era": generation}
		if status, out := fleet.send("POST", fleet.proxies[0]+"/app/orders", "k-desk", map[string]string{"X-Ticket-Id": "order-1"}, "hello"); status != 400 || !strings.Contains(out, "era-missing") {
			t.Fatalf("%d %s", status, out)
		}
		if status, out := fleet.send("POST", fleet.proxies[0]+"/app/orders", "k-desk", id, "hello"); status != 200 || !strings.Contains(out, `"bytes":5`) {
			t.Fatalf("%d %s", status, out)
		}
		if status, out := fleet.send("POST", fleet.proxies[1]+"/app/orders", "k-desk", id, "hello"); status != 409 || !strings.Contains(out, "duplicate") {
			t.Fatalf("second copy of a request: %d %s", status, out)
		}
		if _, out := fleet.get(fleet.backend + "/seen"); !strings.Contains(out, `"POST /app/orders order-1":1`) {
			t.Fatalf("requests at the back end: %s", out)
		}
		// When the back end aborts every request, the retry budget must limit retries to a tenth of
		// the requests. Without it, each request would be sent twice.
		for i := 0; i < 60; i++ {
			if status, out := fleet.send("GET", fleet.proxies[0]+"/app/breaks", "k-desk", nil, ""); status != 502 || !strings.Contains(out, "backend-lost") {
				t.Fatalf("%d %s", status, out)
			}
		}
		var seen map[string]int
		if _, out := fleet.get(fleet.backend + "/seen"); json.Unmarshal([]byte(out), &seen) != nil || seen["GET /app/breaks "] < 60 || seen["GET /app/breaks "] > 66 {
			t.Errorf("60 requests reached a failing back end as %d", seen["GET /app/breaks "])
		}
		if status, _ := fleet.send("GET", fleet.proxies[0]+"/elsewhere", "k-desk", nil, ""); status != 404 {
			t.Fatalf("path without a route: %d", status)
		}
	})
	t.Run("key revoked during a request", func(t *testing.T) {
		type result struct {
			status int
			last   callerapi.Frame
		}
		results := make(chan result, 1)
		group := taskgroup.New(fleet.daemons["platform"].Group.Context(), fleet.daemons["platform"].Log)
		// 60 pieces of 3 ms each and about a hundred blocks to recompute: the request is still
		// running when the gateway gets the new plan.
		long := string(bytes.Repeat([]byte("y"), 64<<10))
		for i := 0; i < 6; i++ {
			_, _, _ = fleet.request(0, "k-desk", `{"kind":"instruction-tag","prompt":"warm"}`)
		}
		group.Go("caller", func(context.Context) {
			var r result
			for i := 0; i < 100 && r.status != 401 && r.last.Reason != "key-taken"; i++ {
				r.status, _, r.last = fleet.request(0, "k-desk", fmt.Sprintf(`{"kind":"mandate-check","id":"long%d","prompt":"%s"}`, i, long))
			}
			results <- r
		})
		if status, out := fleet.send("PATCH", planURL, "", nil, `{"groups":{"desk":{"keys":[]}}}`); status != 200 {
			t.Fatalf("%d %s", status, out)
		}
		began := time.Now()
		r := <-results
		if r.last.Reason != "key-taken" && r.last.Reason != "key-unknown" {
			t.Fatalf("%+v", r)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Fatalf("the revoked key was accepted for %v", took)
		}
	})
	t.Run("graceful stop", func(t *testing.T) {
		d := fleet.daemons["gateway1"]
		delete(fleet.daemons, "gateway1")
		d.Stop()
		if d.Ready() {
			t.Fatal("ready after a stop")
		}
	})
	fleet.stopAll()
	for _, path := range fleet.recordings {
		file, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		events, err := replay.Replay(file)
		_ = file.Close()
		if err != nil || events < 20 {
			t.Errorf("%s: %d events: %v", path, events, err)
		}
	}
}

// TestPlanChangesWithDiskFaults: the disk of the control node that leads the plan's slot stalls and
// then fails. Changes of the plan must still be acknowledged, by a new leader, and be readable at
// all other nodes. When the new leader's disk fills up too, the majority is lost: nothing may be
// acknowledged until the faults are over.
func TestPlanChangesWithDiskFaults(t *testing.T) {
	fleet := newTestFleet(t)
	body := fmt.Sprintf(planText, plan.KeyDigest("k-desk"), plan.KeyDigest("k-walled"), fleet.backend)
	put := func(i, n int) bool {
		status, _ := fleet.send("PATCH", fleet.controls[i]+"/v1/plan", "", nil, fmt.Sprintf(`{"notes":{"n":%d}}`, n))
		return status == 200
	}
	fleet.waitUntil("a plan is accepted", func() bool {
		status, _ := fleet.send("PUT", fleet.controls[1]+"/v1/plan", "", nil, body)
		return status == 200
	})
	leader := func() int {
		for _, addr := range fleet.controls {
			var status control.FleetStatus
			if _, text := fleet.get(addr + "/v1/fleet"); json.Unmarshal([]byte(text), &status) != nil || len(status.Slots) == 0 {
				continue
			}
			name := status.Slots[quorum.SlotOf("plan", len(status.Slots))].Leader
			for i := range fleet.controls {
				if name == fmt.Sprint("control", i) && fleet.daemons[name] != nil {
					return i
				}
			}
		}
		return -1
	}
	faulty := -1
	fleet.waitUntil("the plan's slot has a leader", func() bool { faulty = leader(); return faulty >= 0 })
	fleet.disks[faulty].setFault("stalled")
	other := (faulty + 1) % 4
	for n := 1; n <= 5; n++ {
		fleet.waitUntil("a plan is acknowledged while a disk is stalled", func() bool { return put(other, n) })
	}
	fleet.disks[faulty].setFault("failing") // its operations return errors from now on
	fleet.waitUntil("the control node of the failing disk stops voting", func() bool { return !fleet.daemons[fmt.Sprint("control", faulty)].Ready() })
	serves := func(i int) bool { status, _ := fleet.get(fleet.controls[i] + "/healthz"); return status == 200 }
	if !serves(faulty) {
		t.Fatal("the control node of a failing disk has ended")
	}
	fleet.waitUntil("the plan's slot has another leader", func() bool { i := leader(); return i >= 0 && i != faulty && put(i, 6) })
	for i := range fleet.controls {
		if i == faulty {
			continue
		}
		fleet.waitUntil("the acknowledged plan is read back", func() bool {
			_, text := fleet.get(fleet.controls[i] + "/v1/plan")
			return strings.Contains(text, `"n":6`) && strings.Contains(text, "123456789012345678901234567890")
		})
	}
	// With a second disk full the majority is lost, and nothing may be acknowledged.
	full := -1
	fleet.waitUntil("the plan's slot still has a leader", func() bool { full = leader(); return full >= 0 })
	fleet.disks[full].setFault("full")
	healthy := -1
	for i := range fleet.controls {
		if i != faulty && i != full {
			healthy = i
		}
	}
	fleet.waitUntil("the control node of the full disk stops voting", func() bool { put(healthy, 7); return !fleet.daemons[fmt.Sprint("control", full)].Ready() })
	if put(healthy, 8) {
		t.Fatal("two of four control nodes acknowledged a plan")
	}
	if !serves(full) {
		t.Fatal("the control node of a full disk has ended")
	}
	// When both faults are over, both nodes must vote again and changes must be acknowledged.
	fleet.disks[full].setFault("")
	fleet.disks[faulty].setFault("")
	for _, i := range []int{faulty, full} {
		fleet.waitUntil("the control node votes again", func() bool { return fleet.daemons[fmt.Sprint("control", i)].Ready() })
	}
	fleet.waitUntil("a plan is acknowledged again", func() bool { return put(full, 9) })
	for i := range fleet.controls {
		fleet.waitUntil("the plan acknowledged last is read back", func() bool {
			_, text := fleet.get(fleet.controls[i] + "/v1/plan")
			return strings.Contains(text, `"n":9`) && strings.Contains(text, "123456789012345678901234567890")
		})
	}
}
