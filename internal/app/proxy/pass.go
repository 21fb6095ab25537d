package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"violetthread/attempt"
	"violetthread/internal/base"
	"violetthread/internal/clock"
	"violetthread/placement"
	"violetthread/route"
)

// passage is one caller's request on its way.
type passage struct {
	c      *carrier
	w      http.ResponseWriter
	q      *http.Request
	ask    Ask
	rt     *route.Route
	tenant *route.Tenant
	table  *route.Table
	body   []byte
	due    int64
	led    attempt.Passage
	req    placement.Request
	last   string // id of the last event that went out
}

// hop are headers that concern one connection only.
var hop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true}

const (
	eventMost  = 1 << 20
	bodyTime   = 15_000_000 // longest that a body may take to come
	bodyMost   = 16 << 20   // where the configuration sets no bound
	lateAnswer = 120_000    // an engine may answer this much after the caller's time
	fullRest   = 250_000    // an engine that turned a request away
	lostRest   = 400_000    // an engine that broke off, doubling
	otherRest  = 300_000    // an address that is another engine's now, or has other weights
)

// no answers a request that is not passed on.
func (c *carrier) no(w http.ResponseWriter, status int, reason string, backUS int64) {
	if backUS > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(backUS)/1e6, 'f', 3, 64))
	}
	if c.d.Stopping() {
		w.Header().Set("Connection", "close")
	}
	base.JSON(w, status, base.Wrong{Reason: reason, Remedy: remedies[reason]})
}

var remedies = map[string]string{
	"no-route":          "check the host and the path, or have an operator add the route",
	"key-missing":       "send a key that the configuration holds",
	"key-unknown":       "send a key that the configuration holds",
	"malformed":         "send the request as the platform's pages say",
	"too-large":         "send a smaller body",
	"config-not-fresh":  "come back shortly; this proxy is out of touch with the control nodes",
	"config-missing":    "come back shortly; an operator's first configuration is awaited",
	"no-engine":         "come back shortly; no engine of the pool is in use",
	"engines-full":      "come back shortly; the engines that were asked are full",
	"retry-budget":      "come back shortly; further tries are bounded over the whole fleet",
	"due-unreachable":   "allow more time",
	"engine-lost":       "the request may have run; look before sending it again",
	"engine-failed":     "the request may have run; look before sending it again",
	"engine-malformed":  "the request may have run; look before sending it again",
	"due-passed":        "the request may have run; allow more time",
	"caller-gone":       "nobody is left to be told",
	"connection-closed": "the request may have run; look before sending it again",
}

