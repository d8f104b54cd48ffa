package fleet

import (
	"context"
	"net"
	"sync"
)

// relayBufferBytes is the size of a relay's copy buffer.
const relayBufferBytes = 64 << 10

// Partitions simulates network partitions between hosts, in one or both directions. A relay in
// front of each daemon identifies the caller by its source address. A partitioned connection is
// stalled rather than closed and resumes when the partition ends, as TCP does after retransmission.
type Partitions struct {
	mu      sync.Mutex
	blocked map[hostPair]int
	changed chan struct{} // closed and replaced on each change
}

// hostPair is a direction of traffic between two IP addresses.
type hostPair struct{ from, to string }

// NewPartitions returns a network without partitions.
func NewPartitions() *Partitions {
	return &Partitions{blocked: map[hostPair]int{}, changed: make(chan struct{})}
}

// Set starts or ends a partition of the traffic from one host to another. Partitions of the same pair
// nest: traffic flows again once each has ended.
func (p *Partitions) Set(from, to string, block bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if block {
		p.blocked[hostPair{from, to}]++
	} else {
		p.blocked[hostPair{from, to}]--
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// awaitReachable waits until traffic from one host to another is not blocked. It returns false if the
// context ends first.
func (p *Partitions) awaitReachable(ctx context.Context, from, to string) bool {
	for {
		p.mu.Lock()
		blocked, changed := p.blocked[hostPair{from, to}] > 0, p.changed
		p.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Relay listens on an address and forwards its connections to target until the context ends.
func (p *Partitions) Relay(ctx context.Context, listen, target string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		listener.Close()
		return err
	}
	go func() { <-ctx.Done(); listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.proxy(ctx, conn, host, target)
		}
	}()
	return nil
}

// proxy forwards one connection in both directions while its hosts are not partitioned.
func (p *Partitions) proxy(ctx context.Context, conn net.Conn, host, target string) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer conn.Close()
	caller, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil || !p.awaitReachable(ctx, caller, host) || !p.awaitReachable(ctx, host, caller) {
		return
	}
	daemon, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer daemon.Close()
	go func() {
		defer stop()
		p.copyBytes(ctx, conn, daemon, caller, host)
	}()
	go func() {
		defer stop()
		p.copyBytes(ctx, daemon, conn, host, caller)
	}()
	<-ctx.Done()
}

func (p *Partitions) copyBytes(ctx context.Context, in, out net.Conn, from, to string) {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := in.Read(buffer)
		if n > 0 {
			if !p.awaitReachable(ctx, from, to) {
				return
			}
			if _, err := out.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
