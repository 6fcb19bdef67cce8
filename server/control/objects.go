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
	// secretBytes is the entropy of a key's secret.
	secretBytes = 32
	// secretPrefix lets people and scanners recognise a key's secret.
	secretPrefix = "hv_"
)

// resource is one kind of object with a name, a revision and a body.
type resource[T any] struct {
	path   string
	list   func() []T
	get    func(name string) (T, bool)
	name   func(*T) *string
	rev    func(T) uint64
	put    func(*fleet.Command, *T)
	remove func(*fleet.Command, *fleet.ObjectRef)
}

// changed is the answer to a write.
type changed struct {
	// Revision is the object's new revision.
	Revision uint64 `json:"revision"`
}

// mountObjects adds organisations, profiles, services and keys.
func (c *Control) mountObjects(handle func(method, path string, op operation)) {
	mount(c, handle, resource[fleet.Organisation]{
		path: "/organisations", list: c.state.Organisations, get: c.state.Organisation,
		name:   func(o *fleet.Organisation) *string { return &o.ID },
		rev:    func(o fleet.Organisation) uint64 { return o.Revision },
		put:    func(cmd *fleet.Command, o *fleet.Organisation) { cmd.PutOrganisation = o },
		remove: func(cmd *fleet.Command, r *fleet.ObjectRef) { cmd.RemoveOrganisation = r },
	})
	mount(c, handle, resource[fleet.Profile]{
		path: "/profiles", list: c.state.Profiles, get: c.state.Profile,
		name:   func(p *fleet.Profile) *string { return &p.Name },
		rev:    func(p fleet.Profile) uint64 { return p.Revision },
		put:    func(cmd *fleet.Command, p *fleet.Profile) { cmd.PutProfile = p },
		remove: func(cmd *fleet.Command, r *fleet.ObjectRef) { cmd.RemoveProfile = r },
	})
	mount(c, handle, resource[fleet.Service]{
		path: "/services", list: c.state.Services, get: c.state.Service,
		name:   func(s *fleet.Service) *string { return &s.Name },
		rev:    func(s fleet.Service) uint64 { return s.Revision },
		put:    func(cmd *fleet.Command, s *fleet.Service) { cmd.PutService = s },
		remove: func(cmd *fleet.Command, r *fleet.ObjectRef) { cmd.RemoveService = r },
	})
	handle(http.MethodGet, "/keys", c.listKeys)
	handle(http.MethodPost, "/keys", c.issueKey)
	handle(http.MethodDelete, "/keys/{id}", c.withdrawKey)
}

// mount adds GET, PUT and DELETE for one kind of object.
func mount[T any](c *Control, handle func(method, path string, op operation), k resource[T]) {
	handle(http.MethodGet, k.path, func(*http.Request) (reply, error) {
		return reply{status: http.StatusOK, body: k.list()}, nil
	})
	handle(http.MethodGet, k.path+"/{id}", func(r *http.Request) (reply, error) {
		name := mux.Vars(r)["id"]
		object, ok := k.get(name)
		if !ok {
			return reply{}, problem(http.StatusNotFound, codeNotFound, "path", "%q does not exist", name)
		}
		return reply{status: http.StatusOK, revision: k.rev(object), body: object}, nil
	})
	handle(http.MethodPut, k.path+"/{id}", func(r *http.Request) (reply, error) { return putObject(c, k, r) })
	handle(http.MethodDelete, k.path+"/{id}", func(r *http.Request) (reply, error) {
		cmd, err := command(r)
		if err != nil {
			return reply{}, err
		}
		name := mux.Vars(r)["id"]
		k.remove(&cmd, &fleet.ObjectRef{ID: name})
		return c.write(r, cmd, name)
	})
}

