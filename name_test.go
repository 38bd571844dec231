package buckthornpin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

func TestCheckName(t *testing.T) {
	valid := []string{"i-7f3a91c2", "a name", "café", strings.Repeat("x", MaxNameBytes)}
	for _, name := range valid {
		require.NoError(t, CheckName(name), "%q", name)
	}
	invalid := []string{
		"", " ", " a", "a ", "a\t", "a\r\n", "\na", "a\nb", "a\rb", "a\x00b", "a\x7f", "a\u0085b", "a\u00a0", "a\u2028",
		"\xff", "a\xc3", "\xed\xa0\x80", "a\ufffdb", strings.Repeat("x", MaxNameBytes+1),
	}
	for _, name := range invalid {
		require.Error(t, CheckName(name), "%q", name)
	}
}

// FuzzCheckName guards against names that are accepted and changed, or cut, by a header or by a
// message between processes.
func FuzzCheckName(f *testing.F) {
	for _, seed := range []string{"i-1", "i-1\r\n", "i-\xff", " i", "é"} {
		f.Add(seed)
	}
	var got http.Header
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.Header }))
	f.Cleanup(s.Close)
	f.Fuzz(func(t *testing.T, name string) {
		if CheckName(name) != nil {
			return
		}
		r, err := http.NewRequest(http.MethodGet, s.URL, nil)
		require.NoError(t, err)
		r.Header.Set("X-Name", name)
		a, err := s.Client().Do(r)
		require.NoError(t, err)
		require.NoError(t, a.Body.Close())
		require.Equal(t, []string{name}, got["X-Name"])

		data, err := proto.Marshal(wrapperspb.String(name))
		require.NoError(t, err)
		var read wrapperspb.StringValue
		require.NoError(t, proto.Unmarshal(data, &read))
		require.Equal(t, name, read.GetValue())
	})
}
