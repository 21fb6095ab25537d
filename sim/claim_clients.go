package sim

import (
	"fmt"

	"violetthread/quorum"
)

// ClaimClients race for claims: of all that ask for one key, at most one is ever told that
// it holds it.
type ClaimClients struct {
	cluster *Cluster
	holder  map[string]string
	Won     int
	// Late counts claims of generations that were over when they were asked for.
	Late int
}

// NewClaimClients adds so many clients that race for claims.
func NewClaimClients(cluster *Cluster, count int) *ClaimClients {
	clients := &ClaimClients{cluster: cluster, holder: map[string]string{}}
	for i := 0; i < count; i++ {
		host := cluster.world.NewHost(fmt.Sprint("claimer", i), "east", nil)
		number := 0
		host.boot = func() {
			host.Every(25_000, func() {
				number++
				era := max(1, cluster.newestGeneration())
				clients.claim(host, quorum.ClaimKey(era, fmt.Sprintf("g/%d", number/2)), fmt.Sprintf("%s-%d-%d", host.Name, host.process, number))
				if number%8 == 0 {
					// Much later somebody asks for what was long ago granted.
					clients.claim(host, quorum.ClaimKey(max(1, era-min(era, uint64(cluster.world.Rng.Intn(9)))), fmt.Sprintf("g/%d", cluster.world.Rng.Intn(number/2+1))), fmt.Sprintf("%s-%d-%d-late", host.Name, host.process, number))
				}
			})
		}
		host.Start()
	}
	return clients
}

func (c *ClaimClients) claim(host *Host, key, nonce string) {
	node := c.cluster.Nodes[c.cluster.world.Rng.Intn(len(c.cluster.Nodes))]
	Call(host, node.Host, quorum.Operation{Type: quorum.OpClaim, Key: key, Value: []byte(nonce)}, 900_000,
		node.serve,
		func(result quorum.Result) {
			if result.Status == quorum.StatusGenerationClosed {
				c.Late++
			}
			if result.Status != quorum.StatusDone {
				return
			}
			if o := c.holder[key]; o != "" && o != nonce {
				c.cluster.world.Violation("claimed twice", "%s by %s and %s", key, o, nonce)
			}
			c.holder[key] = nonce
			c.Won++
		}, func() {})
}
