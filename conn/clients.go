package conn

import "sync"

// Clients holds one client for each address. Its zero value is ready to use.
type Clients[C any] struct {
	mu    sync.Mutex
	known map[string]C
}

// Get returns the client of an address. The first call for an address creates it with
// newClient.
func (c *Clients[C]) Get(address string, newClient func() C) C {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.known[address]
	if !ok {
		if c.known == nil {
			c.known = map[string]C{}
		}
		client = newClient()
		c.known[address] = client
	}
	return client
}
