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
func (p *Partitions) Set(from, to string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut {
		p.cuts[[2]string{from, to}]++
	} else {
		p.cuts[[2]string{from, to}]--
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// awaitOpen waits until nothing is cut from one host to another.
func (p *Partitions) awaitOpen(ctx context.Context, from, to string) bool {
	for {
		p.mu.Lock()
		cut, turn := p.cuts[[2]string{from, to}] > 0, p.changed
		p.mu.Unlock()
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
func (p *Partitions) Relay(ctx context.Context, listen, target string) error {
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
			go p.proxy(ctx, c, host, target)
		}
	}()
	return nil
}

func (p *Partitions) proxy(ctx context.Context, c net.Conn, host, target string) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer c.Close()
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	if !p.awaitOpen(ctx, from, host) || !p.awaitOpen(ctx, host, from) {
		return
	}
	t, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer t.Close()
	go func() {
		defer stop()
		p.copyBytes(ctx, c, t, from, host)
	}()
	go func() {
		defer stop()
		p.copyBytes(ctx, t, c, host, from)
	}()
	<-ctx.Done()
}

func (p *Partitions) copyBytes(ctx context.Context, in, out net.Conn, from, to string) {
	b := make([]byte, 64<<10)
	for {
		k, err := in.Read(b)
		if k > 0 {
			if !p.awaitOpen(ctx, from, to) {
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
