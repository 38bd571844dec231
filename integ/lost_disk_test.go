package integ

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin/wire"
)

// TestLostDiskAndSecondLoss: a replica loses its disk and must not come back
// under its old identity; it is replaced; right after the repair a second one
// is lost. Nothing acknowledged is lost.
func TestLostDiskAndSecondLoss(t *testing.T) {
	s := start(t, plan{controls: 3, routers: 1, engines: 1})
	s.organisation("fleet", 5000)
	lost := s.controls[0]
	s.kill(lost)
	require.NoError(t, os.RemoveAll(lost.settings.Ctrl.DataDir))

	t.Run("an emptied disk is refused", func(t *testing.T) {
		s.spawn(lost)
		require.Error(t, <-lost.ended)
		lost.ended <- nil
		require.Contains(t, lost.log.String(), "buckthornpin init")
	})

	s.topUp(700)
	s.replace(lost, "control-1b")
	s.topUp(30)
	second := s.controls[1]
	s.kill(second)
	require.NoError(t, os.RemoveAll(second.settings.Ctrl.DataDir))
	s.topUp(4)
	require.Equal(t, int64(5734), s.budget("fleet").GetPaid())
	a := ask{org: "fleet", content: "a brief after two losses"}
	s.requireWhole(a, s.send("router-1", a))
	s.requireBill("fleet", a.cost())
}

func (s *site) topUp(tokens int64) {
	s.t.Helper()
	c := &wire.Command{Op: &wire.Command_TopUp{TopUp: &wire.TopUp{Organisation: "fleet", Tokens: tokens}}}
	require.Equal(s.t, wire.ResultKind_RESULT_KIND_OK, s.change(c).GetKind())
}

// replace repairs a lost replica as the operators' page says.
func (s *site) replace(v *vm, id string) {
	s.t.Helper()
	s.member("remove", v.name)
	s.member("add", id, v.settings.Ctrl.Address)
	s.command("init", "-config", filepath.Join(s.folder, v.name+".json"), "-join", "-replica", id)
	s.restart(v)
	s.eventually("the replacement votes", func() bool {
		for _, line := range strings.Split(s.member("list"), "\n") {
			if strings.HasPrefix(line, id) {
				return strings.HasSuffix(strings.TrimSpace(line), "voter")
			}
		}
		return false
	})
}

// member runs the member command through a process that answers.
func (s *site) member(args ...string) string {
	s.t.Helper()
	key := filepath.Join(s.folder, "operator.key")
	require.NoError(s.t, os.WriteFile(key, []byte(operatorKey+"\n"), 0o600))
	var urls []string
	for _, c := range s.controls {
		if !s.offline[c.name] {
			urls = append(urls, "http://"+c.settings.Oper.Address)
		}
	}
	return s.command(append([]string{"member", "-key-file", key, "-url", strings.Join(urls, ",")}, args...)...)
}
