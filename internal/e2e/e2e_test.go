// Package e2e runs a small fleet of the real daemons over loopback in one process.
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

// TestWholePath runs everything once: bootstrap, a plan, requests, claims,
// bad input, a key taken from a connected caller, routes, a graceful stop, recordings.
func TestWholePath(t *testing.T) {
	r := newTestFleet(t)
	reg := r.controls[1] + "/v1/plan"
	body := fmt.Sprintf(planText, plan.KeyDigest("k-desk"), plan.KeyDigest("k-walled"), r.backend)
	r.until("a plan is taken", func() bool { st, _ := r.send("PUT", reg, "", nil, body); return st == 200 })

	t.Run("read back is what was sent", func(t *testing.T) {
		if _, got := r.get(r.controls[3] + "/v1/plan"); got != body {
			t.Fatalf("sent %s\ngot  %s", body, got)
		}
	})
	t.Run("bad plans change nothing", func(t *testing.T) {
		st, out := r.send("PUT", reg, "", nil, `{"weights":"w1","kinds":{},"groupz":{},"groups":{"g":{"share":-1,"keys":["plain"]}}}`)
		if st != 400 || !strings.Contains(out, `"path":"groupz"`) {
			t.Fatalf("%d %s", st, out)
		}
		st, out = r.send("PATCH", reg, "", nil, `{"groups":{"g":{"share":-1,"keys":["plain"]}}}`)
		if st != 400 || !strings.Contains(out, `groups[g].share`) || !strings.Contains(out, `groups[g].keys[0]`) {
			t.Fatalf("not every finding is listed: %d %s", st, out)
		}
		if _, got := r.get(reg); got != body {
			t.Fatal("a refused plan changed something")
		}
	})
	t.Run("two operators at once", func(t *testing.T) {
		done := make(chan int, 8)
		c := taskgroup.New(r.stop["platform"].Group.Context(), r.stop["platform"].Log)
		for i := 0; i < 8; i++ {
			c.Go("operator", func(context.Context) {
				st, _ := r.send("PATCH", r.controls[i%4]+"/v1/plan", "", nil, fmt.Sprintf(`{"notes":{"op%d":%d}}`, i, i))
				done <- st
			})
		}
		for i := 0; i < 8; i++ {
			if st := <-done; st != 200 {
				t.Errorf("a patch without a precondition ended in %d", st)
			}
		}
		_, got := r.get(reg)
		var p plan.Plan
		if err := json.Unmarshal([]byte(got), &p); err != nil || len(p.Notes) != 3+8 {
			t.Fatalf("%d notes of 11 are there: %s", len(p.Notes), got)
		}
		if !strings.Contains(got, "123456789012345678901234567890") {
			t.Fatal("a number that no patch named was altered")
		}
		st, out := r.send("PATCH", reg, "", map[string]string{"If-Match": `"2"`}, `{"notes":{"late":1}}`)
		if st != 412 || !strings.Contains(out, "other-revision") {
			t.Fatalf("%d %s", st, out)
		}
	})
	for i := range r.proxies {
		r.until("the proxies are ready", func() bool { st, _ := r.get(r.proxies[i] + "/readyz"); return st == 200 })
	}
	generation := ""
	r.until("an era is open", func() bool {
		st, b := r.get(r.proxies[0] + "/v1/era")
		var e callerapi.Generation
		generation = fmt.Sprint(e.Generation)
		if st == 200 && json.Unmarshal([]byte(b), &e) == nil {
			generation = fmt.Sprint(e.Generation)
		}
		st2, _ := r.get(r.proxies[1] + "/v1/era")
		return st == 200 && st2 == 200
	})
	t.Run("tickets", func(t *testing.T) {
		long := strings.Repeat("shared words of every prompt. ", 300)
		_, fs, last := r.request(0, "k-desk", `{"kind":"mandate-check","id":"m1","prompt":"`+long+`"}`)
		if last.Frame != "done" || last.Pieces == nil || *last.Pieces != 60 || len(fs) != 62 || fs[0].Frame != "accepted" {
			t.Fatalf("%d frames, last %+v", len(fs), last)
		}
		if _, _, last = r.request(1, "k-walled", `{"kind":"instruction-tag","id":"x1","era":`+generation+`,"prompt":"a"}`); last.Frame != "done" {
			t.Fatalf("%+v", last)
		}
		if st, _, last := r.request(0, "k-walled", `{"kind":"instruction-tag","id":"x1","era":`+generation+`,"prompt":"a"}`); last.Frame != "unknown" || last.Reason != "duplicate" {
			t.Fatalf("a resend elsewhere: %d %+v", st, last)
		}
		if n := r.runs("x1"); n != 1 {
			t.Fatalf("x1 ran %d times", n)
		}
		if _, fs, last = r.request(0, "k-desk", `{"kind":"instruction-tag","prompt":"a"}`); last.Frame != "done" || last.RequestID == "" || fs[0].RequestID != last.RequestID {
			t.Fatalf("a ticket without an id: %+v", last)
		}
	})
	t.Run("bad tickets", func(t *testing.T) {
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
			st, _, f := r.request(0, c.key, c.body)
			if st != c.status || f.Reason != c.reason || f.Frame != "refused" || f.Remedy == "" {
				t.Errorf("%.60s: %d %+v, want %d %s", c.body, st, f, c.status, c.reason)
			}
		}
	})
	t.Run("entries", func(t *testing.T) {
		id := map[string]string{"X-Ticket-Id": "order-1", "X-Ticket-Era": generation}
		if st, out := r.send("POST", r.proxies[0]+"/app/orders", "k-desk", map[string]string{"X-Ticket-Id": "order-1"}, "hello"); st != 400 || !strings.Contains(out, "era-missing") {
			t.Fatalf("%d %s", st, out)
		}
		if st, out := r.send("POST", r.proxies[0]+"/app/orders", "k-desk", id, "hello"); st != 200 || !strings.Contains(out, `"bytes":5`) {
			t.Fatalf("%d %s", st, out)
		}
		if st, out := r.send("POST", r.proxies[1]+"/app/orders", "k-desk", id, "hello"); st != 409 || !strings.Contains(out, "duplicate") {
			t.Fatalf("sent twice: %d %s", st, out)
		}
		if _, out := r.get(r.backend + "/seen"); !strings.Contains(out, `"POST /app/orders order-1":1`) {
			t.Fatalf("the back end saw %s", out)
		}
		// A back end that breaks every call off gets a tenth more of them, not twice as many.
		for i := 0; i < 60; i++ {
			if st, out := r.send("GET", r.proxies[0]+"/app/breaks", "k-desk", nil, ""); st != 502 || !strings.Contains(out, "backend-lost") {
				t.Fatalf("%d %s", st, out)
			}
		}
		var seen map[string]int
		if _, out := r.get(r.backend + "/seen"); json.Unmarshal([]byte(out), &seen) != nil || seen["GET /app/breaks "] < 60 || seen["GET /app/breaks "] > 66 {
			t.Errorf("60 calls reached a struggling back end as %d", seen["GET /app/breaks "])
		}
		if st, _ := r.send("GET", r.proxies[0]+"/elsewhere", "k-desk", nil, ""); st != 404 {
			t.Fatalf("no entry: %d", st)
		}
	})
	t.Run("a key taken from a connected caller", func(t *testing.T) {
		type word struct {
			st   int
			last callerapi.Frame
		}
		got := make(chan word, 1)
		c := taskgroup.New(r.stop["platform"].Group.Context(), r.stop["platform"].Log)
		// Sixty pieces of 3 ms: with a hundred recomputed parts it is still
		// running when the plan arrives.
		long := string(bytes.Repeat([]byte("y"), 64<<10))
		for i := 0; i < 6; i++ {
			_, _, _ = r.request(0, "k-desk", `{"kind":"instruction-tag","prompt":"warm"}`)
		}
		c.Go("caller", func(context.Context) {
			var w word
			for i := 0; i < 100 && w.st != 401 && w.last.Reason != "key-taken"; i++ {
				w.st, _, w.last = r.request(0, "k-desk", fmt.Sprintf(`{"kind":"mandate-check","id":"long%d","prompt":"%s"}`, i, long))
			}
			got <- w
		})
		if st, out := r.send("PATCH", reg, "", nil, `{"groups":{"desk":{"keys":[]}}}`); st != 200 {
			t.Fatalf("%d %s", st, out)
		}
		at := time.Now()
		w := <-got
		if w.last.Reason != "key-taken" && w.last.Reason != "key-unknown" {
			t.Fatalf("%+v", w)
		}
		if d := time.Since(at); d > 5*time.Second {
			t.Fatalf("the key worked for %v", d)
		}
	})
	t.Run("a polite stop", func(t *testing.T) {
		d := r.stop["gateway1"]
		delete(r.stop, "gateway1")
		d.Stop()
		if d.Ready() {
			t.Fatal("ready after a stop")
		}
	})
	r.down()
	for _, f := range r.recordings {
		h, err := os.Open(f)
		if err != nil {
			t.Fatal(err)
		}
		n, err := replay.Replay(h)
		_ = h.Close()
		if err != nil || n < 20 {
			t.Errorf("%s: %d events: %v", f, n, err)
		}
	}
}

