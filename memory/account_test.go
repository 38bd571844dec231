package memory

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const mb = 1 << 20

// read fills a buffer with n bytes.
func read(t *testing.T, b *Buffer, n int) {
	t.Helper()
	_, err := b.ReadFrom(strings.NewReader(strings.Repeat("x", n)))
	require.NoError(t, err)
}

func newBody(t *testing.T, a *Account, owner string, n int64) *Buffer {
	t.Helper()
	b, err := a.NewBody(owner, n, 4*mb)
	require.NoError(t, err)
	return b
}

// fill takes bodies of a size until the account has no room for another one of the owner.
func fill(a *Account, owner string, n int64) []*Buffer {
	var out []*Buffer
	for {
		b, err := a.NewBody(owner, n, 4*mb)
		if err != nil {
			return out
		}
		out = append(out, b)
	}
}

func requireEmpty(t *testing.T, a *Account) {
	t.Helper()
	u := a.Usage()
	require.Equal(t, [4]int64{}, [4]int64{u.Held, u.Large, u.Spare, int64(u.Owners)}, "all room is given back")
}

// TestStatedLengthIsTakenAtOnce guards against bodies that are refused when a part of them has
// arrived: room for the stated length is there, whatever comes in between.
func TestStatedLengthIsTakenAtOnce(t *testing.T) {
	a := &Account{Size: 16 * mb}
	b := newBody(t, a, "one", 4*mb)
	require.Equal(t, int64(4*mb), a.Usage().Held)
	others := fill(a, "two", 100<<10)
	read(t, b, 4*mb)
	require.Equal(t, int64(4*mb), b.Len())
	b.Release()
	for _, o := range others {
		o.Release()
	}
	requireEmpty(t, a)
}

// TestContentIsKept checks that content of any length is kept as it came, with and without a
// stated length, and that its room is close to its size.
func TestContentIsKept(t *testing.T) {
	for _, n := range []int{1, 1023, 1024, 1025, 5000, 64 << 10, 64<<10 + 1, 300_000, 4 * mb} {
		for _, stated := range []int64{int64(n), -1} {
			t.Run(fmt.Sprint(n, stated), func(t *testing.T) {
				a := &Account{Size: 32 * mb}
				content := make([]byte, n)
				for i := range content {
					content[i] = byte(i % 251)
				}
				b, err := a.NewBody("o", stated, 4*mb)
				require.NoError(t, err)
				_, err = b.ReadFrom(iotestReader{bytes.NewReader(content)})
				require.NoError(t, err)
				require.Equal(t, content, bytes.Join(b.Pieces(), nil))
				require.LessOrEqual(t, a.Usage().Held, int64(4*n+maxPieceBytes))
				b.Release()
				b.Release()
				requireEmpty(t, a)
			})
		}
	}
}

// iotestReader yields odd parts and the end by itself.
type iotestReader struct{ r io.Reader }

func (r iotestReader) Read(p []byte) (int, error) { return r.r.Read(p[:min(len(p), 777)]) }

func TestContentThatIsTooLong(t *testing.T) {
	a := &Account{Size: 32 * mb}
	for _, stated := range []int64{10, -1} {
		b, err := a.NewBody("o", stated, 10)
		require.NoError(t, err)
		_, err = b.ReadFrom(strings.NewReader(strings.Repeat("x", 11)))
		require.ErrorIs(t, err, ErrTooLong)
		b.Release()
	}
	requireEmpty(t, a)
}

// TestUnstatedBodyIsRefusedEarly checks that a body without a stated length, for which there is no
// room, is refused before much of it has arrived.
func TestUnstatedBodyIsRefusedEarly(t *testing.T) {
	a := &Account{Size: 16 * mb}
	held := fill(a, "one", 1*mb)
	b, err := a.NewBody("one", -1, 4*mb)
	require.NoError(t, err)
	n, err := b.ReadFrom(strings.NewReader(strings.Repeat("x", 4*mb)))
	require.ErrorIs(t, err, ErrFull)
	require.LessOrEqual(t, n, int64(2*SmallBytes))
	b.Release()
	for _, h := range held {
		h.Release()
	}
	requireEmpty(t, a)
}

