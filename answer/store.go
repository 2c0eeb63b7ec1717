package answer

import (
	"context"
	"encoding/json"
	"sync"
)

const (
	// maxAnswers and maxAnswer (bytes) bound the stored answers to 16 MiB.
	maxAnswers = 1024
	maxAnswer  = 16 << 10
)

// store holds the answers of requests that are not idempotent and ran on this
// host, and the keys of those that are running.
type store struct {
	mu      sync.Mutex
	answers bounded[string, stored]
	running map[string]chan struct{}
}

// stored is a kept answer in its encoded form.
type stored struct {
	fingerprint string
	text        []byte
}

func (s *store) init() {
	s.answers.limit = maxAnswers
	s.running = map[string]chan struct{}{}
}

// enter waits until no request with the key runs on this host, and marks the key
// as running until leave is called. It fails if ctx ends first.
func (s *store) enter(ctx context.Context, key string) (leave func(), ok bool) {
	for {
		s.mu.Lock()
		other := s.running[key]
		if other == nil {
			done := make(chan struct{})
			s.running[key] = done
			s.mu.Unlock()
			return func() { s.leave(key, done) }, true
		}
		s.mu.Unlock()
		select {
		case <-other:
		case <-ctx.Done():
			return nil, false
		}
	}
}

func (s *store) leave(key string, done chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, key)
	close(done)
}

// keep stores an answer unless it is too large.
func (s *store) keep(key, fingerprint string, a *Answer) {
	text, err := json.Marshal(a)
	if err != nil || len(text) > maxAnswer {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers.put(key, stored{fingerprint, text})
}

// get returns the answer of a key.
func (s *store) get(key string) (stored, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers.get(key)
}

// StoredAnswer returns the stored answer of a request that is not idempotent and ran on
// this host, or nil. It waits for a run that has not ended until ctx ends.
func (s *Service) StoredAnswer(ctx context.Context, key string) *Answer {
	s.init()
	leave, ok := s.store.enter(ctx, key)
	if !ok {
		return nil
	}
	defer leave()
	kept, ok := s.store.get(key)
	if !ok {
		return nil
	}
	return kept.answer()
}

func (s stored) answer() *Answer {
	var a Answer
	if err := json.Unmarshal(s.text, &a); err != nil {
		return nil
	}
	return &a
}
