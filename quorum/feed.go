package quorum

import (
	"context"
	"encoding/json"

	"wasabirelay/peer"
)

const (
	// feedHistory is the least number of recent entries that are kept for hosts that are behind.
	// A host that is further behind gets a snapshot.
	feedHistory = 2048
	// watcherBacklog is the capacity of the message queue to one host. A host whose queue
	// is full is disconnected and subscribes again.
	watcherBacklog = 256
)

// feed sends committed entries to the hosts that have subscribed.
type feed struct {
	groupID  string
	history  []FeedEntry
	watchers map[*watcher]bool
}

// watcher is the subscription of one host.
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

// enqueue queues a message for a watcher, or disconnects the watcher if its queue is full.
func (f *feed) enqueue(w *watcher, m Feed) {
	m.Group = f.groupID
	select {
	case w.queue <- m:
	default:
		delete(f.watchers, w)
		close(w.queue)
		w.conn.Close()
	}
}

// reset drops the history after the leader has sent a snapshot, and sends the state of the
// snapshot to all watchers.
func (f *feed) reset(r *Replica) {
	f.history = nil
	for w := range f.watchers {
		f.catchUp(r, w, 0)
	}
}

// catchUp queues the entries that a host lacks after index, or a snapshot.
func (f *feed) catchUp(r *Replica, w *watcher, index uint64) {
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
		r.Log.Error().Err(err).Msg("failed to encode the control state for a host")
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
		if ready = r.node != nil && (m.Group == "" || m.Group == r.groupID); !ready {
			return
		}
		r.feed.groupID = r.groupID
		r.feed.watchers[w] = true
		r.feed.catchUp(r, w, m.Index)
	})
	if err != nil {
		return nil, toRemoteError(err)
	}
	if !ready {
		return nil, &peer.RemoteError{Code: peer.CodeUnavailable, Message: "this control host is blank or belongs to another group"}
	}
	go r.writeFeed(w) //nolint:gosec // The subscription outlives the call.
	return struct{}{}, nil
}

// writeFeed sends the messages in a watcher's queue to its connection.
func (r *Replica) writeFeed(w *watcher) {
	defer w.conn.Close()
	ctx := context.Background() // Writes have their own timeout.
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
	// The timeout applies if the control goroutine has ended; there is nothing to remove then.
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	r.post(ctx, func() { delete(r.feed.watchers, w) })
}
