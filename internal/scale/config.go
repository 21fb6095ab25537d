package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"violetthread/internal/clock"
)

// change sends an operator's change to one control node.
func (r *run) change(ctx context.Context, i int, method string, body []byte) error {
	ctx, stop := context.WithTimeout(ctx, clock.Duration(3_000_000))
	defer stop()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+r.settings.Controls[i%len(r.settings.Controls)]+"/configuration", bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	q.Header.Set("If-Match", strconv.Itoa(r.version-1))
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return trace.ConnectionProblem(err, "a control node does not answer")
	}
	defer a.Body.Close()
	t, _ := io.ReadAll(io.LimitReader(a.Body, 4096))
	switch {
	case a.StatusCode >= 500:
		return trace.ConnectionProblem(nil, "the change was answered %d %s", a.StatusCode, t)
	case a.StatusCode != http.StatusOK:
		return trace.BadParameter("the change was answered %d %s", a.StatusCode, t)
	}
	return nil
}

func tenantText(i int) map[string]any {
	r := rand.New(rand.NewSource(int64(i)))
	return map[string]any{"name": fmt.Sprintf("tenant-%05d", i), "api-keys": []string{fmt.Sprintf("%016x%016x", r.Uint64(), r.Uint64())}, "priority": i % 3, "isolated": i%7 == 0}
}

// config is a whole configuration of a size.
func configText(s Size, version int) []byte {
	var rs, ss, ts []any
	for i := range modelCount {
		ss = append(ss, map[string]any{"name": fmt.Sprintf("service-%02d", i), "max-connections": 64, "engine-address": map[string]any{
			"capacity": 32, "cache-capacity-tokens": 400_000, "token-size-bytes": 18432, "bandwidth-mbps": 100000, "max-concurrency": 8,
			"models": []any{map[string]any{"name": fmt.Sprintf("model-%02d", i)}}}})
	}
	for i := range max(1, s.Tenants/10) {
		rs = append(rs, map[string]any{"name": fmt.Sprintf("route-%04d", i), "host": fmt.Sprintf("h%04d.example", i), "path-prefix": fmt.Sprintf("/v1/%04d/", i),
			"route-type": "streaming", "timeout-ms": 60000, "target-latency-ms": 450, "target-gap-ms": 35, "priority": 1,
			"service": fmt.Sprintf("service-%02d", i%modelCount), "max-attempts": 2, "session-affinity": true, "resumable": true})
	}
	for i := range s.Tenants {
		ts = append(ts, tenantText(i))
	}
	b, _ := json.Marshal(map[string]any{"version": version, "routes": rs, "services": ss, "tenants": ts}) // maps of plain values
	return b
}

// patch changes one tenant's key, as most changes do.
func patchText(version int) []byte {
	t := tenantText(1_000_000 + version)
	t["name"] = "tenant-00000"
	b, _ := json.Marshal(map[string]any{"version": version, "upsert": map[string]any{"tenants": []any{t}}})
	return b
}
