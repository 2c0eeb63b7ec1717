package limit

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	spliceLine = "HTTP/1.1 200 OK"
	spliceHead = spliceLine + "\r\nId: mine\r\nContent-Length: 8\r\n\r\n"
)

// testSplicing belongs to a connection that has carried the sub-requests "mine" and "earlier".
func testSplicing() *splicing {
	return &splicing{
		own:     spliceLine,
		replyID: func(res *Response) string { return res.Header.Get("Id") },
		known:   func(id string) bool { return id == "mine" || id == "earlier" },
		isReply: func(res *Response) bool { return res.Header.Get("Sign") != "" },
	}
}

// Guards against a body that holds the start of another reply, and against rejecting one that only mentions
// status lines.
func TestSplicing(t *testing.T) {
	for _, tt := range []struct {
		name, body, behind string
		want               bool
	}{
		{"empty", "", "", false},
		{"plain", "12345678", "", false},
		{"a copy behind the body", "12345678", spliceHead + "12345678", false},
		{"own copy", "12345678" + spliceHead + "12345678", "", true},
		{"own copy from the start", spliceHead + "12345678", "", true},
		{"copy of an earlier reply", "1234HTTP/1.0 503 Busy\r\nid:\tearlier \r\n\r\n", "", true},
		{"an unknown identity", "1234HTTP/1.1 200 OK\r\nId: theirs\r\n\r\n5678", "", false},
		{"no identity", "1234HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n5678", "", false},
		{"no identity, the body again", "1234HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n1234", "", true},
		{"no identity, another status, a transcript", "$ curl -i a\r\nHTTP/1.1 404 Not Found\r\nServer: x\r\n\r\n$ ", "", false},
		{"identity after the fields", "1234HTTP/1.1 200 OK\r\n\r\nId: mine\r\n\r\n", "", false},
		{"identity after a line that is no field", "1234HTTP/1.1 200 OK\r\nsome text\r\nId: mine\r\n\r\n", "", false},
		{"a part of the identity", "1234HTTP/1.1 200 OK\r\nX: y\r\nId: mine2\r\n\r\n", "", false},
		{"mention", "they speak HTTP/1.1 200 times a day", "", false},
		{"mention at the end", "they speak HTTP/1.1", "", false},
		{"mention of a line", "it said HTTP/1.1 200 OK\r\nand no more", "", false},
		{"status without a space", "HTTP/1.1 2000\r\nId: mine\r\n\r\n", "", false},
		{"cut in the version", "1234567H", "", false},
		{"cut in the version, the rest behind", "1234567H", spliceHead[1:], true},
		{"cut after the version, the rest behind", "1" + spliceHead[:7], spliceHead[7:], true},
		{"cut in the identity, the rest behind", "1" + spliceHead[:20], spliceHead[20:], true},
		{"cut in the status, other bytes behind", "1HTTP/1.1 200", " and no more\r\n\r\n", false},
		{"cut in the version, other bytes behind", "1234567H", "ello", false},
		{"cut in the version, a part of the rest behind", "1234567H", "TTP/1.1 ", true},
		{"cut at the end of the version, a part of the rest behind", "HTTP/1.1", " 2", true},
		{"cut in the version, other bytes behind a part of the rest", "1234567H", "TTP/1.1 no", false},
		{"cut in the status", "123HTTP/1.1 2", "", true},
		{"cut in another status", "123HTTP/1.1 5", "", false},
		{"cut behind a mention", "HTTP/1.1 200 5HTTP/1.1 200 OK\r\nConte", "", true},
		{"cut in the reason", "123HTTP/1.1 200 O", "", true},
		{"cut in the line break", "123HTTP/1.1 200 OK\r", "", true},
		{"cut in another reason", "123HTTP/1.1 200 No", "", false},
		{"cut in a name", "123HTTP/1.1 200 OK\r\nConte", "", true},
		{"cut in a value", "123HTTP/1.1 200 OK\r\nX: y\r\nId: mi", "", true},
		{"cut before the empty line", "123HTTP/1.1 200 OK\r\nX: y\r\n\r", "", true},
		{"cut after binary text", "123HTTP/1.1 200 OK\r\nX: \x00", "", false},
		{"copy in the head of a copy", "123HTTP/1.1 200 OK\r\nId: theirs\r\nX: " + spliceHead, "", true},
		{"too long for a head", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", readBufferSize), "", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(testSplicing().in([]byte(tt.body), []byte(tt.behind)), tt.want)
		})
	}
}

