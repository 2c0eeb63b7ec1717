package node

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"

	"wasabirelay/control"
	"wasabirelay/door"
	"wasabirelay/quorum"
	"wasabirelay/relay"
)

// errCallerLeft reports that the caller closed its connection before its order was proposed.
var errCallerLeft = errors.New("the caller has left")

// order commits an order without a version. Its fields are the operations that it is made of.
type order struct {
	read        func(context.Context) (quorum.ReadResponse, error)
	waiting     func(context.Context) bool
	commit      func(context.Context, control.Command) (control.Result, error)
	commitAfter func(context.Context, control.Command, uint64) (control.Result, error)
}

// try makes one attempt. The caller is checked after the state was read: if it still waits, it has sent
// no later order that the state misses.
func (o *order) try(ctx context.Context, command control.Command) (control.Result, error) {
	readCtx, endRead := context.WithTimeout(ctx, proposeTimeout)
	defer endRead()
	state, err := o.read(readCtx)
	if err != nil {
		return control.Result{}, errors.Wrap(err, "read the state that the order is based on")
	}
	if !o.waiting(ctx) {
		return control.Result{}, errCallerLeft
	}
	commitCtx, endCommit := context.WithTimeout(ctx, proposeTimeout)
	defer endCommit()
	if state.Index == 0 { // a leader of an earlier version, which can't compare orders
		return o.commit(commitCtx, command)
	}
	return o.commitAfter(commitCtx, command, state.Index)
}

// callerKey is the context key of the connection of a caller.
type callerKey struct{}

// connContext is the value of http.Server.ConnContext.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(door.ConnContext(relay.ConnContext(ctx, conn), conn), callerKey{}, conn)
}

// isCallerWaiting reports whether the connection of the request with the context is open. The context
// alone doesn't show it in time: after this process was frozen, a handler may run before the goroutine that
// reads the end of the connection.
func isCallerWaiting(ctx context.Context) bool {
	conn, ok := ctx.Value(callerKey{}).(syscall.Conn)
	if !ok {
		return true
	}
	socket, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	// Control, unlike Read, doesn't wait for the goroutine that reads from the connection.
	err = socket.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = n > 0 || errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && open
}