// serve takes one request of a caller.
func (c *carrier) serve(w http.ResponseWriter, q *http.Request) {
	arrived := clock.Now()
	c.counts.arrived.Add(1)
	c.under.Add(1)
	defer c.under.Add(-1)
	v := c.view.Load()
	if v.table == nil {
		c.no(w, http.StatusServiceUnavailable, "config-missing", 300_000)
		return
	}
	raw := rawOf(q.Context())
	defer raw.next()
	if !raw.sound() {
		// Where one request ends and the next begins is in doubt.
		w.Header().Set("Connection", "close")
		c.no(w, http.StatusBadRequest, "malformed", 0)
		return
	}
	ask, err := c.door.Ask(q.Header)
	if err != nil {
		c.no(w, http.StatusBadRequest, "malformed", 0)
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(clock.Micros(bodyTime)))
	most := v.table.Limits.BodyBytes
	if most <= 0 {
		most = bodyMost
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, most))
	if err != nil {
		var big *http.MaxBytesError
		if errors.As(err, &big) {
			c.no(w, http.StatusRequestEntityTooLarge, "too-large", 0)
			return
		}
		panic(http.ErrAbortHandler) // it never came whole
	}
	_ = http.NewResponseController(w).SetReadDeadline(noTime)
	// The body may have taken its time: what is in force is looked up after it.
	v = c.view.Load()
	now := clock.Now()
	p := &passage{c: c, w: w, q: q, ask: ask, table: v.table, body: body}
	path, _, _ := strings.Cut(q.RequestURI, "?")
	p.rt = v.table.Find(q.Host, path)
	status, reason := 0, ""
	switch {
	case p.rt == nil:
		status, reason = http.StatusNotFound, "no-route"
	case v.table.Keyed() && !p.rt.Public:
		if p.tenant = v.table.TenantOf(ask.Key); p.tenant == nil {
			status, reason = http.StatusUnauthorized, "key-unknown"
		}
	}
	switch age := v.age(now); {
	case age > c.stale():
		c.counts.refused.Add(1)
		c.no(w, http.StatusServiceUnavailable, "config-not-fresh", 400_000)
		return
	case reason != "" && age > c.s.Bounds.ConfigApplyUS/2:
		// What is refused for good must rest on news that is fresh.
		c.counts.refused.Add(1)
		c.no(w, http.StatusServiceUnavailable, "config-not-fresh", 400_000)
		return
	case reason != "":
		c.no(w, status, reason, 0)
		return
	}
	wait := ask.WaitUS
	if t := p.rt.TimeoutUS; t > 0 && (wait <= 0 || t < wait) {
		wait = t
	}
	if wait <= 0 {
		wait = 30_000_000
	}
	p.due = arrived + wait
	p.led = attempt.Passage{Again: p.rt.Kind == route.Repeatable || p.rt.Kind == route.Stream && p.rt.Resumable,
		Resume: p.rt.Kind == route.Stream && p.rt.Resumable, Most: max(1, p.rt.Attempts)}
	p.last = ask.After
	p.req = placement.Request{Pool: poolOf(p.rt, ask.Attempt), Model: ask.Model, Parts: ask.Parts, Tokens: ask.Tokens, Out: ask.Out, Tried: map[string]bool{}}
	name := ""
	if p.tenant != nil {
		name = p.tenant.Name
	}
	p.req.Wall = v.table.Wall(name)
	p.req.Least = v.least(now, ask.Model, c.s.Bounds.VersionApplyUS-versionSlack)
	c.mu.Lock()
	c.budget(p.req.Pool).Earn(now)
	c.mu.Unlock()
	p.run()
}

// versionSlack is how long before the bound engines with older weights get nothing new.
const versionSlack = 800_000

// poolOf draws a route's pool by weight, alike for every try of one name.
func poolOf(r *route.Route, name string) string {
	sum := 0
	for _, s := range r.Split {
		sum += s.Weight
	}
	if sum <= 0 {
		return ""
	}
	x := int(score(name, r.Name) >> 11 % uint64(sum))
	for _, s := range r.Split {
		if x -= s.Weight; x < 0 {
			return s.Pool
		}
	}
	return r.Split[len(r.Split)-1].Pool
}

// run derives the next move from the ledger until the request has ended.
func (p *passage) run() {
	c := p.c
	for {
		now := clock.Now()
		c.mu.Lock()
		f := attempt.Facts{Time: now < p.due-5_000, Budget: c.budget(p.req.Pool).Has(now)}
		c.mu.Unlock()
		m := p.led.Next(f)
		switch m.Do {
		case attempt.PassPlace:
			if !p.place(now, m.Retry) {
				p.refuse("no-engine")
				return
			}
		case attempt.PassDone:
			c.counts.done.Add(1)
			return
		case attempt.PassRefuse:
			p.refuse(m.Reason)
			return
		case attempt.PassLost:
			c.counts.lost.Add(1)
			if p.q.Context().Err() != nil {
				panic(http.ErrAbortHandler) // nobody is there to read it
			}
			status := http.StatusBadGateway
			if m.Reason == "due-passed" {
				status = http.StatusGatewayTimeout
			}
			c.no(p.w, status, m.Reason, 0)
			return
		default: // PassCut: whatever came so far must not look whole
			c.counts.cut.Add(1)
			panic(http.ErrAbortHandler)
		}
	}
}

// refuse promises that the request has not run and will not.
func (p *passage) refuse(reason string) {
	for _, a := range p.led.Attempts {
		if a.State == attempt.Broken {
			p.c.counts.lost.Add(1)
			if p.led.Out {
				panic(http.ErrAbortHandler)
			}
			p.c.no(p.w, http.StatusBadGateway, "engine-lost", 0)
			return
		}
	}
	p.c.counts.refused.Add(1)
	back := int64(150_000)
	if reason == "no-engine" {
		back = 300_000
	}
	p.c.no(p.w, http.StatusServiceUnavailable, reason, back)
}

