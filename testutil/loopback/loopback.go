// Package loopback provides TCP connections over loopback for tests.
package loopback

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Pair returns both ends of a TCP connection. The caller must close them.
func Pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	near, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	far, err = l.Accept()
	assert.NilError(t, err)
	return near, far
}