// TestOneOwnerLeavesRoomForOthers guards against an organisation whose bodies turn away those of
// others: a body of theirs fits, of any size, however many it sends.
func TestOneOwnerLeavesRoomForOthers(t *testing.T) {
	for _, size := range []int64{4 * mb, 1 * mb, 100 << 10, 4 << 10} {
		a := &Account{Size: 37 * mb}
		held := fill(a, "crowd", size)
		require.NotEmpty(t, held)
		require.Greater(t, a.Usage().Held, a.Size/3, "one organisation may use much of what others don't")
		for _, other := range []int64{4 * mb, 100 << 10, 4 << 10} {
			b, err := a.NewBody("other", other, 4*mb)
			require.NoError(t, err, "%d beside a crowd of %d", other, size)
			b.Release()
		}
	}
}

// TestLargeBodiesLeaveRoomForSmallOnes guards against small requests that are refused because of
// large ones and of answers, of any number of organisations.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	a := &Account{Size: 37 * mb}
	for n := range 20 {
		fill(a, fmt.Sprint(n), 4*mb)
		fill(a, fmt.Sprint(n), 200<<10)
	}
	for a.Claim(UseAnswer).Resize(mb) {
	}
	for range 100 {
		newBody(t, a, "small", 64<<10)
	}
	require.LessOrEqual(t, a.Usage().Held, a.Size)
}

// TestSpareIsDroppedForOthers checks that a body which is only kept in case its stream has to be
// resumed yields to a new one, the oldest first, and tells its holder.
func TestSpareIsDroppedForOthers(t *testing.T) {
	a := &Account{Size: 24 * mb}
	first, second := newBody(t, a, "one", 4*mb), newBody(t, a, "one", 2*mb)
	first.MarkSpare()
	second.MarkSpare()
	require.Equal(t, int64(6*mb), a.Usage().Spare)
	held := []*Buffer{newBody(t, a, "two", 4*mb), newBody(t, a, "two", 4*mb), newBody(t, a, "three", 4*mb), newBody(t, a, "four", 4*mb)}
	require.Equal(t, int64(1), a.Usage().Dropped)
	require.False(t, first.Reclaim())
	require.True(t, second.Reclaim())
	require.Zero(t, a.Usage().Spare)
	for _, b := range append(held, first, second) {
		b.Release()
	}
	requireEmpty(t, a)
}

// TestSparesAreBounded checks that bodies which will probably not be needed take only a part of
// the account.
func TestSparesAreBounded(t *testing.T) {
	a := &Account{Size: 24 * mb}
	for n := range 100 {
		newBody(t, a, fmt.Sprint(n), 1*mb).MarkSpare()
		require.LessOrEqual(t, a.Usage().Held, a.Size/4)
	}
}

// TestLentBodyIsNotDropped guards against a body whose memory is used for another one while it is
// still written to an endpoint.
func TestLentBodyIsNotDropped(t *testing.T) {
	a := &Account{Size: 24 * mb}
	b := newBody(t, a, "one", 4*mb)
	read(t, b, 4*mb)
	content, end := b.Lend()
	b.MarkSpare()
	require.Zero(t, a.Usage().Spare)
	b.Release()
	fill(a, "two", 4*mb)
	for _, piece := range content {
		require.Equal(t, strings.Repeat("x", len(piece)), string(piece))
	}
	held := a.Usage().Held
	end()
	require.Equal(t, held-4*mb, a.Usage().Held, "room is given back when the loan ends")
}

func TestSpareWaitsForTheEndOfItsLoan(t *testing.T) {
	a := &Account{Size: 24 * mb}
	b := newBody(t, a, "one", 4*mb)
	_, end := b.Lend()
	b.MarkSpare()
	end()
	require.Equal(t, int64(4*mb), a.Usage().Spare)
	require.True(t, b.Reclaim())
}

// TestWait checks that the stated wait follows from how long bodies are held.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{Size: 24 * mb}
		require.Equal(t, unknownWait, a.Wait(4*mb))
		for range 50 {
			b := newBody(t, a, "one", 4*mb)
			time.Sleep(400 * time.Millisecond)
			b.Release()
		}
		held := []*Buffer{newBody(t, a, "one", 4*mb), newBody(t, a, "one", 4*mb)}
		require.InDelta(t, 200*time.Millisecond, a.Wait(4*mb), float64(time.Millisecond))
		require.Equal(t, minWait, a.Wait(1))
		for _, b := range held {
			b.Release()
		}
	})
}

