// The relays of a real fleet: every daemon is reached through one, which knows
// by the source address who calls, and so can cut any pair, one way or both. A
// cut connection is held, not closed, and goes on when the cut is over, as TCP
// would after retransmitting.
package sim

import (
	"context"
	"net"
	"sync"
)

// Net is the state of all cuts between host IPs.
type Net struct {
	mu   sync.Mutex
	cuts map[[2]string]int
	turn chan struct{}
}

func NewNet() *Net { return &Net{cuts: map[[2]string]int{}, turn: make(chan struct{})} }

// Cut begins or ends a cut of everything from one host to another. Cuts of the
// same pair add up.
func (n *Net) Cut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if on {
		n.cuts[[2]string{from, to}]++
	} else {
		n.cuts[[2]string{from, to}]--
	}
	close(n.turn)
	n.turn = make(chan struct{})
}

// pass waits until nothing is cut from one host to another.
func (n *Net) pass(ctx context.Context, from, to string) bool {
	for {
		n.mu.Lock()
		cut, turn := n.cuts[[2]string{from, to}] > 0, n.turn
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-turn:
		case <-ctx.Done():
			return false
		}
	}
}

// Relay listens for a daemon and carries its connections.
func (n *Net) Relay(ctx context.Context, listen, target string) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	host, _, _ := net.SplitHostPort(target)
	go func() { <-ctx.Done(); ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go n.carry(ctx, c, host, target)
		}
	}()
	return nil
}

func (n *Net) carry(ctx context.Context, c net.Conn, host, target string) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer c.Close()
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	if !n.pass(ctx, from, host) || !n.pass(ctx, host, from) {
		return
	}
	t, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer t.Close()
	go func() {
		defer stop()
		n.pump(ctx, c, t, from, host)
	}()
	go func() {
		defer stop()
		n.pump(ctx, t, c, host, from)
	}()
	<-ctx.Done()
}

func (n *Net) pump(ctx context.Context, in, out net.Conn, from, to string) {
	b := make([]byte, 64<<10)
	for {
		k, err := in.Read(b)
		if k > 0 {
			if !n.pass(ctx, from, to) {
				return
			}
			if _, err := out.Write(b[:k]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
