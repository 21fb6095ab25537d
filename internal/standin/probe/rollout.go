package probe

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
)

const (
	maxIdleConnsRollout = 32
	revisionPollUS      = 2_000 // between two polls of a proxy's plan revision
	planRevisionMetric  = "violetthread_plan_rev"
	planPatchFormat     = `{"notes":{"rollout":%d}}`
	planPath            = "/v1/plan"
	metricsPath         = "/metrics"
)

// RolloutProbe measures how long an acknowledged change of the plan takes to be in force at
// all proxies.
type RolloutProbe struct {
	// Controls are the control nodes that the changes are sent to, in turn.
	Controls []string `json:"controls" old:"registrars" validate:"required,min=1,dive,ipport" help:"IP:port of control nodes' HTTP sides"`
	// Proxies are the gateways that must apply each change.
	Proxies []string `json:"proxies" validate:"required,min=1,dive,ipport" help:"IP:port of the gateways"`
	// Changes is the number of changes, made one after the other.
	Changes int `json:"times" validate:"min=1,max=10000" help:"changes to make"`
}

// RolloutDefaults returns the default settings.
func RolloutDefaults() RolloutProbe { return RolloutProbe{Changes: 20} }

// Run makes the changes, and prints the median and maximum of the time to the acknowledgement
// and of the time from then until the change is in force at all proxies.
func (p RolloutProbe) Run(out io.Writer) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsRollout}}
	var acknowledged, inForce []int64
	for i := range p.Changes {
		began := clock.Now()
		revision, err := changePlan(client, p.Controls[i%len(p.Controls)], began)
		if err != nil {
			return err
		}
		done := clock.Now()
		acknowledged = append(acknowledged, done-began)
		for _, proxy := range p.Proxies {
			if err := waitForRevision(client, proxy, revision); err != nil {
				return err
			}
		}
		inForce = append(inForce, clock.Now()-done)
	}
	fmt.Fprintf(out, "plan changes: %d; acknowledged after a median of %d us, worst %d us; in force at all %d proxies after a median of %d us, worst %d us\n",
		p.Changes, median(acknowledged), slices.Max(acknowledged), len(p.Proxies), median(inForce), slices.Max(inForce))
	return nil
}

// changePlan changes a note of the plan and returns the plan's new revision.
func changePlan(client *http.Client, control string, note int64) (revision uint64, err error) {
	request, err := http.NewRequest(http.MethodPatch, "http://"+control+planPath, strings.NewReader(fmt.Sprintf(planPatchFormat, note)))
	if err != nil {
		return 0, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var answer struct {
		Rev uint64 `json:"rev"`
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	if err != nil || response.StatusCode != http.StatusOK {
		return 0, trace.BadParameter("plan change failed with status %d", response.StatusCode)
	}
	return answer.Rev, nil
}

// waitForRevision polls a proxy until its plan has at least this revision.
func waitForRevision(client *http.Client, proxy string, revision uint64) error {
	for {
		current, err := planRevision(client, proxy)
		if err != nil || current >= revision {
			return err
		}
		taskgroup.Sleep(context.Background(), revisionPollUS)
	}
}

// planRevision reads the revision of the plan in force from a proxy's metrics.
func planRevision(client *http.Client, proxy string) (uint64, error) {
	response, err := client.Get("http://" + proxy + metricsPath)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), planRevisionMetric+" ")
		if !found {
			continue
		}
		var revision float64
		_, err := fmt.Sscan(text, &revision)
		return uint64(revision), err
	}
	return 0, trace.NotFound("%s has no metric %s", proxy, planRevisionMetric)
}