// putObject writes one object. Its name is that of the path; its revision is
// the one of If-Match, whatever the body says.
func putObject[T any](c *Control, k resource[T], r *http.Request) (reply, error) {
	cmd, err := command(r)
	if err != nil {
		return reply{}, err
	}
	object := new(T)
	if err := decode(r, object); err != nil {
		return reply{}, err
	}
	name := mux.Vars(r)["id"]
	if have := k.name(object); *have == "" {
		*have = name
	} else if *have != name {
		return reply{}, problem(http.StatusBadRequest, fleet.CodeInvalid, "body", "the body names %q, the path %q", *have, name)
	}
	k.put(&cmd, object)
	return c.write(r, cmd, name)
}

// write proposes a command and returns its revision.
func (c *Control) write(r *http.Request, cmd fleet.Command, subject string) (reply, error) {
	result, err := c.change(r, cmd, subject)
	if err != nil {
		return reply{}, err
	}
	return reply{status: http.StatusOK, revision: result.Revision, body: changed{Revision: result.Revision}}, nil
}

// listKeys lists the keys without their hashes.
func (c *Control) listKeys(*http.Request) (reply, error) {
	keys := c.state.Keys()
	for i := range keys {
		keys[i].Hash = ""
	}
	return reply{status: http.StatusOK, body: keys}, nil
}

// keyRequest asks for a new key.
type keyRequest struct {
	// ID names the key; empty: control chooses a name.
	ID string `json:"id"`
	// Organisation is the owner.
	Organisation string `json:"organisation"`
}

// issuedKey is the only answer that contains a secret.
type issuedKey struct {
	// ID names the key.
	ID string `json:"id"`
	// Organisation is the owner.
	Organisation string `json:"organisation"`
	// Secret is what callers present as bearer token.
	Secret string `json:"secret"`
	// Revision is the key's revision.
	Revision uint64 `json:"revision"`
}

// issueKey creates a key with a random secret. Control keeps only the secret's
// hash and derives it from nothing, so it cannot be shown again: a retry of an
// issue that succeeded is refused with key_already_issued, and the operator
// withdraws that key and issues another one.
func (c *Control) issueKey(r *http.Request) (reply, error) {
	cmd, err := command(r)
	if err != nil {
		return reply{}, err
	}
	var request keyRequest
	if err := decode(r, &request); err != nil {
		return reply{}, err
	}
	if request.ID == "" {
		request.ID = keyID(cmd.Operation)
	}
	if old, ok := c.state.Key(request.ID); ok {
		return reply{}, keyIssued(old)
	}
	secret, err := newSecret()
	if err != nil {
		return reply{}, problem(http.StatusInternalServerError, "internal", "", "%v", err)
	}
	cmd.IssueKey = &fleet.Key{ID: request.ID, Organisation: request.Organisation, Hash: fleet.HashSecret(secret)}
	result, err := c.change(r, cmd, request.ID)
	var refused *fleet.Error
	if errors.As(err, &refused) {
		// A concurrent request with the same operation id may have come first.
		if old, ok := c.state.Key(request.ID); ok {
			return reply{}, keyIssued(old)
		}
	}
	if err != nil {
		return reply{}, err
	}
	body := issuedKey{ID: request.ID, Organisation: request.Organisation, Secret: secret, Revision: result.Revision}
	return reply{status: http.StatusCreated, revision: result.Revision, body: body}, nil
}

// keyIssued refuses to issue a key twice.
func keyIssued(k fleet.Key) *Problem {
	return problem(http.StatusConflict, codeKeyIssued, "id",
		"key %q of organisation %q was issued at revision %d and its secret cannot be shown again; withdraw it and issue a key with another Operation-Id",
		k.ID, k.Organisation, k.Revision)
}

// keyID names a key after the operation, so that a retry names the same key.
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

func (c *Control) withdrawKey(r *http.Request) (reply, error) {
	cmd, err := command(r)
	if err != nil {
		return reply{}, err
	}
	id := mux.Vars(r)["id"]
	cmd.WithdrawKey = &fleet.ObjectRef{ID: id}
	return c.write(r, cmd, id)
}
