package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/server/bootclock"
	"hemlockvale.dev/server/integrity"
	"hemlockvale.dev/server/relay"
)

const (
	// maxOffers bounds the entries to which one request is offered.
	maxOffers = 3
	// maxRelayed bounds the requests of other entries that this one serves at once.
	maxRelayed = 256
)

// These are the reasons to decline the request of another entry.
var (
	errNotReady      = errors.New("this entry has no configuration as new as the other one's")
	errStopping      = errors.New("this entry is stopping")
	errNoLinks       = errors.New("this entry has lost its own links")
	errTooManyOffers = errors.New("too many requests of other entries are in progress")
)

var (
	// errEntryLost is returned for a response of another entry that was lost.
	errEntryLost = errors.New("response of the other entry was lost")
	// errUnframed is returned for a response of another entry that ends with its connection, and
	// so would also end with the process of the entry.
	errUnframed = errors.New("response of the other entry has neither a length nor chunks")
)

// AcceptRelay decides about a request that another entry offers. An error is the reason to
// decline it.
func (e *Entry) AcceptRelay(o relay.Offer) error {
	view := e.options.View()
	switch {
	case view.Table == nil || view.Table.Version() < o.Version:
		return errNotReady
	case e.stop() != nil:
		return errStopping
	case e.paths.isolated():
		return errNoLinks
	case e.relayed.Load() >= maxRelayed:
		return errTooManyOffers
	}
	return nil
}

// relay passes the request on to an entry that can reach targets. It returns false if there
// is none; then the request has not been sent. A request that was relayed to this entry is
// not relayed again.
func (x *exchange) relay() bool {
	if x.offer != nil || x.responseStarted || x.entry.options.Peers == nil {
		return false
	}
	raw, address := x.offerToPeers()
	if raw == nil {
		return false
	}
	gometrics.GetOrRegisterCounter("forward_relayed", x.entry.options.Metrics).Inc(1)
	x.record.relayedTo = address
	c := newConn(raw)
	stop := context.AfterFunc(x.ctx, func() { c.Close() })
	defer func() {
		stop()
		c.Close()
	}()
	if err := x.relayOn(c); err != nil {
		x.record.targetErr = err
		// The other entry may have passed the request on to a target.
		x.mayHaveRun = true
		if x.request.Context().Err() != nil {
			x.abort(x.callerLostReason())
		} else {
			x.failRequest()
		}
	}
	return true
}

// offerToPeers offers the request to some entries. It returns a connection to the first one
// that accepts it, and its address; nil if none does.
func (x *exchange) offerToPeers() (net.Conn, string) {
	log := x.entry.options.Log.WithFields(logrus.Fields{"event": "relay_offer", "request": x.call.ID})
	for range maxOffers {
		addresses := x.entry.peers.list(x.ctx, x.entry.options.Peers, x.entry.options.Log)
		if len(addresses) == 0 {
			log.Warn("control names no entries to relay requests to")
			return nil, ""
		}
		address := addresses[int(x.entry.offers.Add(1))%len(addresses)]
		conn, err := relay.Dial(x.ctx, address, relay.Offer{
			Request: x.call.ID, From: x.entry.options.Address, Version: x.view.Table.Version(),
			Elapsed: bootclock.Now() - x.startedAt, Attempt: x.attempt, Runs: x.runs(),
		})
		if err == nil {
			return conn, address
		}
		log.WithField("entry", address).WithError(err).Info("another entry does not take a request")
		if x.ctx.Err() != nil {
			return nil, ""
		}
		x.entry.peers.remove(address)
	}
	return nil, ""
}

// relayOn sends the request as the caller sent it and passes the response on.
func (x *exchange) relayOn(c *conn) error {
	header := x.request.Header.Clone()
	removeHopByHop(header)
	header.Del("Content-Length")
	out := &targetRequest{id: x.call.ID, method: x.request.Method, uri: x.request.RequestURI, host: x.request.Host, header: header, body: x.body}
	if err := c.send(out); err != nil {
		return err
	}
	x.expectResponse("")
	response, _, err := c.receive(out, x.entry.options.HeaderCodec, x.reserveResponse)
	if err != nil {
		return errors.Join(errEntryLost, err)
	}
	x.takeLeaving(response.Header)
	x.observeFraming(response)
	if x.record.framing == integrity.Connection {
		return errors.Join(errEntryLost, errUnframed)
	}
	if x.isStream(response) {
		return x.copyEvents(response)
	}
	body, err := x.readResponse(response)
	if err != nil {
		return errors.Join(errEntryLost, err)
	}
	x.writeBuffered(response, body)
	return nil
}

// copyEvents passes each event of another entry's stream on as it arrives.
func (x *exchange) copyEvents(response *http.Response) error {
	reader := bufio.NewReaderSize(response.Body, readBufferBytes)
	controller := http.NewResponseController(x.writer)
	for {
		x.releaseEvent()
		e, err := readEvent(reader, x.reserveEvent)
		if err != nil && !errors.Is(err, io.EOF) {
			return errors.Join(errEntryLost, err)
		}
		if !x.responseStarted {
			x.writeHeader(response)
		}
		if err != nil {
			return nil
		}
		x.events++
		if err := x.writeEvent(controller, e); err != nil {
			return err
		}
	}
}

// runs returns the number of targets that may have run the request.
func (x *exchange) runs() int {
	if x.offer != nil {
		return x.offer.Runs + x.ranAt
	}
	return x.ranAt
}