// place chooses an engine and sends one attempt to it; false if there is none.
func (p *passage) place(now int64, retry bool) bool {
	c := p.c
	c.mu.Lock()
	ch, ok := c.pick.Pick(now, &p.req)
	if ok {
		c.pick.Sent(&ch)
		if retry {
			c.budget(p.req.Pool).Spend(now)
			c.counts.more.Add(1)
		}
	}
	c.mu.Unlock()
	if !ok {
		return false
	}
	p.req.Tried[ch.Engine.ID] = true
	id := strconv.Itoa(len(p.led.Attempts))
	p.led.Attempts = append(p.led.Attempts, attempt.Attempt{ID: id, Engine: ch.Engine.ID, State: attempt.Sent})
	t := &try{p: p, ch: &ch, id: id}
	s, cause := t.run()
	c.mu.Lock()
	c.pick.Ended(&ch, t.began)
	switch {
	case s == attempt.NeverBegan && cause == "skipped":
		c.counts.skipped.Add(1)
		c.pick.Rest(now, ch.Engine.ID, fullRest, false)
	case s == attempt.NeverBegan && cause == "other":
		c.counts.skipped.Add(1)
		c.pick.Rest(now, ch.Engine.ID, otherRest, false)
	case s == attempt.NeverBegan && cause == attempt.Unreachable:
		c.pick.Rest(clock.Now(), ch.Engine.ID, lostRest, true)
	case s == attempt.Broken && cause != "caller-gone" && cause != "due-passed":
		c.counts.broken.Add(1)
		c.pick.Rest(clock.Now(), ch.Engine.ID, lostRest, true)
	}
	c.mu.Unlock()
	if p.q.Context().Err() != nil && s != attempt.Finished {
		p.led.Stop = "caller-gone"
	}
	p.led.Note(id, s, cause)
	return true
}

// try is one attempt at one engine.
type try struct {
	p     *passage
	ch    *placement.Choice
	id    string
	began bool
	wire  *wire
}

// run sends the request and relays the answer as far as it comes.
func (t *try) run() (attempt.State, string) {
	p, c, e := t.p, t.p.c, t.ch.Engine
	c.counts.read.Add(int64(t.ch.Read))
	c.counts.moved.Add(int64(t.ch.Moved))
	c.counts.hit.Add(int64(t.ch.Hit))
	ctx := p.q.Context()
	t.wire = c.pool.get(e.ID)
	if t.wire == nil {
		w, err := c.pool.dial(ctx, e.Addr)
		if err != nil {
			return attempt.NeverBegan, attempt.Unreachable
		}
		t.wire = w
	}
	whole := false
	stop := context.AfterFunc(ctx, t.wire.kill)
	defer func() {
		stop()
		if !whole {
			t.wire.kill()
		}
	}()
	// Looked at again at the moment of dispatch: the machine may have slept.
	now := clock.Now()
	if c.view.Load().age(now) > c.stale() || now >= p.due {
		return attempt.NeverBegan, attempt.Unreachable
	}
	_ = t.wire.SetDeadline(time.Now().Add(clock.Micros(p.due + lateAnswer - now)))
	c.counts.sends.Add(1)
	if _, err := t.wire.Write(t.message(now)); err != nil {
		return t.broken("engine-lost")
	}
	r, word, s, cause := t.answer()
	if s != 0 {
		return s, cause
	}
	if word.Loaded {
		c.mu.Lock()
		c.pick.Load(clock.Now(), e.ID, word.Running, word.Waiting, word.Slots)
		c.mu.Unlock()
	}
	if word.Skipped {
		_, err := io.Copy(io.Discard, io.LimitReader(r.Body, 64<<10))
		whole = err == nil && !r.Close && stop()
		if whole {
			c.pool.put(e.ID, t.wire, r.Header)
		}
		if r.StatusCode == http.StatusMisdirectedRequest {
			return attempt.NeverBegan, "other"
		}
		return attempt.NeverBegan, "skipped"
	}
	switch {
	case r.StatusCode < 300 && (!word.Sealed || r.Header.Get("Content-Encoding") != ""):
		// A success without the engine's own mark, or in an encoding nobody asked for.
		return t.broken("engine-malformed")
	case promise[r.StatusCode]:
		// Passed on it would promise that the request never ran, which only the mark of
		// a skipped one tells.
		return t.broken("engine-failed")
	}
	s, cause = t.relay(r)
	if s == attempt.Finished {
		whole = !r.Close && stop()
		if whole {
			c.pool.put(e.ID, t.wire, r.Header)
		}
	}
	return s, cause
}

