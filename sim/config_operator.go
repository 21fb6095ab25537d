package sim

import (
	"fmt"
	"strings"

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
	// OnTaken is called at each acknowledgement that it hears.
	OnAccepted func(o *ConfigOrder)
	// OnClear is called at each acknowledgement or refusal that it hears.
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

// mergedRoutes is how many routes merges take turns in replacing.
const mergedRoutes = 6

func routeText(name, prefix string) string {
	return fmt.Sprintf(`{"name":%q,"host":"calls.example","path-prefix":%q,"route-type":"idempotent","timeout-ms":2000,"target-latency-ms":600,"priority":1,"max-attempts":2,"traffic-split":[{"service":"engines","weight":3},{"service":"others","weight":1}]}`, name, prefix)
}

// keyPrefix begins the key that an order brings.
const keyPrefix = "key-of-order-"

func tenantText(order *ConfigOrder) string {
	return fmt.Sprintf(`{"name":"desk","api-keys":["%s%d"]}`, keyPrefix, order.id)
}

func wholeText(order *ConfigOrder, routes int) string {
	var rs []string
	for i := range routes {
		rs = append(rs, routeText(fmt.Sprint("route", i), fmt.Sprintf("/order%d/%d/", order.id, i)))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"engines","max-connections":8},{"name":"others"}],"tenants":[%s],"limits":{"idle-timeout-ms":5000}}`,
		order.version, strings.Join(rs, ","), tenantText(order))
}

func mergeText(order *ConfigOrder) string {
	name := fmt.Sprint("merged", order.id%mergedRoutes)
	return fmt.Sprintf(`{"version":%d,"upsert":{"routes":[%s],"tenants":[%s]}}`,
		order.version, routeText(name, fmt.Sprintf("/merged%d/", order.id)), tenantText(order))
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

// ConfigReader reads the configuration back at any node, again and again.
type ConfigReader struct {
	*Host
	cluster *Cluster
	history *ConfigHistory
	// Only are the nodes that it reads at, nil for any.
	Only []*ControlNode
}

// NewConfigReader adds a reader.
func NewConfigReader(cluster *Cluster, name, zone string, history *ConfigHistory, every int64) *ConfigReader {
	r := &ConfigReader{cluster: cluster, history: history}
	r.Host = cluster.world.NewHost(name, zone, func() { r.Every(every, r.read) })
	return r
}

func (r *ConfigReader) read() {
	nodes := r.Only
	if nodes == nil {
		nodes = r.cluster.Nodes
	}
	node := nodes[r.cluster.world.Rng.Intn(len(nodes))]
	r.readAt(node, func(bool) {})
}

// registerValue is a register as a node answers for it.
type registerValue struct {
	value []byte
	ok    bool
}

// readAt reads at one node, and tells whether there was an answer.
func (r *ConfigReader) readAt(node *ControlNode, done func(ok bool)) {
	from := r.cluster.world.now
	Call(r.Host, node.Host, 0, operatorSilence,
		func(_ int, reply func(registerValue)) {
			node.Read(route.ConfigKey, func(value []byte, _ uint64, ok bool) { reply(registerValue{value, ok}) })
		},
		func(a registerValue) {
			if a.ok {
				r.history.read(from, a.value)
			}
			done(a.ok)
		},
		func() { done(false) })
}
