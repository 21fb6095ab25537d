package sim

import (
	"violetthread/route"
)

const (
	operatorTimeoutUS      = 1_000_000 // time after which an operator tries another node
	operatorRetryDelayUS   = 50_000    // delay after the first failure, multiplied by the number of sends
	operatorMaxRetryFactor = 8         // limit of that multiplier
	operatorAvoidUS        = 5_000_000 // how long a node that timed out is avoided, if another one is left
)

// ConfigOperator sends changes of the configuration one at a time, each until it gets a
// definite answer, as the platform's operators do.
type ConfigOperator struct {
	*Host
	cluster *Cluster
	history *ConfigHistory
	// Base is the version that the operator takes to be current.
	Base uint64
	// Pause is the mean pause between two requests.
	Pause int64
	// Routes returns the number of routes of the n-th request, 0 for a small merge.
	Routes func(n int) int
	// LosesReplies makes the operator miss all answers.
	LosesReplies bool
	// OnAccepted is called at each acknowledgement that reaches the operator.
	OnAccepted func(o *ConfigRequest)
	// OnFinished is called at each acknowledgement or rejection that reaches the operator.
	OnFinished func()
	request    *ConfigRequest
	sends      int // how often the current request was sent
	count      int
	last       *ControlNode
	timedOutAt map[*ControlNode]int64 // when a request to the node last timed out
	// SlowestRequestUS is the longest time from sending a request to its definite answer.
	SlowestRequestUS int64
}

// NewConfigOperator adds an operator.
func NewConfigOperator(cluster *Cluster, name, zone string, history *ConfigHistory) *ConfigOperator {
	o := &ConfigOperator{cluster: cluster, history: history, Pause: 100_000, timedOutAt: map[*ControlNode]int64{}}
	o.Host = cluster.world.NewHost(name, zone, func() { o.After(1+cluster.world.Rng.Int63n(o.Pause+1), o.next) })
	return o
}

// next sends a new request, unless one is under way.
func (o *ConfigOperator) next() {
	if o.request != nil {
		return
	}
	o.count++
	o.sends = 0
	o.request = &ConfigRequest{id: len(o.history.requests) + 1, version: o.Base + 1}
	o.request.change = o.change(o.request)
	o.history.recordSent(o.request)
	o.send()
}

// change returns a small merge, or a whole configuration with the requested number of routes.
func (o *ConfigOperator) change(request *ConfigRequest) route.Change {
	routes := 0
	if o.Routes != nil {
		routes = o.Routes(o.count)
	}
	change := route.Change{Base: o.Base, HasBase: true}
	if o.Base == 0 || routes > 0 {
		change.Replace = true
		change.Body = []byte(wholeText(request, max(routes, 3)))
		return change
	}
	change.Body = []byte(mergeText(request))
	return change
}

// send sends the current request to a node.
func (o *ConfigOperator) send() {
	o.sends++
	request, from := o.request, o.cluster.world.now
	node := o.chooseNode()
	o.last = node
	Call(o.Host, node.Host, request, operatorTimeoutUS,
		func(request *ConfigRequest, answer func(Reply)) {
			if o.cluster.isStepLost(StepRequest) {
				return
			}
			node.Edit(route.ConfigKey, changeConfiguration(request.change, o.history.format), answer)
		},
		func(r Reply) {
			if o.LosesReplies || o.cluster.isStepLost(StepReply) {
				o.After(max(1, from+operatorTimeoutUS-o.cluster.world.now), o.resend)
				return
			}
			o.answered(request, r, from)
		},
		func() {
			o.timedOutAt[node] = o.cluster.world.now
			o.resend()
		})
}

// chooseNode picks a node other than the one asked last, avoiding nodes that timed out
// recently.
func (o *ConfigOperator) chooseNode() *ControlNode {
	var rest []*ControlNode
	now := o.cluster.world.now
	for _, node := range o.cluster.Nodes {
		at, timedOut := o.timedOutAt[node]
		if node != o.last && !node.removed && !(timedOut && now-at < operatorAvoidUS) {
			rest = append(rest, node)
		}
	}
	if len(rest) == 0 {
		rest = o.cluster.Nodes
	}
	return rest[o.cluster.world.Rng.Intn(len(rest))]
}

// resend sends the same request again after a delay that grows with the number of sends.
func (o *ConfigOperator) resend() {
	o.After(int64(min(o.sends, operatorMaxRetryFactor))*operatorRetryDelayUS, o.send)
}

func (o *ConfigOperator) answered(request *ConfigRequest, answer Reply, from int64) {
	switch answer.Outcome {
	case OutcomeAccepted:
		o.history.acknowledged(request, o.sends > 1)
		o.Base = request.version
		o.finish()
		if o.OnAccepted != nil {
			o.OnAccepted(request)
		}
	case OutcomeStale:
		o.history.rejected(request, from)
		o.Base = answer.Version
		o.finish()
	case OutcomeInvalid:
		o.cluster.world.Violation("valid request declined", "request %d on version %d", request.id, request.change.Base)
	default:
		o.resend()
	}
}

// finish ends the current request and schedules the next one.
func (o *ConfigOperator) finish() {
	o.SlowestRequestUS = max(o.SlowestRequestUS, o.cluster.world.now-o.request.sentAt)
	o.request = nil
	if o.OnFinished != nil {
		o.OnFinished()
	}
	o.After(1+o.Pause/2+o.cluster.world.Rng.Int63n(o.Pause+1), o.next)
}