// TestSickDisks: the disk of the plan's owner stalls, that of its successor fills up.
// Plans are acknowledged all the same, and what was acknowledged is read back from
// whoever is left.
func TestSickDisks(t *testing.T) {
	r := newTestFleet(t)
	body := fmt.Sprintf(planText, plan.KeyDigest("k-desk"), plan.KeyDigest("k-walled"), r.backend)
	put := func(i, n int) bool {
		st, _ := r.send("PATCH", r.controls[i]+"/v1/plan", "", nil, fmt.Sprintf(`{"notes":{"n":%d}}`, n))
		return st == 200
	}
	r.until("a plan is taken", func() bool { st, _ := r.send("PUT", r.controls[1]+"/v1/plan", "", nil, body); return st == 200 })
	owner := func() int {
		for _, a := range r.controls {
			var f control.FleetStatus
			if _, b := r.get(a + "/v1/fleet"); json.Unmarshal([]byte(b), &f) != nil || len(f.Slots) == 0 {
				continue
			}
			o := f.Slots[quorum.SlotOf("plan", len(f.Slots))].Leader
			for k := range r.controls {
				if o == fmt.Sprint("control", k) && r.stop[o] != nil {
					return k
				}
			}
		}
		return -1
	}
	faulty := -1
	r.until("the plan has an owner", func() bool { faulty = owner(); return faulty >= 0 })
	r.disks[faulty].setFault("stalled")
	other := (faulty + 1) % 4
	for n := 1; n <= 5; n++ {
		r.until("a plan is acknowledged beside a stalled disk", func() bool { return put(other, n) })
	}
	r.disks[faulty].setFault("failing") // and now it is gone for good
	r.until("its control node votes no more", func() bool { return !r.stop[fmt.Sprint("control", faulty)].Ready() })
	serves := func(i int) bool { st, _ := r.get(r.controls[i] + "/healthz"); return st == 200 }
	if !serves(faulty) {
		t.Fatal("the control node of a failing disk has ended")
	}
	r.until("the plan has another owner", func() bool { o := owner(); return o >= 0 && o != faulty && put(o, 6) })
	for i := range r.controls {
		if i == faulty {
			continue
		}
		r.until("what was acknowledged is read back", func() bool {
			_, b := r.get(r.controls[i] + "/v1/plan")
			return strings.Contains(b, `"n":6`) && strings.Contains(b, "123456789012345678901234567890")
		})
	}
	// A second disk fills up: the majority is lost, nothing is acknowledged any more,
	// and nobody pretends otherwise.
	full := -1
	r.until("the plan has an owner still", func() bool { full = owner(); return full >= 0 })
	r.disks[full].setFault("full")
	left := -1
	for i := range r.controls {
		if i != faulty && i != full {
			left = i
		}
	}
	r.until("the full one votes no more", func() bool { put(left, 7); return !r.stop[fmt.Sprint("control", full)].Ready() })
	if put(left, 8) {
		t.Fatal("two of four acknowledged a plan")
	}
	if !serves(full) {
		t.Fatal("the control node of a full disk has ended")
	}
	// With room again and a disk that works again all is as before.
	r.disks[full].setFault("")
	r.disks[faulty].setFault("")
	for _, i := range []int{faulty, full} {
		r.until("it votes again", func() bool { return r.stop[fmt.Sprint("control", i)].Ready() })
	}
	r.until("a plan is acknowledged again", func() bool { return put(full, 9) })
	for i := range r.controls {
		r.until("what was acknowledged last is read back", func() bool {
			_, b := r.get(r.controls[i] + "/v1/plan")
			return strings.Contains(b, `"n":9`) && strings.Contains(b, "123456789012345678901234567890")
		})
	}
}