// promise are the statuses by which a caller is told that its request never ran.
var promise = map[int]bool{http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// broken is the state of an attempt that was sent and lost.
func (t *try) broken(cause string) (attempt.State, string) {
	switch {
	case t.p.q.Context().Err() != nil:
		cause = "caller-gone"
	case clock.Now() >= t.p.due:
		cause = "due-passed"
	}
	return attempt.Broken, cause
}

// message is the request as the engine gets it: method, path, query and body are the
// caller's own.
func (t *try) message(now int64) []byte {
	p, c := t.p, t.p.c
	h := p.q.Header.Clone()
	for _, f := range p.q.Header["Connection"] {
		for _, n := range strings.Split(f, ",") {
			h.Del(strings.TrimSpace(n))
		}
	}
	for n := range hop {
		h.Del(n)
	}
	d := Told{Engine: t.ch.Engine.ID, WaitUS: p.due - now, Salt: t.ch.Salt, Source: t.ch.Source, Dest: t.ch.Dest,
		Model: p.ask.Model, Version: t.ch.Version, Priority: p.table.Rank(p.tenant, p.rt), After: p.last}
	if p.tenant != nil {
		d.Tenant = p.tenant.Name
	}
	c.door.Tell(h, d)
	var b bytes.Buffer
	b.Grow(1024 + len(p.body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", p.q.Method, p.q.RequestURI, p.q.Host)
	if len(p.body) > 0 || p.q.ContentLength > 0 || p.q.Method == http.MethodPost || p.q.Method == http.MethodPut {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(p.body))
	}
	_ = h.Write(&b)
	b.WriteString("\r\n")
	b.Write(p.body)
	return b.Bytes()
}

// answer reads the head of the answer to this very attempt. An answer to a former one
// may come in its place, on a connection that was used before.
func (t *try) answer() (*http.Response, Word, attempt.State, string) {
	for n := 0; ; n++ {
		r, err := http.ReadResponse(t.wire.br, t.p.q)
		if err != nil {
			s, cause := t.broken("engine-lost")
			return nil, Word{}, s, cause
		}
		if r.StatusCode < 200 {
			n--
			continue // an interim answer
		}
		w := t.p.c.door.Word(r.StatusCode, r.Header)
		// Without a name it can only be trusted on a connection that carried nothing before.
		if w.Attempt == t.p.ask.Attempt && w.Attempt != "" || w.Attempt == "" && w.Skipped && n == 0 && t.wire.used == 0 {
			return r, w, 0, ""
		}
		if t.wire.used > 0 && w.Attempt != "" && n < 2 && !r.Close {
			if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, eventMost)); err == nil {
				continue
			}
		}
		s, cause := t.broken("engine-malformed")
		return nil, Word{}, s, cause
	}
}

// relay passes an answer on. Its head goes out with the first whole event, so that an
// answer that breaks before it can still come from elsewhere.
func (t *try) relay(r *http.Response) (attempt.State, string) {
	p := t.p
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.StatusCode == http.StatusNoContent
	if !framed || p.led.Out && r.StatusCode != http.StatusOK {
		return t.broken("engine-malformed") // nothing would tell where it ends
	}
	stream := strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") && r.StatusCode == http.StatusOK
	if p.led.Out && !stream {
		return t.broken("engine-malformed")
	}
	if !stream {
		return t.plain(r)
	}
	br := bufio.NewReaderSize(r.Body, 4096)
	for first := true; ; first = false {
		ev, id, err := readEvent(br)
		if err != nil && err != io.EOF {
			return t.broken("engine-lost")
		}
		if len(ev) > 0 {
			if first {
				t.first()
				if !p.led.Out {
					t.head(r)
				} else {
					p.c.counts.resumed.Add(1)
				}
			}
			if t.fresh(id) {
				if _, werr := p.w.Write(ev); werr != nil {
					return t.broken("caller-gone")
				}
				p.flush()
				if id != "" {
					p.last = id
				} else if len(bytes.TrimSpace(ev)) > 0 && ev[0] != ':' {
					p.led.Resume = false // nothing tells where to go on
				}
			}
		}
		if err == io.EOF {
			if first && !p.led.Out {
				t.first()
				t.head(r)
			}
			return attempt.Finished, ""
		}
	}
}

