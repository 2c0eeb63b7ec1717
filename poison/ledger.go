package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wasabirelay/control"
)

const (
	// refusedDeaths is the number of deaths without an answer from which a request is refused.
	refusedDeaths = 3
	// firstHold is how long a request is refused after refusedDeaths. Each further death doubles it, up
	// to maxHold. At the end of a hold, the request is sent again, so that one that is refused by
	// mistake is answered and thereby cleared.
	firstHold, maxHold = 2 * time.Minute, time.Hour
	// recordTerm is how long a record is kept after its last change, or after the end of its hold.
	recordTerm = 10 * time.Minute
	// publishDelay is how long after a death other hosts are told. Within it, a retry of a harmless
	// request is usually answered, and there is nothing to tell.
	publishDelay = 500 * time.Millisecond
	// maxRecords bounds the records, maxRecordDeaths the deaths of one record.
	maxRecords, maxRecordDeaths = 1024, 16
	// maxPublished bounds the records that a host publishes in publishPeriod. If targets die with more
	// requests in flight, a single one is an unlikely cause.
	maxPublished  = 64
	publishPeriod = 10 * time.Second
)

// Record is what hosts know of the deaths of targets that one request has caused or only met. Two records
// of the same request are merged in any order with the same result.
type Record struct {
	// Fingerprint identifies the request, together with Service.
	Fingerprint uint64 `json:"print"`
	Service     string `json:"service"`
	// Clears counts how often an answer has shown that the deaths had another cause.
	Clears uint64 `json:"clears,omitempty"`
	// Deaths are those since the last clear.
	Deaths []control.Death `json:"deaths,omitempty"`
}

// merge returns the union of two records of the same request.
func (r Record) merge(other *Record) Record {
	switch {
	case other.Clears < r.Clears:
		return r
	case other.Clears > r.Clears:
		r.Clears, r.Deaths = other.Clears, nil
	}
	deaths := slices.Clone(r.Deaths)
	for _, d := range other.Deaths {
		if !slices.Contains(deaths, d) && len(deaths) < maxRecordDeaths {
			deaths = append(deaths, d)
		}
	}
	r.Deaths = deaths
	return r
}

// hold returns for how long the request is refused after the last death of the record.
func (r *Record) hold() time.Duration {
	if len(r.Deaths) < refusedDeaths {
		return 0
	}
	return min(firstHold<<(len(r.Deaths)-refusedDeaths), maxHold)
}

// Verdict is a change of whether a request is refused.
type Verdict struct {
	Record
	// Hold is for how long the request is refused; 0 if an answer has cleared it.
	Hold time.Duration
}

// Ledger holds the requests that were in flight at deaths of targets. All hosts together decide with it
// which requests are refused: those that no target has answered since refusedDeaths targets have died
// with them in flight. A death alone proves nothing, because a request that is sent often is in flight
// at most deaths; but such a request is answered by other targets between two deaths, and an answer at any
// host clears it. The zero value is ready for use. It is safe for concurrent use. Exported fields are set
// before use.
type Ledger struct {
	// OnVerdict, if set, is called when a request is refused from now on, or longer, or not any more.
	OnVerdict func(Verdict)

	mu      sync.Mutex
	records map[ledgerKey]*ledgerRecord
	// count is the number of records. It is read without the lock.
	count atomic.Int64
	// revision counts the changes of records.
	revision uint64
	// published holds when the latest records of this host were published for the first time.
	published []time.Time
	verdicts  []Verdict
}

type ledgerKey struct {
	fingerprint uint64
	service     string
}

type ledgerRecord struct {
	Record
	// revision is that of the last change of the record.
	revision uint64
	// until is when the hold ends, expires when the record is removed.
	until, expires time.Time
	// publishAt is when the record is published. It is zero if it has been, or if another host has
	// published it.
	publishAt time.Time
	// own is true if this host has changed the record.
	own bool
}

// Empty reports whether there are no records, so that no fingerprint need be computed.
func (l *Ledger) Empty() bool { return l.count.Load() == 0 }

// Refused returns for how long the request is still refused; 0 if it may be sent.
func (l *Ledger) Refused(now time.Time, service string, fingerprint uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[ledgerKey{fingerprint, service}]; r != nil {
		return max(0, r.until.Sub(now))
	}
	return 0
}

// RecordDeath records that a target has died with the request in flight.
func (l *Ledger) RecordDeath(now time.Time, service string, fingerprint uint64, d control.Death) {
	l.mu.Lock()
	r := l.record(now, ledgerKey{fingerprint, service})
	l.apply(now, r, r.merge(&Record{Clears: r.Clears, Deaths: []control.Death{d}}), true)
	l.unlock()
}

