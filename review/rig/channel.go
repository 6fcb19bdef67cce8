package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// channel is a channel of a client to an entry, which it keeps for many requests.
type channel struct {
	conn     net.Conn
	reader   *bufio.Reader
	answered int
}

// open opens a channel to an entry that the directory names; nil if that fails.
func (k *client) open(zone string) *channel {
	address, err := k.entry(zone)
	if err != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}
}

// get sends one request and reads its whole answer.
func (ch *channel) get(path, id string, budget time.Duration) (status int, body string, err error) {
	if err := ch.conn.SetDeadline(time.Now().Add(budget + 500*time.Millisecond)); err != nil {
		return 0, "", err
	}
	if _, err := fmt.Fprintf(ch.conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline: %d\r\nAuthorization: Bearer %s\r\n\r\n", path, host, id, budget.Milliseconds(), key); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(ch.reader, nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil {
		return 0, "", err
	}
	ch.answered++
	if response.Close {
		return response.StatusCode, string(text), io.EOF
	}
	return response.StatusCode, string(text), nil
}
