package ledger

import (
	"fmt"

	"buckthornpin/wire"
)

// maxConfigurations bounds the history that is kept.
const maxConfigurations = 1000

// Configuration returns the version in force, or nil before the first.
func (l *Ledger) Configuration() *wire.ConfigurationState {
	if len(l.configurations) == 0 {
		return nil
	}
	return l.configurations[len(l.configurations)-1]
}

// putConfiguration accepts a version only on top of the one in force: of two
// operators who start from the same version exactly one wins.
func (l *Ledger) putConfiguration(c *wire.Command, p *wire.PutConfiguration) *wire.Result {
	now := l.Configuration()
	if p.GetBaseVersion() != now.GetVersion() {
		return &wire.Result{
			Kind:    wire.ResultKind_RESULT_KIND_CONFLICT,
			Message: fmt.Sprintf("base version %d isn't in force: version %d by %q is", p.GetBaseVersion(), now.GetVersion(), now.GetAuthor()),
			Version: now.GetVersion(),
			Content: now.GetContent(),
		}
	}
	next := &wire.ConfigurationState{
		Version: now.GetVersion() + 1,
		Content: p.GetContent(),
		Author:  p.GetAuthor(),
		AtMs:    l.nowMS,
		Change:  c.GetId(),
	}
	l.configurations = append(l.configurations, next)
	if len(l.configurations) > maxConfigurations {
		l.configurations = l.configurations[1:]
	}
	l.nextRevision()
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, Version: next.GetVersion()}
}
