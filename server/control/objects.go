package control

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"hemlockvale.dev/coord/fleet"
)

const (
	// secretBytes is the number of random bytes in a key's secret.
	secretBytes = 32
	// secretPrefix lets people and secret scanners recognise a key's secret.
	secretPrefix = "hv_"
)

// resource describes how the API reads and changes one kind of object.
type resource[T any] struct {
	path     string // under /v1/admin
	list     func() []T
	get      func(name string) (T, bool)
	name     func(*T) *string
	revision func(T) uint64
	put      func(*fleet.Command, *T)               // makes the command write the object
	remove   func(*fleet.Command, *fleet.ObjectRef) // makes the command remove the object
}

// writeResult is the response body of a successful write.
type writeResult struct {
	// Revision is the object's new revision.
	Revision uint64 `json:"revision"`
}

// addObjectRoutes adds the routes of organisations, profiles, services and keys.
func (c *Control) addObjectRoutes(handle func(method, path string, fn endpointFunc)) {
	addResourceRoutes(c, handle, resource[fleet.Organisation]{
		path: "/organisations", list: c.state.Organisations, get: c.state.Organisation,
		name:     func(o *fleet.Organisation) *string { return &o.ID },
		revision: func(o fleet.Organisation) uint64 { return o.Revision },
		put:      func(cmd *fleet.Command, o *fleet.Organisation) { cmd.PutOrganisation = o },
		remove:   func(cmd *fleet.Command, r *fleet.ObjectRef) { cmd.RemoveOrganisation = r },
	})
	addResourceRoutes(c, handle, resource[fleet.Profile]{
		path: "/profiles", list: c.state.Profiles, get: c.state.Profile,
		name:     func(p *fleet.Profile) *string { return &p.Name },
		revision: func(p fleet.Profile) uint64 { return p.Revision },
		put:      func(cmd *fleet.Command, p *fleet.Profile) { cmd.PutProfile = p },
		remove:   func(cmd *fleet.Command, r *fleet.ObjectRef) { cmd.RemoveProfile = r },
	})
	addResourceRoutes(c, handle, resource[fleet.Service]{
		path: "/services", list: c.state.Services, get: c.state.Service,
		name:     func(s *fleet.Service) *string { return &s.Name },
		revision: func(s fleet.Service) uint64 { return s.Revision },
		put:      func(cmd *fleet.Command, s *fleet.Service) { cmd.PutService = s },
		remove:   func(cmd *fleet.Command, r *fleet.ObjectRef) { cmd.RemoveService = r },
	})
	handle(http.MethodGet, "/keys", c.listKeys)
	handle(http.MethodPost, "/keys", c.issueKey)
	handle(http.MethodDelete, "/keys/{id}", c.withdrawKey)
}

// addResourceRoutes adds the routes for GET, PUT and DELETE of one kind of object.
func addResourceRoutes[T any](c *Control, handle func(method, path string, fn endpointFunc), res resource[T]) {
	handle(http.MethodGet, res.path, func(*http.Request) (endpointResponse, error) {
		return endpointResponse{status: http.StatusOK, body: res.list()}, nil
	})
	handle(http.MethodGet, res.path+"/{id}", func(r *http.Request) (endpointResponse, error) {
		name := mux.Vars(r)["id"]
		object, ok := res.get(name)
		if !ok {
			return endpointResponse{}, problem(http.StatusNotFound, codeNotFound, "path", "%q does not exist", name)
		}
		return endpointResponse{status: http.StatusOK, revision: res.revision(object), body: object}, nil
	})
	handle(http.MethodPut, res.path+"/{id}", func(r *http.Request) (endpointResponse, error) { return putObject(c, res, r) })
	handle(http.MethodDelete, res.path+"/{id}", func(r *http.Request) (endpointResponse, error) {
		cmd, err := newCommand(r)
		if err != nil {
			return endpointResponse{}, err
		}
		name := mux.Vars(r)["id"]
		res.remove(&cmd, &fleet.ObjectRef{ID: name})
		return c.write(r, cmd, name)
	})
}

// putObject writes one object. The path gives its name and If-Match the expected
// revision; a revision in the body is ignored.
func putObject[T any](c *Control, res resource[T], r *http.Request) (endpointResponse, error) {
	cmd, err := newCommand(r)
	if err != nil {
		return endpointResponse{}, err
	}
	object := new(T)
	if err := decode(r, object); err != nil {
		return endpointResponse{}, err
	}
	name := mux.Vars(r)["id"]
	if bodyName := res.name(object); *bodyName == "" {
		*bodyName = name
	} else if *bodyName != name {
		return endpointResponse{}, problem(http.StatusBadRequest, fleet.CodeInvalid, "body", "the body names %q, the path %q", *bodyName, name)
	}
	res.put(&cmd, object)
	return c.write(r, cmd, name)
}

