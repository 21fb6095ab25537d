package sim

import (
	"fmt"

	"violetthread/quorum"
)

// lateClaimPeriod is of how many claims one is followed by another for a key of long ago.
const lateClaimPeriod = 8

// ClaimClients race for claims: of all that ask for one key, at most one is ever told that
// it holds it.
type ClaimClients struct {
	Won  int // claims that were granted, repeats included
	Late int // claims of generations that were over when they were asked for

	cluster *Cluster
	holder  map[string]string // by key: the nonce that was told so
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
				clients.claimNext(host, number)
			})
		}
		host.Start()
	}
	return clients
}

// claimNext claims the next key, which another client asks for as well, and now and then one
// that was granted long ago.
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
