package memory

// MarkSpare allows the account to drop the content when others need its room, unless it is lent.
// The holder must call Reclaim before it uses the content again.
func (b *Buffer) MarkSpare() {
	if b == nil {
		return
	}
	a := b.account
	a.mu.Lock()
	defer a.mu.Unlock()
	b.mayDrop = true
	b.update()
	for a.Size > 0 && a.owned.spare > a.Size/spareDivisor {
		a.drop(a.spares.Front().Value.(*Buffer))
	}
}

// Reclaim reports whether the content is still there, and keeps the account from dropping it.
func (b *Buffer) Reclaim() bool {
	if b == nil {
		return true
	}
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	b.mayDrop = false
	b.update()
	return !b.released
}

// addSpare makes a buffer the newest spare. The caller holds mu.
func (a *Account) addSpare(b *Buffer) {
	b.spare = a.spares.PushBack(b)
	a.countSpare(b, b.size)
}

// removeSpare removes a buffer from the spares. The caller holds mu.
func (a *Account) removeSpare(b *Buffer) {
	a.spares.Remove(b.spare)
	b.spare = nil
	a.countSpare(b, -b.size)
}

// countSpare books the room of a spare. The caller holds mu.
func (a *Account) countSpare(b *Buffer, bytes int64) {
	if bytes == 0 {
		return
	}
	for _, room := range []*ownedRoom{&a.owned, a.owners[b.owner]} {
		room.spare += bytes
		if b.large {
			room.spareLarge += bytes
		}
	}
}

// drop drops the content of a spare. The caller holds mu.
func (a *Account) drop(b *Buffer) {
	a.dropped++
	b.released = true
	b.update()
}
