package conn

import "sync"

// Clients keeps a client for each address. Its zero value is ready.
type Clients[C any] struct {
	mu    sync.Mutex
	known map[string]C
}

// Of returns the client of an address, made by newClient at the first call.
func (c *Clients[C]) Of(address string, newClient func() C) C {
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
