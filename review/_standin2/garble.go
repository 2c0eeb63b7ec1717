package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The dose of garble, how = "extra late", in the site file: three searchers in five spoil three in a hundred of their
// answers for 5 s at a time.
const (
	garbleShare, garbleRate  = 0.6, 0.03
	garbleSpan, garbleGap    = 5 * time.Second, 3 * time.Second
	garbleLength             = 48 * time.Second
	requestsPerSecond        = 45 // those of lot-fetch
	lateAfter                = 5 * time.Millisecond
	pause                    = 100 * time.Millisecond // the length of the pauses of searchers on the sheet
	bodyBytes, maxMissing    = 3000, 9
	versionToken, deadlineMs = "HTTP/1.1 ", 1500
)

// garbler is a searcher that writes its answers itself. While it is in trouble, some of its answers break off shortly before
// their end, the connection stays open, and an extra copy of the answer before arrives late on it.
type garbler struct {
	searcher
	faulty  bool
	trouble *atomic.Bool
	signed  *sync.Map // signatures of successful runs by request
	// resets is true if an answer that breaks off has no length and its connection is reset; an extra copy of the answer
	// before arrives late then, where this one is expected.
	resets bool
}

func (g *garbler) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	g.address = netip.MustParseAddrPort(l.Addr().String())
	g.born = time.Now().UnixMilli()
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	context.AfterFunc(ctx, func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go g.serve(conn)
		}
	}()
	go g.sendHeartbeats(ctx)
	return nil
}

// workTime draws the time that a request takes: that of lot-fetch, 60 ms in the mean, 360 ms at most.
func workTime() time.Duration {
	const spread = 0.5
	ms := 60 * math.Exp(spread*rand.NormFloat64()-spread*spread/2)
	return time.Duration(min(ms, 360) * float64(time.Millisecond))
}

// bodyOf returns the whole body of the answer with a signature.
func bodyOf(signature string) []byte {
	return bytes.Repeat(records(signature), 1+bodyBytes/96)[:bodyBytes]
}

// serve answers the requests on a connection, one at a time.
func (g *garbler) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var before []byte // the last answer on this connection
	beforeID := ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get(attemptHeader)
		if req.Header.Get(instanceHeader) != g.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", attemptHeader, id)
			continue
		}
		signature := fmt.Sprintf("%s.%s.%d", g.id, id, g.runs.Add(1))
		g.signed.Store(signature, id)
		g.record.line("run %s at %s", id, g.id)
		time.Sleep(workTime())
		var b bytes.Buffer
		fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", attemptHeader, id, signatureHeader, signature, bodyBytes)
		b.Write(bodyOf(signature))
		text := b.Bytes()
		if g.resets && before != nil && g.faulty && g.trouble.Load() && endsLikeReply(before) {
			g.sendReset(conn, before, id, beforeID, signature)
			return
		}
		if g.resets || before == nil || !g.faulty || !g.trouble.Load() || rand.Float64() >= garbleRate {
			if _, err := conn.Write(text); err != nil {
				return
			}
			before, beforeID = text, id
			continue
		}
		missing := 1 + rand.IntN(maxMissing)
		g.record.line("answer to %s at %s breaks off %d bytes before its end; an extra copy of the answer to %s follows late, with a pause of %s after %q",
			id, g.id, missing, beforeID, pause, versionToken)
		for _, piece := range []struct {
			text []byte
			wait time.Duration
		}{{text[:len(text)-missing], lateAfter}, {before[:len(versionToken)], pause}, {before[len(versionToken):], 0}} {
			if _, err := conn.Write(piece.text); err != nil {
				return
			}
			time.Sleep(piece.wait)
		}
		before, beforeID = text, id
	}
}

// endsLikeReply reports whether the last byte of an answer is the first one of a status line.
func endsLikeReply(text []byte) bool { return text[len(text)-1] == versionToken[0] }

// sendReset sends an extra copy of the answer before, and half of an answer without a length, and resets the connection.
func (g *garbler) sendReset(conn net.Conn, before []byte, id, beforeID, signature string) {
	g.record.line("answer to %s at %s has no length and is reset after %d of %d bytes; an extra copy of the answer to %s comes late, before it", id, g.id, bodyBytes/2, bodyBytes, beforeID)
	var b bytes.Buffer
	b.Write(before)
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n\r\n", attemptHeader, id, signatureHeader, signature)
	b.Write(bodyOf(signature)[:bodyBytes/2])
	_, _ = conn.Write(b.Bytes())
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // the close resets the connection
	}
}