// RecordAnswer records that a target has answered the request, which clears it.
func (l *Ledger) RecordAnswer(now time.Time, service string, fingerprint uint64) {
	l.mu.Lock()
	key := ledgerKey{fingerprint, service}
	if r := l.records[key]; r != nil && len(r.Deaths) > 0 {
		l.apply(now, r, r.merge(&Record{Clears: r.Clears + 1}), true)
		if !r.publishAt.IsZero() { // no other host knows of the deaths
			delete(l.records, key)
			l.count.Store(int64(len(l.records)))
		}
	}
	l.unlock()
}

// Merge merges the records of another host. It reports whether that changed any.
func (l *Ledger) Merge(now time.Time, records []Record) bool {
	if len(records) == 0 {
		return false
	}
	l.mu.Lock()
	before := l.revision
	for i := range records[:min(len(records), maxRecords)] {
		other := &records[i]
		r := l.record(now, ledgerKey{other.Fingerprint, other.Service})
		l.apply(now, r, r.merge(other), false)
	}
	changed := l.revision > before
	l.unlock()
	return changed
}

// unlock releases the lock and then calls OnVerdict with the verdicts since the lock was taken.
func (l *Ledger) unlock() {
	verdicts := l.verdicts
	l.verdicts = nil
	l.mu.Unlock()
	for _, v := range verdicts {
		if l.OnVerdict != nil {
			l.OnVerdict(v)
		}
	}
}

// record returns the record of a request, which it adds if there is none. The caller holds the lock.
func (l *Ledger) record(now time.Time, key ledgerKey) *ledgerRecord {
	l.expire(now)
	r := l.records[key]
	if r != nil {
		return r
	}
	if l.records == nil {
		l.records = map[ledgerKey]*ledgerRecord{}
	}
	l.evict()
	r = &ledgerRecord{Record: Record{Fingerprint: key.fingerprint, Service: key.service}}
	l.records[key] = r
	l.count.Store(int64(len(l.records)))
	return r
}

// apply replaces the content of a record, if it differs. own is true if this host has made the change. The
// caller holds the lock.
func (l *Ledger) apply(now time.Time, r *ledgerRecord, merged Record, own bool) {
	if r.revision > 0 && merged.Clears == r.Clears && len(merged.Deaths) == len(r.Deaths) {
		return
	}
	wasRefused := now.Before(r.until)
	shared := r.revision > 0 && r.publishAt.IsZero()
	r.Record = merged
	l.revision++
	r.revision = l.revision
	hold := r.hold()
	r.until = now.Add(hold)
	r.expires = r.until.Add(recordTerm)
	r.own = r.own || own
	switch {
	case !own || shared:
		r.publishAt = time.Time{}
	case r.publishAt.IsZero():
		r.publishAt = now.Add(publishDelay)
	}
	if hold > 0 || wasRefused {
		l.verdicts = append(l.verdicts, Verdict{Record: r.Record, Hold: hold})
	}
}

// expire removes the records whose term has ended. The caller holds the lock.
func (l *Ledger) expire(now time.Time) {
	maps.DeleteFunc(l.records, func(_ ledgerKey, r *ledgerRecord) bool { return now.After(r.expires) })
	l.count.Store(int64(len(l.records)))
}

// evict makes room for one record: it removes one with the fewest deaths, the oldest of them. The caller
// holds the lock.
func (l *Ledger) evict() {
	if len(l.records) < maxRecords {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(l.records)), func(a, b ledgerKey) int {
		ra, rb := l.records[a], l.records[b]
		return cmp.Or(cmp.Compare(len(ra.Deaths), len(rb.Deaths)), cmp.Compare(ra.revision, rb.revision))
	})
	delete(l.records, oldest)
}

// Own returns the records that this host has changed and that are due for publication after a
// revision, and the revision up to which they are complete.
func (l *Ledger) Own(now time.Time, after uint64) (records []Record, revision uint64) {
	if l.Empty() {
		return nil, after
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	l.published = slices.DeleteFunc(l.published, func(at time.Time) bool { return now.Sub(at) > publishPeriod })
	for _, r := range l.records {
		if r.own && !r.publishAt.IsZero() && !now.Before(r.publishAt) && len(l.published) < maxPublished {
			l.published = append(l.published, now)
			l.revision++
			r.revision, r.publishAt = l.revision, time.Time{}
		}
		if r.own && r.publishAt.IsZero() && r.revision > after {
			records = append(records, r.Record)
		}
	}
	return records, l.revision
}

// Since returns the records that have changed after a revision, and the current revision.
func (l *Ledger) Since(now time.Time, after uint64) ([]Record, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var records []Record
	for _, r := range l.records {
		if r.revision > after {
			records = append(records, r.Record)
		}
	}
	return records, l.revision
}

// Revision returns the revision of the last change.
func (l *Ledger) Revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}
