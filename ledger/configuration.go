package ledger

import (
	"fmt"

	"buckthornpin/wire"
)

// maxConfigurations is the number of configuration versions that are kept.
const maxConfigurations = 1000

// Configuration returns the configuration in force, or nil if there is none yet.
func (l *Ledger) Configuration() *wire.ConfigurationState {
	if len(l.configurations) == 0 {
		return nil
	}
	return l.configurations[len(l.configurations)-1]
}

// putConfiguration accepts a new version only if it is based on the one in force,
// so that of two operators who edit the same version exactly one succeeds.
func (l *Ledger) putConfiguration(c *wire.Command, p *wire.PutConfiguration) *wire.Result {
	current := l.Configuration()
	if p.GetBaseVersion() != current.GetVersion() {
		return &wire.Result{
			Kind:    wire.ResultKind_RESULT_KIND_CONFLICT,
			Message: fmt.Sprintf("base version %d isn't in force: version %d by %q is", p.GetBaseVersion(), current.GetVersion(), current.GetAuthor()),
			Version: current.GetVersion(),
			Content: current.GetContent(),
		}
	}
	next := &wire.ConfigurationState{
		Version: current.GetVersion() + 1,
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
