package relay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/server/graceful"
	"hemlockvale.dev/server/progress"
)

// readHeaderTimeout bounds the time until the head of an accepted request has arrived.
const readHeaderTimeout = time.Second

// stallTimeout is how long the other entry may leave a response unread. It exceeds the time after
// which that entry closes the connection of a caller that does not read.
const stallTimeout = 10 * time.Second

// Server takes the requests that other entries offer.
type Server struct {
	accept func(Offer) error
	log    *logrus.Entry
	http   *http.Server
	conns  *graceful.Conns
	queue  *connQueue
}

// NewServer returns a server that passes requests to a handler, whose context has the offer.
// accept decides whether to take a request; an error is the reason to decline it.
func NewServer(handler http.Handler, accept func(Offer) error, log *logrus.Entry) *Server {
	s := &Server{accept: accept, log: log, queue: newConnQueue()}
	s.http = &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ConnContext: withOffer}
	s.http.SetKeepAlivesEnabled(false)
	s.conns = graceful.Track(s.http)
	return s
}

// Serve serves accepted requests until Stop is called.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.queue); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Stop waits for the requests in progress. It returns an error if there are some when ctx
// ends.
func (s *Server) Stop(ctx context.Context) error { return s.conns.Stop(ctx) }

// HandleConn handles a connection after its preface.
func (s *Server) HandleConn(conn net.Conn, r *bufio.Reader) {
	o, err := s.answer(conn, r)
	if err != nil {
		s.log.WithFields(logrus.Fields{"event": "relay_declined", "request": o.Request, "from": o.From}).WithError(err).Info("request of another entry declined")
		conn.Close()
		return
	}
	s.queue.add(&offeredConn{progress.NewConn(conn, stallTimeout, nil), o})
}

// answer reads an offer and responds to it. It returns an error if the offer is declined or
// the connection fails.
func (s *Server) answer(conn net.Conn, r *bufio.Reader) (Offer, error) {
	if err := conn.SetDeadline(time.Now().Add(offerTimeout)); err != nil {
		return Offer{}, err
	}
	o, err := readOffer(r)
	if err != nil {
		return o, err
	}
	response := accepted
	reason := s.accept(o)
	if reason != nil {
		response = declined
	}
	if _, err := conn.Write([]byte{response}); err != nil || reason != nil {
		return o, errors.Join(reason, err)
	}
	// The offering entry has sent nothing further yet, so r holds no bytes of the request.
	return o, conn.SetDeadline(time.Time{})
}

// offeredConn is a connection whose offer was accepted.
type offeredConn struct {
	net.Conn
	offer Offer
}

// offerKey is the key of the offer in the context of a request.
type offerKey struct{}

func withOffer(ctx context.Context, c net.Conn) context.Context {
	if o, ok := c.(*offeredConn); ok {
		return context.WithValue(ctx, offerKey{}, &o.offer)
	}
	return ctx
}

// OfferFrom returns the offer with which a request was relayed; nil for a request that came
// from its caller.
func OfferFrom(ctx context.Context) *Offer {
	o, _ := ctx.Value(offerKey{}).(*Offer)
	return o
}

// connQueue is a net.Listener whose connections are added to it.
type connQueue struct {
	conns  chan net.Conn
	closed chan struct{}
	close  func()
}

func newConnQueue() *connQueue {
	q := &connQueue{conns: make(chan net.Conn), closed: make(chan struct{})}
	q.close = sync.OnceFunc(func() { close(q.closed) })
	return q
}

// add passes a connection to Accept, or closes it if the queue is closed.
func (q *connQueue) add(c net.Conn) {
	select {
	case q.conns <- c:
	case <-q.closed:
		c.Close()
	}
}

// Accept returns the next connection. It returns net.ErrClosed after Close.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (q *connQueue) Close() error {
	q.close()
	return nil
}

// Addr returns an address without meaning: the connections have addresses of their own.
func (q *connQueue) Addr() net.Addr { return &net.TCPAddr{} }