// fresh keeps an event from going out twice when a stream was taken up elsewhere.
func (t *try) fresh(id string) bool {
	if id == "" || t.p.last == "" {
		return true
	}
	a, e1 := strconv.ParseInt(id, 10, 64)
	b, e2 := strconv.ParseInt(t.p.last, 10, 64)
	return e1 != nil || e2 != nil || a > b
}

// first notes the first event: what was read is kept at the engine now, and told
// further at once; the engine's own word comes later (design §7).
func (t *try) first() {
	c := t.p.c
	t.began = true
	c.mu.Lock()
	c.pick.Began(t.ch)
	c.mu.Unlock()
	node := placement.EngineNode(t.ch.Engine.ID)
	c.hintMu.Lock()
	for _, k := range t.ch.Keys {
		c.hints.Put(k, node)
	}
	if t.ch.Dest != "" {
		s := placement.StoreNode(t.ch.Dest)
		for _, k := range t.ch.Keys[:max(0, len(t.ch.Keys)-1)] {
			c.hints.Put(k, s)
		}
	}
	c.hintMu.Unlock()
}

// head sends the answer's status and headers on.
func (t *try) head(r *http.Response) {
	p := t.p
	h := p.w.Header()
	for k, v := range r.Header {
		if !hop[k] {
			h[k] = v
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // the library would guess
	}
	if p.c.d.Stopping() {
		h.Set("Connection", "close")
	}
	_ = http.NewResponseController(p.w).SetWriteDeadline(time.Now().Add(clock.Micros(max(0, p.due-clock.Now()) + 2_000_000)))
	p.led.Out = true
	p.w.WriteHeader(r.StatusCode)
}

func (p *passage) flush() {
	_ = http.NewResponseController(p.w).Flush()
}

// plainWhole is the size up to which an answer that is no stream is read whole before
// any of it goes out.
const plainWhole = 256 << 10

// plain passes an answer on that is no stream.
func (t *try) plain(r *http.Response) (attempt.State, string) {
	p := t.p
	var b bytes.Buffer
	_, err := io.Copy(&b, io.LimitReader(r.Body, plainWhole))
	if err != nil {
		return t.broken("engine-lost")
	}
	rest := b.Len() == plainWhole
	if r.StatusCode >= 500 && p.led.Again && clock.Now() < p.due {
		// It ran there and failed; it may run again elsewhere, if that is allowed at all.
		l := p.led
		l.Attempts = append([]attempt.Attempt(nil), l.Attempts...)
		l.Note(t.id, attempt.Broken, "engine-failed")
		p.c.mu.Lock()
		f := attempt.Facts{Time: true, Budget: p.c.budget(p.req.Pool).Has(clock.Now())}
		p.c.mu.Unlock()
		if l.Next(f).Do == attempt.PassPlace {
			return t.broken("engine-failed")
		}
	}
	t.first()
	t.headPlain(r, b.Len(), rest)
	if _, err := p.w.Write(b.Bytes()); err != nil {
		return t.broken("caller-gone")
	}
	if rest {
		if _, err := io.Copy(p.w, r.Body); err != nil {
			return t.broken("engine-lost")
		}
	}
	return attempt.Finished, ""
}

func (t *try) headPlain(r *http.Response, n int, rest bool) {
	switch {
	case r.ContentLength >= 0 && t.p.q.Method != http.MethodHead:
		t.p.w.Header().Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	case !rest && t.p.q.Method != http.MethodHead:
		t.p.w.Header().Set("Content-Length", strconv.Itoa(n))
	}
	t.head(r)
}

// readEvent reads one event with the blank line that ends it. At the end of the
// answer it returns what is left together with io.EOF.
func readEvent(br *bufio.Reader) (ev []byte, id string, err error) {
	for {
		l, err := br.ReadSlice('\n')
		ev = append(ev, l...)
		if err == bufio.ErrBufferFull {
			if len(ev) > eventMost {
				return nil, "", io.ErrUnexpectedEOF
			}
			continue
		}
		if err != nil {
			return ev, id, err
		}
		x := bytes.TrimRight(l, "\r\n")
		if len(x) == 0 {
			return ev, id, nil
		}
		if v, ok := bytes.CutPrefix(x, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
		if len(ev) > eventMost {
			return nil, "", io.ErrUnexpectedEOF
		}
	}
}
