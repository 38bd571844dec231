package peer

import (
	"context"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"buckthornpin"
	"buckthornpin/stream"
	"buckthornpin/wire"
)

// Attach implements wire.PeersHandler: it streams an answer of this router to another
// router.
func (g *Gossip) Attach(ctx context.Context, r *wire.AttachRequest, out *connect.ServerStream[wire.AttachReply]) error {
	k := buckthornpin.RequestKey{Organisation: r.GetOrganisation(), Key: r.GetKey()}
	reader := g.Answer(k, r.GetDigest(), int(r.GetOffset()))
	if reader == nil {
		return connect.NewError(connect.CodeNotFound, errors.New("no answer under this key"))
	}
	defer reader.Close()
	for {
		frames, whole, err := reader.Next(ctx)
		if err != nil {
			return connect.NewError(connect.CodeAborted, err)
		}
		if err := out.Send(&wire.AttachReply{Frames: toWire(frames), Whole: whole}); err != nil || whole {
			return err
		}
	}
}

func toWire(frames []stream.Frame) []*wire.AnswerFrame {
	out := make([]*wire.AnswerFrame, 0, len(frames))
	for _, f := range frames {
		out = append(out, &wire.AnswerFrame{To: int64(f.EndOffset), Data: f.Data})
	}
	return out
}

// CopyAnswer copies an answer from the router on a VM and passes its frames to receive.
// It returns nil only if the answer was copied whole.
func (g *Gossip) CopyAnswer(ctx context.Context, vm string, k buckthornpin.RequestKey, digest string, receive func(f stream.Frame)) error {
	address := g.PeerAddress(vm)
	if address == "" {
		return &Error{Op: "attach", Kind: KindUnknown, Err: errors.Errorf("router %s", vm)}
	}
	in, err := g.client(address).Attach(ctx, &wire.AttachRequest{Organisation: k.Organisation, Key: k.Key, Digest: digest})
	if err != nil {
		return &Error{Op: "attach", Kind: KindUnreachable, Err: err}
	}
	defer func() { _ = in.Close() }()
	for in.Receive() {
		for _, f := range in.Msg().GetFrames() {
			receive(stream.Frame{EndOffset: int(f.GetTo()), Data: f.GetData()})
		}
		if in.Msg().GetWhole() {
			return nil
		}
	}
	return &Error{Op: "attach", Kind: KindUnreachable, Err: in.Err()}
}
