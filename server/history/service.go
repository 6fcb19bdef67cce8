// Package history stores the histories of programs on store VMs, and reads and writes
// them from entries. The package coord/history decides where records lie.
//
// An entry writes the record of a turn to several store VMs before it ends the response to
// the caller. It reads the record of the previous turn before it sends a turn to its
// target. The leader of the store group has missing copies made again.
package history

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/history"
)

// diskTimeout bounds the wait of a request for the disk.
const diskTimeout = 2 * time.Second

// Service serves the records of a store VM over HTTP.
type Service struct {
	disk   *Disk
	stage  *stage
	client *Client
	log    *logrus.Entry
	// sealed is set once the VM is being retired. Calls that store records hold sealing for
	// reading, so that none is under way once sealed has been set.
	sealing sync.RWMutex
	sealed  bool
}

// NewService returns a service. client reads from other store VMs.
func NewService(d *Disk, client *Client, log *logrus.Entry, registry metrics.Registry) *Service {
	metrics.NewRegisteredFunctionalGauge("history_records", registry, func() int64 { records, _ := d.Usage(); return int64(records) })
	metrics.NewRegisteredFunctionalGauge("history_bytes", registry, func() int64 { _, bytes := d.Usage(); return bytes })
	return &Service{disk: d, stage: newStage(), client: client, log: log}
}

// Handler returns the handler of the HTTP interface.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(pathStage, s.handle(s.stagePart)).Methods(http.MethodPost)
	r.HandleFunc(pathWrite, s.handle(s.write)).Methods(http.MethodPost)
	r.HandleFunc(pathRead, s.handle(s.read)).Methods(http.MethodPost)
	r.HandleFunc(pathCopy, s.handle(s.copy)).Methods(http.MethodPost)
	r.HandleFunc(pathSeal, s.handle(s.seal)).Methods(http.MethodPost)
	return r
}

var (
	// errBadRequest reports a request that cannot be decoded.
	errBadRequest = errors.New("request cannot be decoded")
	// errSealed reports a record that is not stored because this VM is being retired.
	errSealed = errors.New("this VM is being retired and stores no further records")
)

// handle sends the response of a call, or an error status.
func (s *Service) handle(call func(ctx context.Context, r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), diskTimeout)
		defer cancel()
		response, err := call(ctx, r)
		if err == nil {
			err = respond(w, response)
		} else if errors.Is(err, errBadRequest) {
			w.WriteHeader(http.StatusBadRequest)
		} else {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		if err != nil {
			s.log.WithFields(logrus.Fields{"event": "record_call_failed", "path": r.URL.Path, "from": r.RemoteAddr}).WithError(err).Warn("record call failed")
		}
	}
}

func (s *Service) write(ctx context.Context, r *http.Request) (any, error) {
	var request writeRequest
	if err := readMessage(r.Body, &request); err != nil {
		return nil, errors.Join(errBadRequest, err)
	}
	content, ok := request.Content, true
	if request.Staged {
		var part []byte
		part, ok = s.stage.take(request.Turn)
		content = append(part, content...)
	} else {
		content, ok = s.resolve(request.Base, content)
	}
	if !ok {
		return baseResponse{BaseMissing: true}, nil
	}
	record := Record{Turn: request.Turn, Retention: request.Retention, Content: content}
	return baseResponse{}, s.store(ctx, record)
}

// store writes records to the disk, unless this VM is being retired.
func (s *Service) store(ctx context.Context, records ...Record) error {
	s.sealing.RLock()
	defer s.sealing.RUnlock()
	if s.sealed {
		return errSealed
	}
	return s.disk.Write(ctx, records...)
}

// seal makes the VM refuse further records.
func (s *Service) seal(_ context.Context, _ *http.Request) (any, error) {
	s.sealing.Lock()
	defer s.sealing.Unlock()
	if !s.sealed {
		s.log.WithField("event", "records_sealed").Info("this VM is being retired and stores no further records")
	}
	s.sealed = true
	return sealResponse{}, nil
}

// stagePart keeps the first part of a record until the turn ends.
func (s *Service) stagePart(_ context.Context, r *http.Request) (any, error) {
	var request stageRequest
	if err := readMessage(r.Body, &request); err != nil {
		return nil, errors.Join(errBadRequest, err)
	}
	content, ok := s.resolve(request.Base, request.Content)
	ok = ok && s.stage.put(request.Turn, content)
	return baseResponse{BaseMissing: !ok}, nil
}

// resolve returns the history of a turn followed by content, or content alone if there is
// no turn. It returns false if this VM does not hold the turn.
func (s *Service) resolve(base *history.Turn, content []byte) ([]byte, bool) {
	if base == nil {
		return content, true
	}
	record, err := s.disk.Read(*base)
	if err != nil {
		return nil, false
	}
	return append(record.Content, content...), true
}

func (s *Service) read(_ context.Context, r *http.Request) (any, error) {
	var request readRequest
	if err := readMessage(r.Body, &request); err != nil {
		return nil, errors.Join(errBadRequest, err)
	}
	var response readResponse
	size := 0
	for _, t := range request.Turns {
		if size > maxReadBytes {
			break
		}
		record, err := s.disk.Read(t)
		if err != nil {
			continue
		}
		size += len(record.Content)
		response.Records = append(response.Records, record)
	}
	return response, nil
}

// copy reads the records that this VM lacks from another VM and stores them. A VM that is asked
// to copy from itself only tells which records it has.
func (s *Service) copy(ctx context.Context, r *http.Request) (any, error) {
	var request copyRequest
	if err := readMessage(r.Body, &request); err != nil {
		return nil, errors.Join(errBadRequest, err)
	}
	var missing []history.Turn
	for _, t := range request.Turns {
		if !s.disk.Has(t) {
			missing = append(missing, t)
		}
	}
	if len(missing) > 0 {
		records, err := s.client.fetch(ctx, request.From, missing)
		if err == nil && len(records) > 0 {
			err = s.store(ctx, records...)
		}
		if err != nil {
			return nil, err
		}
	}
	var response copyResponse
	for _, t := range request.Turns {
		if s.disk.Has(t) {
			response.Turns = append(response.Turns, t)
		}
	}
	return response, nil
}
