package quorum

import (
	"context"
	"encoding/json"

	"wasabirelay/peer"
)

const (
	// feedHistory is the number of entries that a host may lack and still be fed
	// with entries; it gets a snapshot if it lacks more.
	feedHistory = 2048
	// watcherBacklog bounds the messages that wait for a slow host. A host that
	// falls further behind is disconnected and subscribes again.
	watcherBacklog = 256
)

// feed sends committed entries to the hosts that watch.
type feed struct {
	group    string
	history  []FeedEntry
	watchers map[*watcher]bool
}

type watcher struct {
	conn  *peer.Conn
	queue chan Feed
}

// publish appends entries to the history and queues them for all watchers.
func (f *feed) publish(entries []FeedEntry) {
	if len(entries) == 0 {
		return
	}
	f.history = append(f.history, entries...)
	if len(f.history) > 2*feedHistory {
		f.history = append([]FeedEntry(nil), f.history[len(f.history)-feedHistory:]...)
	}
	for w := range f.watchers {
		f.enqueue(w, Feed{Entries: entries})
	}
}

func (f *feed) enqueue(w *watcher, m Feed) {
	m.Group = f.group
	select {
	case w.queue <- m:
	default:
		delete(f.watchers, w)
		close(w.queue)
		w.conn.Close()
	}
}

// reset drops the history after a snapshot from the leader and sends the
// snapshot's state to all watchers.
func (f *feed) reset(r *Replica) {
	f.history = nil
	for w := range f.watchers {
		f.start(r, w, 0)
	}
}

// start queues what a host lacks after index.
func (f *feed) start(r *Replica, w *watcher, index uint64) {
	if index == r.applied {
		return
	}
	if n := len(f.history); n > 0 && index != 0 && f.history[0].Index <= index+1 && index < r.applied {
		skip := int(index + 1 - f.history[0].Index)
		f.enqueue(w, Feed{Entries: append([]FeedEntry(nil), f.history[skip:]...)})
		return
	}
	data, err := r.state.SharedSnapshot()
	if err != nil {
		r.Log.Error().Err(err).Msg("control state can't be encoded for a host")
		return
	}
	f.enqueue(w, Feed{Snapshot: data, Index: r.applied})
}

// serveWatch subscribes the connection of a host to the feed.
func (r *Replica) serveWatch(ctx context.Context, c *peer.Conn, params json.RawMessage) (any, error) {
	var m WatchRequest
	if err := peer.Decode(params, &m); err != nil {
		return nil, err
	}
	w := &watcher{conn: c, queue: make(chan Feed, watcherBacklog)}
	ready := false
	err := r.do(ctx, func() {
		if ready = r.node != nil && (m.Group == "" || m.Group == r.group); !ready {
			return
		}
		r.feed.group = r.group
		r.feed.watchers[w] = true
		r.feed.start(r, w, m.Index)
	})
	if err != nil {
		return nil, remote(err)
	}
	if !ready {
		return nil, &peer.RemoteError{Code: peer.CodeUnavailable, Message: "this control host is blank or belongs to another group"}
	}
	go r.pump(w) //nolint:gosec // the subscription outlives the call
	return struct{}{}, nil
}

// pump writes a watcher's queue to its connection.
func (r *Replica) pump(w *watcher) {
	defer w.conn.Close()
	ctx := context.Background() // Writes have their own time-out.
	for {
		select {
		case m, ok := <-w.queue:
			if !ok {
				return
			}
			if err := w.conn.Notify(ctx, MethodFeed, m); err != nil {
				r.unwatch(w)
				return
			}
		case <-w.conn.Done():
			r.unwatch(w)
			return
		}
	}
}

func (r *Replica) unwatch(w *watcher) {
	// The control goroutine may have ended; then there is nothing to remove from.
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	r.post(ctx, func() { delete(r.feed.watchers, w) })
}
