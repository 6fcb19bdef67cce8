package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// proxy stands before the RPC address of one machine. While a partition separates that machine
// from the sender of a channel, the channel is silent: its bytes are held up.
type proxy struct {
	c        *cluster
	to       *vm
	listener net.Listener
}

// partition holds the two sides of a partition of a cluster.
type partition struct {
	mu   sync.Mutex
	side map[*vm]int
}

var cut partition

// set starts a partition, or ends it with no sides.
func (p *partition) set(sides ...[]*vm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.side = make(map[*vm]int)
	for i, side := range sides {
		for _, v := range side {
			p.side[v] = i + 1
		}
	}
}

// separates reports whether the partition separates two machines.
func (p *partition) separates(a, b *vm) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.side[a] != 0 && p.side[b] != 0 && p.side[a] != p.side[b]
}

func startProxy(c *cluster, to *vm) (*proxy, error) {
	l, err := net.Listen("tcp", c.address(to.ip, portRPC))
	if err != nil {
		return nil, err
	}
	p := &proxy{c: c, to: to, listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *proxy) serve(conn net.Conn) {
	from := p.c.owner(conn.RemoteAddr().String(), conn.LocalAddr().String())
	p.hold(from)
	upstream, err := net.DialTimeout("tcp", p.c.address(p.to.ip, portRPCListen), time.Second)
	if err != nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
		return
	}
	go p.copy(from, upstream, conn)
	p.copy(from, conn, upstream)
}

// hold waits while a partition separates the machines.
func (p *proxy) hold(from *vm) {
	for from != nil && cut.separates(from, p.to) {
		time.Sleep(10 * time.Millisecond)
	}
}

func (p *proxy) copy(from *vm, to, source net.Conn) {
	defer to.Close()
	defer source.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := source.Read(buffer)
		p.hold(from)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// owner returns the machine whose process has the local end of a channel; nil if none has.
func (c *cluster) owner(local, remote string) *vm {
	inode := socketInode(local, remote)
	if inode == "" {
		return nil
	}
	for _, v := range c.vms {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", v.pid()))
		for _, f := range files {
			if name, err := os.Readlink(f); err == nil && name == "socket:["+inode+"]" {
				return v
			}
		}
	}
	return nil
}

// socketInode looks a channel up in the table of the kernel.
func socketInode(local, remote string) string {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	wantLocal, wantRemote := hexAddress(local), hexAddress(remote)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1] == wantLocal && fields[2] == wantRemote {
			return fields[9]
		}
	}
	return ""
}

func hexAddress(address string) string {
	h, p, _ := net.SplitHostPort(address)
	ip := net.ParseIP(h).To4()
	port, _ := strconv.Atoi(p)
	if ip == nil {
		return ""
	}
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], port)
}
