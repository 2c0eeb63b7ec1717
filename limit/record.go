package limit

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// doubtTime is how long a target is in doubt after a reply that does not end where its head says.
const doubtTime = 30 * time.Second

// emptyProofs is how many empty successes of a target have to prove true, once a body has come behind one, before further ones are
// accepted without a wait.
const emptyProofs = 16

// record is what the replies of a target have shown of it. A nil record keeps nothing.
type record struct {
	// copies is true once the target has sent a copy of a reply.
	copies atomic.Bool
	// misstated is when the target last sent a reply whose head does not say where it ends, or says it wrongly.
	misstated atomic.Pointer[time.Time]
	// trust is positive if the latest empty successes have proved true, 0 if none has, and negative after a false one.
	trust atomic.Int32
}

// note takes account of the error of a reply.
func (r *record) note(err error) {
	var reply *ReplyError
	if !errors.As(err, &reply) {
		return
	}
	switch reply.Reason {
	case Spliced, Mismatched:
		r.copies.Store(true)
	case Malformed, NoLength, Continued:
		now := time.Now()
		r.misstated.Store(&now)
	}
}

// isInDoubt reports whether the target has lately sent replies that don't end where their heads say.
func (r *record) isInDoubt() bool {
	at := r.misstated.Load()
	return at != nil && time.Since(*at) < doubtTime
}

// confirmEmpty notes that an empty success has proved true.
func (r *record) confirmEmpty() {
	if r == nil {
		return
	}
	if trust := r.trust.Load(); trust <= 0 {
		r.trust.CompareAndSwap(trust, trust+1) // if it fails, another reply has changed it
	}
}

// denyEmpty notes that a body has come behind an empty success.
func (r *record) denyEmpty() {
	if r != nil {
		r.trust.Store(-emptyProofs)
	}
}

// emptyWait returns how long a body is waited for behind an empty success.
func (r *record) emptyWait() time.Duration {
	switch trust, doubt := r.trust.Load(), r.isInDoubt(); {
	case trust < 0 || trust == 0 && doubt:
		return doubtfulWait
	case trust == 0 || doubt:
		return cutWait
	}
	return 0
}
