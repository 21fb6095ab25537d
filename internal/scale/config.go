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

const (
	requestTimeoutUS   = 3_000_000 // for a control node's answer to a change, or its metrics
	maxAnswerBytes     = 4096      // of an answer that is quoted in an error
	tenantsPerRoute    = 10
	changedTenant      = "tenant-00000"
	firstChangedNumber = 1_000_000 // beyond the tenants of any size
)

// change sends an operator's change to one control node. The error is a trace.BadParameter if
// the change is wrong, and a connection problem if it may be sent again.
func (r *run) change(ctx context.Context, i int, method string, body []byte) error {
	ctx, stop := context.WithTimeout(ctx, clock.Duration(requestTimeoutUS))
	defer stop()
	control := r.settings.Controls[i%len(r.settings.Controls)]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+control+"/configuration", bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	request.Header.Set("If-Match", strconv.Itoa(r.version-1))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return trace.ConnectionProblem(err, "a control node does not answer")
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	switch {
	case response.StatusCode >= http.StatusInternalServerError:
		return trace.ConnectionProblem(nil, "the change was answered %d %s", response.StatusCode, text)
	case response.StatusCode != http.StatusOK:
		return trace.BadParameter("the change was answered %d %s", response.StatusCode, text)
	}
	return nil
}

// tenant is a tenant of the configuration. Fields of these types are in the order of their
// names, since figures are compared with those of runs whose texts were sorted.
type tenant struct {
	APIKeys  []string `json:"api-keys"`
	Isolated bool     `json:"isolated"`
	Name     string   `json:"name"`
	Priority int      `json:"priority"`
}

type routeConfig struct {
	Host            string `json:"host"`
	MaxAttempts     int    `json:"max-attempts"`
	Name            string `json:"name"`
	PathPrefix      string `json:"path-prefix"`
	Priority        int    `json:"priority"`
	Resumable       bool   `json:"resumable"`
	RouteType       string `json:"route-type"`
	Service         string `json:"service"`
	SessionAffinity bool   `json:"session-affinity"`
	TargetGapMS     int    `json:"target-gap-ms"`
	TargetLatencyMS int    `json:"target-latency-ms"`
	TimeoutMS       int    `json:"timeout-ms"`
}

type modelConfig struct {
	Name string `json:"name"`
}

type engineConfig struct {
	BandwidthMbps       int           `json:"bandwidth-mbps"`
	CacheCapacityTokens int           `json:"cache-capacity-tokens"`
	Capacity            int           `json:"capacity"`
	MaxConcurrency      int           `json:"max-concurrency"`
	Models              []modelConfig `json:"models"`
	TokenSizeBytes      int           `json:"token-size-bytes"`
}

type serviceConfig struct {
	EngineAddress  engineConfig `json:"engine-address"`
	MaxConnections int          `json:"max-connections"`
	Name           string       `json:"name"`
}

// newTenant makes a tenant whose key follows from its number.
func newTenant(number int) tenant {
	random := rand.New(rand.NewSource(int64(number)))
	return tenant{
		APIKeys:  []string{fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())},
		Isolated: number%7 == 0,
		Name:     fmt.Sprintf("tenant-%05d", number),
		Priority: number % 3,
	}
}

func newRoute(number int) routeConfig {
	return routeConfig{
		Host:            fmt.Sprintf("h%04d.example", number),
		MaxAttempts:     2,
		Name:            fmt.Sprintf("route-%04d", number),
		PathPrefix:      fmt.Sprintf("/v1/%04d/", number),
		Priority:        1,
		Resumable:       true,
		RouteType:       "streaming",
		Service:         serviceName(number % modelCount),
		SessionAffinity: true,
		TargetGapMS:     35,
		TargetLatencyMS: 450,
		TimeoutMS:       60_000,
	}
}

// newService makes the service of a model.
func newService(model int) serviceConfig {
	return serviceConfig{
		EngineAddress: engineConfig{
			BandwidthMbps:       100_000,
			CacheCapacityTokens: 400_000,
			Capacity:            32,
			MaxConcurrency:      8,
			Models:              []modelConfig{{modelName(model)}},
			TokenSizeBytes:      18_432,
		},
		MaxConnections: 64,
		Name:           serviceName(model),
	}
}

func serviceName(model int) string { return fmt.Sprintf("service-%02d", model) }

func modelName(model int) string { return fmt.Sprintf("model-%02d", model) }

// numbered makes the values 0 to n-1.
func numbered[T any](n int, newValue func(int) T) (values []T) {
	for i := range n {
		values = append(values, newValue(i))
	}
	return values
}

// configText is a complete configuration of a size.
func configText(s Size, version int) []byte {
	text, _ := json.Marshal(struct { // plain values
		Routes   []routeConfig   `json:"routes"`
		Services []serviceConfig `json:"services"`
		Tenants  []tenant        `json:"tenants"`
		Version  int             `json:"version"`
	}{
		Routes:   numbered(max(1, s.Tenants/tenantsPerRoute), newRoute),
		Services: numbered(modelCount, newService),
		Tenants:  numbered(s.Tenants, newTenant),
		Version:  version,
	})
	return text
}

// patchText changes one tenant's key, as most changes do.
func patchText(version int) []byte {
	changed := newTenant(firstChangedNumber + version)
	changed.Name = changedTenant
	type upsert struct {
		Tenants []tenant `json:"tenants"`
	}
	text, _ := json.Marshal(struct { // plain values
		Upsert  upsert `json:"upsert"`
		Version int    `json:"version"`
	}{upsert{[]tenant{changed}}, version})
	return text
}
