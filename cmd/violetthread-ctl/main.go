// Command dealer is the operators' tool.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/integrii/flaggy"

	"violetthread/internal/daemon"
	"violetthread/plan"
	"violetthread/recording/replay"
)

type tool struct {
	at, file, rev     string
	wait              int
	nodes             string
	old, addr         string
	json, follow, all bool
	http              *http.Client
}

func main() {
	t := &tool{http: &http.Client{Timeout: 8 * time.Second}, wait: 60}
	p := flaggy.NewParser("dealer")
	p.Description, p.Version, p.ShowCompletion = "The operators' tool of violetthread.", daemon.Version, false
	p.String(&t.at, "a", "at", "IP:port of any registrar's HTTP side; with commas to try several")
	pl := sub("plan", "read or change the plan")
	p.AttachSubcommand(pl, 1)
	get := sub("get", "print the plan in force, to the byte; its revision goes to stderr")
	put := sub("put", "put a whole plan in force")
	patch := sub("patch", "merge a partial plan (RFC 7396) into the one in force")
	check := sub("check", "list what is wrong with a plan file, without a fleet")
	for _, c := range []*flaggy.Subcommand{put, patch, check} {
		c.AddPositionalValue(&t.file, "FILE", 1, true, "the plan as JSON; /dev/stdin for standard input")
	}
	for _, c := range []*flaggy.Subcommand{put, patch} {
		c.String(&t.rev, "r", "if-rev", "change only if the plan has this revision")
	}
	for _, c := range []*flaggy.Subcommand{get, put, patch, check} {
		pl.AttachSubcommand(c, 1)
	}
	ro := sub("roster", "change which registrars vote, one step at a time")
	p.AttachSubcommand(ro, 1)
	ro.String(&t.old, "o", "old", "name of the voter that goes")
	ro.String(&t.addr, "n", "new", "wire IP:port of an empty registrar that comes")
	ro.String(&t.rev, "r", "if-step", "the roster's step, as dealer fleet shows it")
	fleet := sub("fleet", "print owners, epochs and members")
	digest := sub("digest", "print how a plan names a key; the key is read from standard input")
	wait := sub("wait", "wait until every node given is ready")
	wait.AddPositionalValue(&t.nodes, "NODES", 1, true, "IP:port of HTTP sides, with commas")
	wait.Int(&t.wait, "t", "seconds", "give up after this long")
	replay := sub("replay", "feed a tape to the same code; fails at the first decision that differs")
	replay.AddPositionalValue(&t.file, "TAPE", 1, true, "a file that a remisier or custodian wrote with --tape")
	views := map[*flaggy.Subcommand]func() ([]string, []row, error){}
	for _, v := range []struct {
		name, about string
		f           func() ([]string, []row, error)
	}{{"engines", "list engines: owner, epoch, weights, room, what was learnt of links", t.engines},
		{"shards", "list who holds the shards of the index", t.shards},
		{"proxies", "list proxies: how fresh their plan is, and their counts", t.proxies},
		{"rollout", "tell how far the weights that the plan names have come", t.rollout}} {
		c := sub(v.name, v.about)
		c.Bool(&t.json, "j", "json", "print JSON for programs")
		views[c] = v.f
		p.AttachSubcommand(c, 1)
	}
	tp := sub("tape", "print a tape's decisions for people")
	tp.AddPositionalValue(&t.file, "TAPE", 1, true, "a file that a remisier or custodian wrote with --tape")
	tp.Bool(&t.follow, "f", "follow", "go on with what is appended")
	tp.Bool(&t.all, "A", "all", "also events that nothing was decided on")
	p.AttachSubcommand(tp, 1)
	for _, c := range []*flaggy.Subcommand{fleet, digest, wait, replay} {
		p.AttachSubcommand(c, 1)
	}
	if err := p.ParseArgs(os.Args[1:]); err != nil {
		daemon.Exit("dealer", err)
	}
	var err error
	for c, f := range views {
		if c.Used {
			if err := t.show(f()); err != nil {
				daemon.Exit("dealer", err)
			}
			return
		}
	}
	switch {
	case tp.Used:
		err = t.tape()
	case get.Used:
		err = t.get("/v1/plan")
	case put.Used:
		err = t.change(http.MethodPut)
	case patch.Used:
		err = t.change(http.MethodPatch)
	case check.Used:
		err = t.check()
	case fleet.Used:
		err = t.get("/v1/fleet")
	case ro.Used:
		err = t.roster()
	case digest.Used:
		s, _ := bufio.NewReader(os.Stdin).ReadString('\n')
		fmt.Println(plan.KeyDigest(strings.TrimRight(s, "\r\n")))
	case replay.Used:
		err = t.replay()
	case wait.Used:
		err = t.ready()
	default:
		p.ShowHelpAndExit("name one of the commands below")
	}
	if err != nil {
		daemon.Exit("dealer", err)
	}
}

func sub(name, about string) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = about
	return c
}

