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

// Partitions is the state of all cuts between host IPs.
type Partitions struct {
	mu      sync.Mutex
	cuts    map[[2]string]int
	changed chan struct{}
}

func NewPartitions() *Partitions {
	return &Partitions{cuts: map[[2]string]int{}, changed: make(chan struct{})}
}

// Set begins or ends a cut of everything from one host to another. Cuts of the
// same pair add up.
func (n *Partitions) Set(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cuts[[2]string{from, to}]++
	} else {
		n.cuts[[2]string{from, to}]--
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// awaitOpen waits until nothing is cut from one host to another.
func (n *Partitions) awaitOpen(ctx context.Context, from, to string) bool {
	for {
		n.mu.Lock()
		cut, turn := n.cuts[[2]string{from, to}] > 0, n.changed
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
func (n *Partitions) Relay(ctx context.Context, listen, target string) error {
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
			go n.proxy(ctx, c, host, target)
		}
	}()
	return nil
}

func (n *Partitions) proxy(ctx context.Context, c net.Conn, host, target string) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer c.Close()
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	if !n.awaitOpen(ctx, from, host) || !n.awaitOpen(ctx, host, from) {
		return
	}
	t, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer t.Close()
	go func() {
		defer stop()
		n.copyBytes(ctx, c, t, from, host)
	}()
	go func() {
		defer stop()
		n.copyBytes(ctx, t, c, host, from)
	}()
	<-ctx.Done()
}

func (n *Partitions) copyBytes(ctx context.Context, in, out net.Conn, from, to string) {
	b := make([]byte, 64<<10)
	for {
		k, err := in.Read(b)
		if k > 0 {
			if !n.awaitOpen(ctx, from, to) {
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
