package memory

// Claim is room for content that its holder stores itself. It isn't safe for concurrent use.
type Claim struct {
	account *Account
	use     Use
	owner   string
	size    int64
}

// Claim returns an empty claim.
func (a *Account) Claim(u Use) *Claim { return &Claim{account: a, use: u} }

// ClaimRequest returns the room that a request of an organisation takes besides its body, or
// ErrFull.
func (a *Account) ClaimRequest(owner string, bytes int64) (*Claim, error) {
	c := &Claim{account: a, use: UseRequest, owner: owner}
	if !c.Resize(bytes) {
		return nil, &Error{Op: "take", Kind: KindFull}
	}
	return c, nil
}

// Resize changes the size of the claim, in bytes. It reports whether there is room.
func (c *Claim) Resize(size int64) bool {
	if c == nil || c.account == nil || size == c.size {
		return true
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	r := request{use: c.use, owner: c.owner, bytes: size - c.size, own: c.size}
	if size > c.size && !c.account.take(r) {
		return false
	}
	if size < c.size {
		c.account.add(r)
	}
	c.size = size
	return true
}

// Release gives the room back. Further calls have no effect.
func (c *Claim) Release() { c.Resize(0) }
