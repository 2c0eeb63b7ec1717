package door

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// receiveBuffer is the size of the receive buffers of connections in bytes. What has arrived and was not read counts as
// memory of the process, and would grow to megabytes per connection.
const receiveBuffer = 32 << 10

// ReceiveMemory is the memory in bytes that the kernel may hold for what a connection of a caller has received: it doubles the
// size that is set.
const ReceiveMemory = 2 * receiveBuffer

// ListenConfig returns the configuration of sockets whose connections have a bounded receive buffer.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		return socket.Control(func(fd uintptr) {
			// Without it, the buffers are those of the kernel's settings.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
	}}
}