// Guards against a body whose end is doubtful and that holds a copy of another reply without its identity, and against
// rejecting one that only mentions replies.
func TestSplicingOfDoubtfulBody(t *testing.T) {
	const anonymous = "HTTP/1.1 404 Not Found\r\nSign: 3e1b\r\nContent-Length: 4\r\n\r\n5678"
	for _, tt := range []struct {
		name, body, behind string
		unframed, want     bool
	}{
		{"sound", "1234" + anonymous, "", false, false},
		{"no length", "1234" + anonymous, "", true, true},
		{"bytes behind", "1234" + anonymous[:40], anonymous[40:], false, true},
		{"no length, cut in a value", "1234" + anonymous[:30], "", true, true},
		{"no length, cut in the line break", "1234" + anonymous[:24], "", true, true},
		{"no length, cut in the reason", "1234" + anonymous[:16], "", true, true},
		{"no length, no reply of a target", "1234HTTP/1.1 200 OK\r\nServer: x\r\n\r\n5678", "", true, false},
		{"no length, mention", "they speak HTTP/1.1 200 times a day", "", true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := testSplicing()
			s.unframed = tt.unframed
			is.New(t).Equal(s.in([]byte(tt.body), []byte(tt.behind)), tt.want)
		})
	}
}

// Guards against a body that broke off and was filled up by the whole copy of an earlier refusal, which has neither an
// identity nor a body, and against rejecting one that only mentions a refusal.
func TestSplicingOfBodilessCopy(t *testing.T) {
	const (
		line    = "HTTP/1.1 503 Service Unavailable"
		refusal = line + "\r\nContent-Length: 0\r\nSign: 3e1b\r\n\r\n"
	)
	for _, tt := range []struct {
		name, body string
		refused    bool
		want       bool
	}{
		{"a refusal was carried", "1234" + refusal, true, true},
		{"none was carried", "1234" + refusal, false, false},
		{"text behind it", "1234" + refusal + "$ ", true, false},
		{"no reply of a target", "1234" + line + "\r\nServer: x\r\n\r\n", true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := testSplicing()
			s.earlier = func(text string) bool { return tt.refused && text == line }
			is.New(t).Equal(s.in([]byte(tt.body), nil), tt.want)
		})
	}
}

// Guards against a body without a length whose end cuts another reply, and against rejecting one that ends with a mention
// of a status.
func TestSplicingWithoutLength(t *testing.T) {
	for _, tt := range []struct {
		body string
		want bool
	}{
		{"it speaks HTTP/1.1", false},
		{"it speaks HTTP/1.1 and 1.0", false},
		{"it speaks HTTP/1.1 200 times a day", false},
		{"123HTTP/1.1 5", true},
		{"123HTTP/1.1 503", true},
		{"123HTTP/1.1 503 S", true},
		{"123HTTP/1.1 503 Service Unavailable\r", true},
		{"123HTTP/1.1 503 Busy\r\nX: y", true},
		{"123HTTP/1.1 503 Busy\r\nand no more", false},
	} {
		t.Run(tt.body, func(t *testing.T) {
			s := testSplicing()
			s.unframed = true
			is.New(t).Equal(s.in([]byte(tt.body), nil), tt.want)
		})
	}
}

