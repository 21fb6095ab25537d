package sim

import (
	"fmt"

	"violetthread/quorum"
)

// lateClaimPeriod is the number of claims after which a client also requests a claim for an
// old key.
const lateClaimPeriod = 8

// ClaimClients compete for claims and check that each key is granted to at most one of them.
type ClaimClients struct {
	Won  int // granted claims, repeats included
	Late int // claims whose generation was already closed

	cluster *Cluster
	holder  map[string]string // by key: nonce of the client that was granted the claim
}

// NewClaimClients adds the given number of clients that compete for claims.
func NewClaimClients(cluster *Cluster, count int) *ClaimClients {
	clients := &ClaimClients{cluster: cluster, holder: map[string]string{}}
	for i := 0; i < count; i++ {
		host := cluster.world.NewHost(fmt.Sprint("claimer", i), "east", nil)
		number := 0
		host.boot = func() {
			host.Every(25_000, func() {
				number++
				clients.claimNext(host, number)
			})
		}
		host.Start()
	}
	return clients
}

// claimNext requests a claim for the next key, which other clients request as well, and
// from time to time one for an old key.
func (c *ClaimClients) claimNext(host *Host, number int) {
	generation := max(1, c.cluster.newestGeneration())
	nonce := fmt.Sprintf("%s-%d-%d", host.Name, host.process, number)
	c.claim(host, quorum.ClaimKey(generation, fmt.Sprintf("g/%d", number/2)), nonce)
	if number%lateClaimPeriod == 0 {
		rng := c.cluster.world.Rng
		earlier := max(1, generation-min(generation, uint64(rng.Intn(9))))
		key := quorum.ClaimKey(earlier, fmt.Sprintf("g/%d", rng.Intn(number/2+1)))
		c.claim(host, key, nonce+"-late")
	}
}

func (c *ClaimClients) claim(host *Host, key, nonce string) {
	node := pick(c.cluster.world, c.cluster.Nodes)
	op := quorum.Operation{Type: quorum.OpClaim, Key: key, Value: []byte(nonce)}
	Call(host, node.Host, op, 900_000, node.serve, func(result quorum.Result) {
		switch result.Status {
		case quorum.StatusGenerationClosed:
			c.Late++
		case quorum.StatusDone:
			c.granted(key, nonce)
		}
	}, func() {})
}

func (c *ClaimClients) granted(key, nonce string) {
	if other := c.holder[key]; other != "" && other != nonce {
		c.cluster.world.Violation("claimed twice", "%s by %s and %s", key, other, nonce)
	}
	c.holder[key] = nonce
	c.Won++
}