// write proposes an operator's command and returns the new revision.
func (c *Control) write(r *http.Request, cmd fleet.Command, subject string) (endpointResponse, error) {
	result, err := c.proposeChange(r, cmd, subject)
	if err != nil {
		return endpointResponse{}, err
	}
	return endpointResponse{status: http.StatusOK, revision: result.Revision, body: writeResult{Revision: result.Revision}}, nil
}

// listKeys returns the keys without the hashes of their secrets.
func (c *Control) listKeys(*http.Request) (endpointResponse, error) {
	keys := c.state.Keys()
	for i := range keys {
		keys[i].Hash = ""
	}
	return endpointResponse{status: http.StatusOK, body: keys}, nil
}

// keyRequest is the request body for a new key.
type keyRequest struct {
	// ID is the id of the key; if it is empty, control generates one.
	ID string `json:"id"`
	// Organisation is the organisation that owns the key.
	Organisation string `json:"organisation"`
}

// issuedKey is the response body for a new key, the only one that contains a secret.
type issuedKey struct {
	// ID is the id of the key.
	ID string `json:"id"`
	// Organisation is the organisation that owns the key.
	Organisation string `json:"organisation"`
	// Secret is the bearer token of callers.
	Secret string `json:"secret"`
	// Revision is the revision of the key.
	Revision uint64 `json:"revision"`
}

// issueKey creates a key with a random secret. Control stores only the hash of the
// secret, so the secret cannot be returned again. A retry of a request that succeeded
// is therefore refused with key_already_issued, and the operator withdraws that key
// and issues another one.
func (c *Control) issueKey(r *http.Request) (endpointResponse, error) {
	cmd, err := newCommand(r)
	if err != nil {
		return endpointResponse{}, err
	}
	var request keyRequest
	if err := decode(r, &request); err != nil {
		return endpointResponse{}, err
	}
	if request.ID == "" {
		request.ID = keyID(cmd.Operation)
	}
	if existing, ok := c.state.Key(request.ID); ok {
		return endpointResponse{}, keyAlreadyIssued(existing)
	}
	secret, err := newSecret()
	if err != nil {
		return endpointResponse{}, problem(http.StatusInternalServerError, "internal", "", "%v", err)
	}
	cmd.IssueKey = &fleet.Key{ID: request.ID, Organisation: request.Organisation, Hash: fleet.HashSecret(secret)}
	result, err := c.proposeChange(r, cmd, request.ID)
	var refused *fleet.Error
	if errors.As(err, &refused) {
		// A concurrent request with the same operation id may have created the key.
		if existing, ok := c.state.Key(request.ID); ok {
			return endpointResponse{}, keyAlreadyIssued(existing)
		}
	}
	if err != nil {
		return endpointResponse{}, err
	}
	body := issuedKey{ID: request.ID, Organisation: request.Organisation, Secret: secret, Revision: result.Revision}
	return endpointResponse{status: http.StatusCreated, revision: result.Revision, body: body}, nil
}

// keyAlreadyIssued returns the refusal to issue an existing key again.
func keyAlreadyIssued(k fleet.Key) *Problem {
	return problem(http.StatusConflict, codeKeyAlreadyIssued, "id",
		"key %q of organisation %q was issued at revision %d and its secret cannot be shown again; withdraw it and issue a key with another Operation-Id",
		k.ID, k.Organisation, k.Revision)
}

// keyID derives the id of a key from the operation id, so that a retry uses the same
// id. Without an operation id it returns a random one.
func keyID(operation string) string {
	if operation == "" {
		return "key-" + uuid.NewString()
	}
	var sum [8]byte
	h := xxhash.Sum64String(operation)
	for i := range sum {
		sum[i] = byte(h >> (8 * i))
	}
	return "key-" + hex.EncodeToString(sum[:])
}

func newSecret() (string, error) {
	var data [secretBytes]byte
	if _, err := rand.Read(data[:]); err != nil {
		return "", err
	}
	return secretPrefix + base64.RawURLEncoding.EncodeToString(data[:]), nil
}

func (c *Control) withdrawKey(r *http.Request) (endpointResponse, error) {
	cmd, err := newCommand(r)
	if err != nil {
		return endpointResponse{}, err
	}
	id := mux.Vars(r)["id"]
	cmd.WithdrawKey = &fleet.ObjectRef{ID: id}
	return c.write(r, cmd, id)
}