// do asks the registrars in turn. A change goes to the next one only if the
// first could not be reached at all.
func (t *tool) do(method, path string, body []byte) (*http.Response, []byte, error) {
	if t.at == "" {
		return nil, nil, trace.BadParameter("give --at the IP:port of a registrar's HTTP side")
	}
	var last error
	for _, a := range strings.Split(t.at, ",") {
		q, err := http.NewRequest(method, "http://"+a+path, bytes.NewReader(body))
		if err != nil {
			return nil, nil, trace.BadParameter("%s is no IP:port; mend --at", a)
		}
		if t.rev != "" {
			q.Header.Set("If-Match", `"`+t.rev+`"`)
		}
		r, err := t.http.Do(q)
		if err != nil {
			last = err
			if !strings.Contains(err.Error(), "connection refused") && method != http.MethodGet {
				return nil, nil, trace.ConnectionProblem(err, "no answer; the change may or may not be in force: read the plan before sending it again")
			}
			continue
		}
		b, err := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err != nil {
			return nil, nil, trace.ConnectionProblem(err, "the answer broke off; read the plan before sending a change again")
		}
		return r, b, nil
	}
	return nil, nil, trace.ConnectionProblem(last, "no registrar can be reached; check --at and that they run")
}

func (t *tool) get(path string) error {
	r, b, err := t.do(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if r.StatusCode != 200 {
		return wrong(b)
	}
	_, _ = os.Stdout.Write(b)
	if e := r.Header.Get("ETag"); e != "" {
		fmt.Fprintln(os.Stderr, "rev", strings.Trim(e, `"`))
	}
	return nil
}

type answer struct {
	Rev      uint64         `json:"rev"`
	Reason   string         `json:"reason"`
	Remedy   string         `json:"remedy"`
	Findings []plan.Finding `json:"findings"`
}

func wrong(b []byte) error {
	var a answer
	if json.Unmarshal(b, &a) != nil || a.Reason == "" {
		return trace.BadParameter("the registrar answered: %.300s", b)
	}
	ls := []string{a.Reason + ": " + a.Remedy}
	if a.Rev > 0 {
		ls[0] += fmt.Sprintf(" (the plan has revision %d)", a.Rev)
	}
	for _, f := range a.Findings {
		ls = append(ls, f.String())
	}
	return trace.BadParameter("%s", strings.Join(ls, "\n"))
}

func (t *tool) read() ([]byte, error) {
	b, err := os.ReadFile(t.file)
	if err != nil {
		return nil, trace.BadParameter("%v; give an existing file, or /dev/stdin", err)
	}
	return b, nil
}

func (t *tool) change(method string) error {
	b, err := t.read()
	if err != nil {
		return err
	}
	r, out, err := t.do(method, "/v1/plan", b)
	if err != nil {
		return err
	}
	var a answer
	if r.StatusCode != 200 || json.Unmarshal(out, &a) != nil {
		return wrong(out)
	}
	fmt.Println("rev", a.Rev)
	return nil
}

func (t *tool) check() error {
	b, err := t.read()
	if err != nil {
		return err
	}
	if _, fs := plan.Parse(b); len(fs) > 0 {
		for _, f := range fs {
			fmt.Println(f)
		}
		os.Exit(1)
	}
	fmt.Println("no findings")
	return nil
}

func (t *tool) roster() error {
	n, err := strconv.ParseUint(t.rev, 10, 64)
	if err != nil || t.old == "" && t.addr == "" {
		return trace.BadParameter("give --if-step the step that dealer fleet shows, and --old, --new or both")
	}
	b, err := json.Marshal(map[string]any{"old": t.old, "addr": t.addr, "step": n})
	if err != nil {
		return err
	}
	t.rev = ""
	r, out, err := t.do(http.MethodPost, "/v1/roster", b)
	if err != nil {
		return err
	}
	if r.StatusCode != 200 {
		return wrong(out)
	}
	_, _ = os.Stdout.Write(out)
	return nil
}

func (t *tool) replay() error {
	f, err := os.Open(t.file)
	if err != nil {
		return trace.BadParameter("%v; give a file that a daemon wrote with --tape", err)
	}
	defer f.Close()
	n, err := replay.Replay(f)
	if err != nil {
		return err
	}
	fmt.Printf("%d events, every decision alike\n", n)
	return nil
}

func (t *tool) ready() error {
	end := time.Now().Add(time.Duration(t.wait) * time.Second)
	c := &http.Client{Timeout: time.Second}
	for _, n := range strings.Split(t.nodes, ",") {
		for {
			why := "it does not answer"
			r, err := c.Get("http://" + n + "/readyz")
			if err == nil {
				b, _ := io.ReadAll(r.Body)
				_ = r.Body.Close()
				if r.StatusCode == 200 {
					break
				}
				why = strings.TrimSpace(string(b))
			}
			if time.Now().After(end) {
				return trace.LimitExceeded("%s is not ready: %s; look at its log", n, why)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	fmt.Println("ready")
	return nil
}
