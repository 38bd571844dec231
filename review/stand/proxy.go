//go:build review

package main

import (
	"net"
	"sync/atomic"
)

// link is a proxy before one address. While it is cut, it drops all bytes silently.
type link struct {
	cut    atomic.Bool
	target string
	l      net.Listener
}

func newLink(target string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	k := &link{target: target, l: l}
	go k.run()
	return k
}

func (k *link) address() string { return k.l.Addr().String() }

func (k *link) run() {
	for {
		c, err := k.l.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

func (k *link) serve(c net.Conn) {
	defer c.Close()
	if k.cut.Load() {
		k.copy(nil, c)
		return
	}
	t, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer t.Close()
	go func() {
		k.copy(c, t)
		_ = c.Close()
	}()
	k.copy(t, c)
}

// copy copies bytes until one side ends. Bytes that come while the link is cut are lost, and
// the connection carries nothing any more.
func (k *link) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	lost := to == nil
	for {
		n, err := from.Read(buf)
		lost = lost || k.cut.Load()
		if n > 0 && !lost {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
