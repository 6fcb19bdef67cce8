package forward

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// maxEndlessGrowth is the memory that a target which never stops sending may cost.
	maxEndlessGrowth = 64 << 20
	// endlessAnswerTime is the time within which its caller must have a response: half of
	// the time limit of the patient routes.
	endlessAnswerTime = 10 * time.Second
)

// startEndlessTarget starts a target that responds to each connection with start and then
// with repeat until the other side closes. closed receives a value for each closed
// connection.
func startEndlessTarget(t *testing.T, start, repeat string) (address string, closed <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	done := make(chan struct{}, 16)
	block := strings.Repeat(repeat, max(1, 32<<10/len(repeat)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { done <- struct{}{} }()
				defer c.Close()
				_, err := io.WriteString(c, start)
				for err == nil {
					_, err = io.WriteString(c, block)
				}
			}()
		}
	}()
	return l.Addr().String(), done
}

// TestEndlessResponses guards against a target that sends bytes without end, which would
// fill the memory of the entry and keep the caller waiting until its deadline.
func TestEndlessResponses(t *testing.T) {
	foreign := "HTTP/1.1 200 OK\r\nId: other\r\nSignature: s\r\n"
	own := "HTTP/1.1 200 OK\r\nId: r\r\nSignature: s\r\n"
	notRun := "HTTP/1.1 503 Busy\r\nId: r\r\nNot-Run: 1\r\n"
	cases := []struct {
		name, path, start, repeat string
		status                    int
		results                   string
	}{
		{"status line", "/patient/x", "HTTP/1.1 200 ", "x", http.StatusBadGateway, "broken"},
		{"header value", "/patient/x", "HTTP/1.1 200 OK\r\nA: ", "x", http.StatusBadGateway, "broken"},
		{"header lines", "/patient/x", "HTTP/1.1 200 OK\r\n", "A: b\r\n", http.StatusBadGateway, "broken"},
		{"informational responses", "/patient/x", "", "HTTP/1.1 103 Early\r\n\r\n", http.StatusBadGateway, "broken"},
		{"responses to others", "/patient/x", "", foreign + "Content-Length: 0\r\n\r\n", http.StatusBadGateway, "broken"},
		{"body of another response", "/patient/x", foreign + "\r\n", "x", http.StatusBadGateway, "broken"},
		{"body without length", "/patient/x", own + "\r\n", "x", http.StatusBadGateway, "broken"},
		{"chunk extension", "/patient/x", own + "Transfer-Encoding: chunked\r\n\r\n1;a=", "x", http.StatusBadGateway, "broken"},
		{"chunk size", "/patient/x", own + "Transfer-Encoding: chunked\r\n\r\n", "0", http.StatusBadGateway, "broken"},
		{"trailer", "/patient/x", own + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", "x", http.StatusBadGateway, "broken"},
		{"body of a not-run response", "/patient/x", notRun + "\r\n", "x", http.StatusServiceUnavailable, "not_run"},
		{"stream without line ends", "/patient-stream/x", own + "\r\ndata: ", "x", http.StatusBadGateway, "broken"},
		{"event without an end", "/patient-stream/x", own + "\r\n", "data: x\n", http.StatusBadGateway, "broken"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, closed := startEndlessTarget(t, c.start, c.repeat)
			l := &testLedger{targets: []string{address}}
			server := startEntry(t, l, true)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			status, _, err := post(t, server, c.path)
			elapsed := time.Since(start)
			runtime.ReadMemStats(&after)
			require.NoError(t, err)
			assert.Equal(t, c.status, status)
			assert.Equal(t, c.results, l.results())
			assert.Less(t, elapsed, endlessAnswerTime)
			assert.Less(t, int64(after.Sys)-int64(before.Sys), int64(maxEndlessGrowth))
			select {
			case <-closed:
			case <-time.After(endlessAnswerTime):
				t.Error("the connection to the target was not closed")
			}
		})
	}
}

// TestEndlessComments guards against a stream of comments that outlives the time limit of its
// route, costs memory, or ends as complete.
func TestEndlessComments(t *testing.T) {
	address, closed := startEndlessTarget(t, eventsHead+eventText(1), ": x\n\n")
	l := &testLedger{targets: []string{address}, refuseResumes: true}
	server := startEntry(t, l, true)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	request, err := http.NewRequest(http.MethodPost, server.URL+"/stream/x", nil)
	require.NoError(t, err)
	request.Header.Set("Id", "r")
	request.Header.Set("Key", "k")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	assert.Error(t, err, "complete")
	runtime.ReadMemStats(&after)
	assert.Less(t, int64(after.Sys)-int64(before.Sys), int64(maxEndlessGrowth))
	select {
	case <-closed:
	case <-time.After(endlessAnswerTime):
		t.Error("the connection to the target was not closed")
	}
}
