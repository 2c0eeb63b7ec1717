package portion

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"wasabirelay/peer"
)

const (
	// flushTime is the time in which the last frame of a portion that has ended is sent.
	flushTime = 20 * time.Millisecond
	// earlyTime is how long a cancellation is kept for a portion that has not begun: messages are handled
	// concurrently, and a host that wakes from a freeze reads a portion and its cancellation together.
	earlyTime = time.Second
	// maxEarly bounds these cancellations.
	maxEarly = 1024
)

// Server collects portions for other hosts. Exported fields are set before use. It is safe for
// concurrent use.
type Server struct {
	// Collect collects the replies of a portion until ctx ends. It passes frames to send as they
	// are due and returns the last one.
	Collect func(ctx context.Context, r *Request, send func(*Frame)) *Frame
	Clock   clockwork.Clock
	Log     zerolog.Logger

	mu      sync.Mutex
	running map[collectionKey]context.CancelFunc
	// early holds the times of the cancellations of portions that are not running: they have ended, or not begun.
	early map[collectionKey]time.Time
	// closed is true once new portions are refused. idle is closed when the last one has ended.
	closed bool
	idle   chan struct{}
}

// collectionKey identifies a portion in progress: IDs are unique per connection.
type collectionKey struct {
	conn *peer.Conn
	id   uint64
}

// Handlers returns the handlers of the methods of this package.
func (s *Server) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{MethodCollect: s.collect, MethodCancel: s.cancel}
}

func (s *Server) collect(ctx context.Context, conn *peer.Conn, params json.RawMessage) (any, error) {
	var r Request
	if err := peer.Decode(params, &r); err != nil {
		return nil, err
	}
	if err := r.Check(); err != nil {
		return nil, &peer.RemoteError{Code: peer.CodeInvalidParams, Message: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	key := collectionKey{conn, r.ID}
	if reason := s.begin(key, cancel); reason != "" {
		return &Frame{ID: r.ID, Refused: reason, Last: true}, nil
	}
	defer s.end(key)
	go func() { // nobody needs the replies once the connection is lost
		select {
		case <-conn.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	last := s.Collect(ctx, &r, func(f *Frame) {
		f.ID = r.ID
		if err := conn.Notify(ctx, MethodFrame, f); err != nil {
			s.Log.Debug().Err(err).Msg("failed to send a frame of a portion")
			cancel()
		}
	})
	last.ID, last.Last = r.ID, true
	return last, nil
}

func (s *Server) cancel(_ context.Context, conn *peer.Conn, params json.RawMessage) (any, error) {
	var r cancelRequest
	if err := peer.Decode(params, &r); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := collectionKey{conn, r.ID}
	if cancel := s.running[key]; cancel != nil {
		cancel()
	} else {
		s.keepEarly(key)
	}
	return nil, nil
}

// keepEarly keeps a cancellation for a portion that is not running. The caller holds s.mu.
func (s *Server) keepEarly(key collectionKey) {
	now := s.Clock.Now()
	if s.early == nil {
		s.early = map[collectionKey]time.Time{}
	}
	if len(s.early) >= maxEarly {
		maps.DeleteFunc(s.early, func(_ collectionKey, at time.Time) bool { return now.Sub(at) >= earlyTime })
	}
	if len(s.early) < maxEarly {
		s.early[key] = now
	}
}

// begin registers a portion, or returns the reason why this host doesn't work on it.
func (s *Server) begin(key collectionKey, cancel context.CancelFunc) (refused string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return "this host shuts down"
	}
	if _, cancelled := s.early[key]; cancelled {
		delete(s.early, key)
		return "the portion was cancelled"
	}
	if s.running == nil {
		s.running = map[collectionKey]context.CancelFunc{}
	}
	s.running[key] = cancel
	return ""
}

func (s *Server) end(key collectionKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, key)
	if s.closed && len(s.running) == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// Drain refuses new portions and waits until the last frame of each has been sent or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	idle := make(chan struct{})
	if len(s.running) == 0 {
		close(idle)
	} else {
		s.idle = idle
	}
	s.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
		return
	}
	select {
	case <-s.Clock.After(flushTime):
	case <-ctx.Done():
	}
}