// brokenOff checks that consumers get whole answers while searchers break off some and send extra ones late.
func brokenOff(r *recorder, program, dir string, trouble bool) (int, error) {
	return spoilt(r, program, dir, trouble, false)
}

// resetOnTheWay checks the same while searchers send answers without a length that are reset on the way.
func resetOnTheWay(r *recorder, program, dir string, trouble bool) (int, error) {
	return spoilt(r, program, dir, trouble, true)
}

func spoilt(r *recorder, program, dir string, trouble, resets bool) (int, error) {
	d, err := newDeployment(program, dir, 3, 3)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	if err := d.start(); err != nil {
		return notRun, err
	}
	var inTrouble atomic.Bool
	var signed sync.Map
	const count = 5
	for i := range count {
		g := &garbler{
			searcher: searcher{
				id: fmt.Sprintf("i-kafi81c-%d", i), service: "kafi81c", centre: centres[i%len(centres)], operators: d.operators(), record: r,
			},
			faulty: float64(i) < garbleShare*count, trouble: &inTrouble, signed: &signed, resets: resets,
		}
		if err := g.start(); err != nil {
			return notRun, err
		}
		defer g.cancel()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	sendConfig(ctx, d, r)
	if ctx.Err() != nil {
		return notRun, fmt.Errorf("the first config was not acknowledged")
	}
	time.Sleep(3 * time.Second) // all searchers have announced themselves, and the config is in force everywhere
	start := time.Now()
	var wrong, whole, other atomic.Int64
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / requestsPerSecond)
	defer ticker.Stop()
	for i := 0; time.Since(start) < garbleLength; i++ {
		<-ticker.C
		inTrouble.Store(trouble && time.Since(start)%(garbleSpan+garbleGap) < garbleSpan)
		to, id := d.entries[i%len(d.entries)].caller(), fmt.Sprintf("%016x", 0x1c41d07b00000000+i)
		wg.Go(func() {
			switch fault, status := check(to, id, &signed); {
			case fault != "":
				wrong.Add(1)
				r.line("consumer: request %s to %s: WRONG ANSWER: %s", id, to, fault)
			case status == http.StatusOK:
				whole.Add(1)
				r.line("consumer: request %s to %s: 200, the whole body of its run", id, to)
			default:
				other.Add(1)
				r.line("consumer: request %s to %s: %d", id, to, status)
			}
		})
	}
	wg.Wait()
	r.line("%d requests answered as they ran, %d answered wrongly, %d not served", whole.Load(), wrong.Load(), other.Load())
	switch {
	case wrong.Load() > 0:
		return broken, nil
	case whole.Load() == 0:
		return notRun, fmt.Errorf("no request was served")
	}
	return held, nil
}

// check sends a request and says what is wrong with its answer. status is 0 if there is none.
func check(to netip.AddrPort, id string, signed *sync.Map) (fault string, status int) {
	ctx, cancel := context.WithTimeout(context.Background(), deadlineMs*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.String()+"/goka902/2f", nil)
	if err != nil {
		return err.Error(), 0
	}
	req.Host = "hufi27.example"
	req.Header.Set(attemptHeader, id)
	req.Header.Set(deadlineHeader, fmt.Sprint(deadlineMs))
	res, err := callers.Do(req)
	if err != nil {
		return "", 0
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	switch {
	case err != nil:
		return "", 0 // an answer that ends early does not look complete
	case res.StatusCode != http.StatusOK:
		return "", res.StatusCode
	}
	signature := res.Header.Get(signatureHeader)
	if run, ok := signed.Load(signature); !ok || run != id {
		return fmt.Sprintf("the signature %q is not of a run of this request", signature), res.StatusCode
	}
	if want := bodyOf(signature); !bytes.Equal(body, want) {
		n := 0
		for n < min(len(body), len(want)) && body[n] == want[n] {
			n++
		}
		return strings.TrimSpace(fmt.Sprintf("200 with signature %s; %d bytes, the searcher's body has %d; from byte %d on %.40q in place of %.40q", signature, len(body), len(want), n, body[n:], want[n:])), res.StatusCode
	}
	return "", res.StatusCode
}

var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
