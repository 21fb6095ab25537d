package sim

import (
	"violetthread/agent"
	"violetthread/schema/fb"
)

// Runner is the agent beside a proxy.
type Agent struct {
	*Host
	fleet   *Fleet
	gateway string
	session session
	agent   *agent.Agent
	status  *fb.NodeT
}

func (a *Agent) start() {
	a.session, a.agent = session{}, agent.New(a.gateway, a.Zone)
	a.status = &fb.NodeT{Name: a.gateway, Role: "remisier", Zone: a.Zone}
	agent := a.agent
	a.fleet.keepSession(a.Host, &a.session, func() *fb.NodeT { return a.status }, nil)
	a.Every(120_000, func() {
		for _, query := range agent.Queries(a.Clock(), a.session.nodes) {
			indexNode, at := a.fleet.indexNodeNamed(query.Via), a.Clock()
			Call(a.Host, indexNode.Host, query.Request, 700_000, indexNode.issueGrants, func(response *fb.CapacityResponseT) {
				if a.fleet.HideTransferScores {
					for _, o := range response.Grants {
						o.TransferScores = nil
					}
				}
				agent.HandleResponse(query, at, response)
			}, func() { agent.HandleResponse(query, at, nil) })
		}
	})
}
