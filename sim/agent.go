package sim

import (
	"violetthread/agent"
	"violetthread/membership"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// Agent runs the agent of a gateway, connected to the simulated world.
type Agent struct {
	*Host
	fleet   *Fleet
	gateway string // name of the gateway
	session session
	agent   *agent.Agent
	status  *fb.NodeT // the gateway's status as of its last poll
}

func (a *Agent) start() {
	a.session, a.agent = session{}, agent.New(a.gateway, a.Zone)
	a.status = &fb.NodeT{Name: a.gateway, Role: membership.RoleGateway, Zone: a.Zone}
	a.fleet.keepSession(a.Host, &a.session, func() *fb.NodeT { return a.status }, nil)
	a.Every(120_000, func() {
		for _, query := range a.agent.Queries(a.Clock(), a.session.nodes) {
			a.sendQuery(query)
		}
	})
}

// sendQuery sends a capacity query to its index node.
func (a *Agent) sendQuery(query agent.Query) {
	indexNode, askedAt := a.fleet.indexNodeNamed(query.Via), a.Clock()
	Call(a.Host, indexNode.Host, query.Request, 700_000, indexNode.issueGrants, func(response *fb.CapacityResponseT) {
		if a.fleet.HideTransferScores {
			for _, grant := range response.Grants {
				grant.TransferScores = nil
			}
		}
		a.agent.HandleResponse(query, askedAt, response)
	}, func() { a.agent.HandleResponse(query, askedAt, nil) })
}

// answerGateway serves a poll of the gateway.
func (a *Agent) answerGateway(request *fb.FeedRequestT, reply func(*fb.FeedResponseT)) {
	a.status = request.Node
	reply(a.agent.Poll(a.Clock(), &a.session.plan, a.session.generation, request))
}

// propose forwards the gateway's operation to the control nodes.
func (a *Agent) propose(op quorum.Operation, reply func(quorum.Result)) {
	a.fleet.propose(a.Host, &a.session, a.session.current, op, 1_900_000, func(result quorum.Result, ok bool) {
		if !ok {
			result.Status = quorum.StatusUnknown
		}
		reply(result)
	})
}