// Guards against a part of a body that is rejected although the rest may show that it only mentions a reply, and against
// waiting for the rest of one that holds another reply.
func TestSplicingOfPart(t *testing.T) {
	for _, tt := range []struct {
		body string
		want bool
	}{
		{"123HTTP/1.1 200", false},
		{"123HTTP/1.1 200 OK\r\nConte", false},
		{"123HTTP/1.1 200 OK\r\nId: mine", false},
		{"1234HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n1234", false},
		{"123HTTP/1.1 200 OK\r\nId: mine\r\n", true},
	} {
		t.Run(tt.body, func(t *testing.T) {
			s := testSplicing()
			s.partial = true
			is.New(t).Equal(s.in([]byte(tt.body), nil), tt.want)
		})
	}
}

// Guards against a head that breaks off and goes on with the one of another reply, and against rejecting fields
// that only name a version.
func TestIsHeadSpliced(t *testing.T) {
	for _, tt := range []struct {
		head string
		want bool
	}{
		{spliceHead, false},
		{"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nUpgrade: HTTP/1.1\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nSign: 3e1bHTTP/1.1 200 OK\r\nSign: 3e1b\r\n\r\n", true},
		{"HTTP/1.1 200 OK\r\nSign:HTTP/1.0 503\r\n\r\n", true},
		{"HTTP/1.1 200 OKHTTP/1.1 503 Busy\r\n\r\n", true},
		{"HHTTP/1.1 200 OK\r\n\r\n", true},
		{"HTTP/1.1 200 OK\r\nSign: HTTP/1.HTTP/1.1 200 OK\r\n\r\n", true},
	} {
		t.Run(tt.head, func(t *testing.T) { is.New(t).Equal(isHeadSpliced([]byte(tt.head)), tt.want) })
	}
}

// Guards against a splice that is missed at some byte, and against rejecting a body without a status line.
func FuzzSplicing(f *testing.F) {
	f.Add([]byte("12345678"), uint16(4), uint16(70), uint16(10))
	f.Add([]byte("12345678"), uint16(0), uint16(40), uint16(1))
	f.Add([]byte("HTTP/1.1 HTTP/1.1 200 "), uint16(22), uint16(36), uint16(36))
	f.Add([]byte("\r\n\x00"), uint16(2), uint16(500), uint16(500))
	f.Fuzz(func(t *testing.T, body []byte, cut, received, in uint16) {
		is := is.New(t)
		s := testSplicing()
		if !bytes.Contains(body, versionPrefix) {
			is.True(!s.in(body, nil))
		}
		// The reply breaks off, and a part of a copy follows, of which the body takes some bytes.
		copied := append([]byte(spliceHead), body...)
		start := int(cut) % (len(body) + 1)
		n := 1 + int(received)%len(copied)
		taken := 1 + int(in)%n
		got := s.in(append(bytes.Clone(body[:start]), copied[:taken]...), copied[taken:n])
		if n >= minCutStatus && !bytes.Contains(body[:start], []byte("HTTP/1.")) && !bytes.HasSuffix(body[:start], []byte("H")) {
			is.True(got)
		}
	})
}

// Guards against a body of many fields that mention status lines whose check takes far longer than a request.
func TestSplicingOfManyMentions(t *testing.T) {
	const line = "upstream: HTTP/1.1 200 OK\r\n"
	body := bytes.Repeat([]byte(line), 1<<20/len(line))
	for _, unframed := range []bool{false, true} {
		is := is.New(t)
		s, parsed := testSplicing(), 0
		replyID := s.replyID
		s.unframed = unframed
		s.replyID = func(res *Response) string {
			parsed += len(res.Header.text)
			return replyID(res)
		}
		is.True(!s.in(append(body[:len(body):len(body)], "the end\r\n"...), nil))
		is.True(parsed <= 2*len(body))
		is.True(s.in(append(body[:len(body):len(body)], spliceHead...), nil)) // a copy after them is still found
		is.True(s.in(append(body[:len(body):len(body)], "Id: earlier\r\n\r\n"...), nil))
	}
}
