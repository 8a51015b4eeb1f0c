package main

import (
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against daemons that cannot restart because a connection of this or
// another soak test has taken their port.
func TestFreeAddressIsNotUsedByConnections(t *testing.T) {
	addr, err := freeAddress()
	require.NoError(t, err)
	l, err := net.Listen("tcp4", addr)
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp4", addr)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	source, _, err := net.SplitHostPort(c.LocalAddr().String())
	require.NoError(t, err)
	host, _, err := net.SplitHostPort(addr)
	require.NoError(t, err)
	require.NotEqual(t, host, source)
}

// Guards against a second process of a daemon that is started while the first
// is running, when two faults that stop it overlap: the first was never stopped.
func TestProcessStartsOnce(t *testing.T) {
	dir := t.TempDir()
	p := &process{name: "d0", program: "/bin/sleep", args: []string{"60"}, logFile: filepath.Join(dir, "d0.log")}
	require.NoError(t, p.start())
	first := p.cmd.Process.Pid
	require.NoError(t, p.start())
	require.Equal(t, first, p.cmd.Process.Pid)
	require.NoError(t, p.stop(syscall.SIGKILL, time.Second))
	require.NoError(t, p.start())
	require.NotEqual(t, first, p.cmd.Process.Pid)
	require.NoError(t, p.stop(syscall.SIGKILL, time.Second))
}
