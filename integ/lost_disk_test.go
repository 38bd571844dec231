package integ

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin/wire"
)

// TestLostDiskAndSecondLoss guards against losing acknowledged changes when two replicas
// lose their disks, one after the other. A replica that has lost its disk must not come back
// under its old identity, because it has lost its votes and entries. It is replaced,
// and right after that a second replica is lost. No acknowledged change may be lost.
func TestLostDiskAndSecondLoss(t *testing.T) {
	s := startSite(t, plan{controls: 3, routers: 1, engines: 1})
	s.createOrganisation("fleet", 5000)
	lost := s.controls[0]
	s.kill(lost)
	require.NoError(t, os.RemoveAll(lost.settings.Control.DataDir))

	t.Run("an emptied disk is refused", func(t *testing.T) {
		s.spawn(lost)
		require.Error(t, <-lost.exited)
		lost.exited <- nil
		require.Contains(t, lost.log.String(), "buckthornpin init")
	})

	s.topUp(700)
	s.replaceReplica(lost, "control-1b")
	s.topUp(30)
	secondLost := s.controls[1]
	s.kill(secondLost)
	require.NoError(t, os.RemoveAll(secondLost.settings.Control.DataDir))
	s.topUp(4)
	require.Equal(t, int64(5734), s.budget("fleet").GetPaid())
	req := callerRequest{organisation: "fleet", content: "a brief after two losses"}
	s.requireCompleteAnswer(req, s.send("router-1", req))
	s.requireBill("fleet", req.cost())
}

func (s *site) topUp(tokens int64) {
	s.t.Helper()
	c := &wire.Command{Op: &wire.Command_TopUp{TopUp: &wire.TopUp{Organisation: "fleet", Tokens: tokens}}}
	require.Equal(s.t, wire.ResultKind_RESULT_KIND_OK, s.commitChange(c).GetKind())
}

// replaceReplica replaces a lost replica as the operators' documentation describes: it
// removes the old member, adds a new one, and initialises a new disk that joins the group.
func (s *site) replaceReplica(v *vm, id string) {
	s.t.Helper()
	s.memberCommand("remove", v.name)
	s.memberCommand("add", id, v.settings.Control.Address)
	s.runCommand("init", "-config", filepath.Join(s.folder, v.name+".json"), "-join", "-replica", id)
	s.restart(v)
	s.eventually("the replacement is a voter", func() bool {
		for _, line := range strings.Split(s.memberCommand("list"), "\n") {
			if strings.HasPrefix(line, id) {
				return strings.HasSuffix(strings.TrimSpace(line), "voter")
			}
		}
		return false
	})
}

// memberCommand runs the member command through the control processes that are online.
func (s *site) memberCommand(args ...string) string {
	s.t.Helper()
	key := filepath.Join(s.folder, "operator.key")
	require.NoError(s.t, os.WriteFile(key, []byte(operatorKey+"\n"), 0o600))
	var urls []string
	for _, c := range s.controls {
		if !s.offline[c.name] {
			urls = append(urls, "http://"+c.settings.Operator.Address)
		}
	}
	return s.runCommand(append([]string{"member", "-key-file", key, "-url", strings.Join(urls, ",")}, args...)...)
}