func TestClaim(t *testing.T) {
	a := &Account{Size: 16 * mb}
	c := a.Claim(UseEvent)
	require.True(t, c.Resize(2*mb))
	require.False(t, c.Resize(2*mb+1), "events take an eighth at most")
	require.Equal(t, int64(2*mb), a.Usage().Uses[UseEvent.String()])
	c.Release()
	requireEmpty(t, a)
	var none *Account
	require.True(t, none.Claim(UseAnswer).Resize(1<<40))
}

// FuzzAccount plays any order of takes, loans, drops and returns. The account is never above its
// size, content that is lent stays as it is, and nothing is left in the end.
func FuzzAccount(f *testing.F) {
	f.Add([]byte{0, 200, 1, 2, 3, 4, 5, 6, 7, 8, 9, 0, 250, 4, 0, 250, 4, 0, 250})
	f.Add(bytes.Repeat([]byte{0, 255, 16, 255, 4, 20, 36, 6}, 20))
	f.Add(bytes.Repeat([]byte{0, 17, 8, 17, 16, 17, 24, 17}, 60))
	f.Fuzz(func(t *testing.T, steps []byte) {
		g := &accountGame{t: t, account: &Account{Size: 16 * mb}}
		for len(steps) >= 2 {
			g.step(steps[0], steps[1])
			steps = steps[2:]
		}
		g.end()
	})
}

// accountGame uses an account in the way that a router does.
type accountGame struct {
	t       *testing.T
	account *Account
	bodies  []*gameBody
	claims  []*Claim
}

type gameBody struct {
	*Buffer
	fill  byte
	loans []func()
	lent  [][]byte
	spare bool
}

func (g *accountGame) step(op, arg byte) {
	n := int64(1) << (arg % 23)
	switch op % 8 {
	case 0, 1:
		g.take(op, arg, n)
	case 2:
		c := g.account.Claim(Use(1 + arg%5))
		c.Resize(n)
		g.claims = append(g.claims, c)
	case 3:
		if len(g.claims) > 0 {
			g.claims[int(arg)%len(g.claims)].Resize(n)
		}
	default:
		if len(g.bodies) > 0 {
			g.use(g.bodies[int(arg)%len(g.bodies)], op%8)
		}
	}
	u := g.account.Usage()
	require.LessOrEqual(g.t, u.Held, u.Size)
	require.LessOrEqual(g.t, u.Large, u.Size*3/4)
	require.GreaterOrEqual(g.t, u.Held, u.Large)
	require.GreaterOrEqual(g.t, u.Spare, int64(0))
}

// take reads a body with a stated length, or one without.
func (g *accountGame) take(op, arg byte, n int64) {
	stated := n
	if op%8 == 1 {
		stated = -1
	}
	b, err := g.account.NewBody(fmt.Sprint(op/8%4), stated, 4*mb)
	if err != nil {
		require.ErrorIs(g.t, err, ErrFull)
		return
	}
	if _, err = b.ReadFrom(bytes.NewReader(bytes.Repeat([]byte{arg}, int(n)))); err != nil {
		require.True(g.t, errors.Is(err, ErrFull) && stated < 0, "%v", err)
		b.Release()
		return
	}
	g.bodies = append(g.bodies, &gameBody{Buffer: b, fill: arg})
}

func (g *accountGame) use(b *gameBody, op byte) {
	switch op {
	case 4:
		if !b.spare || b.Reclaim() {
			b.spare = false
			content, end := b.Lend()
			b.lent, b.loans = append(b.lent, content...), append(b.loans, end)
		}
	case 5:
		b.MarkSpare()
		b.spare = true
	case 6:
		g.endLoans(b)
	case 7:
		b.Release()
	}
}

func (g *accountGame) endLoans(b *gameBody) {
	for _, piece := range b.lent {
		require.Equal(g.t, len(piece), bytes.Count(piece, []byte{b.fill}))
	}
	for _, end := range b.loans {
		end()
	}
	b.loans, b.lent = nil, nil
}

func (g *accountGame) end() {
	for _, b := range g.bodies {
		g.endLoans(b)
		b.Release()
	}
	for _, c := range g.claims {
		c.Release()
	}
	requireEmpty(g.t, g.account)
}
