package sim

import (
	"violetthread/route"
)

const (
	operatorSilence = 1_000_000 // after which an operator goes on to another node
	operatorPause   = 50_000    // after a failure, growing
	operatorPauses  = 8         // times as long at most
	operatorShuns   = 5_000_000 // a node that was silent is not asked for so long, if another is left
)

// ConfigOperator sends changes of the configuration, one after the other, each until
// it has a clear answer, as the platform's operators do.
type ConfigOperator struct {
	*Host
	cluster *Cluster
	history *ConfigHistory
	// Base is the version that it takes for current.
	Base uint64
	// Pause is how long it waits before its next order.
	Pause int64
	// Routes is how many routes the n-th of its orders brings, 0 for a small merge.
	Routes func(n int) int
	// LosesReplies makes it miss all answers.
	LosesReplies bool
	// OnAccepted is called at each acknowledgement that it hears.
	OnAccepted func(o *ConfigOrder)
	// OnFinished is called at each acknowledgement or rejection that it hears.
	OnFinished func()
	order      *ConfigOrder
	sends      int // of this order
	count      int
	last       *ControlNode
	silent     map[*ControlNode]int64 // when last
	// SlowestTaken is the longest from sending an order to hearing of its end.
	SlowestOrderUS int64
}

// NewConfigOperator adds an operator.
func NewConfigOperator(cluster *Cluster, name, zone string, history *ConfigHistory) *ConfigOperator {
	o := &ConfigOperator{cluster: cluster, history: history, Pause: 100_000, silent: map[*ControlNode]int64{}}
	o.Host = cluster.world.NewHost(name, zone, func() { o.After(1+cluster.world.Rng.Int63n(o.Pause+1), o.next) })
	return o
}

// next sends a new order.
func (o *ConfigOperator) next() {
	if o.order != nil {
		return
	}
	o.count++
	o.sends = 0
	o.order = &ConfigOrder{id: len(o.history.orders) + 1, version: o.Base + 1}
	o.order.change = o.change(o.order)
	o.history.begin(o.order)
	o.send()
}

// change is a small merge, or a whole configuration of as many routes as asked for.
func (o *ConfigOperator) change(order *ConfigOrder) route.Change {
	routes := 0
	if o.Routes != nil {
		routes = o.Routes(o.count)
	}
	change := route.Change{Base: o.Base, HasBase: true}
	if o.Base == 0 || routes > 0 {
		change.Replace = true
		change.Body = []byte(wholeText(order, max(routes, 3)))
		return change
	}
	change.Body = []byte(mergeText(order))
	return change
}

// send sends the order as it stands to a node.
func (o *ConfigOperator) send() {
	o.sends++
	order, from := o.order, o.cluster.world.now
	node := o.chooseNode()
	o.last = node
	Call(o.Host, node.Host, order, operatorSilence,
		func(order *ConfigOrder, answer func(Reply)) {
			if o.cluster.isStepLost(StepOrder) {
				return
			}
			node.Edit(route.ConfigKey, changeConfiguration(order.change, o.history.texts), answer)
		},
		func(r Reply) {
			if o.LosesReplies || o.cluster.isStepLost(StepReply) {
				o.After(max(1, from+operatorSilence-o.cluster.world.now), o.resend)
				return
			}
			o.answered(order, r, from)
		},
		func() {
			o.silent[node] = o.cluster.world.now
			o.resend()
		})
}

// chooseNode is a node to send to, not the one that was just asked, nor one that was silent
// lately.
func (o *ConfigOperator) chooseNode() *ControlNode {
	var rest []*ControlNode
	now := o.cluster.world.now
	for _, node := range o.cluster.Nodes {
		at, silent := o.silent[node]
		if node != o.last && !node.removed && !(silent && now-at < operatorShuns) {
			rest = append(rest, node)
		}
	}
	if len(rest) == 0 {
		rest = o.cluster.Nodes
	}
	return rest[o.cluster.world.Rng.Intn(len(rest))]
}

// resend sends the same order again after a pause that grows.
func (o *ConfigOperator) resend() {
	o.After(int64(min(o.sends, operatorPauses))*operatorPause, o.send)
}

func (o *ConfigOperator) answered(order *ConfigOrder, answer Reply, from int64) {
	switch answer.Outcome {
	case OutcomeAccepted:
		o.history.acknowledged(order, o.sends > 1)
		o.Base = order.version
		o.finish()
		if o.OnAccepted != nil {
			o.OnAccepted(order)
		}
	case OutcomeStale:
		o.history.rejected(order, from)
		o.Base = answer.Version
		o.finish()
	case OutcomeInvalid:
		o.cluster.world.Violation("a good order was declined", "order %d on version %d", order.id, order.change.Base)
	default:
		o.resend()
	}
}

// finish ends an order and turns to the next.
func (o *ConfigOperator) finish() {
	o.SlowestOrderUS = max(o.SlowestOrderUS, o.cluster.world.now-o.order.sentAt)
	o.order = nil
	if o.OnFinished != nil {
		o.OnFinished()
	}
	o.After(1+o.Pause/2+o.cluster.world.Rng.Int63n(o.Pause+1), o.next)
}
