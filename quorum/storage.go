package quorum

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/journal"
	"wasabirelay/peer"
)

// storageRetryInterval is how often a replica whose disk refuses writes tries again.
const storageRetryInterval = 250 * time.Millisecond

// StorageError reports that the disk has refused a write, so that the replica can't keep its promises
// to the group until it has read its state back from the disk.
type StorageError struct{ Err error }

func (e *StorageError) Error() string { return "the disk refuses writes: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *StorageError) Unwrap() error { return e.Err }

// storageFailed returns the error of a failed write for r.fatal.
func storageFailed(err error, operation string) error {
	return &StorageError{errors.Wrap(err, operation)}
}

// isStorageFailure reports whether the error of opening a journal comes from a disk that may work
// again.
func isStorageFailure(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EIO)
}

// recoverStorage takes the replica out of its group after a failed write, as if its process had
// ended, and back into it once the disk takes writes again. Meanwhile it serves what needs no group.
// It returns the error that ends the replica, if there is one.
func (r *Replica) recoverStorage(ctx context.Context, cause *StorageError) error {
	since := r.Clock.Now()
	r.diskFailing.Store(true)
	r.Log.Error().Err(cause).Msg("disk refuses writes; this control host takes no part in the group until it accepts them")
	r.suspend()
	ticker := r.Clock.NewTicker(storageRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-r.events:
			f() // it finds the replica in no group
			continue
		case <-ticker.Chan():
		}
		err := r.reload(ctx)
		if err == nil {
			r.diskFailing.Store(false)
			r.Log.Info().Dur("after", r.Clock.Since(since)).Msg("disk accepts writes again; this control host takes part in the group")
			return nil
		}
		if errors.As(err, new(*journal.CorruptError)) {
			return err
		}
	}
}

// suspend drops everything that a restart would lose. Proposals and reads in progress end without a
// known outcome, and hosts that follow the feed are disconnected.
func (r *Replica) suspend() {
	r.endMembership()
	for _, w := range r.waiters {
		w.done <- outcome{err: &UnknownOutcomeError{&StorageError{errors.New("the replica has left its group")}}}
	}
	for _, done := range r.reads.pending {
		done <- readOutcome{err: unavailable()}
	}
	r.leases.leadershipLost()
	for w := range r.feed.watchers {
		close(w.queue)
		w.conn.Close()
	}
	kept := newMemory()
	kept.journal, kept.rejoin.disabled, kept.endMembership = r.journal, r.rejoin.disabled, r.endMembership
	r.memory, r.fatal = kept, nil
}

func unavailable() error {
	return &peer.RemoteError{Code: peer.CodeUnavailable, Message: "the disk of this control host refuses writes"}
}

// reload reads the state back from the disk if that takes writes.
func (r *Replica) reload(ctx context.Context) error {
	if r.journal != nil {
		if err := r.journal.Discard(); err != nil {
			return err
		}
		if err := r.journal.Close(); err != nil {
			r.Log.Warn().Err(err).Msg("failed to close the journal")
		}
		r.journal = nil
	}
	if err := r.load(); err != nil {
		r.journal = nil // load has closed it
		return err
	}
	r.begin(ctx)
	return nil
}
