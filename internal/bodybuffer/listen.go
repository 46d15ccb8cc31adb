package bodybuffer

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// receiveBytes is the receive buffer that is requested for each connection, in bytes. The kernel
// uses up to twice as much; without the request it holds up to 6 MiB of unread bytes.
const receiveBytes = 64 << 10

// Listen opens a TCP socket for callers, whose connections hold few unread bytes.
func Listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		})
		return errors.Join(err, optionErr)
	}}
	return config.Listen(context.Background(), "tcp", addr)
}
