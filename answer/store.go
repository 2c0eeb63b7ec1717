package answer

import (
	"context"
	"encoding/json"
	"sync"
)

const (
	// maxAnswers is the maximum number of stored answers and maxAnswerBytes the maximum size of
	// each, which limits all stored answers to 16 MiB.
	maxAnswers     = 1024
	maxAnswerBytes = 16 << 10
)

// store holds the answers of the non-idempotent requests that ran on this host, and the keys of
// those that are running.
type store struct {
	mu      sync.Mutex
	answers bounded[string, storedAnswer]
	running map[string]chan struct{}
}

// storedAnswer is an answer encoded as JSON with the fingerprint of its request.
type storedAnswer struct {
	fingerprint string
	encoded     []byte
}

func (s *store) init() {
	s.answers.limit = maxAnswers
	s.running = map[string]chan struct{}{}
}

// acquireKey waits until no request with the key runs on this host and then marks the key as
// running until releaseKey is called. It returns false if ctx ends first.
func (s *store) acquireKey(ctx context.Context, key string) (releaseKey func(), ok bool) {
	for {
		s.mu.Lock()
		other := s.running[key]
		if other == nil {
			done := make(chan struct{})
			s.running[key] = done
			s.mu.Unlock()
			return func() { s.releaseKey(key, done) }, true
		}
		s.mu.Unlock()
		select {
		case <-other:
		case <-ctx.Done():
			return nil, false
		}
	}
}

func (s *store) releaseKey(key string, done chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, key)
	close(done)
}

// save stores an answer unless its encoded form exceeds maxAnswerBytes.
func (s *store) save(key, fingerprint string, a *Answer) {
	encoded, err := json.Marshal(a)
	if err != nil || len(encoded) > maxAnswerBytes {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers.put(key, storedAnswer{fingerprint, encoded})
}

// get returns the stored answer of a key.
func (s *store) get(key string) (storedAnswer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers.get(key)
}

// StoredAnswer returns the stored answer of a non-idempotent request that ran on this host, or
// nil. If the request is still running, it waits until the request or ctx ends.
func (s *Service) StoredAnswer(ctx context.Context, key string) *Answer {
	s.init()
	release, ok := s.store.acquireKey(ctx, key)
	if !ok {
		return nil
	}
	defer release()
	stored, ok := s.store.get(key)
	if !ok {
		return nil
	}
	return stored.decode()
}

func (s storedAnswer) decode() *Answer {
	var a Answer
	if err := json.Unmarshal(s.encoded, &a); err != nil {
		return nil
	}
	return &a
}
